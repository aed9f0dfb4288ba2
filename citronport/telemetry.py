"""Counts and traces of the requests of an instance."""

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
"""Upper bounds; 0.53 s is the objective for 95 % of the requests."""

OUTCOME_WHOLE = "whole"
OUTCOME_LATE = "late"
OUTCOME_LEFT = "left"

CALLER_TRACE_HEADER: contextvars.ContextVar[str] = contextvars.ContextVar(
    "caller_trace", default=""
)
"""Trace header of the HTTP request that the current task answers."""


class Counts:
    """Counts of an instance since its start.

    Processing a request only increments plain numbers; they are converted to
    metrics when the metrics are read.

    Attributes:
        outcomes: requests that callers sent to this instance, by tier and
            outcome: "whole" (within the deadline: goodput), "late",
            "left" (the caller disconnected) or a result code.
        refusals: refusals sent to callers, by code, including those of
            requests that were rejected before they became a run.
        first_token: time to the first chunk of an answer, by tier.
        task_deaths: unexpected errors that ended a task, by task.
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
        """Count a task that failed."""
        self.task_deaths[task] += 1

    def record_platform_read(self, path: str, outcome: str) -> None:
        """Count a call to the platform."""
        self.platform_reads[path, outcome] += 1


class RequestObserver:
    """Counts and traces one request through its hops in this instance.

    Args:
        work: the request.
        counts: counts its outcome; None if another instance counts it.
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
        # Holds no reference to the work, so that the body can be freed when a
        # repeatable run ends.
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
        """Record that the scheduler has handled the request."""
        if self._hop_spans is not None and self._hop_spans.name == "admission":
            self._hop_spans.enter("queue")

    def record_dispatch(self, endpoint: str) -> None:
        """Record that the request is sent to an endpoint now."""
        if self._hop_spans is not None:
            self._hop_spans.enter("dispatch", {"endpoint": endpoint})
            self._hop_spans.write_header(self._headers)

    def record_forward(self, instance: str) -> None:
        """Record that the request is forwarded to another instance now."""
        if self._hop_spans is not None:
            self._hop_spans.enter("forward", {"instance": instance})
            self._hop_spans.write_header(self._headers)

    def record_return(self) -> None:
        """Record that another instance did not run the request."""
        if self._hop_spans is not None:
            self._hop_spans.enter("admission")

    def record_message(self, message: messages.Message) -> None:
        """Record a message of the answer."""
        if isinstance(message, messages.Chunk):
            # Runs for every chunk of every answer, so it must stay cheap.
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
        """Record the outcome; only the first one counts."""
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
    """The span of a request and the child span of its current hop."""

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
        """End the current hop and start the next one."""
        if self._hop is not None:
            self._hop.end()
        self.name = name
        self._hop = self._tracer.start(name, self._parent, attributes)

    def write_header(self, headers: dict[str, str]) -> None:
        """Set the trace header so that the next process continues this hop."""
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
        # Not sampled. The header is still passed on, so that no later hop
        # samples a part of the trace.
        spans.write_header(root, work.call.headers)
        return None
    return _HopSpans(tracer, root)


def attach_caller_header(work: runs.Work) -> None:
    """Attach the caller's trace header to a request.

    Must be called by the task that answers the caller. The header then stays
    with the request across tasks and instances.
    """
    caller = CALLER_TRACE_HEADER.get()
    if caller:
        work.call.headers[spans.HEADER] = caller


class Telemetry:
    """Counts and traces of an instance.

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
        """Return the observer of a request that has just arrived.

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
    """WSGI middleware that counts refusals and reads trace headers.

    Args:
        application: the WSGI application for callers.
        counts: counts the refusals.
        tracer: None if traces are off.
        lookup_path: path whose requests get a span of their own.
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
        # One task answers all requests of a connection, so the header of the
        # previous request must be replaced.
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
