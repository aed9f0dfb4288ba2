"""Progress of a request, as written to the event log and the metrics."""

import dataclasses

from citronport import errors
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import events
from citronport.relay import jobs
from citronport.relay import metrics
from citronport.relay import request_events
from citronport.relay import upstream
from citronport.scheduler.direct import data_centres

MAX_LOGGED_PARTS = 8
"""Parts of a prompt in one log line. A head has room for a thousand."""


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one request so far.

    Attributes:
        attempts: sends to endpoints, including failed connects.
        possible_runs: endpoints that have run the request or may have.
        waited: time in the queue, seconds.
        endpoint: name of the endpoint chosen last.
        peer: name of the instance that it was forwarded to last.
        first: time to the first byte of the response, seconds; -1 before.
        longest: longest pause of the stream, seconds.
        status: HTTP status sent to the caller; 0 before.
        code: result code of the refusal; 0 for an endpoint's response.
        outcome: "answered", "refused" or "cut"; until then "left", which
            stays if the caller disconnects.
        end: what proved the end of the endpoint's answer, see
            ``connection.BodyEnd``; empty before.
        rest: bytes of a stream after its last complete event.
        repeat_allowed_at: clock time at which the budget of repeats allowed
            a send that has not been made yet, seconds; None if there is none.
    """

    attempts: int = 0
    possible_runs: int = 0
    waited: float = 0.0
    endpoint: str = ""
    peer: str = ""
    first: float = -1.0
    longest: float = 0.0
    status: int = 0
    code: int = 0
    outcome: str = "left"
    end: str = ""
    rest: int = 0
    repeat_allowed_at: float | None = None

    @property
    def is_known_not_run(self) -> bool:
        """Whether the refusal told the caller that its request did not run."""
        if self.outcome != "refused":
            return False
        meaning = errors.MEANINGS[errors.Code(self.code)]
        return meaning.ran == errors.Ran.NOT_RUN


def record_sent(
    context: jobs.RelayContext,
    job: jobs.Job,
    progress: Progress,
    reservation: dispatcher_module.Reservation,
    last_event_id: str | None,
) -> None:
    """Record, log and count a send, with the data that led to its endpoint.

    Args:
        context: components shared by all requests.
        job: the request.
        progress: state of the request.
        reservation: the reservation of the endpoint.
        last_event_id: id of the last event that the caller got in this
            answer; None if there is none.
    """
    resumption = job.resumption
    remote = _is_remote(job, reservation)
    context.loads.overdue.record_send(
        reservation.endpoint.name,
        job.work.request_id,
        context.ticker.now(),
        expected=reservation.placement.seconds,
        objective=job.work.route.objective,
        has_prompt=bool(job.work.prompt_tokens),
    )
    context.counts.sends["sent"] += 1
    context.counts.record_scope(remote=remote, request_bytes=len(job.body))
    context.counts.leased_sends += reservation.leased
    owners = context.dispatcher.owners
    if owners is not None and not reservation.leased:
        context.counts.unowned_start_sends += owners.is_unowned_at_start(
            job.service, context.ticker.now()
        )
    context.log.write(
        events.RequestSent(
            request=job.work.request_id,
            endpoint=reservation.endpoint.name,
            software=reservation.endpoint.software,
            remote=remote,
            resumes=resumption.begun_by if resumption else "",
            after=last_event_id or (resumption.after if resumption else ""),
            attempt=progress.attempts,
            waited=progress.waited,
            prompt=job.work.prompt_tokens,
            output=job.work.output_tokens,
            hint=job.work.expected_tokens,
            expected=reservation.placement.seconds,
            load=reservation.load,
            pace=reservation.step_ms,
            leased=reservation.leased,
            fingerprint=job.fingerprint,
            parts=list(job.work.parts[:MAX_LOGGED_PARTS]),
            repeat_delay=(
                -1.0
                if progress.repeat_allowed_at is None
                else context.ticker.now() - progress.repeat_allowed_at
            ),
        )
    )


def record_answer_bytes(
    context: jobs.RelayContext,
    job: jobs.Job,
    reservation: dispatcher_module.Reservation | None,
    exchange: upstream.Exchange,
) -> None:
    """Count the bytes of an answer's body that came from an endpoint.

    Args:
        context: components shared by all requests.
        job: the request.
        reservation: the reservation of the endpoint; None if another
            instance answered.
        exchange: the exchange with it.
    """
    if reservation is None:
        return
    scope = metrics.get_scope(remote=_is_remote(job, reservation))
    context.counts.body_bytes[scope, "answer"] += exchange.received_bytes


def _is_remote(
    job: jobs.Job, reservation: dispatcher_module.Reservation
) -> bool:
    return data_centres.is_remote(
        job.work.data_centre, reservation.endpoint.data_centre
    )


def record_forwarded(
    context: jobs.RelayContext, job: jobs.Job, progress: Progress, peer: str
) -> None:
    """Log and count a request that another instance is asked to send."""
    progress.peer = peer
    context.counts.sends["forwarded"] += 1
    context.log.write(
        events.RequestForwarded(
            request=job.work.request_id, peer=peer, attempt=progress.attempts
        )
    )


def record_forward_failed(
    context: jobs.RelayContext, job: jobs.Job, peer: str, what: str, ran: str
) -> None:
    """Log and count a forwarded request without an answer.

    Args:
        context: components shared by all requests.
        job: the request.
        peer: name of the other instance.
        what: what happened.
        ran: whether the request ran: "no" or "maybe".
    """
    context.counts.sends[f"not forwarded, ran: {ran}"] += 1
    context.log.write(
        events.ForwardFailed(
            request=job.work.request_id, peer=peer, what=what, ran=ran
        )
    )


def record_failed(
    context: jobs.RelayContext,
    job: jobs.Job,
    progress: Progress,
    reservation: dispatcher_module.Reservation,
    what: str,
    ran: str,
    *,
    cut: bool = False,
) -> None:
    """Log and count a send without a usable response.

    Args:
        context: components shared by all requests.
        job: the request.
        progress: state of the request.
        reservation: the reservation of the endpoint that it was sent to.
        what: what happened.
        ran: whether the request ran: "yes", "no" or "maybe".
        cut: whether the connection broke while the request was running.
    """
    context.counts.cut_sends += cut
    context.counts.sends[f"failed, ran: {ran}"] += 1
    context.log.write(
        events.SendFailed(
            request=job.work.request_id,
            endpoint=reservation.endpoint.name,
            attempt=progress.attempts,
            what=what,
            ran=ran,
            cut=cut,
            events=reservation.run.received_events,
            fingerprint=job.fingerprint,
        )
    )


def record_end(
    context: jobs.RelayContext, job: jobs.Job, progress: Progress
) -> None:
    """Log and count the end of a request."""
    _count_end(context, job, progress)
    work = job.work
    context.log.write(
        request_events.RequestEnded(
            request=work.request_id,
            route=work.route.name,
            repeat=str(work.route.repeat),
            objective=work.route.objective,
            max_gap=work.route.max_gap or 0.0,
            tier=work.tier,
            workspace=work.workspace,
            units=job.units,
            outcome=progress.outcome,
            status=progress.status,
            code=progress.code,
            endpoint=progress.endpoint,
            attempts=progress.attempts,
            waited=progress.waited,
            first=progress.first,
            longest=progress.longest,
            seconds=context.ticker.now() - work.arrived,
            version=job.version,
            end=progress.end,
            rest=progress.rest,
        )
    )


def _count_end(
    context: jobs.RelayContext, job: jobs.Job, progress: Progress
) -> None:
    counts = context.counts
    kind = str(job.work.route.repeat)
    counts.requests[kind, job.work.tier, progress.outcome] += 1
    counts.queue_seconds.observe(progress.waited)
    if progress.attempts > 1:
        counts.repeats += progress.attempts - 1
    if progress.first >= 0:
        counts.first_byte_seconds[kind].observe(progress.first)
    if progress.longest > 0:
        counts.longest_pauses.observe(progress.longest)
    if progress.outcome == "answered":
        counts.body_ends[progress.end] += 1
    if progress.outcome == "refused":
        counts.refusals[errors.Code(progress.code).name.lower()] += 1
