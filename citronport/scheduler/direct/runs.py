"""One request at an endpoint, and what its events show of the engine."""

import dataclasses
import enum

PACE_SECONDS = 0.001
"""Unit of a pace: the time of one step of an engine, in which each running
request gets a token, in milliseconds."""

PACE_EVENTS = 4
"""Events over which a pace is measured. Shorter spans are coarse, since
events that arrive together carry no time between them."""

PACE_SPANS = 4
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
    sent: float
    first: float | None = None
    events: int = 0
    mark: float = 0.0
    mark_events: int = 0
    spans: int = 0
    best: float | None = None
    last: float = 0.0
    longest: float = 0.0
    taken: float = 0.0
    verdict: Verdict = Verdict.NOTHING
    service: str = ""
    ahead: int = 0

    def begin(self, events: int, now: float) -> None:
        """Take the first events of a stream."""
        self.first = self.mark = self.last = now
        self.mark_events = 0
        self.events = events - 1

    def measure(self, events: int, tokens: int, now: float) -> float | None:
        """Take later events; return the pace of the engine now and then.

        Args:
            events: how many came.
            tokens: tokens in one event.
            now: clock time, seconds.

        Returns:
            Milliseconds a step; None until enough events have come.
        """
        self.longest = max(self.longest, now - self.last)
        self.last = now
        self.events += events
        span = self.events - self.mark_events
        if span < PACE_EVENTS:
            return None
        each = (now - self.mark) / span
        self.mark, self.mark_events = now, self.events
        self.spans += 1
        # The smallest of several spans: longer ones hold the reading of
        # others' prompts, which is load and not pace.
        self.best = each if self.best is None else min(self.best, each)
        if self.spans < PACE_SPANS:
            return None
        pace = self.best / (tokens * PACE_SECONDS)
        self.best, self.spans = None, 0
        return pace
