"""Load summary of an instance, sent to the others."""

import dataclasses

from citronport import const as common
from citronport.scheduler import limits as limits_module
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import queue


@dataclasses.dataclass(frozen=True, kw_only=True)
class SummarySource:
    """Parts of a scheduler that its summary is built from."""

    instance: str
    fleet: models.Fleet | None
    groups: tuple[queue.Group, ...]
    owner: owner_module.Owner
    limiter: limits_module.Limiter
    floor: int
    leaving: bool


def make_summary(source: SummarySource, now: float) -> models.InstanceSummary:
    """Return an instance's summary; its size grows with the models served."""
    usage = source.limiter.summarize(now)
    owner = source.owner
    offered = [g for g in source.groups if owner.get_usable(g)]
    return models.InstanceSummary(
        instance=source.instance,
        version=source.fleet.version if source.fleet else 0,
        queued_tokens=_sum_queued_tokens(owner),
        running=tuple(owner.get_running()),
        free={g[1]: _count_free(owner, g) for g in offered},
        floor=source.floor,
        usage={name: used[0] for name, used in usage.items()},
        leaving=source.leaving,
        waits={g[1]: _get_waits(owner, g, now) for g in offered},
        rates={name: used[1] for name, used in usage.items()},
        token_rates={name: used[2] for name, used in usage.items()},
    )


def _sum_queued_tokens(owner: owner_module.Owner) -> tuple[int, ...]:
    queued = [0] * common.TIERS
    for waiting in owner.queue.iterate_all():
        request = waiting.request
        queued[request.tier] += request.prompt_tokens + request.max_tokens
    return tuple(queued)


def _count_free(owner: owner_module.Owner, group: queue.Group) -> int:
    states = [owner.states[name] for name in owner.get_usable(group)]
    return sum(max(0, int(s.limit) - len(s.running)) for s in states)


def _get_waits(
    owner: owner_module.Owner, group: queue.Group, now: float
) -> tuple[float, ...]:
    ahead = 0.0
    waits = []
    for tier in range(common.TIERS):
        ahead += owner.queue.get_cost(group, tier)
        waits.append(round(owner.estimate_wait(group, ahead, now), 3))
    return tuple(waits)
