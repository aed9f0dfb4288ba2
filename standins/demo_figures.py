"""Computes a demo run's figures from the callers' records and the journals."""

import collections
import dataclasses
import pathlib
from typing import Any

from citronport import const
from citronport.callers import models as chat_models
from standins import answers
from standins import caller
from standins import demo_loads
from standins import engine
from standins import journal

LEAVE_GRACE_SECONDS = 5.0
"""Time after the edit in which work may still arrive in a data centre."""

BLOCK_TOKENS = 128


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """Result of one job.

    Attributes:
        job: the request.
        attempts: outcomes of the attempts in order; empty if none was made.
        seconds: time from the job's arrival to its end.
    """

    job: demo_loads.Job
    attempts: list[caller.Outcome]
    seconds: float

    @property
    def answered(self) -> bool:
        """Whether a complete answer was received."""
        return bool(self.attempts) and self.attempts[-1].whole

    @property
    def correct(self) -> bool:
        """Whether the answer equals the expected one byte for byte."""
        return self.answered and self.attempts[-1].text == self.job.expected

    @property
    def lost(self) -> bool:
        """Whether the caller got neither a complete answer nor a refusal."""
        return not self.answered and not any(
            a.ran is not None for a in self.attempts
        )

    @property
    def possible_runs(self) -> int:
        """How often the job may have run, according to its outcomes."""
        return sum(a.ran != caller.NOT_RUN for a in self.attempts)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutOfService:
    """Period in which a data centre was out, in wall clock seconds."""

    left: float
    returned: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one run; lists by tier start with tier 0."""

    offered_by_tier: list[int]
    goodput_by_tier: list[int]
    wasted_prefill_tokens: int
    prefill_tokens: int
    refused_by_code: dict[str, int]
    given_up_by_tier: list[int]
    given_up_by_end: dict[str, int]
    answers_checked: int
    answers_wrong: int
    doubled: int
    lost: int
    late_work: int
    cold_overloads: int
    seconds: float

    @property
    def broken(self) -> list[str]:
        """The guarantees that were violated."""
        promises = {
            "answers_wrong": self.answers_wrong,
            "doubled": self.doubled,
            "lost": self.lost,
            "late_work": self.late_work,
            "cold_overloads": self.cold_overloads,
        }
        broken = [f"{name}: {n}" for name, n in promises.items() if n]
        if not self.answers_checked:
            broken.append("no answer came at all")
        return broken


def compute_figures(
    records: list[Record],
    folder: pathlib.Path,
    out_of_service: OutOfService,
    out_endpoints: frozenset[str],
    seconds: float,
) -> Figures:
    """Return the figures of a run.

    Args:
        records: results of the jobs.
        folder: holds the stand-ins' journals.
        out_of_service: period in which a data centre was out.
        out_endpoints: names of the endpoints in that data centre.
        seconds: duration of the run.
    """
    lines = [
        line
        for path in sorted(folder.glob("*.jsonl"))
        if not path.name.endswith(".events.jsonl")
        for line in journal.read_lines(path)
    ]
    lines.sort(key=lambda line: line["time"])
    good = [
        r for r in records if r.correct and r.seconds <= r.job.kind.deadline
    ]
    wasted, total = _count_prefill(records, lines)
    return Figures(
        offered_by_tier=_count_tiers(records),
        goodput_by_tier=_count_tiers(good),
        wasted_prefill_tokens=wasted,
        prefill_tokens=total,
        refused_by_code=_count_refusals(records),
        given_up_by_tier=_count_tiers([r for r in records if not r.answered]),
        given_up_by_end=_count_last_results(
            [r for r in records if not r.answered]
        ),
        answers_checked=sum(r.answered for r in records),
        answers_wrong=sum(r.answered and not r.correct for r in records),
        doubled=_count_doubled(records, lines),
        lost=sum(r.lost for r in records),
        late_work=_count_late_work(lines, out_of_service, out_endpoints),
        cold_overloads=sum(x["kind"] == "cold_overload" for x in lines),
        seconds=round(seconds, 1),
    )


def _count_tiers(records: list[Record]) -> list[int]:
    counted = collections.Counter(r.job.kind.tier for r in records)
    return [counted[tier] for tier in range(const.TIERS)]


def _count_refusals(records: list[Record]) -> dict[str, int]:
    counted = collections.Counter(
        a.code for r in records for a in r.attempts if a.code is not None
    )
    return {str(code): counted[code] for code in sorted(counted)}


def _count_last_results(records: list[Record]) -> dict[str, int]:
    """Count the last attempts by refusal code, or else by HTTP status."""
    ends = [r.attempts[-1] if r.attempts else None for r in records]
    counted = collections.Counter(
        "none" if end is None else str(end.code or f"status {end.status}")
        for end in ends
    )
    return dict(sorted(counted.items()))


def _make_job_fingerprint(job: demo_loads.Job) -> str:
    if job.is_service:
        return caller.encode_body(job.body).decode()
    return answers.hash_prompt(engine.make_prompt(job.body))


def _read_job_fingerprint(line: dict[str, Any]) -> str:
    return line.get("body") or line["prompt"]


def _count_doubled(records: list[Record], lines: list[dict[str, Any]]) -> int:
    # Runs are counted from the endpoints' journals alone, in two ways:
    # more than one arrival of a request id, and more arrivals of a job
    # than its outcomes allow. Thus a job that ran although its caller was
    # told "not run" counts too.
    received = [x for x in lines if x["kind"] == "received"]
    by_id = collections.Counter(x["request"] for x in received)
    by_mark = collections.Counter(_read_job_fingerprint(x) for x in received)
    doubled = sum(n - 1 for n in by_id.values())
    for record in records:
        allowed = record.possible_runs
        if record.job.is_service:
            allowed = min(1, allowed)
        doubled += max(0, by_mark[_make_job_fingerprint(record.job)] - allowed)
    return doubled


def _count_late_work(
    lines: list[dict[str, Any]],
    out_of_service: OutOfService,
    out_endpoints: frozenset[str],
) -> int:
    return sum(
        line["kind"] == "received"
        and line["by"] in out_endpoints
        and out_of_service.left + LEAVE_GRACE_SECONDS
        < line["time"]
        < out_of_service.returned
        for line in lines
    )


def _count_prefill(
    records: list[Record], lines: list[dict[str, Any]]
) -> tuple[int, int]:
    """Return the wasted and the total number of prefilled prompt tokens.

    Prefill is wasted if no caller received the answer, or if some engine
    had prefilled the same leading blocks before, whether or not its cache
    still holds them.
    """
    jobs = {
        _make_job_fingerprint(r.job): r
        for r in records
        if not r.job.is_service
    }
    asked: dict[str, Record] = {}
    seen: set[int] = set()
    wasted = total = 0
    for line in lines:
        if line["kind"] == "received" and line.get("prompt") in jobs:
            asked[line["request"]] = jobs[line["prompt"]]
        if line["kind"] != "prefilled":
            continue
        done = line["tokens"] - line["cached"]
        total += done
        record = asked.get(line["request"])
        if record is None:
            wasted += done
            continue
        prompt = engine.make_prompt(record.job.body)
        blocks = chat_models.hash_prefix(record.job.kind.model, prompt)
        known = 0
        while known < len(blocks) and blocks[known] in seen:
            known += 1
        seen.update(blocks)
        if not _was_answered_by(record, line["request"]):
            wasted += done
            continue
        wasted += max(0, known * BLOCK_TOKENS - line["cached"])
    return wasted, total


def _was_answered_by(record: Record, request_id: str) -> bool:
    return record.answered and record.attempts[-1].answer_id == request_id
