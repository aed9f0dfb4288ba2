"""Grants leases of capacity at the endpoints that this instance owns."""

import collections
import collections.abc
import dataclasses

from absl import logging

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import messages
from citronport.scheduler.direct import brittleness
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import leases as leases_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import row_budget
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import wait_queue

LOG = "lessor:"

APPLICANT_EXPIRY_SECONDS = 1.4
"""How long a request stays queued without a repeat by its instance. Instances
repeat every 0.4 s, and three messages in a row are hardly ever lost."""


APPLICANT_BYTES = 2500
"""Memory of a waiting lease request without the names in it."""

_TABLE = "lease requests"


@dataclasses.dataclass(slots=True, eq=False)
class _Applicant:
    """A lease request of another instance, used as the handle of its waiter.

    Attributes:
        ask: the lease request.
        last_asked: clock time of the newest lease request, seconds.
        grant: called with the reservation.
        size: memory that it takes, bytes.
        waiter: the queue entry; None before the request is queued.
    """

    ask: messages.Ask
    last_asked: float
    grant: collections.abc.Callable[
        ["_Applicant", dispatcher_module.Reservation], None
    ]
    size: int
    waiter: wait_queue.Waiter | None = None

    def update(self, ask: messages.Ask, now: float) -> None:
        """Apply a repetition of the lease request."""
        self.last_asked = now
        if self.waiter is not None:
            self.waiter.paused = frozenset(ask.paused)

    def set(self, reservation: dispatcher_module.Reservation) -> None:
        """Accept a reservation; called by the queue's matching."""
        self.grant(self, reservation)


