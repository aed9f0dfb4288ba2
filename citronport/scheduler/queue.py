"""Requests that wait, by tier, then weighted fair between workspaces."""

import collections
import collections.abc
import dataclasses

from citronport import const as common
from citronport.scheduler import models

Group = tuple[models.Kind, str]
"""What a request needs: kind of endpoint and model."""


def get_group(request: models.Request) -> Group:
    """Return what a request needs."""
    return request.kind, request.model


@dataclasses.dataclass(kw_only=True, eq=False)
class QueuedRequest:
    """A request that waits.

    Attributes:
        request: the request.
        queued_at: when it began to wait, clock seconds.
        cost: expected work, seconds of a usual endpoint.
        forwarded: whether another instance sent it here.
        start_tag: start tag of the fair queue.
        failed_dispatches: dispatches that failed before a byte was sent.
    """

    request: models.Request
    queued_at: float
    cost: float
    forwarded: bool = False
    start_tag: float = 0.0
    failed_dispatches: int = 0


class Queue:
    """Start-time fair queueing in each tier.

    Load: one workspace sends most of a tier. Harm: first come, first
    served gives it most of the service, and the small ones wait behind
    it. A request's tag is the work that its workspace has been given so
    far over its weight, so that the one with least service is next; a
    workspace that comes back starts at the present tag, not at its old
    one, so that being idle earns no credit.
    """

    def __init__(self) -> None:
        self._queues: dict[
            tuple[Group, int], dict[str, collections.deque[QueuedRequest]]
        ] = collections.defaultdict(dict)
        self._by_id: dict[str, QueuedRequest] = {}
        self._finish_tags: dict[tuple[int, str], float] = {}
        self._virtual_times = [0.0] * common.TIERS
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
        """Let a request wait behind its workspace's others."""
        request = waiting.request
        key = (request.tier, request.workspace)
        start = max(
            self._virtual_times[request.tier], self._finish_tags.get(key, 0.0)
        )
        waiting.start_tag = start
        self._finish_tags[key] = start + waiting.cost / max(weight, 1e-6)
        workspace_queue = self._queues[get_group(request), request.tier]
        workspace_queue.setdefault(
            request.workspace, collections.deque()
        ).append(waiting)
        self._by_id[request.request_id] = waiting
        self._add_cost(waiting, waiting.cost)

    def pop(self, request_id: str) -> QueuedRequest | None:
        """Take a request out, wherever it waits."""
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
        self._add_cost(waiting, -waiting.cost)
        return waiting

    def start(self, request_id: str) -> None:
        """Take a request out because it starts now."""
        waiting = self.pop(request_id)
        if waiting is None:
            return
        tier = waiting.request.tier
        self._virtual_times[tier] = max(
            self._virtual_times[tier], waiting.start_tag
        )

    def iterate_heads(
        self, group: Group, tier: int
    ) -> collections.abc.Iterator[QueuedRequest]:
        """Yield the first of each workspace, least served first."""
        lines = self._queues.get((group, tier))
        if not lines:
            return
        heads = [line[0] for line in lines.values()]
        yield from sorted(heads, key=lambda w: w.start_tag)

    def iterate_tails(
        self, group: Group, tier: int
    ) -> collections.abc.Iterator[QueuedRequest]:
        """Yield the last of each workspace, most served first."""
        lines = self._queues.get((group, tier))
        if not lines:
            return
        tails = [line[-1] for line in lines.values()]
        yield from sorted(tails, key=lambda w: w.start_tag, reverse=True)

    def iterate_all(self) -> collections.abc.Iterator[QueuedRequest]:
        """Yield a snapshot of all that wait."""
        yield from list(self._by_id.values())

    def get_groups(self) -> list[tuple[Group, int]]:
        """Return the groups and tiers in which something waits."""
        return [key for key, lines in self._queues.items() if lines]

    def get_cost(self, group: Group, tier: int) -> float:
        """Return the work that waits in one tier, seconds."""
        return max(0.0, self._cost[group, tier])

    def get_cost_ahead(self, request: models.Request, weight: float) -> float:
        """Return the work that is served before a new request.

        Higher tiers come first whole; in its own tier the others get no
        more than their shares of what its workspace has waiting.
        """
        group = get_group(request)
        higher = sum(self.get_cost(group, t) for t in range(request.tier))
        whole = self.get_cost(group, request.tier)
        lines = self._queues.get((group, request.tier), {})
        active = len(lines) + (request.workspace not in lines)
        own = self._cost_by_workspace[group, request.tier, request.workspace]
        mean = whole / max(1, len(lines))
        shared = max(0.0, own) * active / max(weight, 1e-6) + mean
        return higher + min(whole, shared)

    def find_evictable(self, tier: int) -> QueuedRequest | None:
        """Return a request of a lower tier that may make room."""
        for lowest in range(common.TIERS - 1, tier, -1):
            lines = [
                line
                for (_, each), by_workspace in self._queues.items()
                if each == lowest
                for line in by_workspace.values()
            ]
            if lines:
                return max(lines, key=len)[-1]
        return None

    def _add_cost(self, waiting: QueuedRequest, cost: float) -> None:
        request = waiting.request
        group = get_group(request)
        self._cost[group, request.tier] += cost
        key = (group, request.tier, request.workspace)
        self._cost_by_workspace[key] += cost
        if key[2] not in self._queues[group, request.tier]:
            del self._cost_by_workspace[key]
