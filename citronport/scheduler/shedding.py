"""When a request is given up for want of capacity."""

from citronport import errors
from citronport.scheduler import const
from citronport.scheduler import limits as limits_module
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import pressure as pressure_module
from citronport.scheduler import queue
from citronport.scheduler import refusal


class Shedder:
    """Knows the floor in force and refuses what is below it for long."""

    def __init__(
        self,
        owner: owner_module.Owner,
        pressure: pressure_module.Pressure,
        limiter: limits_module.Limiter,
    ) -> None:
        self._owner = owner
        self._pressure = pressure
        self._limiter = limiter
        self._floor = pressure_module.LOWEST_TIER
        self._floor_lowered_at = 0.0

    def get_floor(self, now: float) -> int:
        """Return the lowest tier that may be started now."""
        floor = self._pressure.get_floor(now)
        if floor < self._floor:
            self._floor_lowered_at = now
        self._floor = floor
        return floor

    def serves_lower_tier(self, request: models.Request, now: float) -> bool:
        """Return whether a lower tier is served anywhere in reach."""
        running = self._owner.get_running()
        return self._pressure.serves_lower_tier(request.tier, running, now)

    def is_below_floor(self, request: models.Request, now: float) -> bool:
        """Return whether a request's tier is not started for too long.

        Load: bursts, and overload that lasts. Harm: refused at the first
        sign of pressure, a long request that could have waited is lost;
        taken in under pressure that lasts, it waits until it is too late.
        Limit: pressure that is older than a part of its slack counts as
        lasting. While a still lower tier is served, it waits all the same.
        """
        if request.tier <= self.get_floor(now):
            return False
        slack = request.deadline - now
        lasting = (
            now - self._floor_lowered_at > slack * const.URGENT_SLACK_FRACTION
        )
        return lasting and not self.serves_lower_tier(request, now)

    def shed(
        self, request: models.Request, code: errors.Code, now: float
    ) -> list[models.Action]:
        """Return the refusal of a request, with a time to come back."""
        group = queue.get_group(request)
        ahead = self._owner.queue.get_cost_ahead(request, 1.0)
        wait = ahead / max(0.1, self._owner.get_capacity(group))
        if request.tier > self.get_floor(now):
            wait += const.BELOW_FLOOR_RETRY_SECONDS
        self._limiter.finish(request)
        return [refusal.make_refusal(request, code, wait)]
