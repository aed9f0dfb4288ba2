"""Timers for checks of requests."""

import heapq


class Deadlines:
    """Priority queue of request ids by the time of their next check."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def add(self, time: float, request_id: str) -> None:
        """Schedule a check of a request."""
        heapq.heappush(self._heap, (time, request_id))

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the requests whose check is due."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[1])
        return due
