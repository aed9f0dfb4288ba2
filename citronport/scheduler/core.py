"""The scheduler of one entry instance: events in, actions out.

``Scheduler.handle(event, now)`` takes one event of ``models.Event`` with
the clock time in seconds and returns the actions of ``models.Action`` to
carry out, in order. ``now`` never goes back. The caller owes:

- ``TimePassed`` at least each 50 ms; deadlines are looked at then;
- ``FirstToken`` and one of ``AnswerFinished`` and ``DispatchFailed`` for
  each ``Dispatch``, ``AnswerFinished`` also after a ``Cancel``;
- ``AnswerFinished`` for each ``Forward`` that was answered, and
  ``RequestArrived`` with ``refused_by`` for one that was refused with
  "not run";
- ``summarize()`` at a steady pace, to be handed to the other instances as
  ``InstanceReported``.

A request that is given up gets its ``Refuse`` in the same step.
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
from citronport.scheduler import refusal
from citronport.scheduler import routing
from citronport.scheduler import shedding
from citronport.scheduler import shift
from citronport.scheduler import summary


@dataclasses.dataclass(kw_only=True)
class _Forwarded:
    request: models.Request
    instance: str


class Scheduler:
    """Decides for the endpoints that one instance owns.

    Args:
        instance: name of this instance.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.fleet: models.Fleet | None = None
        self._assigned = models.OwnershipChanged(owned=frozenset())
        self._rings: dict[queue.Group, placement.Ring] = {}
        self._owner = owner_module.Owner()
        self._pressure = pressure_module.Pressure()
        self._router = routing.Router(instance, self._owner, self._pressure)
        self._limits = limits_module.Limits()
        self._shedding = shedding.Shedding(
            self._owner, self._pressure, self._limits
        )
        self._forwarded: dict[str, _Forwarded] = {}
        self._deadlines = deadlines.Deadlines()
        self._admission = admission.Admission(
            self._owner, self._shedding, self._deadlines
        )
        self._leaving = False
        self._now = 0.0

    def handle(self, event: models.Event, now: float) -> list[models.Action]:
        """Take one event and return what to do about it.

        Args:
            event: what happened.
            now: clock time, seconds; never less than in an earlier call.

        Returns:
            Actions in the order in which to carry them out.
        """
        self._now = now
        actions = self._take(event, now)
        if isinstance(event, models.InstanceReported):
            # Most events by far, and none of them frees a place.
            return actions
        return [
            *actions,
            *self._owner.start(self._shedding.get_floor(now), now),
        ]

    def _take(self, event: models.Event, now: float) -> list[models.Action]:
        match event:
            case models.RequestArrived():
                return self._admit(event, now)
            case models.RequestLeft():
                return self._drop(event.request_id, now)
            case models.FirstToken():
                self._owner.give_first_token(event.request_id, now)
            case models.AnswerCut():
                self._owner.suspect(event.request_id, now)
            case models.AnswerFinished():
                self._finish(event, now)
            case models.DispatchFailed():
                return self._settle_failure(event, now)
            case models.TimePassed():
                return self._look(now)
            case _:
                return self._learn(event, now)
        return []

    def _learn(self, event: models.Event, now: float) -> list[models.Action]:
        match event:
            case models.EndpointConnected():
                self._owner.connect(event.endpoint, now)
            case models.EndpointLost():
                self._owner.lose(event.endpoint)
                return self._reroute(now)
            case models.EndpointReported():
                self._owner.report(event.endpoint, event.report, now)
            case models.CacheReported():
                self._owner.report_cache(event)
            case models.FleetChanged():
                return self._change_fleet(event.fleet, now)
            case models.OwnershipChanged():
                self._assigned = event
                return self._apply(now)
            case models.InstanceReported():
                self._pressure.take_summary(event.summary, now)
                self._router.forget_sent(event.summary.instance)
            case models.InstanceGone():
                self._pressure.forget(event.instance)
            case models.LeaveOrdered():
                self._leaving = True
            case models.ReturnOrdered():
                self._leaving = False
        return []

    def summarize(self) -> models.InstanceSummary:
        """Return what the other instances are told."""
        return summary.make_summary(
            summary.Source(
                instance=self.instance,
                fleet=self.fleet,
                groups=tuple(self._rings),
                owner=self._owner,
                limits=self._limits,
                floor=self._pressure.own_floor,
                leaving=self._leaving,
            ),
            self._now,
        )

    def is_idle(self) -> bool:
        """Return whether nothing waits or runs here."""
        return not (
            len(self._owner.queue)
            or sum(self._owner.get_running())
            or self._forwarded
        )

    def is_warm(self, endpoint: str) -> bool:
        """Return whether an owned endpoint was shown warm since its start."""
        return self._owner.is_warm(endpoint)

    def is_shown_warm(self, endpoint: str, now: float) -> bool:
        """Return whether young evidence says that an endpoint is warm.

        Asked between the last wait and the send, where a lease is needed
        for any endpoint of which that is not so.
        """
        return self._owner.is_shown_warm(endpoint, now)

    def _change_fleet(
        self, fleet: models.Fleet, now: float
    ) -> list[models.Action]:
        if self.fleet is not None and fleet.version < self.fleet.version:
            return []
        known = self.fleet
        self.fleet = fleet
        # Most changes are of one owner's limits: the rings stay.
        if known is None or (known.endpoints, known.data_centres) != (
            fleet.endpoints,
            fleet.data_centres,
        ):
            self._rings = placement.make_rings(fleet)
        return self._apply(now)

    def _apply(self, now: float) -> list[models.Action]:
        if self.fleet is None:
            return []
        self._owner.apply(self.fleet, self._rings, self._assigned, now)
        self._admission.entries = self.fleet.entries
        self._router.apply(self.fleet, self._rings, self._assigned.owners)
        return self._reroute(now)

    def _reroute(self, now: float) -> list[models.Action]:
        """Decide again for what waits for endpoints that are gone."""
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
            return [refusal.refuse(request, errors.Code.NO_CATALOGUE, 1.0)]
        if self._leaving and not event.refused_by:
            return [refusal.refuse(request, errors.Code.LEAVING, 0.0)]
        if request.deadline <= now:
            self._forwarded.pop(request.request_id, None)
            late = errors.Code.DEADLINE_PASSED_WAITING
            return self._shedding.shed(request, late, now)
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
        refused = self._limits.admit(
            request, entry, self._pressure.get_view(now), now
        )
        if refused is None:
            return None
        return refusal.refuse(request, *refused)

    def _place(
        self,
        request: models.Request,
        forwarded: bool,
        refused_by: tuple[str, ...],
        now: float,
        tries: int = 0,
    ) -> list[models.Action]:
        if self._shedding.is_floored(request, now):
            return self._shedding.shed(request, errors.Code.OVERLOADED, now)
        if forwarded:
            return self._admission.take_in(request, True, now, tries)
        if len(refused_by) >= const.TRIES:
            return self._shedding.shed(request, errors.Code.OVERLOADED, now)
        avoided = refused_by[-const.AVOIDED :]
        choice = self._router.choose(request, avoided, now)
        if choice is None and avoided:
            choice = self._router.choose(request, (), now)
        if choice is None:
            return self._shedding.shed(request, errors.Code.NO_ENDPOINT, now)
        self._router.record(request, choice)
        if choice.instance == self.instance:
            return self._admission.take_in(request, False, now, tries)
        self._forwarded[request.request_id] = _Forwarded(
            request=request, instance=choice.instance
        )
        self._deadlines.add(
            request.deadline + const.OVERDUE_SECONDS, request.request_id
        )
        return [
            models.Forward(
                request_id=request.request_id, instance=choice.instance
            )
        ]

    def _drop(self, request_id: str, now: float) -> list[models.Action]:
        waiting = self._owner.queue.pop(request_id)
        if waiting is not None:
            self._limits.finish(waiting.request)
            return []
        forwarded = self._forwarded.pop(request_id, None)
        if forwarded is not None:
            self._limits.finish(forwarded.request)
            return [models.Cancel(request_id=request_id, endpoint="")]
        return self._cancel(request_id, now)

    def _cancel(self, request_id: str, now: float) -> list[models.Action]:
        request = self._owner.get_request(request_id)
        place = self._owner.cancel(request_id, now)
        if request is None or place is None:
            return []
        self._limits.finish(request)
        return [models.Cancel(request_id=request_id, endpoint=place)]

    def _finish(self, event: models.AnswerFinished, now: float) -> None:
        request = self._owner.finish(
            event.request_id, now, event.output_tokens
        )
        forwarded = self._forwarded.pop(event.request_id, None)
        if request is None and forwarded is not None:
            request = forwarded.request
        if request is not None:
            self._limits.finish(request)

    def _settle_failure(
        self, event: models.DispatchFailed, now: float
    ) -> list[models.Action]:
        waiting = self._owner.fail(event.request_id, now, sent=event.sent)
        if waiting is None:
            return []
        request = waiting.request
        if event.sent:
            self._limits.finish(request)
            return [refusal.refuse(request, event.code, None)]
        if request.deadline <= now:
            late = errors.Code.DEADLINE_PASSED_WAITING
            return self._shedding.shed(request, late, now)
        tries = waiting.tries + 1
        if tries > const.RETRIES:
            return self._shedding.shed(request, errors.Code.NO_ENDPOINT, now)
        return self._place(request, waiting.forwarded, (), now, tries)

    def _look(self, now: float) -> list[models.Action]:
        self._owner.check(now)

        def get_peer_wait(model: str, tier: int) -> float:
            return self._pressure.get_wait(model, tier, now)

        pressed = shift.find_pressed(self._owner, get_peer_wait, now)
        self._pressure.update(pressed, now)
        actions: list[models.Action] = []
        for waiting in shift.find_movable(self._owner, get_peer_wait, now):
            actions += self._move(waiting, now)
        for request_id in self._deadlines.pop_due(now):
            actions += self._look_at(request_id, now)
        return actions

    def _move(self, waiting: queue.Waiting, now: float) -> list[models.Action]:
        request = waiting.request
        self._owner.queue.pop(request.request_id)
        if waiting.forwarded:
            # "Not run": the instance that it came from decides again.
            return self._shedding.shed(request, errors.Code.OVERLOADED, now)
        return self._place(request, False, (self.instance,), now)

    def _look_at(self, request_id: str, now: float) -> list[models.Action]:
        owner = self._owner
        request = owner.get_request(request_id)
        if request is not None:
            if now < request.deadline:
                return []
            late = errors.Code.DEADLINE_PASSED_RUNNING
            return [
                refusal.refuse(request, late, None),
                *self._cancel(request_id, now),
            ]
        forwarded = self._forwarded.get(request_id)
        if forwarded is not None:
            late = errors.Code.DEADLINE_PASSED_RUNNING
            return [
                refusal.refuse(forwarded.request, late, None),
                *self._drop(request_id, now),
            ]
        if request_id not in owner.queue:
            return []
        return self._give_up(request_id, now)

    def _give_up(self, request_id: str, now: float) -> list[models.Action]:
        waiting = self._owner.queue.pop(request_id)
        assert waiting is not None
        request = waiting.request
        if now >= request.deadline:
            late = errors.Code.DEADLINE_PASSED_WAITING
            return self._shedding.shed(request, late, now)
        if self._shedding.has_lower(request, now):
            self._admission.put_back(waiting)
            self._deadlines.add(now + const.LOOK_SECONDS, request_id)
            return []
        return self._shedding.shed(request, errors.Code.DEADLINE_TOO_NEAR, now)
