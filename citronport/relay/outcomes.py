"""Records what the sends of a request say about endpoints."""

from citronport.platform import requests
from citronport.relay import dispatcher
from citronport.relay import endpoint_headers
from citronport.relay import events
from citronport.relay import jobs
from citronport.relay import progress as progress_module
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import models
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import suspects

MIN_SILENCE_SECONDS = 1.0
"""Time without a first event after which a caller's disconnect counts as a
failure of the endpoint. An earlier disconnect says nothing about it."""


class Outcomes:
    """Records the outcomes of one request's sends.

    Args:
        context: components shared by all requests.
        job: the request.
        progress: state of the request, for log lines.
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
        self._has_begun = False

    def record_headers(
        self,
        reservation: dispatcher.Reservation,
        answer: requests.EndpointAnswer,
    ) -> None:
        """Record what the endpoint states in the headers of an answer."""
        endpoint_headers.record_headers(
            self._context, reservation.endpoint, answer
        )
        if not answer.is_success:
            self._record_begun(reservation)
        self._context.suspects.record_alive(
            reservation.endpoint,
            reservation.run.sent_at,
            self._context.ticker.now(),
        )

    def record_health(
        self, reservation: dispatcher.Reservation, good: bool
    ) -> None:
        """Record whether an answer is a good one."""
        now = self._context.ticker.now()
        if good:
            self._record_begun(reservation)
        self._context.health.record_answer(
            reservation.endpoint.name, good, now
        )
        reservation.run.verdict = (
            runs.Verdict.GOOD if good else runs.Verdict.FAILED
        )

    def record_not_run(
        self,
        reservation: dispatcher.Reservation,
        answer: requests.EndpointAnswer,
    ) -> None:
        """Record that the endpoint stated that it did not run the request."""
        self.record_failure(reservation, f"status {answer.status}", "no")
        if answer.turned_away:
            reservation.run.verdict = runs.Verdict.REJECTED

    def record_unreachable(
        self,
        reservation: dispatcher.Reservation,
        reason: str,
        since: float | None = None,
    ) -> bool:
        """Record that nothing was sent, as the endpoint is out of reach.

        Args:
            reservation: the endpoint's reservation.
            reason: what happened instead.
            since: clock time at which the attempt began, seconds; None if
                it does not matter.

        Returns:
            Whether this is a fault of the endpoint and not of the path.
        """
        name = reservation.endpoint.name
        reservation.run.verdict = runs.Verdict.UNREACHABLE
        self._log_failure(reservation, reason, "no")
        return self._context.health.record_unreachable(
            name, self._context.ticker.now(), since
        )

    def record_no_connection(
        self,
        reservation: dispatcher.Reservation,
        reason: str,
        since: float,
    ) -> bool:
        """Record that no connection to the endpoint was established.

        Args:
            reservation: the endpoint's reservation.
            reason: what happened instead.
            since: clock time at which the attempt began, seconds.

        Returns:
            Whether this is a fault of the endpoint and not of the path.
        """
        if self._context.paths.may_blame_endpoint(since):
            return self.record_unreachable(reservation, reason, since)
        self._log_failure(reservation, reason, "no")
        return False

    def record_failure(
        self,
        reservation: dispatcher.Reservation,
        reason: str,
        ran: str,
        *,
        cut: bool = False,
    ) -> None:
        """Record a send that failed.

        Args:
            reservation: the endpoint's reservation.
            reason: what happened.
            ran: whether the request ran: "yes", "no" or "maybe".
            cut: whether the connection broke while the request was running.
        """
        self._log_failure(reservation, reason, ran, cut=cut)
        now = self._context.ticker.now()
        if cut and not self._context.paths.may_blame_endpoint(now):
            return
        self.record_health(reservation, False)
        if cut:
            self._record_crash(reservation.endpoint)

    def record_events(self, reservation: dispatcher.Reservation) -> None:
        """Record that events of an answer arrived."""
        events_needed = suspects.BEGUN_EVENTS
        if self._has_begun or reservation.run.received_events < events_needed:
            return
        self._has_begun = True
        self._context.suspects.record_begun(
            self._job.content, self._context.ticker.now()
        )

    def record_completion(self, *, is_proved: bool) -> None:
        """Record that the request ran to a good end.

        Args:
            is_proved: whether the endpoint itself marked the end.
        """
        self._context.suspects.record_completion(
            self._job.content,
            self._context.ticker.now(),
            clears_parts=is_proved,
        )

    def record_silence(
        self, reservation: dispatcher.Reservation, *, past_deadline: bool
    ) -> None:
        """Record that a request ended before the endpoint's first event.

        An endpoint that accepts requests and never answers looks idle and
        healthy, and attracts more. Callers that disconnect are the only sign
        of its failure.

        Args:
            reservation: the endpoint's reservation.
            past_deadline: whether the deadline passed; otherwise the caller
                disconnected.
        """
        if reservation.run.first_event_at is not None:
            return
        if self._context.paths.was_lost_since(reservation.run.sent_at):
            self._log_failure(reservation, "silence", "maybe")
            return
        silence = self._context.ticker.now() - reservation.run.sent_at
        if past_deadline or silence >= MIN_SILENCE_SECONDS:
            # An endpoint that is no longer listed may have crashed, and its
            # connection reset may have been lost.
            is_unlisted = (
                reservation.endpoint.name
                not in self._context.cluster_state.endpoints
            )
            self.record_failure(
                reservation, "silence", "maybe", cut=is_unlisted
            )

    def record_overdue(self, reservation: dispatcher.Reservation) -> None:
        """Record a request that is sent elsewhere as it is overdue."""
        self._progress.possible_runs += 1
        self._log_failure(reservation, "overdue", "maybe")
        self._context.counts.overdue_repeats += 1
        reservation.run.verdict = runs.Verdict.OVERDUE
        self._context.loads.overdue.record_end(
            reservation.endpoint.name,
            self._job.work.request_id,
            self._context.ticker.now(),
        )

    def _record_begun(self, reservation: dispatcher.Reservation) -> None:
        name = reservation.endpoint.name
        now = self._context.ticker.now()
        if self._context.loads.overdue.record_begun(
            name, self._job.work.request_id, now
        ):
            self._context.health.record_reached(name, now)

    def _record_crash(self, endpoint: models.Endpoint) -> None:
        cause = self._context.suspects.record_crash(
            self._job.content,
            endpoint,
            self._context.ticker.now(),
            has_begun=self._has_begun,
        )
        if cause is None:
            return
        self._context.log.write(
            events.RequestBarred(
                request=self._job.work.request_id,
                endpoint=endpoint.name,
                fingerprint=self._job.fingerprint,
                whole=self._job.fingerprint in cause,
                parts=[
                    name
                    for name in self._job.work.parts
                    if fingerprints.make_part_fingerprint(name) in cause
                ],
            )
        )

    def _log_failure(
        self,
        reservation: dispatcher.Reservation,
        what: str,
        ran: str,
        *,
        cut: bool = False,
    ) -> None:
        progress_module.record_failed(
            self._context,
            self._job,
            self._progress,
            reservation,
            what,
            ran,
            cut=cut,
        )
