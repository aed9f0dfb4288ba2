"""Figures of a demo run, from the callers' and the stand-ins' records."""

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
"""Work may still reach a data centre so long after the order to leave."""

BLOCK_TOKENS = 128


@dataclasses.dataclass(frozen=True, kw_only=True)
class Record:
    """What became of one job.

    Attributes:
        job: the request.
        attempts: what each attempt gave, in order; empty if none was made.
        seconds: time from its arrival to its end.
    """

    job: demo_loads.Job
    attempts: list[caller.Outcome]
    seconds: float

    @property
    def answered(self) -> bool:
        """Whether an answer came to its proper end."""
        return bool(self.attempts) and self.attempts[-1].whole

    @property
    def correct(self) -> bool:
        """Whether the answer is the one of this job, byte for byte."""
        return self.answered and self.attempts[-1].text == self.job.expected

    @property
    def lost(self) -> bool:
        """Whether it has no answer, whole or refused."""
        return not self.answered and not any(
            a.ran is not None for a in self.attempts
        )

    @property
    def possible_runs(self) -> int:
        """How often it may have run, by what its caller was told."""
        return sum(a.ran != caller.NOT_RUN for a in self.attempts)


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutOfService:
    """When a data centre was out of service, wall clock seconds."""

    left: float
    returned: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """The figures of one run; lists by tier hold tier 0 first."""

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
        """The promises that did not hold."""
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
        records: the jobs.
        folder: where the stand-ins' journals are.
        out_of_service: when a data centre was out.
        out_endpoints: names of the endpoints in it.
        seconds: how long the run took.
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
    """Return how the last attempts ended, by code or else by status."""
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
    # A run is counted where it arrives, by the stand-ins alone: by the
    # request's id, and by the job against what its caller was told. A job
    # that ran after "not run" counts as well.
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
    """Return prompt tokens prefilled in vain, and all that were prefilled.

    In vain is the prefill of an answer that no caller got, and the prefill
    of leading blocks that some engine had prefilled before (whether or not
    it still holds them).
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
