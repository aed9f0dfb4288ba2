"""Decides when an overdue request is sent to another endpoint."""

import collections.abc

from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import jobs
from citronport.relay import progress as progress_module
from citronport.relay import silence
from citronport.relay import upstream
from citronport.scheduler.direct import models
from citronport.scheduler.direct import overdue
from citronport.scheduler.direct import wait_queue


class HeadTimeouts:
    """Decides when an overdue request is sent to another endpoint.

    Args:
        context: components shared by all requests.
        job: the request.
        progress: state of the request.
    """

    def __init__(
        self,
        context: jobs.RelayContext,
        job: jobs.Job,
        progress: progress_module.Progress,
    ) -> None:
        self._context = context
        self._job = job
        self._progress = progress

    def make(
        self,
        work: models.Work,
        reservation: dispatcher_module.Reservation,
        tried: frozenset[str],
        may_run_again: collections.abc.Callable[[], bool],
    ) -> upstream.HeadTimeout | None:
        """Return how long to wait for a response that is about to be sent.

        Args:
            work: the request, bound to the software version that began its
                stream.
            reservation: the reservation of the endpoint.
            tried: names of the endpoints that the request was sent to.
            may_run_again: returns whether the request may run once more, and
                takes that from the budget.

        Returns:
            None to wait until the deadline.
        """
        factor = self._context.loads.overdue.factor
        endpoint = reservation.endpoint
        now = self._context.ticker.now()
        route = self._job.work.route
        if not factor or route.repeat == models.RepeatPolicy.NON_IDEMPOTENT:
            return None
        if reservation.load > endpoint.slots:
            # It may wait for a slot there.
            return None
        if self._context.cluster_state.is_cold(endpoint.name, now):
            return None

        def should_stop() -> bool:
            # The run at this endpoint is not counted yet.
            possible_runs = self._progress.possible_runs + 1
            return (
                possible_runs < route.max_endpoints
                and self._is_at_fault(reservation)
                and self._has_alternative(work, tried)
                and may_run_again()
            )

        return upstream.HeadTimeout(
            seconds=overdue.compute_limit(
                factor, reservation.placement.seconds, route.objective
            ),
            should_stop=should_stop,
        )

    def _is_at_fault(self, reservation: dispatcher_module.Reservation) -> bool:
        """Return whether the delay is due to the endpoint.

        It may also be due to the path or to the load of the endpoint.
        """
        context = self._context
        endpoint = reservation.endpoint
        since = reservation.run.sent_at
        if context.paths.is_lost or context.paths.was_lost_since(since):
            return False
        configuration = context.cluster_state.configuration
        service = configuration and configuration.services.get(
            self._job.service
        )
        if silence.has_begun_on_all_slots(context.loads, endpoint, service):
            return False
        listed = context.cluster_state.list_endpoints(self._job.service)
        return context.loads.overdue.has_begun_elsewhere(
            endpoint.name, [e.name for e in listed], since
        )

    def _has_alternative(
        self, work: models.Work, tried: frozenset[str]
    ) -> bool:
        """Return whether another endpoint may have a free slot.

        Without one, a request that may not wait any more would be refused. An
        instance does not know the loads that an owner in another data centre
        knows, so that the request has to be able to wait all the same.
        """
        if not wait_queue.compute_max_wait(work, self._context.ticker.now()):
            return False
        listed = self._context.cluster_state.list_endpoints(self._job.service)
        return any(
            e.name not in tried and self._has_free_slot(e)
            for e in work.list_fitting(listed)
        )

    def _has_free_slot(self, endpoint: models.Endpoint) -> bool:
        context = self._context
        now = context.ticker.now()
        return (
            context.cluster_state.may_use(endpoint)
            and context.health.may_use(endpoint.name, now)
            and not context.pauses.is_paused(endpoint.start_id, now)
            and not context.cluster_state.is_cold(endpoint.name, now)
            and context.loads.count_requests(endpoint.name) < endpoint.slots
        )
