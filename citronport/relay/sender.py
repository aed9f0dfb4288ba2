"""Carries one request to endpoints and its answer back to the caller."""

import collections.abc

import gevent
from geventhttpclient import response as http_response

from citronport import errors
from citronport.callers import disconnects
from citronport.callers import replies
from citronport.platform import requests
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import events as log_events
from citronport.relay import jobs
from citronport.relay import limits as limits_module
from citronport.relay import progress as progress_module
from citronport.relay import refusals
from citronport.relay import upstream
from citronport.scheduler.direct import models
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import suspects

MAX_SENDS = 4
"""Endpoints that may turn one request away before it is refused."""

BUFFERED_BYTES = 65536
"""Answers of plain services up to this size are read whole before the
caller gets a byte, so that one that breaks can still be answered truly."""

EVENT_END = b"\n\n"

SILENT_SECONDS = 1.0
"""A caller that leaves after so long without a first event speaks against
the endpoint; one that leaves sooner had its own reasons."""


class Sender:
    """One request on its way.

    Args:
        parts: shared by all requests.
        job: the request.
    """

    def __init__(self, parts: jobs.Parts, job: jobs.Job) -> None:
        self._parts = parts
        self._job = job
        self._work = job.work
        self._tried: frozenset[str] = frozenset()
        self._booking: dispatcher_module.Booking | None = None
        self._exchange: upstream.Exchange | None = None
        self._begun = False
        self._last_event: str | None = None
        self.progress = progress_module.Progress()

    def answer(
        self, start_response: replies.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        """Write out the answer as it comes.

        Raises:
            StreamCutError: the answer broke after its first byte.
        """
        left = self._work.deadline - self._parts.ticker.now()
        timeout = gevent.Timeout(max(0.0, left))
        try:
            with timeout:
                yield from self._answer(start_response)
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            self._note_silence(late=True)
            yield from self._fail(start_response, self._refuse_late())
        except disconnects.CallerDisconnected:
            self._note_silence(late=False)
            raise
        finally:
            self._leave()
            progress_module.tell_end(self._parts, self._job, self.progress)

    def _answer(
        self, start_response: replies.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        while True:
            found = self._find_answer()
            if isinstance(found, errors.Refusal):
                yield from self._fail(start_response, found)
                return
            try:
                yield from self._pass_on(start_response, found)
            except (OSError, http_response.HTTPParseError) as error:
                self._note_failed(type(error).__name__, "maybe", cut=True)
                if self._may_go_on():
                    continue
                refusal = errors.Refusal(code=errors.Code.ENDPOINT_LOST)
                yield from self._fail(start_response, refusal)
            return

    def _find_answer(self) -> requests.EndpointAnswer | errors.Refusal:
        """Send until an endpoint answers or no send is left."""
        while True:
            self._leave()
            refusal = self._book()
            if refusal is not None:
                return refusal
            match self._send():
                case upstream.Answered(answer=answer):
                    self._note_limit(answer)
                    if self._should_try_another(answer):
                        continue
                    if self._begun and not is_success(answer):
                        return self._lose(answer)
                    return answer
                case failure:
                    refusal = self._weigh_failure(failure)
                    if refusal is not None:
                        return refusal

    def _weigh_failure(
        self, outcome: upstream.Failure
    ) -> errors.Refusal | None:
        """Return None if the request may go to one more endpoint."""
        match outcome:
            case upstream.Unreachable(reason=reason):
                self._note_unreachable(reason)
                if self.progress.attempts >= MAX_SENDS:
                    return self._refuse_busy()
            case upstream.Withheld():
                return self._refuse_barred()
            case upstream.Replaced():
                # Load: endpoints that died and were started anew, while
                # the list still names the old ones. Harm: one that is
                # gone looks idle and takes each request that finds the
                # others full; it counts as out of reach at once.
                self._note_unreachable("another endpoint answers there")
                if not self._may_repeat():
                    return self._refuse_busy()
            case upstream.NotRun(answer=answer):
                self._note_limit(answer)
                self._note_failed(f"status {answer.status}", "no")
                if not self._may_repeat():
                    return self._refuse_busy()
            case upstream.Broken(reason=reason, cut=cut):
                self.progress.ran += 1
                self._note_failed(reason, "maybe", cut=cut)
                if not self._may_go_on():
                    return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
        return None

    def _book(self) -> errors.Refusal | None:
        if self._is_barred():
            return self._refuse_barred()
        began = self._parts.ticker.now()
        found = self._parts.dispatcher.acquire(
            self._work, self._job.service, self._tried
        )
        self.progress.waited += self._parts.ticker.now() - began
        if isinstance(found, errors.Refusal):
            if self.progress.ran:
                # Another endpoint may have run it: "not run" would be a
                # lie, on which the caller would send it again.
                return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
            return found
        self._booking = found
        self._tried |= {found.endpoint.name}
        return None

    def _send(self) -> upstream.Outcome:
        booking = self._booking
        assert booking is not None
        endpoint = booking.endpoint
        self.progress.attempts += 1
        self.progress.endpoint = endpoint.name
        exchange = upstream.Exchange(endpoint.address, self._work.request_id)
        self._exchange = exchange
        unreachable = exchange.open()
        if unreachable is not None:
            return unreachable
        now = self._parts.ticker.now()
        # While the connection came about, or the process was stopped, the
        # endpoint may have begun to leave. Nothing waits between this look
        # and the send, so that no old view is acted on.
        if not self._parts.world.may_use(endpoint):
            return upstream.Unreachable(reason="no longer in use")
        if self._is_barred():
            return upstream.Withheld()
        if self.progress.attempts == 1:
            self._parts.budgets(self._job.service).note_first(now)
        progress_module.tell_sent(
            self._parts, self._job, self.progress, booking
        )
        return exchange.send(
            requests.make_request(
                self._job.method,
                self._job.target,
                self._job.fields,
                self._job.body,
                endpoint,
                None
                if self._job.workspace is None
                else self._job.workspace.name,
                self._work.deadline - now,
                self._last_event,
            )
        )

    def _pass_on(
        self,
        start_response: replies.StartResponse,
        answer: requests.EndpointAnswer,
    ) -> collections.abc.Iterator[bytes]:
        is_stream = self._work.route.repeat == models.Repeat.STREAM
        if is_stream and is_success(answer):
            yield from self._pass_events(start_response, answer)
            return
        yield from self._pass_whole(start_response, answer)

    def _pass_whole(
        self,
        start_response: replies.StartResponse,
        answer: requests.EndpointAnswer,
    ) -> collections.abc.Iterator[bytes]:
        assert self._exchange is not None
        assert self._booking is not None
        parts = []
        size = 0
        while (data := self._exchange.read()) and size <= BUFFERED_BYTES:
            parts.append(data)
            size += len(data)
        now = self._parts.ticker.now()
        good = answer.status < 500
        self._note_good(good, now)
        self._parts.board.note_answer(
            self._booking.endpoint.name, self._booking.run, now
        )
        headers = list(answer.headers)
        if not data:
            headers.append(("Content-Length", str(size)))
        self._start(start_response, answer.status, headers)
        yield b"".join(parts)
        while data:
            yield data
            data = self._exchange.read()
        self.progress.outcome = "answered"
        if is_success(answer):
            self._note_whole()

    def _pass_events(
        self,
        start_response: replies.StartResponse,
        answer: requests.EndpointAnswer,
    ) -> collections.abc.Iterator[bytes]:
        assert self._exchange is not None
        rest = b""
        while data := self._exchange.read():
            # Whole events only: one that breaks off could not be told from
            # the next, be it of this endpoint or of the one that goes on.
            events, rest = replies.split_events(rest + data)
            if not events:
                continue
            self._note_events(events)
            if not self._begun:
                self._start(start_response, answer.status, answer.headers)
            yield events
        if not self._begun:
            self._start(start_response, answer.status, answer.headers)
        if rest:
            yield rest
        self._note_good(True, self._parts.ticker.now())
        self.progress.outcome = "answered"
        self._note_whole()

    def _note_events(self, events: bytes) -> None:
        booking = self._booking
        assert booking is not None
        now = self._parts.ticker.now()
        if booking.run.first is None:
            self._note_good(True, now)
            self._parts.dispatcher.note_begun(booking)
        configuration = self._parts.world.configuration
        service = configuration and configuration.services.get(
            self._job.service
        )
        engine = service.engine if service else None
        self._parts.board.note_events(
            booking.endpoint.name,
            booking.run,
            events.count(EVENT_END),
            engine.event_tokens if engine else 1,
            now,
        )
        last = find_last_event(events)
        if last is not None:
            self._last_event = last

    def _start(
        self,
        start_response: replies.StartResponse,
        status: int,
        headers: collections.abc.Iterable[replies.Header],
    ) -> None:
        now = self._parts.ticker.now()
        self.progress.first = now - self._work.arrived
        self.progress.status = status
        self._begun = True
        start_response(f"{status} Answer", list(headers))

    def _fail(
        self,
        start_response: replies.StartResponse,
        refusal: errors.Refusal,
    ) -> collections.abc.Iterator[bytes]:
        self._leave()
        self.progress.code = int(refusal.code)
        if self._begun:
            # The status is out already: only an unclean end tells the
            # caller that its answer is not whole.
            self.progress.outcome = "cut"
            raise replies.StreamCutError(refusal.code.name)
        self.progress.outcome = "refused"
        self.progress.status = refusal.meaning.status
        yield from refusals.answer(start_response, refusal)

    def _lose(self, answer: requests.EndpointAnswer) -> errors.Refusal:
        # The caller has the head of a success and part of a stream: the
        # body of a failure behind them would look like its whole end.
        self._note_failed(f"status {answer.status} to a resumed stream", "yes")
        return errors.Refusal(code=errors.Code.ENDPOINT_LOST)

    def _should_try_another(self, answer: requests.EndpointAnswer) -> bool:
        # Load: an endpoint that fails part of its requests while it looks
        # well. Harm: a long prompt is lost to a failure that came before
        # its first event. Whatever may run twice goes elsewhere.
        self.progress.ran += 1
        if answer.status < 500 or not self._may_go_on():
            return False
        self._note_failed(f"status {answer.status}", "yes")
        return True

    def _may_go_on(self) -> bool:
        """Return whether a request that may have run may go elsewhere."""
        route = self._work.route
        if route.repeat == models.Repeat.NON_IDEMPOTENT:
            return False
        if route.repeat == models.Repeat.STREAM and not route.resumable:
            return False
        if self.progress.ran >= route.max_endpoints or self._is_barred():
            return False
        return self._may_repeat()

    def _may_repeat(self) -> bool:
        if self.progress.attempts >= MAX_SENDS:
            return False
        now = self._parts.ticker.now()
        if now >= self._work.deadline:
            return False
        budget = self._parts.budgets(self._job.service)
        return budget.take(self._parts.count_instances(), now)

    def _refuse_busy(self) -> errors.Refusal:
        if self.progress.ran:
            return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
        left = max(0.0, self._work.deadline - self._parts.ticker.now())
        return errors.Refusal(
            code=errors.Code.OVERLOADED,
            retry_after=min(
                dispatcher_module.RETRY_SHARE * left,
                dispatcher_module.waiting.RETRY_SECONDS,
            ),
        )

    def _is_barred(self) -> bool:
        return self._parts.suspects.is_barred(
            self._job.fingerprint, self._parts.ticker.now()
        )

    def _refuse_barred(self) -> errors.Refusal:
        if self.progress.ran:
            return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
        return errors.Refusal(
            code=errors.Code.BARRED, retry_after=suspects.KEEP_SECONDS
        )

    def _refuse_late(self) -> errors.Refusal:
        if self.progress.attempts:
            code = errors.Code.DEADLINE_PASSED_RUNNING
        else:
            code = errors.Code.DEADLINE_PASSED_WAITING
        return errors.Refusal(code=code)

    def _leave(self) -> None:
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if self._booking is not None:
            booking, self._booking = self._booking, None
            self.progress.longest = max(
                self.progress.longest, booking.run.longest
            )
            self._parts.health.note_unsent(booking.endpoint.name)
            self._parts.dispatcher.release(booking, self._work.request_id)

    def _note_good(self, good: bool, now: float) -> None:
        assert self._booking is not None
        name = self._booking.endpoint.name
        self._parts.health.note_answer(name, good, now)
        self._booking.run.verdict = (
            runs.Verdict.GOOD if good else runs.Verdict.FAILED
        )

    def _note_unreachable(self, reason: str) -> None:
        assert self._booking is not None
        name = self._booking.endpoint.name
        self._parts.health.note_unreachable(name, self._parts.ticker.now())
        self._booking.run.verdict = runs.Verdict.UNREACHABLE
        self._tell_failed(name, reason, "no")

    def _note_failed(
        self, reason: str, ran: str, *, cut: bool = False
    ) -> None:
        if self._booking is None:
            return
        name = self._booking.endpoint.name
        self._parts.health.note_answer(name, False, self._parts.ticker.now())
        self._booking.run.verdict = runs.Verdict.FAILED
        self._tell_failed(name, reason, ran, cut=cut)
        if cut:
            self._note_end(self._booking.endpoint)

    def _note_end(self, endpoint: models.Endpoint) -> None:
        now = self._parts.ticker.now()
        fingerprint = self._job.fingerprint
        if self._parts.suspects.note_end(fingerprint, endpoint, now):
            self._parts.log.write(
                log_events.RequestBarred(
                    request=self._work.request_id,
                    endpoint=endpoint.name,
                    fingerprint=fingerprint,
                )
            )

    def _note_limit(self, answer: requests.EndpointAnswer) -> None:
        assert self._booking is not None
        limits_module.note_answer(
            self._parts, self._booking.endpoint.name, answer.limit
        )

    def _note_whole(self) -> None:
        self._parts.suspects.note_whole(
            self._job.fingerprint, self._parts.ticker.now()
        )

    def _note_silence(self, *, late: bool) -> None:
        # Load: an endpoint that takes requests and never answers. Harm: it
        # looks idle and well, and draws more. Its callers' leaving is the
        # only sign.
        booking = self._booking
        if booking is None or booking.run.first is not None:
            return
        now = self._parts.ticker.now()
        if late or now - booking.run.sent >= SILENT_SECONDS:
            # The reset of an endpoint that ended may be lost on its way.
            gone = booking.endpoint.name not in self._parts.world.endpoints
            self._note_failed("silence", "maybe", cut=gone)

    def _tell_failed(
        self, endpoint: str, what: str, ran: str, *, cut: bool = False
    ) -> None:
        progress_module.tell_failed(
            self._parts,
            self._job,
            self.progress,
            endpoint,
            what,
            ran,
            cut=cut,
        )


def is_success(answer: requests.EndpointAnswer) -> bool:
    """Return whether an endpoint answered with a success."""
    return 200 <= answer.status < 300


def find_last_event(events: bytes) -> str | None:
    """Return the id of the last of some whole events, if it has one."""
    at = events.rfind(b"\nid:")
    if at >= 0:
        start = at + len(b"\nid:")
    elif events.startswith(b"id:"):
        start = len(b"id:")
    else:
        return None
    return events[start : events.find(b"\n", start)].strip().decode("latin-1")
