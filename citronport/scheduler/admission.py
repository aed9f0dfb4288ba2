"""Whether a request may wait in this instance."""

from citronport import errors
from citronport.scheduler import const
from citronport.scheduler import deadlines as deadlines_module
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import queue
from citronport.scheduler import shedding as shedding_module


class Admission:
    """Lets requests wait by the work ahead and a bounded queue.

    Attributes:
        entries: the catalogue's entries, by name.
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
        """Let a request wait that was taken out of the queue."""
        weight = self._get_weight(waiting.request)
        self._owner.queue.push(waiting, weight)

    def admit(
        self,
        request: models.Request,
        forwarded: bool,
        now: float,
        failed_dispatches: int,
    ) -> list[models.Action]:
        """Let a request wait here, or refuse it.

        Load: sustained overload. Harm: a queue longer than the deadline
        only makes answers that nobody waits for. Limit: the work ahead,
        at the measured speed, must end before the deadline; but as long
        as a lower tier is served anywhere, that one stops first.
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
            cost=owner.estimate_cost(request),
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
