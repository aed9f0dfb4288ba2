"""Queue of requests: by tier, then weighted fair between workspaces."""

import collections
import collections.abc
import dataclasses

from citronport import const as common
from citronport.scheduler import fair_queueing
from citronport.scheduler import models

Group = tuple[models.Kind, str]
"""Endpoint kind and model that a request needs."""


def get_group(request: models.Request) -> Group:
    """Return the endpoint kind and model that a request needs."""
    return request.kind, request.model


@dataclasses.dataclass(kw_only=True, eq=False)
class QueuedRequest:
    """A queued request.

    Attributes:
        request: the request.
        queued_at: time at which it was queued, clock seconds.
        cost_seconds: expected work, seconds of a mean endpoint.
        forwarded: whether another instance sent it here.
        start_tag: start tag in the fair queue.
        failed_dispatches: dispatches that failed before a byte was sent.
    """

    request: models.Request
    queued_at: float
    cost_seconds: float
    forwarded: bool = False
    start_tag: float = 0.0
    failed_dispatches: int = 0


class Queue:
    """Start-time fair queueing within each tier.

    If one workspace sends most of a tier's requests, first come, first
    served gives it most of the service and makes the other workspaces wait
    behind it. A request's start tag is the work of its workspace so far,
    divided by the weight, so that the workspace with the least service is
    next. A workspace that was idle continues at the current virtual time
    instead of its old tag, so that idle time earns no credit.
    """

    def __init__(self) -> None:
        self._queues: dict[
            tuple[Group, int], dict[str, collections.deque[QueuedRequest]]
        ] = collections.defaultdict(dict)
        self._by_id: dict[str, QueuedRequest] = {}
        self._tags: list[fair_queueing.FairQueueing[str]] = [
            fair_queueing.FairQueueing() for _ in range(common.TIERS)
        ]
        self._cost: collections.Counter[tuple[Group, int]] = (
            collections.Counter()
        )
        self._cost_by_workspace: collections.Counter[
            tuple[Group, int, str]
        ] = collections.Counter()

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def push(self, waiting: QueuedRequest, weight: float) -> None:
        """Queue a request behind the others of its workspace."""
        request = waiting.request
        waiting.start_tag = self._tags[request.tier].charge(
            request.workspace, waiting.cost_seconds, weight
        )
        by_workspace = self._queues[get_group(request), request.tier]
        by_workspace.setdefault(request.workspace, collections.deque()).append(
            waiting
        )
        self._by_id[request.request_id] = waiting
        self._add_cost(waiting, waiting.cost_seconds)

    def pop(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request; None if it is not queued."""
        waiting = self._by_id.pop(request_id, None)
        if waiting is None:
            return None
        request = waiting.request
        key = (get_group(request), request.tier)
        workspace_queue = self._queues[key][request.workspace]
        if workspace_queue[0] is waiting:
            workspace_queue.popleft()
        else:
            workspace_queue.remove(waiting)
        if not workspace_queue:
            del self._queues[key][request.workspace]
        self._add_cost(waiting, -waiting.cost_seconds)
        return waiting

    def start(self, request_id: str) -> None:
        """Remove a request that starts now and advance the virtual time."""
        waiting = self.pop(request_id)
        if waiting is None:
            return
        self._tags[waiting.request.tier].advance(waiting.start_tag)

    def iterate_heads(
        self, group: Group, tier: int
    ) -> collections.abc.Iterator[QueuedRequest]:
        """Yield the first request of each workspace, least served first."""
        queues = self._queues.get((group, tier))
        if not queues:
            return
        heads = [queue[0] for queue in queues.values()]
        yield from sorted(heads, key=lambda w: w.start_tag)

    def iterate_tails(
        self, group: Group, tier: int
    ) -> collections.abc.Iterator[QueuedRequest]:
        """Yield the last request of each workspace, most served first."""
        queues = self._queues.get((group, tier))
        if not queues:
            return
        tails = [queue[-1] for queue in queues.values()]
        yield from sorted(tails, key=lambda w: w.start_tag, reverse=True)

    def iterate_all(self) -> collections.abc.Iterator[QueuedRequest]:
        """Yield all queued requests from a snapshot."""
        yield from list(self._by_id.values())

    def get_groups(self) -> list[tuple[Group, int]]:
        """Return the groups and tiers that have queued requests."""
        return [key for key, queues in self._queues.items() if queues]

    def get_cost(self, group: Group, tier: int) -> float:
        """Return the queued work of one group and tier, seconds."""
        return max(0.0, self._cost[group, tier])

    def get_cost_ahead(self, request: models.Request, weight: float) -> float:
        """Return the work that is served before a new request, seconds.

        All work of higher tiers is served first. In the request's own tier,
        each other workspace is served no more than its fair share while the
        queued work of the request's workspace is served.
        """
        group = get_group(request)
        higher = sum(self.get_cost(group, t) for t in range(request.tier))
        tier_cost = self.get_cost(group, request.tier)
        queues = self._queues.get((group, request.tier), {})
        active_workspaces = len(queues) + (request.workspace not in queues)
        own_cost = self._cost_by_workspace[
            group, request.tier, request.workspace
        ]
        mean_cost = tier_cost / max(1, len(queues))
        fair_cost = (
            max(0.0, own_cost) * active_workspaces / max(weight, 1e-6)
            + mean_cost
        )
        return higher + min(tier_cost, fair_cost)

    def find_evictable(self, tier: int) -> QueuedRequest | None:
        """Return a request of a lower tier that may be evicted.

        The newest request in the longest queue of the lowest tier.
        """
        for lowest in range(common.TIERS - 1, tier, -1):
            queues = [
                queue
                for (_, queue_tier), by_workspace in self._queues.items()
                if queue_tier == lowest
                for queue in by_workspace.values()
            ]
            if queues:
                return max(queues, key=len)[-1]
        return None

    def _add_cost(self, waiting: QueuedRequest, cost: float) -> None:
        request = waiting.request
        group = get_group(request)
        self._cost[group, request.tier] += cost
        key = (group, request.tier, request.workspace)
        self._cost_by_workspace[key] += cost
        if key[2] not in self._queues[group, request.tier]:
            del self._cost_by_workspace[key]
