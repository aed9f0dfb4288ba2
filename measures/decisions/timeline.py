"""Virtual clock that runs scheduled calls in time order."""

import collections.abc
import heapq
import itertools
from typing import Any


class Timeline:
    """Queue of calls, scheduled at virtual times in seconds."""

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._due: list[tuple] = []
        self._sequence = itertools.count()

    def call_at(
        self, time: float, function: collections.abc.Callable, *args: Any
    ) -> None:
        """Schedule a call at a time, or now if that has passed."""
        due = max(time, self.now)
        heapq.heappush(self._due, (due, next(self._sequence), function, args))

    def call_later(
        self, delay: float, function: collections.abc.Callable, *args: Any
    ) -> None:
        """Schedule a call after a delay in seconds."""
        self.call_at(self.now + delay, function, *args)

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._due)
            call(*args)
        self.now = until
