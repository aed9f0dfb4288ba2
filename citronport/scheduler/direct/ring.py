"""Consistent hashing: which instances keep what belongs to a key."""

import bisect
import functools

from citronport.scheduler.direct import rendezvous

POINTS = 4
"""Points of each name, so that names get similar shares of the keys."""


class Ring:
    """Names on a ring of hashes; a key belongs to those that follow it.

    Rendezvous hashing would rank hundreds of names for each key.

    Args:
        names: the names.
    """

    def __init__(self, names: tuple[str, ...]) -> None:
        self.names = names

    @functools.cached_property
    def _points(self) -> list[tuple[int, str]]:
        # Computed on the first choice: while one software version serves,
        # names change and nothing is chosen.
        return sorted(
            (rendezvous.compute_hash(f"{name} {number}"), name)
            for name in self.names
            for number in range(POINTS)
        )

    def choose(self, key: int, number: int) -> tuple[str, ...]:
        """Return the names that follow a key.

        Adding or removing a name changes at most one of them.

        Args:
            key: a hash of 64 bits.
            number: most names to choose.
        """
        if len(self.names) <= number:
            return self.names
        chosen: list[str] = []
        place = bisect.bisect(self._points, (key, ""))
        while len(chosen) < number:
            name = self._points[place % len(self._points)][1]
            if name not in chosen:
                chosen.append(name)
            place += 1
        return tuple(chosen)
