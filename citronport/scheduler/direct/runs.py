"""One request at an endpoint, and what its events show of the engine."""

import dataclasses
import enum

SECONDS_PER_MS = 0.001
"""Unit of a pace: the time of one step of an engine, in which each running
request gets a token, in milliseconds."""

SPAN_EVENTS = 4
"""Events over which a pace is measured. Shorter spans are coarse, since
events that arrive together carry no time between them."""

SPANS_PER_SAMPLE = 4
"""Spans of which the smallest counts: sixteen events, a third of a second
on a common engine, hardly ever all hold the reading of a prompt."""


class Verdict(enum.IntEnum):
    """What a request shows of the health of its endpoint."""

    NOTHING = 0
    GOOD = 1
    FAILED = 2
    UNREACHABLE = 3


@dataclasses.dataclass(slots=True)
class Run:
    """One request at an endpoint.

    Attributes:
        request_id: of the request.
        prompt_tokens: tokens to read.
        sent: clock time at which it was sent.
        first: clock time of its first event; None before.
        events: events since its first.
        mark: clock time of the event at which the present span began.
        mark_events: events at that time.
        spans: spans measured since the last pace was learnt.
        best: smallest time of one event in these, seconds.
        last: clock time of its newest event.
        longest: longest pause between two events, seconds.
        taken: time of a plain answer, seconds; 0 before.
        verdict: what it has shown of the endpoint.
        service: that its times are learnt for; empty if they are not.
        ahead: prompt tokens that the endpoint had not read when it was
            sent, of other requests.
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

    def record_first_event(self, events: int, now: float) -> None:
        """Take the first events of a stream."""
        self.first_event_at = self.span_started_at = self.last_event_at = now
        self.span_start_events = 0
        self.events = events - 1

    def record_events(
        self, events: int, tokens: int, now: float
    ) -> float | None:
        """Take later events; return the pace of the engine now and then.

        Args:
            events: how many came.
            tokens: tokens in one event.
            now: clock time, seconds.

        Returns:
            Milliseconds a step; None until enough events have come.
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
        # The smallest of several spans: longer ones hold the reading of
        # others' prompts, which is load and not pace.
        self.min_event_seconds = (
            event_seconds
            if self.min_event_seconds is None
            else min(self.min_event_seconds, event_seconds)
        )
        if self.spans < SPANS_PER_SAMPLE:
            return None
        step_ms = self.min_event_seconds / (tokens * SECONDS_PER_MS)
        self.min_event_seconds, self.spans = None, 0
        return step_ms
