"""How instances learn of each other's pressure, so that lower tiers stop.

Each instance publishes its floor: the lowest tier that may still be
started. The lowest floor of all that can be reached is in force
everywhere, so that lower tiers drain by themselves, none of them cut,
before a higher one has to be shed. In a partition this holds within each
part, since only summaries that still come count.
"""

import math

from citronport import const as common
from citronport.scheduler import const
from citronport.scheduler import models

LOWEST = common.TIERS - 1


class Pressure:
    """The floor of this instance and the summaries of the others."""

    def __init__(self) -> None:
        self._floor = LOWEST
        self._since = 0.0
        self._raised = -math.inf
        self._doublings = 0
        self._peers: dict[str, tuple[models.InstanceSummary, float]] = {}

    @property
    def own_floor(self) -> int:
        """The floor to publish; never lowered by what others publish.

        Two instances that took over each other's floor would hold it
        down for ever.
        """
        return self._floor

    def update(self, pressed: int | None, now: float) -> None:
        """Set the own floor.

        Load: saturation. Harm: a floor that rises as soon as a queue is
        empty lets long requests of a lower tier start, and the higher one
        is in need again before they end. The floor rises tier by tier,
        each after a time without pressure, which doubles when pressure
        came back within that time.

        Args:
            pressed: highest tier that waits too long; None if none does.
            now: clock time, seconds.
        """
        if pressed is not None and pressed <= self._floor:
            if pressed < self._floor:
                self._lower(pressed, now)
            self._since = now
            return
        if self._floor < LOWEST and now - self._since >= self._get_hold():
            self._floor += 1
            self._raised = now
            self._since = now

    def _lower(self, floor: int, now: float) -> None:
        self._floor = floor
        soon = now - self._raised < 2 * self._get_hold()
        more = min(const.HOLD_DOUBLINGS, self._doublings + 1)
        self._doublings = more if soon else 0

    def _get_hold(self) -> float:
        return const.HOLD_SECONDS[self._floor] * 2**self._doublings

    def take_summary(
        self, summary: models.InstanceSummary, now: float
    ) -> None:
        """Note what another instance told."""
        self._peers[summary.instance] = (summary, now)

    def forget(self, instance: str) -> None:
        """Another instance is out of reach."""
        self._peers.pop(instance, None)

    def get_peer(
        self, instance: str, now: float
    ) -> models.InstanceSummary | None:
        """Return a summary that is not too old."""
        known = self._peers.get(instance)
        if known is None or now - known[1] > const.SUMMARY_SECONDS:
            return None
        return known[0]

    def get_fresh(self, now: float) -> list[models.InstanceSummary]:
        """Return all summaries that are not too old."""
        return [
            summary
            for summary, at in self._peers.values()
            if now - at <= const.SUMMARY_SECONDS
        ]

    def get_wait(self, model: str, tier: int, now: float) -> float:
        """Return the shortest wait that another instance tells of."""
        waits = [
            summary.waits[model][tier]
            for summary in self.get_fresh(now)
            if model in summary.waits and not summary.leaving
        ]
        return min(waits, default=math.inf)

    def get_floor(self, now: float) -> int:
        """Return the lowest tier that may be started now."""
        floors = [summary.floor for summary in self.get_fresh(now)]
        return min([self._floor, *floors])

    def has_lower(self, tier: int, own: list[int], now: float) -> bool:
        """Return whether a lower tier is served anywhere in reach.

        Args:
            tier: the tier of a request that is about to be shed.
            own: requests that run here, by tier.
            now: clock time, seconds.
        """
        if sum(own[tier + 1 :]):
            return True
        return any(sum(s.running[tier + 1 :]) for s in self.get_fresh(now))
