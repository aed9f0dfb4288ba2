"""How often a request may be sent to one more endpoint."""

import collections

WINDOW_SECONDS = 10.0
"""Span over which sends are counted when the settings tell none."""

MIN_INSTANCES = 16
"""Instances among which the fixed part of the budget is divided.

Above the seven of today and the four that may be added; an instance that
can't hear the others then still keeps the sum within the bound.
"""

SAFETY_FACTOR = 0.75
"""Part of the allowed ratio that is used.

The windows of the bound slide over sends as endpoints see them, a few
hundred milliseconds apart from those here.
"""


class RetryBudget:
    """Repeats of one service that this instance may still send.

    Load: endpoints that fail or refuse while callers press. Harm: each
    request sent again adds load where there is too much already. The
    repeats stay below a share of the first sends of the same window and a
    fixed part, of which each instance has its own.

    Args:
        ratio: repeats for each first send.
        extra: repeats a window beyond that, over all instances.
        window: seconds.
    """

    def __init__(
        self, ratio: float, extra: float, window: float = WINDOW_SECONDS
    ) -> None:
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra * SAFETY_FACTOR
        self._window = window
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_first(self, now: float) -> None:
        """Count the first send of a request."""
        self._firsts.append(now)
        self._trim(now)

    def take(self, instances: int, now: float) -> bool:
        """Take one repeat out of the budget, if there is one left.

        Args:
            instances: how many instances there may be.
            now: clock time, seconds.
        """
        self._trim(now)
        share = self._extra / max(MIN_INSTANCES, instances)
        if len(self._repeats) + 1 > share + self._ratio * len(self._firsts):
            return False
        self._repeats.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._firsts, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
