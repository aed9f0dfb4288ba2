"""What an instance tells of itself: logs, counts and traces of requests."""

import collections
import contextvars
from typing import Any

from aioprometheus import histogram
from opentelemetry import trace

from citronport import clock
from citronport import const
from citronport import runs
from citronport import spans
from citronport.endpoints import messages

FIRST_TOKEN_BUCKETS_SECONDS = (
    0.05, 0.1, 0.2, 0.35, 0.53, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
    float("inf"),
)  # fmt: skip
"""Upper bounds in seconds; 0.53 is what 95 in 100 are to keep."""

OUTCOME_WHOLE = "whole"
OUTCOME_LATE = "late"
OUTCOME_LEFT = "left"

CALLER_TRACE_HEADER: contextvars.ContextVar[str] = contextvars.ContextVar(
    "caller_trace", default=""
)
"""Trace header of the HTTP request that this task answers."""


class Counts:
    """Counts of one instance since its start.

    The path of a request only adds to plain numbers here; they become
    metrics when somebody reads them.

    Attributes:
        outcomes: requests that callers sent to this instance, by tier and
            outcome: "whole" (within the deadline: goodput), "late",
            "left" (the caller went) or a numbered code.
        refusals: refusals given to callers, by code, of requests that
            became known or not.
        first_token: time to the first piece of an answer, by tier.
        task_deaths: unforeseen errors that ended a task, by task.
        platform_reads: calls to the platform, by path and outcome.
    """

    def __init__(self) -> None:
        self.outcomes: collections.Counter[tuple[int, str]] = (
            collections.Counter()
        )
        self.refusals: collections.Counter[int] = collections.Counter()
        self.first_token = [
            histogram.Histogram(*FIRST_TOKEN_BUCKETS_SECONDS)
            for _ in range(const.TIERS)
        ]
        self.task_deaths: collections.Counter[str] = collections.Counter()
        self.platform_reads: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def record_task_death(self, task: str) -> None:
        """Count a task that died."""
        self.task_deaths[task] += 1

    def record_platform_read(self, path: str, outcome: str) -> None:
        """Count a call to the platform."""
        self.platform_reads[path, outcome] += 1


class RequestObserver:
    """Follows one request here through its hops.

    Args:
        work: the request.
        counts: gets its outcome; None if another instance counts it.
        ticker: the clock.
        tracer: None if traces are off.
        caller_header: trace header that came with the request, or empty.
    """

    __slots__ = (
        "_counts",
        "_awaits_first_chunk",
        "_headers",
        "_hop_spans",
        "_request",
        "_started_at",
        "_ticker",
    )

    def __init__(
        self,
        work: runs.Work,
        counts: Counts | None,
        ticker: clock.Clock,
        tracer: spans.Tracer | None,
        caller_header: str,
    ) -> None:
        # Not the work whole: a kept run lets go of its body at its end.
        self._request = work.request
        self._headers = work.call.headers
        self._counts = counts
        self._ticker = ticker
        self._awaits_first_chunk = True
        self._started_at = ticker.now()
        self._hop_spans = _start_hop_spans(work, tracer, caller_header)
        if self._hop_spans is not None:
            self._hop_spans.enter("admission")

    def record_decision(self) -> None:
        """Note that the scheduler has seen the request."""
        if self._hop_spans is not None and self._hop_spans.name == "admission":
            self._hop_spans.enter("queue")

    def record_dispatch(self, endpoint: str) -> None:
        """Note that the request goes to an endpoint now."""
        if self._hop_spans is not None:
            self._hop_spans.enter("dispatch", {"endpoint": endpoint})
            self._hop_spans.write_header(self._headers)

    def record_forward(self, instance: str) -> None:
        """Note that the request goes to another instance now."""
        if self._hop_spans is not None:
            self._hop_spans.enter("forward", {"instance": instance})
            self._hop_spans.write_header(self._headers)

    def record_return(self) -> None:
        """Note that another instance did not run the request."""
        if self._hop_spans is not None:
            self._hop_spans.enter("admission")

    def record_message(self, message: messages.Message) -> None:
        """Note a message of the answer."""
        if isinstance(message, messages.Chunk):
            # The one line that each piece of each answer passes.
            if self._awaits_first_chunk:
                self._record_first_chunk()
            return
        match message:
            case messages.Finished():
                late = self._ticker.now() > self._request.deadline
                self.record_end(OUTCOME_LATE if late else OUTCOME_WHOLE)
            case messages.Refused():
                self.record_end(str(int(message.refusal.code)))

    def record_end(self, outcome: str) -> None:
        """Note the end; a later one is not counted."""
        counts, self._counts = self._counts, None
        if counts is not None:
            counts.outcomes[self._request.tier, outcome] += 1
        if self._hop_spans is not None:
            self._hop_spans.end({"outcome": outcome})
            self._hop_spans = None

    def _record_first_chunk(self) -> None:
        self._awaits_first_chunk = False
        if self._counts is not None:
            seconds = self._ticker.now() - self._started_at
            tier = self._request.tier
            self._counts.first_token[tier].observe(seconds)
        if self._hop_spans is not None and self._hop_spans.name == "dispatch":
            self._hop_spans.enter("stream")


