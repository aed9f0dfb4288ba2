"""How instances learn of each other's pressure, so that lower tiers stop.

Each instance publishes its floor: the lowest tier that may still be
started. The lowest floor of all that can be reached is in force
everywhere, so that lower tiers drain by themselves, none of them cut,
before a higher one has to be shed. In a partition this holds within each
part, since only summaries that still come count.
"""

import dataclasses
import math

from citronport import const as common
from citronport.scheduler import const
from citronport.scheduler import models

LOWEST_TIER = common.TIERS - 1


@dataclasses.dataclass(kw_only=True)
class EntryUsage:
    """What the other instances have admitted under one entry."""

    running: int = 0
    rate: float = 0.0
    token_rate: float = 0.0


@dataclasses.dataclass(kw_only=True)
class PeerView:
    """The summaries of the other instances in one.

    Attributes:
        built_at: clock time of the last full count.
        instance_count: how many are in reach.
        floor: lowest floor.
        lowest_running_tier: lowest tier that is served; -1 if none is.
        waits: shortest wait by model and tier, seconds.
        usage_by_entry: by catalogue entry.
    """

    built_at: float = -math.inf
    instance_count: int = 0
    floor: int = LOWEST_TIER
    lowest_running_tier: int = -1
    waits: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    usage_by_entry: dict[str, EntryUsage] = dataclasses.field(
        default_factory=dict
    )


class Pressure:
    """The floor of this instance and the summaries of the others."""

    def __init__(self) -> None:
        self._floor = LOWEST_TIER
        self._pressed_at = 0.0
        self._raised_at = -math.inf
        self._doublings = 0
        self._peers: dict[str, tuple[models.InstanceSummary, float]] = {}
        self._view = PeerView()

    @property
    def own_floor(self) -> int:
        """The floor to publish; never lowered by what others publish.

        Two instances that took over each other's floor would hold it
        down for ever.
        """
        return self._floor

    def update(self, starved_tier: int | None, now: float) -> None:
        """Set the own floor.

        Load: saturation. Harm: a floor that rises as soon as a queue is
        empty lets long requests of a lower tier start, and the higher one
        is in need again before they end. The floor rises tier by tier,
        each after a time without pressure, which doubles when pressure
        came back within that time.

        Args:
            starved_tier: highest tier that waits too long; None if none does.
            now: clock time, seconds.
        """
        if starved_tier is not None and starved_tier <= self._floor:
            if starved_tier < self._floor:
                self._lower_floor(starved_tier, now)
            self._pressed_at = now
            return
        if (
            self._floor < LOWEST_TIER
            and now - self._pressed_at >= self._get_hold_seconds()
        ):
            self._floor += 1
            self._raised_at = now
            self._pressed_at = now

    def _lower_floor(self, floor: int, now: float) -> None:
        self._floor = floor
        soon = now - self._raised_at < 2 * self._get_hold_seconds()
        more = min(const.MAX_FLOOR_HOLD_DOUBLINGS, self._doublings + 1)
        self._doublings = more if soon else 0

    def _get_hold_seconds(self) -> float:
        return const.FLOOR_HOLD_SECONDS[self._floor] * 2**self._doublings

    def record_summary(
        self, summary: models.InstanceSummary, now: float
    ) -> None:
        """Note what another instance told."""
        known = self._peers.get(summary.instance)
        self._peers[summary.instance] = (summary, now)
        view = self._view
        _merge_pressure(view, summary)
        if (
            known is not None
            and known[1] > view.built_at - const.SUMMARY_MAX_AGE_SECONDS
        ):
            _add_usage(view, known[0], -1)
        else:
            view.instance_count += 1
        _add_usage(view, summary, 1)

    def remove_peer(self, instance: str) -> None:
        """Another instance is out of reach."""
        self._peers.pop(instance, None)
        self._view.built_at = -math.inf

    def get_peer(
        self, instance: str, now: float
    ) -> models.InstanceSummary | None:
        """Return a summary that is not too old."""
        known = self._peers.get(instance)
        if known is None or now - known[1] > const.SUMMARY_MAX_AGE_SECONDS:
            return None
        return known[0]

    def get_view(self, now: float) -> PeerView:
        """Return the other instances as one.

        Load: hundreds of instances. Harm: each event costs more with each
        of them. The sum is made anew at a steady pace; in between a new
        summary only adds what makes this instance more careful.
        """
        if now - self._view.built_at < const.VIEW_MAX_AGE_SECONDS:
            return self._view
        view = PeerView(built_at=now)
        for summary, at in self._peers.values():
            if now - at <= const.SUMMARY_MAX_AGE_SECONDS:
                view.instance_count += 1
                _merge_pressure(view, summary)
                _add_usage(view, summary, 1)
        self._view = view
        return view

    def get_shortest_peer_wait(
        self, model: str, tier: int, now: float
    ) -> float:
        """Return the shortest wait that another instance tells of."""
        return self.get_view(now).waits.get((model, tier), math.inf)

    def get_floor(self, now: float) -> int:
        """Return the lowest tier that may be started now."""
        return min(self._floor, self.get_view(now).floor)

    def serves_lower_tier(self, tier: int, own: list[int], now: float) -> bool:
        """Return whether a lower tier is served anywhere in reach.

        Args:
            tier: the tier of a request that is about to be shed.
            own: requests that run here, by tier.
            now: clock time, seconds.
        """
        return (
            sum(own[tier + 1 :]) > 0
            or self.get_view(now).lowest_running_tier > tier
        )


def _merge_pressure(view: PeerView, summary: models.InstanceSummary) -> None:
    view.floor = min(view.floor, summary.floor)
    for tier, count in enumerate(summary.running):
        if count:
            view.lowest_running_tier = max(view.lowest_running_tier, tier)
    if summary.leaving:
        return
    for model, waits in summary.waits.items():
        for tier, wait in enumerate(waits):
            known = view.waits.get((model, tier), math.inf)
            view.waits[model, tier] = min(known, wait)


def _add_usage(
    view: PeerView, summary: models.InstanceSummary, sign: int
) -> None:
    for name, running in summary.usage.items():
        use = view.usage_by_entry.setdefault(name, EntryUsage())
        use.running += sign * running
        use.rate += sign * summary.rates.get(name, 0.0)
        use.token_rate += sign * summary.token_rates.get(name, 0.0)
