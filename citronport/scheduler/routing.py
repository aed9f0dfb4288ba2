"""Routing of a request to the instance that owns the best candidate."""

import collections
import dataclasses
import math

from citronport.scheduler import const
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import placement
from citronport.scheduler import pressure as pressure_module
from citronport.scheduler import queue


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """A chosen instance and the wait expected there.

    Attributes:
        instance: name of the instance.
        wait: expected seconds until the request starts there.
        score: wait plus weighted prefill, seconds; lower is better.
        affinity_key: affinity key of the prefix; None without a prefix.
        endpoint: candidate endpoint that the instance was chosen for.
    """

    instance: str
    wait: float
    score: float
    affinity_key: int | None
    endpoint: str


class Router:
    """Chooses among a few candidates by their owners' summaries.

    Instances with outdated views of each other would all send to the owner
    that was idle a moment ago. A small set of candidates, two of them
    random, spreads their choices. In addition, the work that this instance
    sent since the owner's last summary counts towards the wait there.
    """

    def __init__(
        self,
        instance: str,
        owner: owner_module.Owner,
        pressure: pressure_module.Pressure,
    ) -> None:
        self._instance = instance
        self._owner = owner
        self._pressure = pressure
        self._rings: dict[queue.Group, placement.HashRing] = {}
        self._fleet: models.Fleet | None = None
        self._owners: dict[str, str] = {}
        self._unreported_cost: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._endpoint_by_prefix: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def apply(
        self,
        fleet: models.Fleet,
        rings: dict[queue.Group, placement.HashRing],
        owners: dict[str, str],
    ) -> None:
        """Apply a change of the catalogue or of the ownership."""
        self._fleet = fleet
        self._rings = rings
        self._owners = owners

    def clear_unreported_cost(self, instance: str) -> None:
        """Drop the cost of work that an instance's new summary includes."""
        for key in [k for k in self._unreported_cost if k[0] == instance]:
            del self._unreported_cost[key]

    def choose(
        self,
        request: models.Request,
        refused_by: tuple[str, ...],
        now: float,
    ) -> Choice | None:
        """Return where to send a request; None if no candidate is usable."""
        ring = self._rings.get(queue.get_group(request))
        if ring is None:
            return None
        names = placement.find_candidates(ring, request)
        best = self._choose_among(ring, names, request, refused_by, now)
        slack = request.deadline - now
        if best is None or best.wait > slack * const.URGENT_SLACK_FRACTION:
            names += placement.find_further_candidates(ring, request, names)
            best = self._choose_among(ring, names, request, refused_by, now)
        return best

    def record(self, request: models.Request, choice: Choice) -> None:
        """Record that a request is sent to the chosen instance."""
        if choice.affinity_key is not None:
            self._endpoint_by_prefix[choice.affinity_key] = choice.endpoint
            self._endpoint_by_prefix.move_to_end(choice.affinity_key)
            if len(self._endpoint_by_prefix) > const.MAX_REMEMBERED_ENTRIES:
                self._endpoint_by_prefix.popitem(last=False)
        cost = self._owner.estimate_cost(request)
        self._unreported_cost[choice.instance, request.model] += cost

    def _choose_among(
        self,
        ring: placement.HashRing,
        names: list[str],
        request: models.Request,
        refused_by: tuple[str, ...],
        now: float,
    ) -> Choice | None:
        affinity_key = None
        if request.prefix:
            block = min(len(request.prefix) - 1, const.AFFINITY_BLOCK_INDEX)
            affinity_key = request.prefix[block]
        best: Choice | None = None
        for name in names:
            instance = self._owners.get(name)
            if instance is None or instance in refused_by:
                continue
            wait = self._estimate_wait(instance, request, now)
            if wait == math.inf:
                continue
            prefill = self._estimate_prefill(name, affinity_key, request)
            score = wait + prefill * const.PREFILL_WEIGHT
            if best is None or score < best.score:
                best = Choice(
                    instance=instance,
                    wait=wait,
                    score=score,
                    affinity_key=affinity_key,
                    endpoint=name,
                )
        return best

    def _estimate_prefill(
        self, name: str, affinity_key: int | None, request: models.Request
    ) -> float:
        assert self._fleet is not None
        rate = self._fleet.endpoints[name].prefill_rate
        is_cached = (
            affinity_key is not None
            and self._endpoint_by_prefix.get(affinity_key) == name
        )
        uncached_fraction = 0.2 if is_cached else 1.0
        return request.prompt_tokens * uncached_fraction / rate

    def _estimate_wait(
        self, instance: str, request: models.Request, now: float
    ) -> float:
        group = queue.get_group(request)
        if instance == self._instance:
            ahead = sum(
                self._owner.queue.get_cost(group, t)
                for t in range(request.tier + 1)
            )
            return self._owner.estimate_wait(group, ahead, now)
        summary = self._pressure.get_peer(instance, now)
        if summary is None:
            return const.UNREPORTED_WAIT_SECONDS
        if summary.leaving:
            return math.inf
        waits = summary.waits.get(request.model)
        if waits is None:
            return math.inf if summary.waits else const.UNREPORTED_WAIT_SECONDS
        return (
            waits[request.tier]
            + self._unreported_cost[instance, request.model]
        )
