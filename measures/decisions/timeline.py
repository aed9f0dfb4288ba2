"""A virtual clock: runs calls in the order of their times."""

import collections.abc
import heapq
import itertools
from typing import Any


class Timeline:
    """Calls that are due at virtual times, seconds."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._due: list[tuple] = []
        self._sequence = itertools.count()

    def call_at(
        self, time: float, call: collections.abc.Callable, *args: Any
    ) -> None:
        """Have a call made at a time, not before now."""
        due = max(time, self.now)
        heapq.heappush(self._due, (due, next(self._sequence), call, args))

    def call_later(
        self, delay: float, call: collections.abc.Callable, *args: Any
    ) -> None:
        """Have a call made some seconds from now."""
        self.call_at(self.now + delay, call, *args)

    def run(self, until: float) -> None:
        """Make all calls that are due until a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = until
