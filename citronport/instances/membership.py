"""Neighbour selection and failure detection among instances."""

import xxhash

from citronport.instances import const


def choose_neighbours(own_name: str, names: set[str]) -> set[str]:
    """Return the instances to report to.

    A fleet has up to some hundred instances, and the number of links of a
    full mesh grows with its square. In a small fleet all instances are
    neighbours, so that each monitors all others directly. In a larger one
    they are placed on a ring by hash, and each reports to those at
    distances 1, 2, 4 and so on: a change reaches all in as many hops as
    the number of instances has binary digits.

    Args:
        own_name: name of this instance.
        names: all instances on the list.
    """
    others = names - {own_name}
    if len(others) < const.FULL_MESH_INSTANCES:
        return others
    ring = sorted(names | {own_name}, key=_hash)
    position = ring.index(own_name)
    distances = [1 << bit for bit in range((len(ring) - 1).bit_length())]
    return {ring[(position + d) % len(ring)] for d in distances} - {own_name}


def _hash(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode()), name


class FailureDetector:
    """Detects unreachable instances.

    Neighbours are monitored directly; statements of other instances that a
    third one is silent are relayed.
    """

    def __init__(self) -> None:
        self._last_contact: dict[str, float] = {}
        self._relayed_silence: dict[str, float] = {}
        self._neighbours: set[str] = set()

    def set_neighbours(self, names: set[str], now: float) -> None:
        """Set the instances that are monitored directly."""
        for name in names - self._neighbours:
            self._last_contact[name] = now
        for name in self._neighbours - names:
            self._last_contact.pop(name, None)
        self._neighbours = set(names)

    def record_contact(self, name: str, now: float) -> None:
        """Record a message received from an instance.

        Contacts of non-neighbours are not tracked, since no regular
        messages are expected from them.
        """
        if name in self._neighbours:
            self._last_contact[name] = now
        self._relayed_silence.pop(name, None)

    def record_relayed_silence(
        self, silent: dict[str, float], now: float
    ) -> None:
        """Record which instances another one considers silent.

        Args:
            silent: seconds since a neighbour last stated it, by name.
            now: clock time, seconds.
        """
        for name, age in silent.items():
            if name not in self._neighbours:
                known = self._relayed_silence.get(name, float("-inf"))
                self._relayed_silence[name] = max(known, now - age)

    def find_silent(
        self,
        now: float,
        report_interval: float = const.REPORT_INTERVAL_SECONDS,
    ) -> dict[str, float]:
        """Return the unreachable instances and the age of that finding.

        Relayed statements expire: neighbours that still consider an
        instance silent repeat them. This is how instances that are not its
        neighbours notice that it is back.

        Args:
            now: clock time, seconds.
            report_interval: seconds between two reports; a neighbour may
                miss one.
        """
        limit = max(const.SILENCE_TIMEOUT_SECONDS, 2.5 * report_interval)
        found = {
            name: 0.0
            for name, at in self._last_contact.items()
            if now - at > limit
        }
        for name, at in list(self._relayed_silence.items()):
            if now - at > const.RELAYED_SILENCE_SECONDS:
                del self._relayed_silence[name]
            else:
                found.setdefault(name, now - at)
        return found
