"""Records the outcome of each request and violations of invariants."""

import collections
import dataclasses
from typing import Any

from citronport import const
from citronport import errors
from citronport.scheduler import models
from measures.decisions import engine

SHED_CODES = (
    errors.Code.OVERLOADED,
    errors.Code.DEADLINE_TOO_NEAR,
    errors.Code.DEADLINE_PASSED_WAITING,
    errors.Code.NO_ENDPOINT,
)
"""Refusals for lack of capacity, in contrast to catalogue limits."""


@dataclasses.dataclass(kw_only=True)
class Record:
    """Times and outcome of one request."""

    request: models.Request
    arrived: float
    first_token: float | None = None
    finished: float | None = None
    code: errors.Code | None = None
    sends: int = 0


class Ledger:
    """Counters of one run of one policy."""

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.inversions = 0
        self.inversion_cases: collections.Counter = collections.Counter()
        self.wasted_tokens = 0
        self.prefilled_tokens = 0
        self.sent_before_seen = 0
        self._running_by_tier = [0] * const.TIERS

    def record_arrival(self, request: models.Request, now: float) -> None:
        """Record that a caller sent a request."""
        self.records[request.request_id] = Record(request=request, arrived=now)

    def record_send(self, request_id: str) -> None:
        """Record that an endpoint received a request."""
        record = self.records[request_id]
        record.sends += 1
        self._running_by_tier[record.request.tier] += 1

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record that the first token reached the caller."""
        record = self.records[request_id]
        if record.first_token is None:
            record.first_token = now

    def record_job_end(self, job: engine.Job, *, completed: bool) -> None:
        """Record that an endpoint finished or dropped a job."""
        self._running_by_tier[job.request.tier] -= 1
        self.prefilled_tokens += job.prefilled
        self.wasted_tokens += job.recomputed if completed else job.prefilled

    def record_answer(self, request_id: str, now: float) -> None:
        """Record that the complete answer reached the caller."""
        record = self.records[request_id]
        if record.code is None:
            record.finished = now

    def record_refusal(
        self, request_id: str, code: errors.Code, now: float
    ) -> None:
        """Record that the caller got a final refusal."""
        record = self.records[request_id]
        if record.code is not None or record.finished is not None:
            return
        record.code = code
        tier = record.request.tier
        lower = sum(self._running_by_tier[tier + 1 :])
        # A request dispatched too late to return a token counts as shed.
        late = code == errors.Code.DEADLINE_PASSED_RUNNING
        shed = code in SHED_CODES or (late and record.first_token is None)
        if shed and lower:
            self.inversions += 1
            self.inversion_cases[tier, code.name] += 1

    def is_in_time(self, record: Record) -> bool:
        """Return whether a request was answered completely in time."""
        end = record.finished
        return end is not None and end <= record.request.deadline + 1e-9

    def summarize(self) -> dict[str, Any]:
        """Return the figures of the run."""
        offered = [0] * const.TIERS
        good = [0] * const.TIERS
        by_workspace: collections.Counter[str] = collections.Counter()
        by_entry: collections.Counter[str] = collections.Counter()
        codes: collections.Counter[str] = collections.Counter()
        waits: list[list[float]] = [[] for _ in range(const.TIERS)]
        lost = 0
        for record in self.records.values():
            tier = record.request.tier
            offered[tier] += 1
            if self.is_in_time(record):
                good[tier] += 1
                by_workspace[record.request.workspace] += 1
                by_entry[record.request.entry] += 1
            if record.first_token is not None:
                waits[tier].append(record.first_token - record.arrived)
            if record.code is not None:
                codes[record.code.name] += 1
            elif record.finished is None:
                lost += 1
        return {
            "offered_by_tier": offered,
            "goodput_by_tier": good,
            "wasted_prefill_tokens": self.wasted_tokens,
            "prefill_tokens": self.prefilled_tokens,
            "tier_inversions": self.inversions,
            "doubled": sum(r.sends > 1 for r in self.records.values()),
            "lost": lost,
            "p99_first_token_s_by_tier": [_get_p99(w) for w in waits],
            "refused_by_code": dict(sorted(codes.items())),
            "goodput_by_workspace": dict(sorted(by_workspace.items())),
            "goodput_by_entry": dict(sorted(by_entry.items())),
        }


def _get_p99(values: list[float]) -> float | None:
    if not values:
        return None
    ranked = sorted(values)
    return round(ranked[min(len(ranked) - 1, int(len(ranked) * 0.99))], 3)
