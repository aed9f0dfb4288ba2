"""Tags of start-time fair queueing, for flows that share one resource."""

import collections.abc
import typing

MIN_WEIGHT = 1e-6
"""Smallest weight; avoids a division by zero."""

Flow = typing.TypeVar("Flow", bound=collections.abc.Hashable)


class FairQueueing(typing.Generic[Flow]):
    """Start tags of flows, and the virtual time.

    A flow's tag is the work that was charged to it so far, divided by its
    weight. The flow with the lowest tag is next. A flow that was idle
    continues at the virtual time, so that idle time earns no credit.

    Attributes:
        virtual_time: largest start tag that was served.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._finish_tags: dict[Flow, float] = {}

    def __len__(self) -> int:
        """Return the number of flows that have a tag."""
        return len(self._finish_tags)

    def get_start_tag(self, flow: Flow) -> float:
        """Return the start tag of a flow's next request."""
        return max(self.virtual_time, self._finish_tags.get(flow, 0.0))

    def charge(self, flow: Flow, cost: float, weight: float) -> float:
        """Charge a request to its flow; return the request's start tag."""
        start = self.get_start_tag(flow)
        self._finish_tags[flow] = start + cost / max(weight, MIN_WEIGHT)
        return start

    def advance(self, start_tag: float) -> None:
        """Advance the virtual time to a request that is served now."""
        self.virtual_time = max(self.virtual_time, start_tag)

    def prune(self) -> None:
        """Remove tags that the virtual time has passed."""
        passed = [
            flow
            for flow, tag in self._finish_tags.items()
            if tag <= self.virtual_time
        ]
        for flow in passed:
            del self._finish_tags[flow]
