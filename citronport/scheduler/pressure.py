"""Exchange of load pressure between instances, to hold back lower tiers.

An instance is under pressure while one of its tiers waits too long. Each
instance publishes its floor: the lowest tier that may still start. The
lowest floor of all reachable instances is in force everywhere, so running
requests of lower tiers finish, without being cut, before a higher tier has
to be shed. During a network partition this holds within each part, since
only recent summaries count.
"""

import dataclasses
import math

from citronport import const as common
from citronport.scheduler import const
from citronport.scheduler import models

LOWEST_TIER = common.TIERS - 1


@dataclasses.dataclass(kw_only=True)
class EntryUsage:
    """Usage of one catalogue entry at all other instances."""

    running: int = 0
    rate: float = 0.0
    token_rate: float = 0.0


@dataclasses.dataclass(kw_only=True)
class PeerView:
    """Merged summaries of the other instances.

    Attributes:
        built_at: clock time of the last full rebuild.
        instance_count: number of reachable instances.
        floor: lowest published floor.
        lowest_running_tier: lowest tier that is running; -1 if none is.
        waits: shortest wait by model and tier, seconds.
        usage_by_entry: usage by catalogue entry.
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
    """Floor of this instance and summaries of the others."""

    def __init__(self) -> None:
        self._floor = LOWEST_TIER
        self._last_pressure_at = 0.0
        self._raised_at = -math.inf
        self._doublings = 0
        self._peers: dict[str, tuple[models.InstanceSummary, float]] = {}
        self._view = PeerView()

    @property
    def own_floor(self) -> int:
        """Floor to publish; independent of the floors of other instances.

        Two instances that adopted each other's floor would keep it low
        forever.
        """
        return self._floor

    def update(self, starved_tier: int | None, now: float) -> None:
        """Update the own floor.

        If the floor rose as soon as a queue is empty, a saturated instance
        would start long requests of a lower tier, and the higher tier would
        wait again before they end. The floor therefore rises one tier at a
        time, each after a hold time without pressure. The hold time doubles
        if pressure returns soon after the floor rose.

        Args:
            starved_tier: highest tier that waits too long; None if none does.
            now: clock time, seconds.
        """
        if starved_tier is not None and starved_tier <= self._floor:
            if starved_tier < self._floor:
                self._lower_floor(starved_tier, now)
            self._last_pressure_at = now
            return
        if (
            self._floor < LOWEST_TIER
            and now - self._last_pressure_at >= self._get_hold_seconds()
        ):
            self._floor += 1
            self._raised_at = now
            self._last_pressure_at = now

    def _lower_floor(self, floor: int, now: float) -> None:
        self._floor = floor
        recurred = now - self._raised_at < 2 * self._get_hold_seconds()
        doublings = min(const.MAX_FLOOR_HOLD_DOUBLINGS, self._doublings + 1)
        self._doublings = doublings if recurred else 0

    def _get_hold_seconds(self) -> float:
        return const.FLOOR_HOLD_SECONDS[self._floor] * 2**self._doublings

    def record_summary(
        self, summary: models.InstanceSummary, now: float
    ) -> None:
        """Record a summary of another instance."""
        previous = self._peers.get(summary.instance)
        self._peers[summary.instance] = (summary, now)
        view = self._view
        _merge_pressure(view, summary)
        if (
            previous is not None
            and previous[1] > view.built_at - const.SUMMARY_MAX_AGE_SECONDS
        ):
            _add_usage(view, previous[0], -1)
        else:
            view.instance_count += 1
        _add_usage(view, summary, 1)

    def remove_peer(self, instance: str) -> None:
        """Remove an instance that is unreachable."""
        self._peers.pop(instance, None)
        self._view.built_at = -math.inf

    def get_peer(
        self, instance: str, now: float
    ) -> models.InstanceSummary | None:
        """Return an instance's summary; None if it is missing or too old."""
        received = self._peers.get(instance)
        if (
            received is None
            or now - received[1] > const.SUMMARY_MAX_AGE_SECONDS
        ):
            return None
        return received[0]

    def get_view(self, now: float) -> PeerView:
        """Return the merged summaries of the other instances.

        With hundreds of instances, merging all summaries on each event is
        too expensive. The view is rebuilt at intervals. In between, a new
        summary is merged in; it can lower the floor but never raise it, so
        that this instance errs on the side of caution.
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
        """Return the shortest wait reported by another instance."""
        return self.get_view(now).waits.get((model, tier), math.inf)

    def get_floor(self, now: float) -> int:
        """Return the floor in force now."""
        return min(self._floor, self.get_view(now).floor)

    def serves_lower_tier(
        self, tier: int, running: list[int], now: float
    ) -> bool:
        """Return whether this or a reachable instance runs a lower tier.

        Args:
            tier: tier of a request that is about to be shed.
            running: requests running here, by tier.
            now: clock time, seconds.
        """
        return (
            sum(running[tier + 1 :]) > 0
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
            shortest = view.waits.get((model, tier), math.inf)
            view.waits[model, tier] = min(shortest, wait)


def _add_usage(
    view: PeerView, summary: models.InstanceSummary, sign: int
) -> None:
    for name, running in summary.usage.items():
        use = view.usage_by_entry.setdefault(name, EntryUsage())
        use.running += sign * running
        use.rate += sign * summary.rates.get(name, 0.0)
        use.token_rate += sign * summary.token_rates.get(name, 0.0)
