"""Tracing: one span per hop of a request, written as JSON lines."""

import collections.abc
import json
import pathlib
import re

from opentelemetry import context as otel_context
from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry.trace.propagation import tracecontext

HEADER = "traceparent"
_PATTERN = re.compile("^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$")
_PROPAGATOR = tracecontext.TraceContextTextMapPropagator()

Attributes = dict[str, str | int]


class FileExporter(export.SpanExporter):
    """Writes each span as one JSON line.

    Args:
        path: the file, to which spans are appended.
    """

    def __init__(self, path: str) -> None:
        self._file = pathlib.Path(path).open("a", buffering=1)

    def export(
        self, spans: collections.abc.Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        """Write spans."""
        for span in spans:
            self._file.write(json.dumps(_describe(span)) + "\n")
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


class Tracer:
    """Starts spans.

    Args:
        instance: instance name, added to each span.
        exporter: exports the spans that ended.
        sample_ratio: share of the requests to trace, 0 to 1.
    """

    def __init__(
        self, instance: str, exporter: export.SpanExporter, sample_ratio: float
    ) -> None:
        provider = sdk_trace.TracerProvider(
            sampler=sampling.ParentBasedTraceIdRatio(sample_ratio),
            resource=resources.Resource({"service.instance.id": instance}),
            shutdown_on_exit=False,
        )
        # Each span is written as soon as it ends: the last spans before a
        # kill matter most, and writing to a file does not block.
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("citronport")

    def start(
        self,
        name: str,
        parent: otel_context.Context | None,
        attributes: Attributes | None = None,
    ) -> trace.Span:
        """Start a span under a parent; without one, start a new trace."""
        return self._tracer.start_span(
            name,
            context=parent or otel_context.Context(),
            attributes=attributes,
        )


def make_tracer(
    instance: str, path: str | None, sample_ratio: float
) -> Tracer | None:
    """Return a tracer that writes to a file, or None without a file."""
    if path is None:
        return None
    return Tracer(instance, FileExporter(path), sample_ratio)


def validate_header(text: str) -> str:
    """Return a trace header if it is well-formed, else ""."""
    return text if _PATTERN.match(text) else ""


def read_header(text: str) -> otel_context.Context | None:
    """Return the context of a trace header, or None without a header."""
    if not text:
        return None
    return _PROPAGATOR.extract({HEADER: text})


def write_header(span: trace.Span, headers: dict[str, str]) -> None:
    """Set the trace header so that the next hop is a child of a span."""
    _PROPAGATOR.inject(headers, context=trace.set_span_in_context(span))


def make_child_context(span: trace.Span) -> otel_context.Context:
    """Return the context for children of a span."""
    return trace.set_span_in_context(span, otel_context.Context())


def _describe(span: sdk_trace.ReadableSpan) -> dict:
    own = span.context
    return {
        "trace_id": trace.format_trace_id(own.trace_id),
        "span_id": trace.format_span_id(own.span_id),
        "parent_id": (
            trace.format_span_id(span.parent.span_id) if span.parent else None
        ),
        "name": span.name,
        "instance": span.resource.attributes["service.instance.id"],
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes or {}),
    }
