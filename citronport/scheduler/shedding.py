"""Load shedding: refusal of requests for lack of capacity."""

from citronport import errors
from citronport.scheduler import const
from citronport.scheduler import limits as limits_module
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import pressure as pressure_module
from citronport.scheduler import queue
from citronport.scheduler import refusal


class Shedder:
    """Refuses requests whose tier has been below the floor for long."""

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
        """Return the floor in force now: the lowest tier that may start."""
        floor = self._pressure.get_floor(now)
        if floor < self._floor:
            self._floor_lowered_at = now
        self._floor = floor
        return floor

    def serves_lower_tier(self, request: models.Request, now: float) -> bool:
        """Return whether this or a reachable instance runs a lower tier."""
        running = self._owner.get_running()
        return self._pressure.serves_lower_tier(request.tier, running, now)

    def is_below_floor(self, request: models.Request, now: float) -> bool:
        """Return whether a request's tier has been below the floor too long.

        Refusing at the first sign of pressure would lose requests that
        could outwait a burst; queueing them under lasting pressure would
        only make them late. Pressure counts as lasting once the floor has
        been low for a fraction of the request's slack. While a still lower
        tier is running, the request waits all the same.
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
        """Return the refusal of a request, with a retry delay."""
        group = queue.get_group(request)
        ahead = self._owner.queue.get_cost_ahead(request, 1.0)
        wait = ahead / max(0.1, self._owner.get_capacity(group))
        if request.tier > self.get_floor(now):
            wait += const.BELOW_FLOOR_RETRY_SECONDS
        self._limiter.finish(request)
        return [refusal.make_refusal(request, code, wait)]