class _HopSpans:
    """The span of a request here and, under it, the one of its hop."""

    __slots__ = ("_hop", "_parent", "_root", "_tracer", "name")

    def __init__(self, tracer: spans.Tracer, root: trace.Span) -> None:
        self._tracer = tracer
        self._root = root
        self._parent = spans.make_child_context(root)
        self._hop: trace.Span | None = None
        self.name = ""

    def enter(
        self, name: str, attributes: spans.Attributes | None = None
    ) -> None:
        """End the hop and start the next."""
        if self._hop is not None:
            self._hop.end()
        self.name = name
        self._hop = self._tracer.start(name, self._parent, attributes)

    def write_header(self, headers: dict[str, str]) -> None:
        """Name the hop as the parent of what the next process does."""
        if self._hop is not None:
            spans.write_header(self._hop, headers)

    def end(self, attributes: dict[str, Any]) -> None:
        """End the hop and the request."""
        if self._hop is not None:
            self._hop.end()
        self._root.set_attributes(attributes)
        self._root.end()


def _start_hop_spans(
    work: runs.Work, tracer: spans.Tracer | None, caller_header: str
) -> _HopSpans | None:
    if tracer is None:
        return None
    request = work.request
    root = tracer.start(
        "request",
        spans.read_header(caller_header),
        {
            "request": request.request_id,
            "tier": request.tier,
            "model": request.model,
        },
    )
    if not root.is_recording():
        # Not sampled: the mark that says so still goes on to the next
        # hops, so that none of them samples a part of the trace.
        spans.write_header(root, work.call.headers)
        return None
    return _HopSpans(tracer, root)


def attach_caller_header(work: runs.Work) -> None:
    """Have a request carry the trace header that its caller sent.

    Called by the task that answers the caller; from here on the header
    goes with the request through other tasks and instances.
    """
    caller = CALLER_TRACE_HEADER.get()
    if caller:
        work.call.headers[spans.HEADER] = caller


class Telemetry:
    """Counts and traces of one instance.

    Args:
        ticker: the clock.
        tracer: None if traces are off.
    """

    def __init__(
        self, ticker: clock.Clock, tracer: spans.Tracer | None = None
    ) -> None:
        self.counts = Counts()
        self._ticker = ticker
        self._tracer = tracer

    def make_observer(
        self, work: runs.Work, *, forwarded: bool
    ) -> RequestObserver:
        """Return what follows a request that came in now.

        Args:
            work: the request.
            forwarded: whether another instance sent it, which counts it.
        """
        return RequestObserver(
            work,
            None if forwarded else self.counts,
            self._ticker,
            self._tracer,
            work.call.headers.get(spans.HEADER, ""),
        )


class TelemetryMiddleware:
    """The WSGI application for callers, watched.

    Args:
        application: answers the callers.
        counts: gets the refusals.
        tracer: None if traces are off.
        lookup_path: path whose requests are a hop of their own.
    """

    def __init__(
        self,
        application: Any,
        counts: Counts,
        tracer: spans.Tracer | None,
        lookup_path: str,
    ) -> None:
        self._application = application
        self._counts = counts
        self._tracer = tracer
        self._lookup_path = lookup_path

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer one HTTP request."""
        # A connection's requests are answered by one task one after the
        # other, so that the header of the one before must not stay.
        caller = environ.get("HTTP_TRACEPARENT", "")
        CALLER_TRACE_HEADER.set(
            spans.validate_header(caller) if caller else ""
        )

        def start(status: str, headers: list, *rest: Any) -> Any:
            if status[0] in "45":
                self._count_refusal(headers)
            return start_response(status, headers, *rest)

        if self._tracer is None or environ["PATH_INFO"] != self._lookup_path:
            return self._application(environ, start)
        span = self._tracer.start(
            "lookup", spans.read_header(CALLER_TRACE_HEADER.get())
        )
        try:
            return self._application(environ, start)
        finally:
            span.end()

    def _count_refusal(self, headers: list[tuple[str, str]]) -> None:
        for name, value in headers:
            if name == const.HEADER_CODE:
                self._counts.refusals[int(value)] += 1
