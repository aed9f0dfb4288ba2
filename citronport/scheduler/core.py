"""Scheduler of one instance, driven by events.

``Scheduler.handle(event, now)`` takes one ``models.Event`` and the clock
time in seconds, and returns the ``models.Action`` values to carry out, in
order. ``now`` must not decrease. The driver has to deliver:

- ``TimePassed`` at least every 50 ms, for the deadline checks;
- ``FirstToken`` and either ``AnswerFinished`` or ``DispatchFailed`` for
  each ``Dispatch``, and ``AnswerFinished`` after a ``Cancel`` as well;
- ``AnswerFinished`` for each ``Forward`` that was answered, or
  ``RequestArrived`` with ``refused_by`` if it was refused with "not run";
- the result of ``summarize()``, at regular intervals, to the other
  instances as ``InstanceReported``.

A request that the scheduler refuses or drops gets its ``Refuse`` in the same
step; one whose caller left gets none.
"""

import dataclasses

from citronport import errors
from citronport.scheduler import admission
from citronport.scheduler import const
from citronport.scheduler import deadlines
from citronport.scheduler import limits as limits_module
from citronport.scheduler import models
from citronport.scheduler import owner as owner_module
from citronport.scheduler import placement
from citronport.scheduler import pressure as pressure_module
from citronport.scheduler import queue
from citronport.scheduler import rebalancing
from citronport.scheduler import refusal
from citronport.scheduler import routing
from citronport.scheduler import shedding
from citronport.scheduler import summary


@dataclasses.dataclass(kw_only=True)
class _Forwarded:
    request: models.Request
    instance: str


