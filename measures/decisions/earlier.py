"""The scheduler of commit 4f9ab58, kept as a baseline."""

import collections

from citronport import const
from citronport import errors
from citronport.scheduler import models


class Scheduler:
    """Schedules requests on the endpoints that one instance owns.

    Args:
        instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.fleet: models.Fleet | None = None
        self._owned: frozenset[str] = frozenset()
        self._owners: dict[str, str] = {}
        self._connected: set[str] = set()
        self._queues: list[collections.OrderedDict[str, models.Request]] = [
            collections.OrderedDict() for _ in range(const.TIERS)
        ]
        self._running: dict[str, tuple[models.Request, str]] = {}
        self._load: collections.Counter[str] = collections.Counter()
        self._leaving = False

    def handle(self, event: models.Event, now: float) -> list[models.Action]:
        """Handle an event and return the resulting actions.

        Args:
            event: what happened.
            now: clock time, seconds; never decreases between calls.

        Returns:
            Actions, in the order in which to execute them.
        """
        match event:
            case models.RequestArrived():
                return self._admit(event, now)
            case models.RequestLeft():
                return self._drop(event.request_id)
            case models.AnswerFinished():
                self._finish(event.request_id)
                return self._start(now)
            case models.DispatchFailed():
                return self._settle_failure(event, now)
            case models.EndpointConnected():
                self._connected.add(event.endpoint)
                return self._start(now)
            case models.EndpointLost():
                self._connected.discard(event.endpoint)
                return []
            case models.FleetChanged():
                self.fleet = event.fleet
                return self._start(now)
            case models.OwnershipChanged():
                self._owned = event.owned
                self._owners = event.owners
                return self._start(now)
            case models.LeaveOrdered():
                self._leaving = True
                return []
            case models.TimePassed():
                return self._expire(now) + self._start(now)
            case _:
                return []

    def summarize(self) -> models.InstanceSummary:
        """Return the summary that is sent to the other instances."""
        queued = tuple(
            sum(r.prompt_tokens + r.max_tokens for r in queue.values())
            for queue in self._queues
        )
        running = collections.Counter(
            r.tier for r, _ in self._running.values()
        )
        return models.InstanceSummary(
            instance=self.instance,
            version=self.fleet.version if self.fleet else 0,
            queued_tokens=queued,
            running=tuple(running[t] for t in range(const.TIERS)),
            leaving=self._leaving,
        )

    def is_idle(self) -> bool:
        """Return whether no request is queued or running."""
        return not self._running and not any(self._queues)

    def _admit(
        self, event: models.RequestArrived, now: float
    ) -> list[models.Action]:
        request = event.request
        if self.fleet is None:
            return [_refuse(request, errors.Code.NO_CATALOGUE, 1.0)]
        if self._leaving:
            return [_refuse(request, errors.Code.LEAVING, 0.0)]
        fitting = self._find_fitting(request)
        if not fitting:
            return [_refuse(request, errors.Code.NO_ENDPOINT, 1.0)]
        if any(name in self._owned for name in fitting):
            self._queues[request.tier][request.request_id] = request
            return self._start(now)
        if event.forwarded:
            return [_refuse(request, errors.Code.NO_ENDPOINT, 1.0)]
        owner = self._owners.get(fitting[0])
        if owner is None or owner in event.refused_by:
            return [_refuse(request, errors.Code.NO_ENDPOINT, 1.0)]
        return [models.Forward(request_id=request.request_id, instance=owner)]

    def _find_fitting(self, request: models.Request) -> list[str]:
        assert self.fleet is not None
        return [
            e.name
            for e in self.fleet.endpoints.values()
            if e.kind == request.kind
            and request.model in e.models
            and e.state == models.Service.IN
            and self.fleet.data_centres.get(e.data_centre) == models.Service.IN
        ]

    def _start(self, now: float) -> list[models.Action]:
        actions: list[models.Action] = []
        for queue in self._queues:
            for request in list(queue.values()):
                endpoint = self._choose(request)
                if endpoint is None:
                    continue
                del queue[request.request_id]
                self._running[request.request_id] = (request, endpoint)
                self._load[endpoint] += 1
                actions.append(
                    models.Dispatch(
                        request_id=request.request_id, endpoint=endpoint
                    )
                )
        return actions

    def _choose(self, request: models.Request) -> str | None:
        assert self.fleet is not None
        free = [
            name
            for name in self._find_fitting(request)
            if name in self._owned
            and name in self._connected
            and self._load[name] < self.fleet.endpoints[name].cold_concurrency
        ]
        return min(free, key=lambda name: self._load[name], default=None)

    def _drop(self, request_id: str) -> list[models.Action]:
        for queue in self._queues:
            if queue.pop(request_id, None) is not None:
                return []
        if request_id not in self._running:
            return []
        endpoint = self._running[request_id][1]
        return [models.Cancel(request_id=request_id, endpoint=endpoint)]

    def _finish(self, request_id: str) -> None:
        running = self._running.pop(request_id, None)
        if running is not None:
            self._load[running[1]] -= 1

    def _settle_failure(
        self, event: models.DispatchFailed, now: float
    ) -> list[models.Action]:
        running = self._running.get(event.request_id)
        self._finish(event.request_id)
        if running is None:
            return self._start(now)
        request = running[0]
        if event.sent or request.deadline <= now:
            refusal = _refuse(request, event.code, None)
            return [refusal, *self._start(now)]
        self._queues[request.tier][request.request_id] = request
        return self._start(now)

    def _expire(self, now: float) -> list[models.Action]:
        actions: list[models.Action] = []
        for queue in self._queues:
            for request in list(queue.values()):
                if request.deadline > now:
                    continue
                del queue[request.request_id]
                actions.append(
                    _refuse(request, errors.Code.DEADLINE_PASSED_WAITING, 1.0)
                )
        return actions


def _refuse(
    request: models.Request, code: errors.Code, retry_after: float | None
) -> models.Refuse:
    return models.Refuse(
        request_id=request.request_id,
        refusal=errors.Refusal(code=code, retry_after=retry_after),
    )
