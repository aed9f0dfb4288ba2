"""Estimates when messages of other instances were sent."""

import dataclasses
import math

DELAY_SECONDS = 1.5
"""Delay from which a message counts as older than its arrival. Reports to a
large fleet are spread over most of a second."""

WINDOW_SECONDS = 10.0
"""Time after which a difference between two clocks may have changed. Messages
that waited in the socket are read in much less."""

MAX_SENDERS = 2048
"""Maximum number of instances whose clocks are known."""


@dataclasses.dataclass(slots=True)
class _Offsets:
    """Differences between the clock of one start of an instance and the own.

    Attributes:
        incarnation: unique for each start of its process.
        since: clock time at which the current window began, seconds.
        current: smallest difference in this window, seconds.
        previous: smallest difference in the one before.
    """

    incarnation: str
    since: float
    current: float = math.inf
    previous: float = math.inf

    def add(self, offset: float, now: float) -> float:
        """Add a difference; return the smallest one."""
        if now - self.since >= WINDOW_SECONDS:
            self.since = now
            self.previous, self.current = self.current, math.inf
        self.current = min(self.current, offset)
        return min(self.current, self.previous)


class SenderClocks:
    """Differences between the clocks of other instances and the own one.

    Datagrams that arrive while this process does not run wait in its socket.
    Counted from the moment at which they are read, all of them would be new,
    and instances that are gone would be in reach. Clocks drift, and some stand
    still while a machine is paused, so that old differences do not count.
    """

    def __init__(self) -> None:
        self._offsets: dict[str, _Offsets] = {}

    def estimate_sent_at(
        self, instance: str, incarnation: str, up_seconds: float, now: float
    ) -> float:
        """Return the clock time at which a message was sent, seconds.

        Args:
            instance: name of the sender.
            incarnation: unique for each start of its process.
            up_seconds: time from that start to the sending.
            now: clock time at which the message was read, seconds.
        """
        if not math.isfinite(up_seconds):
            return now
        known = self._offsets.get(instance)
        if known is None and len(self._offsets) >= MAX_SENDERS:
            del self._offsets[next(iter(self._offsets))]
        if known is None or known.incarnation != incarnation:
            known = _Offsets(incarnation, now)
            self._offsets[instance] = known
        offset = now - up_seconds
        delay = offset - known.add(offset, now)
        return now if delay <= DELAY_SECONDS else now - delay
