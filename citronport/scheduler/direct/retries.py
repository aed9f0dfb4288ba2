"""Retry budgets: limits on sending requests to further endpoints."""

import collections
import dataclasses

WINDOW_SECONDS = 10.0
"""Default window in which sends are counted."""

MIN_INSTANCES = 16
"""Smallest number of instances among which the fixed budget is divided.

Above the usual seven instances and four additional ones, so that the sum
stays within the bound even if an instance does not know of the others.
"""

SAFETY_FACTOR = 0.75
"""Share of the configured budget that is used.

The bound applies to sliding windows over sends as endpoints see them, which
are off by a few hundred milliseconds from the windows here.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class State:
    """What a decision on a retry rests on.

    Attributes:
        first_sends: first sends in the window.
        retries: retries in the window.
        share: retries allowed beyond the ratio.
        instances: number of instances that the fixed budget is divided by.
        known_seconds: time since which all sends are known.
    """

    first_sends: int
    retries: int
    share: float
    instances: float
    known_seconds: float


class RetryBudget:
    """Retry budget of one service on this instance.

    Retries add load to a service whose endpoints already fail or refuse
    requests. Their number per window is limited to a ratio of the first sends
    plus a fixed budget that is divided among the instances.

    Args:
        ratio: retries per first send.
        extra: additional retries per window, over all instances.
        window: length of the window, seconds.
        started: clock time from which on all sends are counted, seconds.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window: float = WINDOW_SECONDS,
        started: float = 0.0,
    ) -> None:
        self._started = started
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra * SAFETY_FACTOR
        self._window = window
        self._first_sends: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def update(
        self, ratio: float, extra: float, window: float, now: float
    ) -> None:
        """Use a new configuration; what was sent still counts.

        Args:
            ratio: retries per first send.
            extra: additional retries per window, over all instances.
            window: length of the window, seconds.
            now: clock time, seconds.
        """
        if window > self._window:
            # Earlier sends are no longer known.
            self._started = max(self._started, now - self._window)
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra * SAFETY_FACTOR
        self._window = window

    def record_first(self, now: float) -> None:
        """Count the first send of a request."""
        self._first_sends.append(now)
        self._trim(now)

    def take(self, instances: int, now: float) -> bool:
        """Take a retry from the budget; return whether one was left.

        Args:
            instances: upper bound of the number of instances.
            now: clock time, seconds.
        """
        self._trim(now)
        share = self._extra / max(MIN_INSTANCES, instances)
        if len(self._retries) + 1 > share + self._ratio * len(
            self._first_sends
        ):
            return False
        self._retries.append(now)
        return True

    def describe(self, instances: int, now: float) -> State:
        """Return what a decision rests on; arguments as in ``take``."""
        self._trim(now)
        number = max(MIN_INSTANCES, instances)
        return State(
            first_sends=len(self._first_sends),
            retries=len(self._retries),
            share=self._extra / number,
            instances=number,
            known_seconds=now - self._started,
        )

    def _trim(self, now: float) -> None:
        for times in (self._first_sends, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
