"""Reserves endpoint capacity for requests and queues those that must wait."""

import collections.abc
import dataclasses
import random

import gevent
from gevent import event as gevent_event

from citronport import clock
from citronport import errors
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import exclusions
from citronport.relay import fair_queues as fair_queues_module
from citronport.relay import lease_client as lease_client_module
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import owners as owners_module
from citronport.relay import service_view
from citronport.relay import settings
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import expectations
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import long_answers
from citronport.scheduler.direct import models
from citronport.scheduler.direct import pauses as pauses_module
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import selection
from citronport.scheduler.direct import wait_queue

MATCH_INTERVAL_SECONDS = 0.025
"""Interval at which queued requests are matched without another trigger. No
event signals that a suspect or cold endpoint may be used again."""

MAX_RETRY_SHARE = 0.3
"""Longest retry time, as a share of the caller's remaining time. Callers wait
for at most a third of that time before a retry."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reservation:
    """Capacity of an endpoint that is reserved for one request.

    Attributes:
        placement: the endpoint with its expected time and cost.
        run: record of the request in the load tracker.
        load: requests known to be at the endpoint, including this one.
        step_ms: known step time of the endpoint, milliseconds.
        leased: whether another instance granted the reservation.
    """

    placement: selection.Placement
    run: runs.Run
    load: int
    step_ms: float
    leased: bool = False

    @property
    def endpoint(self) -> models.Endpoint:
        """Endpoint that the request is sent to."""
        return self.placement.endpoint


class Dispatcher:
    """Reserves endpoint capacity for requests.

    Args:
        own: name of this instance.
        cluster_state: current configuration and endpoints.
        members: the other instances.
        loads: loads and step times of endpoints.
        health: health of endpoints.
        cold: endpoints that are cold.
        limits: rate limits announced by endpoints.
        pauses: pauses that endpoints ask this instance for.
        scheduling: optional rules.
        ticker: the clock.
        fair_queues: shares slots fairly between workspaces; None to serve
            requests of one urgency in order of arrival.
        renew_view: waits until the view of the store is no older than the
            latest time in which this process did not run.

    Attributes:
        exclusions: endpoints that are not chosen for this instance.
        owners: owners of the endpoints; None without leasing.
        lease_client: requests leases from the owners; None without leasing.
    """

    def __init__(
        self,
        own: str,
        cluster_state: cluster_state_module.ClusterState,
        members: membership_module.Membership,
        loads: load_tracker.LoadTracker,
        health: health_module.Health,
        cold: cold_starts.ColdStarts,
        limits: endpoint_limits.EndpointLimits,
        pauses: pauses_module.Pauses,
        scheduling: settings.Scheduling,
        ticker: clock.Clock,
        fair_queues: fair_queues_module.FairQueues | None = None,
        renew_view: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._own = own
        self._cluster_state = cluster_state
        self._loads = loads
        self._health = health
        self._cold = cold
        self._limits = limits
        self._pauses = pauses
        self.exclusions = exclusions.Exclusions(
            cluster_state, health, pauses, ticker
        )
        self._ticker = ticker
        self._selector = selection.Selector(loads, health, cold, limits)
        self._expectations = expectations.Expectations(loads)
        self._fair_queues = fair_queues
        self._renew_view = renew_view
        self.update_scheduling(scheduling)
        self._queues: dict[str, wait_queue.WaitQueue] = {}
        self._match_scheduled = False
        self.owners: owners_module.Owners | None = None
        self._views = service_view.ServiceViews(
            own,
            cluster_state,
            members,
            self._selector,
            pauses,
            lambda: self.owners,
        )
        self.lease_client: lease_client_module.LeaseClient | None = None

    def update_scheduling(self, scheduling: settings.Scheduling) -> None:
        """Use other optional rules from now on."""
        self._scheduling = scheduling
        self._selector.remote_penalty = scheduling.remote_penalty

    def acquire(
        self,
        work: models.Work,
        service: str,
        tried: frozenset[str],
        paused: frozenset[str] = frozenset(),
    ) -> Reservation | errors.Refusal:
        """Return a reservation for a request; wait for one if necessary.

        Args:
            work: the request.
            service: service that it is sent to.
            tried: names of endpoints that are chosen only if all others
                have been tried too.
            paused: names of further endpoints that are not chosen.
        """
        self._renew_view()
        if self._is_version_gone(work, service):
            return self._refuse(work, service)
        if self.exclusions.are_all_paused(work, service):
            return self._refuse(work, service)
        found = self._acquire_lease(work, service, tried, paused)
        if found is not None:
            return found
        now = self._ticker.now()
        assignment: gevent_event.AsyncResult = gevent_event.AsyncResult()
        waiter = wait_queue.Waiter(
            work=work,
            waiting_since=now,
            tried=tried,
            paused=paused,
            handle=assignment,
        )
        retry_seconds = self.enqueue(waiter, service)
        if retry_seconds is not None:
            return self._refuse(work, service, retry_seconds)
        try:
            # Not "get": its timeout is indistinguishable from the deadline
            # timeout of the whole request, which must end the request.
            assignment.wait(timeout=wait_queue.compute_max_wait(work, now))
        except BaseException:
            # The caller may have left just as the request got a slot, which
            # would stay occupied.
            if isinstance(assignment.value, Reservation):
                self.release(assignment.value, work.request_id)
            raise
        finally:
            self.cancel(waiter, service)
        return assignment.value or self._refuse(work, service)

    def enqueue(self, waiter: wait_queue.Waiter, service: str) -> float | None:
        """Queue a request and match it at once if there is capacity.

        Returns:
            None if the request got a reservation or is queued. If its
            expected wait exceeds its maximum wait, it is not queued, and the
            expected wait is returned, seconds.
        """
        queue = self._queues.get(service)
        if queue is None:
            queue = wait_queue.WaitQueue(
                lambda w: self._expectations.estimate_first_event(w, service),
                self._fair_queues and self._fair_queues.make_shares(service),
            )
            self._queues[service] = queue
        queue.add(waiter)
        is_full = self._match_queue(service, queue)
        if not queue.contains(waiter):
            return None
        if self._scheduling.fit_long_answers and not is_full:
            # It declined a free slot, or those ahead did; the forecast takes
            # for granted that each of them uses the next one.
            return None
        wait = self._forecast_wait(waiter, service, queue)
        if wait <= wait_queue.compute_max_wait(
            waiter.work, waiter.waiting_since
        ):
            return None
        queue.remove(waiter)
        return wait

    def _forecast_wait(
        self,
        waiter: wait_queue.Waiter,
        service: str,
        queue: wait_queue.WaitQueue,
    ) -> float:
        now = self._ticker.now()
        configuration = self._cluster_state.configuration
        known_service = configuration and configuration.services.get(service)
        endpoints = self._cluster_state.list_endpoints(service)
        if not known_service or not endpoints:
            # There is no data to base a forecast on.
            return 0.0
        slot_rate = self._selector.compute_slot_rate(known_service, endpoints)
        return queue.estimate_wait(waiter, slot_rate, now)

    def cancel(self, waiter: wait_queue.Waiter, service: str) -> None:
        """Remove a request from the queue."""
        self._queues[service].remove(waiter)

    def record_first_event(self, reservation: Reservation) -> None:
        """Report the first event of a leased request to its owner."""
        if reservation.leased and self.lease_client is not None:
            self.lease_client.report_begun(
                reservation.run.request_id, reservation.endpoint
            )

    def record_early_step_time(self, reservation: Reservation) -> None:
        """Report the first step time of an endpoint to its owner.

        The owner would otherwise learn it only at the end of the request,
        and place others there by the step time of a typical endpoint.
        """
        step_ms = self._loads.get_own_step_ms(reservation.endpoint.name)
        if (
            reservation.leased
            and self.lease_client is not None
            and step_ms is not None
        ):
            self.lease_client.report_begun(
                reservation.run.request_id, reservation.endpoint, step_ms
            )

    def release(self, reservation: Reservation, request_id: str) -> None:
        """Release a reservation."""
        if reservation.leased and self.lease_client is not None:
            self.lease_client.release(
                reservation.endpoint.name, reservation.run
            )
            return
        self._loads.record_end(
            reservation.endpoint.name, request_id, self._ticker.now()
        )
        self.schedule_match()

    def report_leaving(self, endpoint: models.Endpoint) -> None:
        """Report to the owner of an endpoint that it is leaving."""
        if self.lease_client is not None:
            self.lease_client.report_leaving(endpoint)

    def schedule_match(self) -> None:
        """Schedule one matching of queued requests with free capacity.

        An owner may receive a thousand released leases and lease requests a
        second while hundreds of requests wait. Scanning all endpoints for
        each message takes longer than the time between two messages, and
        the owner would stop answering. All pending messages are handled
        before one common scan.
        """
        if not self._match_scheduled and any(map(len, self._queues.values())):
            self._match_scheduled = True
            gevent.spawn(self._match_queues)

    def _match_queues(self) -> None:
        self._match_scheduled = False
        self._renew_view()
        for service, queue in self._queues.items():
            if len(queue):
                self._match_queue(service, queue)
            if len(queue) and self._fair_queues is not None:
                self._fair_queues.log_queue(service, queue)

    def run_match_loop(self) -> None:
        """Match queued requests at a fixed interval, indefinitely."""
        while True:
            self._ticker.sleep(MATCH_INTERVAL_SECONDS)
            self._match_queues()

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        leased = self.lease_client.count_waiting() if self.lease_client else 0
        return leased + sum(map(len, self._queues.values()))

    def _acquire_lease(
        self,
        work: models.Work,
        service: str,
        tried: frozenset[str],
        paused: frozenset[str],
    ) -> Reservation | errors.Refusal | None:
        if self.lease_client is None:
            return None
        unusable: frozenset[str] = frozenset()
        while True:
            match self.lease_client.acquire(
                work, service, tried | unusable, paused
            ):
                case messages.Granted() as granted:
                    found = self._accept_lease(
                        granted, work, self.lease_client
                    )
                    if found is not None or granted.endpoint in unusable:
                        return found
                    unusable |= {granted.endpoint}
                case lease_client_module.NoCapacity(retry_seconds=seconds):
                    return self._refuse(work, service, seconds)
                case None:
                    return None

    def _accept_lease(
        self,
        granted: messages.Granted,
        work: models.Work,
        lease_client: lease_client_module.LeaseClient,
    ) -> Reservation | None:
        name = granted.endpoint
        now = self._ticker.now()
        run = self._loads.record_leased_send(name, work, now)
        endpoint = self._cluster_state.endpoints.get(name)
        if (
            endpoint is None
            or not self._cluster_state.may_use(endpoint)
            or not work.fits(endpoint)
            or self._pauses.is_paused(endpoint.start_id, now)
        ):
            # The owner's copy of the store is newer or older than the one
            # here, or the endpoint stated after the lease request that it is
            # leaving or wants a pause.
            lease_client.release(name, run)
            if endpoint is not None and endpoint.leaving:
                lease_client.report_leaving(endpoint, granted.instance)
            return None
        self._cold.record_send(name, now)
        self._limits.record_send(name)
        self._health.record_send(name)
        placement = selection.Placement(
            endpoint=endpoint, seconds=granted.seconds, cost=granted.seconds
        )
        return Reservation(
            placement=placement,
            run=run,
            load=granted.load,
            step_ms=granted.pace / 1e6,
            leased=True,
        )

    def _match_queue(self, service: str, queue: wait_queue.WaitQueue) -> bool:
        """Match a queue; return whether no endpoint has capacity left."""
        now = self._ticker.now()
        configuration = self._cluster_state.configuration
        known_service = configuration and configuration.services.get(service)
        if not known_service:
            return True
        view = self._views.make(known_service, now)
        if not view.endpoints:
            return True

        def choose(waiter: wait_queue.Waiter) -> Reservation | None:
            return self._reserve(waiter, known_service, view, now)

        matched = queue.match(choose, now, lambda: not view.endpoints)
        for waiter, reservation in matched:
            waiter.handle.set(reservation)
        return not view.endpoints

    def _list_for_answer(
        self,
        work: models.Work,
        endpoints: list[models.Endpoint],
        view: service_view.ServiceView,
        excluded: frozenset[str],
        now: float,
    ) -> list[models.Endpoint]:
        if not self._scheduling.fit_long_answers:
            return endpoints
        return long_answers.list_fast_enough(
            work,
            endpoints,
            (
                e
                for e in work.list_fitting(view.listed)
                if e.name not in excluded and self._health.may_use(e.name, now)
            ),
            self._loads.get_step_ms,
            now,
        )

    def _reserve(
        self,
        waiter: wait_queue.Waiter,
        service: models.Service,
        view: service_view.ServiceView,
        now: float,
    ) -> Reservation | None:
        paused = waiter.paused
        if not waiter.leased:
            paused |= view.paused
        excluded = waiter.tried | paused
        fitting = waiter.work.list_fitting(view.endpoints)
        candidates = [e for e in fitting if e.name not in excluded]
        if not candidates and excluded >= view.list_names(waiter.work):
            candidates = [e for e in fitting if e.name not in paused]
        if self._expectations.may_wait_for_fast_engine(waiter, service, now):
            candidates = self._selector.list_for_prompt(
                waiter.work, service, candidates, view.typical_step_ms
            )
            candidates = self._list_for_answer(
                waiter.work, candidates, view, excluded, now
            )
        if not waiter.leased and view.sample_size < len(candidates):
            candidates = self._selector.draw_sample(
                waiter.work, candidates, view.sample_size
            )
        placement = self._selector.choose(
            waiter.work, service, candidates, now
        )
        if placement is None:
            return None
        name = placement.endpoint.name
        self._cold.record_send(name, now)
        self._limits.record_send(name)
        self._health.record_send(name)
        is_free = self._loads.count_requests(name) < placement.endpoint.slots
        run = self._loads.record_send(
            name, waiter.work, now, service.name if is_free else ""
        )
        if not self._selector.has_capacity(
            placement.endpoint, service, view.role, now
        ):
            view.endpoints.remove(placement.endpoint)
        return Reservation(
            placement=placement,
            run=run,
            load=self._loads.get_load(name).requests,
            step_ms=self._loads.get_step_ms(name),
        )

    def _is_version_gone(self, work: models.Work, service: str) -> bool:
        """Return whether no endpoint may continue the request's stream."""
        if not work.is_bound:
            return False
        listed = self._cluster_state.list_endpoints(service)
        return not work.list_fitting(listed)

    def _choose_refusal_code(
        self, work: models.Work, service: str
    ) -> errors.Code:
        if not self._cluster_state.list_endpoints(service):
            return errors.Code.NO_ENDPOINT
        if self._is_version_gone(work, service):
            return errors.Code.VERSION_GONE
        return errors.Code.OVERLOADED

    def _refuse(
        self, work: models.Work, service: str, retry_seconds: float = 0.0
    ) -> errors.Refusal:
        code = self._choose_refusal_code(work, service)
        remaining = max(0.0, work.deadline - self._ticker.now())
        # Most callers retry only once, so the retry time is not shorter than
        # the expected wait. The random spread keeps callers that are refused
        # in one burst from retrying in one burst.
        retry_seconds = max(retry_seconds, wait_queue.MIN_RETRY_AFTER_SECONDS)
        max_retry_seconds = MAX_RETRY_SHARE * remaining
        return errors.Refusal(
            code=code,
            retry_after=random.uniform(
                min(retry_seconds, 0.5 * max_retry_seconds),
                min(2 * retry_seconds, max_retry_seconds),
            ),
        )
