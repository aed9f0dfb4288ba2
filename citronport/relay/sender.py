"""Forwards one request to an endpoint and its response to the caller."""

import collections.abc

import gevent
from geventhttpclient import response as http_response

from citronport import errors
from citronport import eventstream
from citronport.callers import disconnects
from citronport.callers import replies
from citronport.endpoints import connection
from citronport.platform import requests
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import jobs
from citronport.relay import outcomes
from citronport.relay import peer_send
from citronport.relay import progress as progress_module
from citronport.relay import refusals
from citronport.relay import repeats
from citronport.relay import streams
from citronport.relay import upstream
from citronport.scheduler.direct import models

BUFFERED_BYTES = 65536
"""Responses of plain services up to this size are read in full before the
caller gets a byte, so that a response that breaks off can still be replaced
by a retry or an error."""


class Sender:
    """Forwards one request.

    Args:
        context: components shared by all requests.
        job: the request.
    """

    def __init__(self, context: jobs.RelayContext, job: jobs.Job) -> None:
        self._context = context
        self._job = job
        self._work = job.work
        origin = job.origin
        self._tried = origin.tried if origin else frozenset()
        self._paused = origin.paused if origin else frozenset()
        self._reservation: dispatcher_module.Reservation | None = None
        self._exchange: upstream.Exchange | None = None
        self._is_started = False
        self._connecting_since = 0.0
        self._doubts_path = False
        self._last_event_id = origin.last_event_id if origin else None
        self.progress = progress_module.Progress(
            possible_runs=origin.possible_runs if origin else 0
        )
        self._outcomes = outcomes.Outcomes(context, job, self.progress)
        self._repeats = repeats.Repeats(context, job, self.progress)
        self._peer_send = peer_send.PeerSend(context, job, self.progress)

    def answer(
        self, start_response: replies.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        """Yield the response as it arrives.

        Raises:
            StreamCutError: the response broke off after its first byte.
        """
        remaining = self._work.deadline - self._context.ticker.now()
        timeout = gevent.Timeout(max(0.0, remaining))
        try:
            with timeout:
                yield from self._answer(start_response)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            self._record_silence(past_deadline=True)
            yield from self._fail(
                start_response,
                refusals.make_past_deadline(self.progress.attempts),
            )
        except disconnects.CallerDisconnected:
            self._record_silence(past_deadline=False)
            raise
        finally:
            self._release()
            self._repeats.release()
            progress_module.record_end(self._context, self._job, self.progress)

    def _answer(
        self, start_response: replies.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        while True:
            found = self._send_until_answered()
            if isinstance(found, errors.Refusal):
                yield from self._fail(start_response, found)
                return
            try:
                yield from self._forward(start_response, found)
            except (OSError, http_response.HTTPParseError) as error:
                if self._reservation is None:
                    refusal = self._peer_send.handle_loss(type(error).__name__)
                    yield from self._fail(start_response, refusal)
                    return
                self._outcomes.record_failure(
                    self._reservation,
                    type(error).__name__,
                    "maybe",
                    cut=not isinstance(error, connection.OversizedAnswerError),
                )
                if self._may_run_again():
                    continue
                refusal = errors.Refusal(code=errors.Code.ENDPOINT_LOST)
                yield from self._fail(start_response, refusal)
            return

    def _send_until_answered(self) -> requests.EndpointAnswer | errors.Refusal:
        """Send until an endpoint answers or no further send is allowed."""
        while True:
            self._release()
            if self._should_forward():
                found = self._send_by_peer()
                if found is not None:
                    return found
            refusal = self._reserve()
            if refusal is not None:
                return refusal
            match self._send():
                case upstream.Answered(answer=answer):
                    reservation = self._get_reservation()
                    self._outcomes.record_headers(reservation, answer)
                    if self._should_try_another(answer):
                        continue
                    if not streams.may_follow(self.progress.status, answer):
                        return self._refuse_resumed(answer)
                    return answer
                case failure:
                    if (refusal := self._handle_failure(failure)) is not None:
                        return refusal

    def _handle_failure(
        self, outcome: upstream.Failure
    ) -> errors.Refusal | None:
        """Return None if another endpoint may be tried, else a refusal."""
        match outcome:
            case upstream.Unreachable(reason=reason):
                self._doubts_path = not self._outcomes.record_no_connection(
                    self._get_reservation(), reason, self._connecting_since
                )
                if self.progress.attempts >= repeats.MAX_SENDS:
                    return self._refuse_overloaded()
            case upstream.Barred():
                return self._refuse_barred()
            case upstream.Paused():
                if self.progress.attempts >= repeats.MAX_SENDS:
                    return self._refuse_overloaded()
            case upstream.Replaced():
                # After endpoints crashed and restarted, the list may still
                # name the old ones. An endpoint that is gone looks idle and
                # would be chosen for each request that finds the others
                # full, so it counts as unreachable at once.
                self._outcomes.record_unreachable(
                    self._get_reservation(), "another endpoint answers there"
                )
                if not self._repeats.may_send_again():
                    return self._refuse_overloaded()
            case upstream.NotRun(answer=answer):
                self._outcomes.record_headers(self._get_reservation(), answer)
                self._outcomes.record_not_run(self._get_reservation(), answer)
                if not self._repeats.may_send_again():
                    return self._refuse_overloaded()
            case upstream.Overdue():
                self._outcomes.record_overdue(self._get_reservation())
            case upstream.Broken(reason=reason, cut=cut):
                self.progress.possible_runs += 1
                self._outcomes.record_failure(
                    self._get_reservation(), reason, "maybe", cut=cut
                )
                if not self._may_run_again():
                    return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
        return None

    def _should_forward(self) -> bool:
        """Return whether another instance is asked to send the request.

        A forwarded request is not forwarded again: it could go round between
        instances without a path until its deadline.
        """
        if self._job.origin is not None:
            return False
        return self._doubts_path or self._context.paths.is_lost

    def _send_by_peer(self) -> requests.EndpointAnswer | errors.Refusal | None:
        """Send the request by way of another instance that has a path.

        Returns:
            Its answer or refusal; None if no instance takes the request.
        """
        if self._repeats.is_barred():
            return self._refuse_barred()
        found = self._peer_send.send(
            self._tried,
            self._repeats.is_counted,
            self._last_event_id,
            self._work.software,
        )
        self._exchange = self._peer_send.exchange
        if found is not None:
            self._repeats.release()
        if isinstance(found, errors.Refusal) or found is None:
            return found
        if not streams.may_follow(self.progress.status, found):
            return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
        return found

    def _reserve(self) -> errors.Refusal | None:
        if self._repeats.is_barred():
            return self._refuse_barred()
        began = self._context.ticker.now()
        found = self._context.dispatcher.acquire(
            self._work, self._job.service, self._tried, self._paused
        )
        self.progress.waited += self._context.ticker.now() - began
        if isinstance(found, errors.Refusal):
            if self.progress.possible_runs:
                # Another endpoint may have run the request. A "not run"
                # response would be false and make the caller send it again.
                return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
            return found
        self._reservation = found
        self._tried |= {found.endpoint.name}
        return None

    def _send(self) -> upstream.Outcome:
        reservation = self._get_reservation()
        endpoint = reservation.endpoint
        self.progress.attempts += 1
        self.progress.endpoint = endpoint.name
        exchange = upstream.Exchange(endpoint.address, self._work.request_id)
        self._exchange = exchange
        self._connecting_since = self._context.ticker.now()
        unreachable = exchange.open()
        if unreachable is not None:
            self._context.paths.record_failed(endpoint.name)
            return unreachable
        self._context.paths.record_reached()
        self._doubts_path = False
        self._context.renew_view()
        now = self._context.ticker.now()
        # The endpoint may have started to leave while this request waited.
        # No wait lies between this check and the send.
        if not self._context.cluster_state.may_use(endpoint):
            return upstream.Unreachable(reason="no longer in use")
        if self._context.pauses.is_paused(endpoint.start_id, now):
            return upstream.Paused()
        if self._repeats.is_barred():
            return upstream.Barred()
        progress_module.record_sent(
            self._context,
            self._job,
            self.progress,
            reservation,
            self._last_event_id,
        )
        self._repeats.record_send()
        return exchange.send(
            requests.make_request(
                self._job.method,
                self._job.target,
                self._job.headers,
                self._job.body,
                endpoint,
                None
                if self._job.workspace is None
                else self._job.workspace.name,
                self._work.deadline - now,
                self._last_event_id,
            ),
            self._repeats.head_timeouts.make(
                self._work, reservation, self._tried, self._may_run_again
            ),
        )

    def _forward(
        self,
        start_response: replies.StartResponse,
        answer: requests.EndpointAnswer,
    ) -> collections.abc.Iterator[bytes]:
        is_stream = self._work.route.repeat == models.RepeatPolicy.STREAM
        if is_stream and answer.is_success and answer.may_hold_events:
            yield from self._forward_stream(start_response, answer)
        else:
            yield from self._forward_plain(start_response, answer)

    def _forward_plain(
        self,
        start_response: replies.StartResponse,
        answer: requests.EndpointAnswer,
    ) -> collections.abc.Iterator[bytes]:
        assert self._exchange is not None
        parts = []
        size = 0
        while (data := self._exchange.read()) and size <= BUFFERED_BYTES:
            parts.append(data)
            size += len(data)
        self._record_plain_answer(answer)
        headers = list(answer.headers)
        if not data:
            headers.append(("Content-Length", str(size)))
        self._start(start_response, answer.status, headers)
        yield b"".join(parts)
        while data:
            yield data
            data = self._exchange.read()
        self.progress.end = self._exchange.get_end()
        self.progress.outcome = "answered"
        if answer.is_success:
            self._record_completion()

    def _record_plain_answer(self, answer: requests.EndpointAnswer) -> None:
        reservation = self._reservation
        if reservation is None:
            # The instance that sent the request on records it.
            return
        # Endpoints name the request that they answer. Anything else at their
        # address may refuse each request at once, and would seem to be fast.
        is_good = answer.status < 500 and bool(answer.request_id)
        self._outcomes.record_health(reservation, is_good)
        self._context.loads.record_answer(
            reservation.endpoint.name,
            reservation.run,
            self._context.ticker.now(),
        )

    def _forward_stream(
        self,
        start_response: replies.StartResponse,
        answer: requests.EndpointAnswer,
    ) -> collections.abc.Iterator[bytes]:
        assert self._exchange is not None
        reader = streams.EventReader(
            self._exchange,
            is_event_stream=self._is_started or answer.is_event_stream,
        )
        while events := reader.read():
            self._record_events(events)
            if not self._is_started:
                self._start(start_response, answer.status, answer.headers)
            yield events
        self.progress.end = self._exchange.get_end()
        self.progress.rest = len(reader.rest)
        if not self._is_started:
            self._start(start_response, answer.status, answer.headers)
        if reader.rest:
            yield reader.rest
        if self._reservation is not None:
            self._outcomes.record_health(self._reservation, True)
        self.progress.outcome = "answered"
        self._record_completion()

    def _record_completion(self) -> None:
        self._context.stream_versions.forget(
            self._work.request_id, self._job.resumption
        )
        # Another instance frames an answer anew, whatever its endpoint did.
        is_framed = self.progress.end == connection.BodyEnd.FRAMED
        self._outcomes.record_completion(
            is_proved=is_framed and self._reservation is not None
        )

    def _record_events(self, events: bytes) -> None:
        last = eventstream.find_last_event_id(events)
        if last is not None:
            self._last_event_id = last
        reservation = self._reservation
        if reservation is None:
            return
        now = self._context.ticker.now()
        if reservation.run.first_event_at is None:
            self._outcomes.record_health(reservation, True)
            self._context.dispatcher.record_first_event(reservation)
            # What two versions write does not fit together, and an endpoint
            # of another one would go on all the same.
            self._work = self._work.bind(reservation.endpoint.software)
            if self._work.route.resumable:
                self._context.stream_versions.record(
                    self._work.request_id,
                    self._job.resumption,
                    reservation.endpoint,
                )
        configuration = self._context.cluster_state.configuration
        services = configuration.services if configuration else {}
        service = services.get(self._job.service)
        engine = service.engine if service else None
        if self._context.loads.record_events(
            reservation.endpoint.name,
            reservation.run,
            eventstream.count_events(events),
            engine.event_tokens if engine else 1,
            now,
        ):
            self._context.dispatcher.record_early_step_time(reservation)
        self._outcomes.record_events(reservation)

    def _start(
        self,
        start_response: replies.StartResponse,
        status: int,
        headers: collections.abc.Iterable[replies.Header],
    ) -> None:
        now = self._context.ticker.now()
        self.progress.first = now - self._work.arrived
        self.progress.status = status
        self._is_started = True
        start_response(f"{status} Answer", list(headers))

    def _fail(
        self,
        start_response: replies.StartResponse,
        refusal: errors.Refusal,
    ) -> collections.abc.Iterator[bytes]:
        self._release()
        self.progress.code = int(refusal.code)
        if self._is_started:
            # The status has been sent; only an unclean end of the connection
            # tells the caller that its response is incomplete.
            self.progress.outcome = "cut"
            raise replies.StreamCutError(refusal.code.name)
        self.progress.outcome = "refused"
        self.progress.status = refusal.meaning.status
        yield from refusals.answer(start_response, refusal)

    def _refuse_resumed(
        self, answer: requests.EndpointAnswer
    ) -> errors.Refusal:
        # The caller has a success status and part of a stream. The body of
        # any other response after it would look like its regular end.
        self._outcomes.record_failure(
            self._get_reservation(),
            f"status {answer.status}, not the rest of a stream",
            "yes",
        )
        return errors.Refusal(code=errors.Code.ENDPOINT_LOST)

    def _should_try_another(self, answer: requests.EndpointAnswer) -> bool:
        # An endpoint that fails only some of its requests still looks healthy
        # and gets more of them. So that a request with a long prompt is not
        # lost to a failure before its first event, each request that may run
        # twice is retried at another endpoint.
        self.progress.possible_runs += 1
        if answer.status < 500 or not self._may_run_again():
            return False
        self._outcomes.record_failure(
            self._get_reservation(), f"status {answer.status}", "yes"
        )
        return True

    def _may_run_again(self) -> bool:
        return self._repeats.may_run_again(
            is_started=self._is_started, last_event_id=self._last_event_id
        )

    def _refuse_overloaded(self) -> errors.Refusal:
        remaining = max(0.0, self._work.deadline - self._context.ticker.now())
        return refusals.make_overloaded(
            self.progress.possible_runs,
            min(
                dispatcher_module.MAX_RETRY_SHARE * remaining,
                dispatcher_module.wait_queue.MIN_RETRY_AFTER_SECONDS,
            ),
        )

    def _refuse_barred(self) -> errors.Refusal:
        return refusals.make_barred(self.progress.possible_runs)

    def _record_silence(self, *, past_deadline: bool) -> None:
        if self._reservation is not None:
            self._outcomes.record_silence(
                self._reservation, past_deadline=past_deadline
            )

    def _get_reservation(self) -> dispatcher_module.Reservation:
        assert self._reservation is not None
        return self._reservation

    def _release(self) -> None:
        self._peer_send.close()
        if self._exchange is not None:
            progress_module.record_answer_bytes(
                self._context, self._job, self._reservation, self._exchange
            )
            self._exchange.close()
            self._exchange = None
        if self._reservation is not None:
            reservation, self._reservation = self._reservation, None
            self.progress.longest = max(
                self.progress.longest, reservation.run.longest_gap
            )
            self._context.health.record_no_result(reservation.endpoint.name)
            self._context.dispatcher.release(
                reservation, self._work.request_id
            )
