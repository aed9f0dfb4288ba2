"""One request at an endpoint, and the step time measured from its events."""

import dataclasses
import enum

SECONDS_PER_MS = 0.001
"""Converts step times, which are in milliseconds. In one step an engine
generates a token for each running request."""

NANOSECONDS_PER_MS = 1_000_000
"""Converts paces in messages, which are step times in nanoseconds."""

SPAN_EVENTS = 4
"""Events in one measured span. Shorter spans are too coarse, as several
events may arrive at the same time."""

SPANS_PER_SAMPLE = 4
"""Spans in one sample, of which the fastest is used. Prompts are rarely
processed during all sixteen events, a third of a second on a typical
engine."""


class Verdict(enum.IntEnum):
    """What the outcome of a request says about the endpoint's health."""

    NOTHING = 0
    GOOD = 1
    FAILED = 2
    UNREACHABLE = 3
    REJECTED = 4
    OVERDUE = 5


@dataclasses.dataclass(slots=True)
class Run:
    """One request at an endpoint.

    Attributes:
        request_id: id of the request.
        prompt_tokens: tokens of the prompt.
        sent_at: clock time at which it was sent.
        first_event_at: clock time of its first event; None before.
        events: events after the first one.
        span_started_at: clock time at which the current span began.
        span_start_events: value of ``events`` at that time.
        spans: spans measured since the last sample.
        min_event_seconds: shortest mean time of one event in these spans.
        last_event_at: clock time of its newest event.
        longest_gap: longest pause between two events, seconds.
        answer_seconds: time of a plain answer, seconds; 0 before.
        verdict: what it says about the endpoint's health.
        service: service whose profile learns from it; empty for none.
        prefill_backlog: prompt tokens of other requests that the endpoint
            had not processed when this one was sent.
    """

    request_id: str
    prompt_tokens: int
    sent_at: float
    first_event_at: float | None = None
    events: int = 0
    span_started_at: float = 0.0
    span_start_events: int = 0
    spans: int = 0
    min_event_seconds: float | None = None
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    answer_seconds: float = 0.0
    verdict: Verdict = Verdict.NOTHING
    service: str = ""
    prefill_backlog: int = 0

    @property
    def received_events(self) -> int:
        """Number of events received."""
        return 0 if self.first_event_at is None else self.events + 1

    def record_first_event(self, events: int, now: float) -> None:
        """Record the first events of a stream."""
        self.first_event_at = self.span_started_at = self.last_event_at = now
        self.span_start_events = 0
        self.events = events - 1

    def record_events(
        self, events: int, tokens: int, now: float
    ) -> float | None:
        """Record later events; return a sample of the engine's step time.

        Args:
            events: number of events received.
            tokens: tokens in one event.
            now: clock time, seconds.

        Returns:
            Milliseconds per step; None until a sample is complete.
        """
        self.longest_gap = max(self.longest_gap, now - self.last_event_at)
        self.last_event_at = now
        self.events += events
        span = self.events - self.span_start_events
        if span < SPAN_EVENTS:
            return None
        event_seconds = (now - self.span_started_at) / span
        self.span_started_at, self.span_start_events = now, self.events
        self.spans += 1
        # The longer spans include the prefill of other requests' prompts,
        # which depends on the load and not on the speed of the engine.
        self.min_event_seconds = (
            event_seconds
            if self.min_event_seconds is None
            else min(self.min_event_seconds, event_seconds)
        )
        if self.spans < SPANS_PER_SAMPLE:
            return None
        step_ms = self.get_early_step_ms(tokens)
        self.min_event_seconds, self.spans = None, 0
        return step_ms

    def get_early_step_ms(self, tokens: int) -> float | None:
        """Return a rough step time from the spans of an incomplete sample.

        It may include the prefill of other requests' prompts.

        Args:
            tokens: tokens in one event.

        Returns:
            Milliseconds per step; None without a span.
        """
        if self.min_event_seconds is None:
            return None
        return self.min_event_seconds / (tokens * SECONDS_PER_MS)
