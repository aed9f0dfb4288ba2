"""Shares of workspaces in the slots of a service."""

import collections
import collections.abc
import typing

from citronport.scheduler import fair_queueing
from citronport.scheduler.direct import models

if typing.TYPE_CHECKING:
    from citronport.scheduler.direct import wait_queue

Level = tuple[int, int]
"""Tier and route tier; workspaces share slots within one level."""

Urgency = tuple[int, int, bool, bool]
"""Tier, route tier, whether the request may run anywhere, and whether it is
late. Lower values go first."""


TagKey = tuple[int, int, bool]
"""Tier, route tier, and whether requests are late. Late requests have separate
tags, so that a workspace whose requests are all late gains no advantage for
its timely ones."""


def get_level(work: models.Work) -> Level:
    """Return the level of a request."""
    return work.tier, work.route.tier


def compute_weights(
    workspaces: collections.abc.Mapping[str, models.Workspace],
) -> dict[str, float]:
    """Return the weights of the workspaces that have a limit.

    A weight is the limit as a multiple of the mean limit in the same unit,
    since tokens and requests are not comparable. A mean of 1 keeps the scale
    of tags while a workspace without limit makes all weights equal.
    """
    rates: dict[bool, list[float]] = collections.defaultdict(list)
    for workspace in workspaces.values():
        if workspace.rate > 0:
            rates[workspace.counts_tokens].append(workspace.rate)
    means = {unit: sum(each) / len(each) for unit, each in rates.items()}
    return {
        name: workspace.rate / means[workspace.counts_tokens]
        for name, workspace in workspaces.items()
        if workspace.rate > 0
    }


class FairShares:
    """Tags of the workspaces that wait for slots of one service.

    Requests are charged when they are granted, so that one that is refused,
    cancelled or expires costs its workspace nothing.

    Args:
        compute_cost: returns the expected time in a slot, in steps of an
            engine; 1 for a plain service.
        get_weights: returns the weights of workspaces with a limit.
    """

    def __init__(
        self,
        compute_cost: collections.abc.Callable[[models.Work], float],
        get_weights: collections.abc.Callable[
            [], collections.abc.Mapping[str, float]
        ],
    ) -> None:
        self.compute_cost = compute_cost
        self._get_weights = get_weights
        self._tags: dict[TagKey, fair_queueing.FairQueueing[str]] = {}
        self._waiting: dict[Level, collections.Counter[str]] = {}
        self._arranged_weights: dict[
            Level, collections.abc.Mapping[str, float]
        ] = {}

    def record_added(self, work: models.Work) -> None:
        """Record that a request starts to wait."""
        level = get_level(work)
        if level not in self._waiting:
            self._waiting[level] = collections.Counter()
            for is_late in (False, True):
                self._tags[*level, is_late] = fair_queueing.FairQueueing()
        self._waiting[level][work.workspace] += 1

    def record_removed(self, work: models.Work) -> None:
        """Record that a request no longer waits.

        When a level has no waiting request, all its workspaces start again
        as equals.
        """
        level = get_level(work)
        waiting = self._waiting[level]
        waiting[work.workspace] -= 1
        if not waiting[work.workspace]:
            del waiting[work.workspace]
        if not waiting:
            del self._waiting[level]
            for is_late in (False, True):
                del self._tags[*level, is_late]
            self._arranged_weights.pop(level, None)

    def charge(self, waiter: "wait_queue.Waiter", *, is_late: bool) -> None:
        """Charge a request that is granted a slot.

        Called between ``arrange`` and the removal of the request.
        """
        work = waiter.work
        level = get_level(work)
        tags = self._tags[*level, is_late]
        weight = self._arranged_weights[level].get(work.workspace, 1.0)
        start = tags.charge(work.workspace, waiter.cost, weight)
        # Resumed streams bypass the order of tags; advancing to their tags
        # would put workspaces that return from idleness behind all others.
        if not work.is_bound:
            tags.advance(start)
            tags.prune()

    def get_start_tag(self, key: TagKey, workspace: str) -> float:
        """Return the tag of the next request of a workspace."""
        return self._tags[key].get_start_tag(workspace)

    def get_level_weights(
        self, level: Level
    ) -> collections.abc.Mapping[str, float]:
        """Return the weights in a level; empty if all are equal."""
        weights = self._get_weights()
        if all(name in weights for name in self._waiting[level]):
            return weights
        return {}

    def arrange(
        self,
        groups: collections.abc.Mapping[Urgency, list["wait_queue.Waiter"]],
    ) -> list["wait_queue.Waiter"]:
        """Return all waiting requests in the order of urgency and tags.

        Each further request of a workspace is placed as if the earlier ones
        had been granted.

        Args:
            groups: requests of each urgency, in order of arrival.
        """
        ordered = []
        tags: dict[tuple[TagKey, str], float] = {}
        self._arranged_weights = {
            level: self.get_level_weights(level) for level in self._waiting
        }
        for urgency in sorted(groups):
            tier, route_tier, _, is_late = urgency
            key = (tier, route_tier, is_late)
            weights = self._arranged_weights[tier, route_tier]
            tagged = []
            for waiter in groups[urgency]:
                name = waiter.work.workspace
                tag = tags.get((key, name))
                if tag is None:
                    tag = self.get_start_tag(key, name)
                tagged.append((tag, waiter))
                tags[key, name] = tag + waiter.cost / weights.get(name, 1.0)
            tagged.sort(key=lambda entry: entry[0])
            ordered.extend(waiter for _, waiter in tagged)
        return ordered
