"""Admission of requests to the queue of this instance."""

from citronport import errors
from citronport.scheduler import const
from citronport.scheduler import deadlines as deadlines_module
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import queue
from citronport.scheduler import shedding as shedding_module


class Admission:
    """Admits requests that can finish before their deadline.

    Attributes:
        entries: catalogue entries, by name.
    """

    def __init__(
        self,
        owner: owner_module.Owner,
        shedder: shedding_module.Shedder,
        deadlines: deadlines_module.Deadlines,
    ) -> None:
        self._owner = owner
        self._shedder = shedder
        self._deadlines = deadlines
        self.entries: dict[str, models.Entry] = {}

    def requeue(self, waiting: queue.QueuedRequest) -> None:
        """Put a request back into the queue it was taken out of."""
        weight = self._get_weight(waiting.request)
        self._owner.queue.push(waiting, weight)

    def admit(
        self,
        request: models.Request,
        forwarded: bool,
        now: float,
        failed_dispatches: int,
    ) -> list[models.Action]:
        """Queue a request, or refuse it.

        Under sustained overload, a queue longer than the deadline only
        produces answers that are too late. A request is therefore refused
        if the work ahead of it, at the measured speed, does not finish in
        time. While this or a reachable instance runs a lower tier, it is
        queued all the same, since that tier is stopped first.
        """
        owner = self._owner
        group = queue.get_group(request)
        if not owner.get_usable(group):
            return self._shedder.shed(request, errors.Code.NO_ENDPOINT, now)
        weight = self._get_weight(request)
        ahead = owner.queue.get_cost_ahead(request, weight)
        wait = ahead / max(0.01, owner.get_capacity(group))
        end = now + wait + owner.estimate_service(request)
        if end > request.deadline and not self._shedder.serves_lower_tier(
            request, now
        ):
            return self._shedder.shed(
                request, errors.Code.DEADLINE_TOO_NEAR, now
            )
        actions = self._evict_for(request, now)
        if actions is None:
            return self._shedder.shed(request, errors.Code.OVERLOADED, now)
        waiting = queue.QueuedRequest(
            request=request,
            queued_at=now,
            cost_seconds=owner.estimate_cost(request),
            forwarded=forwarded,
            failed_dispatches=failed_dispatches,
        )
        owner.queue.push(waiting, weight)
        self._deadlines.add(
            request.deadline - owner.estimate_service(request),
            request.request_id,
        )
        self._deadlines.add(request.deadline, request.request_id)
        return actions

    def _evict_for(
        self, request: models.Request, now: float
    ) -> list[models.Action] | None:
        owner = self._owner
        if len(owner.queue) < const.MAX_QUEUED_REQUESTS:
            return []
        youngest = owner.queue.find_evictable(request.tier)
        if youngest is None:
            return None
        owner.queue.pop(youngest.request.request_id)
        return self._shedder.shed(
            youngest.request, errors.Code.OVERLOADED, now
        )

    def _get_weight(self, request: models.Request) -> float:
        entry = self.entries.get(request.entry)
        return entry.weight if entry else 1.0