class Scheduler:
    """Schedules requests on the endpoints that one instance owns.

    Args:
        instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.fleet: models.Fleet | None = None
        self._ownership = models.OwnershipChanged(owned=frozenset())
        self._rings: dict[queue.Group, placement.HashRing] = {}
        self._owner = owner_module.Owner()
        self._pressure = pressure_module.Pressure()
        self._router = routing.Router(instance, self._owner, self._pressure)
        self._limiter = limits_module.Limiter()
        self._shedder = shedding.Shedder(
            self._owner, self._pressure, self._limiter
        )
        self._forwarded: dict[str, _Forwarded] = {}
        self._deadlines = deadlines.Deadlines()
        self._admission = admission.Admission(
            self._owner, self._shedder, self._deadlines
        )
        self._leaving = False
        self._now = 0.0

    def handle(self, event: models.Event, now: float) -> list[models.Action]:
        """Process one event and return the resulting actions.

        Args:
            event: the event.
            now: clock time, seconds; not less than in an earlier call.

        Returns:
            Actions in the order in which to carry them out.
        """
        self._now = now
        actions = self._apply_event(event, now)
        if isinstance(event, models.InstanceReported):
            # By far the most frequent event; it never frees capacity.
            return actions
        return [
            *actions,
            *self._owner.start(self._shedder.get_floor(now), now),
        ]

    def _apply_event(
        self, event: models.Event, now: float
    ) -> list[models.Action]:
        match event:
            case models.RequestArrived():
                return self._admit(event, now)
            case models.RequestLeft():
                return self._abandon(event.request_id, now)
            case models.FirstToken():
                self._owner.record_first_token(event.request_id, now)
            case models.AnswerCut():
                self._owner.assume_cold(event.request_id, now)
            case models.AnswerFinished():
                self._finish(event, now)
            case models.DispatchFailed():
                return self._handle_dispatch_failure(event, now)
            case models.TimePassed():
                return self._handle_time_passed(now)
            case _:
                return self._apply_state_event(event, now)
        return []

    def _apply_state_event(
        self, event: models.Event, now: float
    ) -> list[models.Action]:
        match event:
            case models.EndpointConnected():
                self._owner.connect(event.endpoint, now)
            case models.EndpointLost():
                self._owner.disconnect(event.endpoint)
                return self._reroute(now)
            case models.EndpointReported():
                self._owner.apply_report(event.endpoint, event.report, now)
            case models.CacheReported():
                self._owner.apply_cache_report(event)
            case models.FleetChanged():
                return self._change_fleet(event.fleet, now)
            case models.OwnershipChanged():
                self._ownership = event
                return self._apply_assignment(now)
            case models.InstanceReported():
                self._pressure.record_summary(event.summary, now)
                self._router.clear_unreported_cost(event.summary.instance)
            case models.InstanceGone():
                self._pressure.remove_peer(event.instance)
            case models.LeaveOrdered():
                self._leaving = True
            case models.ReturnOrdered():
                self._leaving = False
        return []

    def summarize(self) -> models.InstanceSummary:
        """Return the summary to send to the other instances."""
        return summary.make_summary(
            summary.SummarySource(
                instance=self.instance,
                fleet=self.fleet,
                groups=tuple(self._rings),
                owner=self._owner,
                limiter=self._limiter,
                floor=self._pressure.own_floor,
                leaving=self._leaving,
            ),
            self._now,
        )

    def is_idle(self) -> bool:
        """Return whether no request is queued, running or forwarded."""
        return not (
            len(self._owner.queue)
            or sum(self._owner.get_running())
            or self._forwarded
        )

    def is_warm(self, endpoint: str) -> bool:
        """Return whether an owned endpoint proved warm since its start."""
        return self._owner.is_warm(endpoint)

    def has_warm_evidence(self, endpoint: str, now: float) -> bool:
        """Return whether recent evidence shows that an endpoint is warm.

        Checked after the last point at which the sender can block: a send
        to an endpoint without such evidence needs a lease.
        """
        return self._owner.has_warm_evidence(endpoint, now)

    def _change_fleet(
        self, fleet: models.Fleet, now: float
    ) -> list[models.Action]:
        if self.fleet is not None and fleet.version < self.fleet.version:
            return []
        previous = self.fleet
        self.fleet = fleet
        # Most changes only affect limits of an entry and keep the rings.
        if previous is None or (previous.endpoints, previous.data_centres) != (
            fleet.endpoints,
            fleet.data_centres,
        ):
            self._rings = placement.make_hash_rings(fleet)
        return self._apply_assignment(now)

    def _apply_assignment(self, now: float) -> list[models.Action]:
        if self.fleet is None:
            return []
        self._owner.apply(self.fleet, self._rings, self._ownership, now)
        self._admission.entries = self.fleet.entries
        self._router.apply(self.fleet, self._rings, self._ownership.owners)
        return self._reroute(now)

    def _reroute(self, now: float) -> list[models.Action]:
        """Route queued requests again that have no usable endpoint here."""
        actions: list[models.Action] = []
        for waiting in self._owner.queue.iterate_all():
            request = waiting.request
            if self._owner.get_usable(queue.get_group(request)):
                continue
            self._owner.queue.pop(request.request_id)
            actions += self._place(request, waiting.forwarded, (), now)
        return actions

    def _admit(
        self, event: models.RequestArrived, now: float
    ) -> list[models.Action]:
        request = event.request
        if self.fleet is None:
            return [
                refusal.make_refusal(request, errors.Code.NO_CATALOGUE, 1.0)
            ]
        if self._leaving and not event.refused_by:
            return [refusal.make_refusal(request, errors.Code.LEAVING, 0.0)]
        if request.deadline <= now:
            self._forwarded.pop(request.request_id, None)
            code = errors.Code.DEADLINE_PASSED_WAITING
            return self._shedder.shed(request, code, now)
        if event.refused_by:
            self._forwarded.pop(request.request_id, None)
        elif not event.forwarded:
            refused = self._check_limits(request, now)
            if refused is not None:
                return [refused]
        return self._place(request, event.forwarded, event.refused_by, now)

    def _check_limits(
        self, request: models.Request, now: float
    ) -> models.Refuse | None:
        assert self.fleet is not None
        entry = self.fleet.entries.get(request.entry)
        if entry is None:
            return None
        refused = self._limiter.admit(
            request, entry, self._pressure.get_view(now), now
        )
        if refused is None:
            return None
        return refusal.make_refusal(request, *refused)

    def _place(
        self,
        request: models.Request,
        forwarded: bool,
        refused_by: tuple[str, ...],
        now: float,
        failed_dispatches: int = 0,
    ) -> list[models.Action]:
        if self._shedder.is_below_floor(request, now):
            return self._shedder.shed(request, errors.Code.OVERLOADED, now)
        if forwarded:
            return self._admission.admit(request, True, now, failed_dispatches)
        if len(refused_by) >= const.MAX_REFUSED_FORWARDS:
            return self._shedder.shed(request, errors.Code.OVERLOADED, now)
        avoided = refused_by[-const.AVOIDED_INSTANCES :]
        choice = self._router.choose(request, avoided, now)
        if choice is None and avoided:
            choice = self._router.choose(request, (), now)
        if choice is None:
            return self._shedder.shed(request, errors.Code.NO_ENDPOINT, now)
        self._router.record(request, choice)
        if choice.instance == self.instance:
            return self._admission.admit(
                request, False, now, failed_dispatches
            )
        self._forwarded[request.request_id] = _Forwarded(
            request=request, instance=choice.instance
        )
        self._deadlines.add(
            request.deadline + const.FORWARD_GRACE_SECONDS, request.request_id
        )
        return [
            models.Forward(
                request_id=request.request_id, instance=choice.instance
            )
        ]

    def _abandon(self, request_id: str, now: float) -> list[models.Action]:
        waiting = self._owner.queue.pop(request_id)
        if waiting is not None:
            self._limiter.finish(waiting.request)
            return []
        forwarded = self._forwarded.pop(request_id, None)
        if forwarded is not None:
            self._limiter.finish(forwarded.request)
            return [models.Cancel(request_id=request_id, endpoint="")]
        return self._cancel(request_id, now)

    def _cancel(self, request_id: str, now: float) -> list[models.Action]:
        request = self._owner.get_running_request(request_id)
        endpoint = self._owner.cancel(request_id, now)
        if request is None or endpoint is None:
            return []
        self._limiter.finish(request)
        return [models.Cancel(request_id=request_id, endpoint=endpoint)]

    def _finish(self, event: models.AnswerFinished, now: float) -> None:
        request = self._owner.finish(
            event.request_id, now, event.output_tokens
        )
        forwarded = self._forwarded.pop(event.request_id, None)
        if request is None and forwarded is not None:
            request = forwarded.request
        if request is not None:
            self._limiter.finish(request)

    def _handle_dispatch_failure(
        self, event: models.DispatchFailed, now: float
    ) -> list[models.Action]:
        waiting = self._owner.fail(event.request_id, now, sent=event.sent)
        if waiting is None:
            return []
        request = waiting.request
        if event.sent:
            self._limiter.finish(request)
            return [refusal.make_refusal(request, event.code, None)]
        if request.deadline <= now:
            code = errors.Code.DEADLINE_PASSED_WAITING
            return self._shedder.shed(request, code, now)
        failed_dispatches = waiting.failed_dispatches + 1
        if failed_dispatches > const.MAX_DISPATCH_RETRIES:
            return self._shedder.shed(request, errors.Code.NO_ENDPOINT, now)
        return self._place(
            request, waiting.forwarded, (), now, failed_dispatches
        )

    def _handle_time_passed(self, now: float) -> list[models.Action]:
        self._owner.check_first_tokens(now)

        def get_peer_wait(model: str, tier: int) -> float:
            return self._pressure.get_shortest_peer_wait(model, tier, now)

        starved_tier = rebalancing.find_starved_tier(
            self._owner, get_peer_wait, now
        )
        self._pressure.update(starved_tier, now)
        actions: list[models.Action] = []
        for waiting in rebalancing.find_movable(
            self._owner, get_peer_wait, now
        ):
            actions += self._move(waiting, now)
        for request_id in self._deadlines.pop_due(now):
            actions += self._check_deadline(request_id, now)
        return actions

    def _move(
        self, waiting: queue.QueuedRequest, now: float
    ) -> list[models.Action]:
        request = waiting.request
        self._owner.queue.pop(request.request_id)
        if waiting.forwarded:
            # Refused as "not run", so the forwarding instance retries.
            return self._shedder.shed(request, errors.Code.OVERLOADED, now)
        return self._place(request, False, (self.instance,), now)

    def _check_deadline(
        self, request_id: str, now: float
    ) -> list[models.Action]:
        owner = self._owner
        request = owner.get_running_request(request_id)
        if request is not None:
            if now < request.deadline:
                return []
            code = errors.Code.DEADLINE_PASSED_RUNNING
            return [
                refusal.make_refusal(request, code, None),
                *self._cancel(request_id, now),
            ]
        forwarded = self._forwarded.get(request_id)
        if forwarded is not None:
            code = errors.Code.DEADLINE_PASSED_RUNNING
            return [
                refusal.make_refusal(forwarded.request, code, None),
                *self._abandon(request_id, now),
            ]
        if request_id not in owner.queue:
            return []
        return self._shed_late_start(request_id, now)

    def _shed_late_start(
        self, request_id: str, now: float
    ) -> list[models.Action]:
        waiting = self._owner.queue.pop(request_id)
        assert waiting is not None
        request = waiting.request
        if now >= request.deadline:
            code = errors.Code.DEADLINE_PASSED_WAITING
            return self._shedder.shed(request, code, now)
        if self._shedder.serves_lower_tier(request, now):
            self._admission.requeue(waiting)
            self._deadlines.add(now + const.RECHECK_SECONDS, request_id)
            return []
        return self._shedder.shed(request, errors.Code.DEADLINE_TOO_NEAR, now)
