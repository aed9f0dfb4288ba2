"""Requests leases of endpoint capacity from owners and returns them."""

import collections.abc
import dataclasses
import math
import random

from gevent import queue as gevent_queue

from citronport import clock
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import messages
from citronport.relay import owners as owners_module
from citronport.scheduler.direct import brittleness
from citronport.scheduler.direct import leases
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import ownership
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import wait_queue

ANSWER_TIMEOUT_SECONDS = 0.06
"""Time to wait for an answer. It covers two links of a millisecond each and an
owner that is busy parsing a configuration of a thousand routes."""

QUEUED_ASK_INTERVAL_SECONDS = 0.4
"""Interval at which the lease request of a queued request is repeated. A
request waits for at most twice its route's objective, which is 0.3 to 0.8 s.
Repeats detect a dead owner and recover lost answers. At an interval of 0.15 s,
the repeats of 300 waiting requests took an owner more time than its other
work."""

MAX_UNANSWERED = 2
"""Unanswered lease requests after which an owner counts as unresponsive. One
is lost occasionally, two in a row hardly ever."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoCapacity:
    """The owner has no capacity within the request's maximum wait.

    Attributes:
        retry_seconds: time after which capacity is expected; 0 if unknown.
    """

    retry_seconds: float = 0.0


Answer = messages.Granted | NoCapacity


class LeaseClient:
    """Requests leases for the requests of this instance.

    Args:
        own: name of this instance.
        owners: owners of the endpoints.
        loads: step times of endpoints and leased requests.
        brittle: endpoints that must not have to turn requests away.
        list_unusable: returns the endpoints of a service that the owner
            should not grant this instance.
        send: sends a message to the named instance.
        ticker: the clock.
        log: the event log.
    """

    def __init__(
        self,
        own: str,
        owners: owners_module.Owners,
        loads: load_tracker.LoadTracker,
        brittle: brittleness.BrittleEndpoints,
        list_unusable: collections.abc.Callable[[str], frozenset[str]],
        send: messages.SendMessage,
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._own = own
        self._owners = owners
        self._loads = loads
        self._brittle = brittle
        self._list_unusable = list_unusable
        self._send = send
        self._ticker = ticker
        self._log = log
        # The owner asked and its answers, by request.
        self._pending: dict[str, tuple[str, gevent_queue.SimpleQueue]] = {}
        # Service and granting owner of each lease, by request and endpoint.
        self._grants: dict[tuple[str, str], tuple[str, str]] = {}

    def count_waiting(self) -> int:
        """Return the number of requests that wait for an owner."""
        return len(self._pending)

    def acquire(
        self,
        work: models.Work,
        service: str,
        tried: frozenset[str],
        paused: frozenset[str] = frozenset(),
    ) -> Answer | None:
        """Return a lease for a request; wait for one if necessary.

        Args:
            work: the request.
            service: service that it is sent to.
            tried: names of endpoints to avoid if there are others.
            paused: names of further endpoints that must not be granted.

        Returns:
            None if this instance has to choose an endpoint by itself: it
            owns the endpoints, nobody does, or the owner does not answer or
            declines.
        """
        owner = self._choose_owner(service)
        if owner is None or owner == self._own:
            return None
        now = self._ticker.now()
        # A request may have used up its wait on a connection that failed. An
        # endpoint with a free slot still serves it; it only may not queue.
        end = now + max(
            wait_queue.MIN_ASK_SECONDS, wait_queue.compute_max_wait(work, now)
        )
        while True:
            found = self._ask_owner(work, service, tried, paused, owner, end)
            now = self._ticker.now()
            if found is not None or not self._owners.has_just_started(now):
                return found
            # This instance has just started and knows no loads: the next
            # owner decides better, unless this one declined.
            next_owner = self._choose_owner(service)
            if next_owner in (None, owner, self._own):
                return None
            if end - now < wait_queue.MIN_ASK_SECONDS:
                return None
            owner = next_owner

    def _ask_owner(
        self,
        work: models.Work,
        service: str,
        tried: frozenset[str],
        paused: frozenset[str],
        owner: str,
        end: float,
    ) -> Answer | None:
        answers = gevent_queue.SimpleQueue()
        self._pending[work.request_id] = (owner, answers)
        found: Answer | None = None
        try:
            found = self._await_grant(
                work, service, tried, paused, owner, answers, end
            )
        finally:
            del self._pending[work.request_id]
            if isinstance(found, messages.Granted):
                key = (work.request_id, found.endpoint)
                self._grants[key] = (service, owner)
            else:
                # The request may still be in the owner's queue, or hold a
                # lease whose grant message got lost.
                self._send(owner, self._make_ended(work.request_id, ""))
        return found

    def handle_answer(self, answer: messages.LeaseMessage) -> None:
        """Handle an answer of an owner."""
        asked, answers = self._pending.get(answer.request, (None, None))
        if answers is not None and asked == answer.instance:
            answers.put(answer)
        elif (
            isinstance(answer, messages.Granted)
            and (answer.request, answer.endpoint) not in self._grants
        ):
            # The caller has disconnected, or the request was sent elsewhere
            # or another owner asked in the meantime.
            self._send(
                answer.instance,
                self._make_ended(answer.request, answer.endpoint),
            )

    def report_begun(
        self, request_id: str, endpoint: models.Endpoint, step_ms: float = 0.0
    ) -> None:
        """Report to the owner that a request got its first event.

        Args:
            request_id: id of the request.
            endpoint: endpoint that it runs at.
            step_ms: step time of the endpoint, milliseconds, if its first
                events were the first to show it; else 0.
        """
        grant = self._grants.get((request_id, endpoint.name))
        if grant is None:
            return
        begun = messages.Begun(
            protocol=messages.PROTOCOL,
            request=request_id,
            endpoint=endpoint.name,
            instance=self._own,
            pace=int(step_ms * runs.NANOSECONDS_PER_MS),
            software=endpoint.software,
        )
        for owner in self._list_owners(endpoint.name, *grant):
            self._send(owner, begun)

    def report_leaving(
        self, endpoint: models.Endpoint, granted_by: str | None = None
    ) -> None:
        """Report to the owner of an endpoint that it is leaving.

        Args:
            endpoint: the endpoint.
            granted_by: instance that granted a lease there; by default the
                owner as known here.
        """
        owner = granted_by or self._owners.find_endpoint_owner(
            endpoint.service, endpoint.name, self._ticker.now()
        )
        if owner is None or owner == self._own:
            return
        leaving = messages.EndpointLeaving(
            protocol=messages.PROTOCOL,
            endpoint=endpoint.name,
            started=endpoint.started,
        )
        self._send(owner, leaving)

    def release(self, endpoint: str, run: runs.Run) -> None:
        """Return a lease and report how the endpoint performed."""
        self._loads.record_leased_end(endpoint, run.request_id)
        grant = self._grants.pop((run.request_id, endpoint), None)
        if grant is None:
            return
        ended = self._make_ended(run.request_id, endpoint, run)
        for owner in self._list_owners(endpoint, *grant):
            self._send(owner, ended)

    def renew(self) -> None:
        """Report to each owner which of its leases this instance holds."""
        now = self._ticker.now()
        held: dict[str, list[tuple[str, str, int]]] = {}
        for endpoint, run in self._loads.list_leased():
            grant = self._grants.get((run.request_id, endpoint))
            if grant is None:
                continue
            owner = (
                self._owners.find_endpoint_owner(grant[0], endpoint, now)
                or grant[1]
            )
            prefill_tokens = (
                run.prompt_tokens if run.first_event_at is None else 0
            )
            held.setdefault(owner, []).append(
                (run.request_id, endpoint, prefill_tokens)
            )
        for owner, rows in held.items():
            holding = messages.Holding(
                protocol=messages.PROTOCOL, instance=self._own, leases=rows
            )
            self._send(owner, holding)

    def _choose_owner(self, service: str) -> str | None:
        number = random.randrange(self._owners.count_pools(service))
        pool = ownership.Pool(service=service, number=number)
        return self._owners.find_owner(pool, self._ticker.now())

    def _list_owners(
        self, endpoint: str, service: str, granted_by: str
    ) -> set[str]:
        owner = self._owners.find_endpoint_owner(
            service, endpoint, self._ticker.now()
        )
        return {granted_by, owner or granted_by}

    def _await_grant(
        self,
        work: models.Work,
        service: str,
        tried: frozenset[str],
        paused: frozenset[str],
        owner: str,
        answers: gevent_queue.SimpleQueue,
        end: float,
    ) -> Answer | None:
        unanswered = 0
        while (now := self._ticker.now()) < end:
            self._send(
                owner, self._make_ask(work, service, tried, paused, now)
            )
            try:
                answer = answers.get(
                    timeout=min(ANSWER_TIMEOUT_SECONDS, end - now)
                )
            except gevent_queue.Empty:
                # If the request's maximum wait ended before the answer
                # timeout, the missing answer says nothing about the owner.
                unanswered += end - now >= ANSWER_TIMEOUT_SECONDS
                if unanswered >= MAX_UNANSWERED:
                    self._mark_unresponsive(owner)
                    return None
                continue
            unanswered = 0
            if isinstance(answer, messages.Queued):
                answer = self._wait_in_queue(answers, end)
            match answer:
                case messages.Granted():
                    # One that lay in the socket of a process that did not
                    # run has expired: its slot may have been granted again.
                    age = self._ticker.now() - now
                    return answer if age <= leases.EXPIRE_SECONDS else None
                case NoCapacity():
                    return answer
                case messages.Full(seconds=seconds):
                    return NoCapacity(retry_seconds=seconds)
                case messages.Declined():
                    return None
        return NoCapacity()

    def _wait_in_queue(
        self, answers: gevent_queue.SimpleQueue, end: float
    ) -> Answer | None:
        """Wait in the owner's queue until the next repeat of the request."""
        until = min(end, self._ticker.now() + QUEUED_ASK_INTERVAL_SECONDS)
        while (remaining := until - self._ticker.now()) > 0:
            try:
                answer = answers.get(timeout=remaining)
            except gevent_queue.Empty:
                return None
            match answer:
                case messages.Granted():
                    return answer
                case messages.Full(seconds=seconds):
                    return NoCapacity(retry_seconds=seconds)
        return None

    def _mark_unresponsive(self, owner: str) -> None:
        self._owners.mark_unresponsive(owner, self._ticker.now())
        self._log.write(events.OwnerSilent(owner=owner))

    def _make_ask(
        self,
        work: models.Work,
        service: str,
        tried: frozenset[str],
        paused: frozenset[str],
        now: float,
    ) -> messages.Ask:
        return messages.Ask(
            protocol=messages.PROTOCOL,
            instance=self._own,
            request=work.request_id,
            service=service,
            route=work.route.name,
            tier=work.tier,
            prompt=work.prompt_tokens,
            output=work.output_tokens,
            expected=work.expected_tokens,
            elapsed_seconds=now - work.arrived,
            remaining_seconds=work.deadline - now,
            tried=list(tried),
            paused=list(paused | self._list_unusable(service)),
            software=work.software,
            is_assigned=work.is_assigned,
            workspace=work.workspace,
            data_centre=work.data_centre,
        )

    def _make_ended(
        self,
        request_id: str,
        endpoint: str,
        run: runs.Run | None = None,
    ) -> messages.Ended:
        step_ms = self._loads.get_own_step_ms(endpoint) or 0.0
        tolerated, stated_at = self._brittle.get_statement(endpoint)
        age = self._ticker.now() - stated_at
        return messages.Ended(
            protocol=messages.PROTOCOL,
            instance=self._own,
            request=request_id,
            endpoint=endpoint,
            verdict=int(run.verdict if run else runs.Verdict.NOTHING),
            pace=int(step_ms * runs.NANOSECONDS_PER_MS)
            if run and run.first_event_at is not None
            else 0,
            seconds=run.answer_seconds if run else 0.0,
            brittle=-1.0 if tolerated is None else tolerated,
            brittle_age=age if math.isfinite(age) else -1.0,
        )
