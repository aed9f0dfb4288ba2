"""When to look at a request again."""

import heapq


class Deadlines:
    """Request ids by a time at which to look at them again."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str]] = []

    def add(self, time: float, request_id: str) -> None:
        """Look at a request at a time."""
        heapq.heappush(self._heap, (time, request_id))

    def pop_due(self, now: float) -> list[str]:
        """Return the requests whose time has come."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[1])
        return due