class LeaseServer:
    """Answers lease requests of other instances.

    Args:
        own: name of this instance.
        dispatcher: reserves capacity and queues requests.
        leases: granted leases.
        cluster_state: current configuration and endpoints.
        loads: step times of endpoints.
        health: health of endpoints.
        brittle: endpoints that must not have to turn requests away.
        send: sends a message to the named instance.
        ticker: the clock.
        log: the event log.
        budget: limits the waiting lease requests of other instances.
    """

    def __init__(
        self,
        own: str,
        dispatcher: dispatcher_module.Dispatcher,
        leases: leases_module.Leases,
        cluster_state: cluster_state_module.ClusterState,
        loads: load_tracker.LoadTracker,
        health: health_module.Health,
        brittle: brittleness.BrittleEndpoints,
        send: messages.SendMessage,
        ticker: clock.Clock,
        log: eventlog.Log,
        budget: row_budget.RowBudget,
    ) -> None:
        self._own = own
        self._dispatcher = dispatcher
        self._leases = leases
        self._cluster_state = cluster_state
        self._loads = loads
        self._health = health
        self._brittle = brittle
        self._send = send
        self._ticker = ticker
        self._log = log
        self._budget = budget
        self._budget.add_table(_TABLE, self._drop_applicants)
        self._applicants: dict[str, _Applicant] = {}
        # Bytes of the waiting requests of each instance.
        self._waiting_bytes: collections.Counter[str] = collections.Counter()
        self._granted: dict[str, messages.Granted] = {}

    def handle_ask(self, ask: messages.Ask) -> None:
        """Answer a lease request."""
        now = self._ticker.now()
        granted = self._granted.get(ask.request)
        if granted is not None and granted.endpoint not in (
            *ask.tried,
            *ask.paused,
        ):
            # The lease is granted already; the message that said so got lost.
            self._send(ask.instance, granted)
            return
        applicant = self._applicants.get(ask.request)
        if applicant is None:
            work = self._make_work(ask, now)
            if work is None:
                self._decline(
                    ask,
                    "the route is unknown or no endpoint of its service fits",
                )
                return
            applicant = _Applicant(ask, now, self._grant, _count_bytes(ask))
            if not self._hold(ask.instance, applicant.size):
                self._decline(ask, "too many wait")
                return
            retry_seconds = self._enqueue(applicant, work, now)
            if retry_seconds is not None:
                self._reject(ask, retry_seconds)
                return
        applicant.update(ask, now)
        if ask.request in self._applicants:
            queued = messages.Queued(
                protocol=messages.PROTOCOL,
                instance=self._own,
                request=ask.request,
            )
            self._send(ask.instance, queued)

    def handle_begun(self, begun: messages.Begun) -> None:
        """Record the first event of a leased request."""
        self._health.record_reached(begun.endpoint, self._ticker.now())
        if begun.pace and begun.endpoint in self._cluster_state.endpoints:
            self._loads.apply_step_ms(
                begun.instance,
                begun.endpoint,
                begun.pace / runs.NANOSECONDS_PER_MS,
            )
        self._leases.record_first_event(
            begun.request, begun.endpoint, self._ticker.now()
        )

    def handle_ended(self, ended: messages.Ended) -> None:
        """End a lease, or remove a request from the queue."""
        now = self._ticker.now()
        if not ended.endpoint:
            self._cancel(ended.request)
            return
        self._granted.pop(ended.request, None)
        self._record_outcome(ended, now)
        self._leases.end(ended.request, ended.endpoint, now)
        self._dispatcher.schedule_match()

    def handle_leaving(self, leaving: messages.EndpointLeaving) -> None:
        """Grant no more leases at an endpoint that is leaving."""
        self._cluster_state.record_leaving((leaving.endpoint, leaving.started))

    def handle_holding(self, holding: messages.Holding) -> None:
        """Renew the leases that an instance holds."""
        held = [
            leases_module.HeldLease(
                request_id=request,
                endpoint=endpoint,
                prefill_tokens=prefill_tokens,
            )
            for request, endpoint, prefill_tokens in holding.leases
            if endpoint in self._cluster_state.endpoints
        ]
        self._leases.renew(holding.instance, held, self._ticker.now())
        self._dispatcher.schedule_match()

    def sweep(self) -> None:
        """Remove requests and leases that are no longer renewed."""
        now = self._ticker.now()
        for request, applicant in list(self._applicants.items()):
            if now - applicant.last_asked > APPLICANT_EXPIRY_SECONDS:
                self._cancel(request)
        self._leases.remove_expired(now)
        for request, granted in list(self._granted.items()):
            if not self._leases.has(request, granted.endpoint):
                del self._granted[request]
                # Its end was not reported. If it was the probe of an
                # endpoint, another request has to take its place.
                self._health.record_no_result(granted.endpoint)

    def _enqueue(
        self, applicant: _Applicant, work: models.Work, now: float
    ) -> float | None:
        waiter = wait_queue.Waiter(
            work=work,
            waiting_since=now,
            tried=frozenset(applicant.ask.tried),
            paused=frozenset(applicant.ask.paused),
            handle=applicant,
            leased=True,
        )
        applicant.waiter = waiter
        self._applicants[work.request_id] = applicant
        return self._dispatcher.enqueue(waiter, applicant.ask.service)

    def _reject(self, ask: messages.Ask, retry_seconds: float) -> None:
        self._remove_applicant(ask.request)
        full = messages.Full(
            protocol=messages.PROTOCOL,
            instance=self._own,
            request=ask.request,
            seconds=retry_seconds,
        )
        self._send(ask.instance, full)

    def _grant(
        self,
        applicant: _Applicant,
        reservation: dispatcher_module.Reservation,
    ) -> None:
        ask = applicant.ask
        self._remove_applicant(ask.request)
        name = reservation.endpoint.name
        now = self._ticker.now()
        self._leases.grant(ask.request, name, ask.instance, now)
        assert applicant.waiter is not None
        self._loads.overdue.record_send(
            name,
            ask.request,
            now,
            expected=reservation.placement.seconds,
            objective=applicant.waiter.work.route.objective,
            has_prompt=bool(ask.prompt),
            is_leased_out=True,
        )
        granted = messages.Granted(
            protocol=messages.PROTOCOL,
            instance=self._own,
            request=ask.request,
            endpoint=name,
            seconds=reservation.placement.seconds,
            load=self._loads.get_load(name).requests,
            pace=int(self._loads.get_step_ms(name) * runs.NANOSECONDS_PER_MS),
        )
        self._granted[ask.request] = granted
        self._send(ask.instance, granted)

    def _cancel(self, request: str) -> None:
        applicant = self._remove_applicant(request)
        if applicant is not None and applicant.waiter is not None:
            self._dispatcher.cancel(applicant.waiter, applicant.ask.service)
        granted = self._granted.pop(request, None)
        if granted is not None:
            self._health.record_no_result(granted.endpoint)
            self._leases.end(request, granted.endpoint)
            self._dispatcher.schedule_match()

    def _remove_applicant(self, request: str) -> _Applicant | None:
        applicant = self._applicants.pop(request, None)
        if applicant is not None:
            self._hold(applicant.ask.instance, -applicant.size)
        return applicant

    def _hold(self, instance: str, growth: int) -> bool:
        """Return whether there is room for more requests of an instance."""
        size = self._waiting_bytes[instance] + growth
        if not self._budget.hold(_TABLE, instance, size):
            return False
        self._waiting_bytes[instance] = size
        if not size:
            del self._waiting_bytes[instance]
        return True

    def _drop_applicants(self, instance: str) -> None:
        """Let the waiting requests of an instance make room."""
        del self._waiting_bytes[instance]
        for request, applicant in list(self._applicants.items()):
            if applicant.ask.instance == instance:
                del self._applicants[request]
                if applicant.waiter is not None:
                    self._dispatcher.cancel(
                        applicant.waiter, applicant.ask.service
                    )
                self._decline(applicant.ask, "too many wait")

    def _record_outcome(self, ended: messages.Ended, now: float) -> None:
        name = ended.endpoint
        if name not in self._cluster_state.endpoints:
            return
        if ended.brittle_age >= 0:
            self._brittle.record_statement(
                name,
                None if ended.brittle < 0 else ended.brittle,
                now - ended.brittle_age,
            )
        if ended.pace:
            self._loads.apply_step_ms(
                ended.instance, name, ended.pace / runs.NANOSECONDS_PER_MS
            )
        if ended.seconds:
            self._loads.record_answer_seconds(name, ended.seconds)
        self._record_begun(ended, now)
        match ended.verdict:
            case runs.Verdict.OVERDUE:
                self._loads.overdue.record_end(name, ended.request, now)
                self._health.record_no_result(name)
            case runs.Verdict.GOOD:
                self._health.record_answer(name, True, now)
            case runs.Verdict.FAILED:
                self._health.record_answer(name, False, now)
            case runs.Verdict.REJECTED:
                self._health.record_answer(name, False, now)
                self._brittle.record_rejection(name, now)
            case runs.Verdict.UNREACHABLE:
                since = self._leases.get_granted_at(ended.request, name)
                if self._health.record_unreachable(name, now, since):
                    self._log.write(
                        events.EndpointUnreachable(
                            endpoint=name, reporter=ended.instance
                        )
                    )
            case _:
                self._health.record_no_result(name)

    def _record_begun(self, ended: messages.Ended, now: float) -> None:
        """Record an answer whose beginning was not reported before."""
        match ended.verdict:
            case runs.Verdict.GOOD | runs.Verdict.REJECTED:
                has_begun = True
            case _:
                has_begun = ended.seconds > 0
        if has_begun and self._loads.overdue.record_begun(
            ended.endpoint, ended.request, now
        ):
            self._health.record_reached(ended.endpoint, now)

    def _decline(self, ask: messages.Ask, reason: str) -> None:
        logging.warning(
            "%s declined lease request of %s for route %s: %s.",
            LOG,
            ask.instance,
            ask.route,
            reason,
        )
        declined = messages.Declined(
            protocol=messages.PROTOCOL,
            instance=self._own,
            request=ask.request,
        )
        self._send(ask.instance, declined)

    def _make_work(self, ask: messages.Ask, now: float) -> models.Work | None:
        configuration = self._cluster_state.configuration
        route = configuration and configuration.find_route(ask.route)
        if not route:
            return None
        work = models.Work(
            request_id=ask.request,
            route=route,
            tier=ask.tier,
            prompt_tokens=ask.prompt,
            output_tokens=ask.output,
            expected_tokens=ask.expected,
            parts=(),
            arrived=now - ask.elapsed_seconds,
            deadline=now + ask.remaining_seconds,
            software=ask.software,
            is_assigned=ask.is_assigned,
            workspace=ask.workspace,
            data_centre=ask.data_centre,
        )
        endpoints = self._cluster_state.list_endpoints(ask.service)
        return work if work.list_fitting(endpoints) else None


def _count_bytes(ask: messages.Ask) -> int:
    """Return the memory of a waiting lease request."""
    names = (ask.request, ask.route, ask.workspace, *ask.tried, *ask.paused)
    return APPLICANT_BYTES + row_budget.count_bytes(names)
