"""Checks of guarantees on the stand-ins' journals and the callers' records."""

import collections
import dataclasses
import json
import pathlib
from typing import Any

from standins import journal
from standins import scenario_callers as callers

SHED_CODES = frozenset({2101, 2102, 2104})
"""Codes of refusals because of a lack of capacity."""

DETECTION_SECONDS = 1.3
"""Time until a cold restart can be known: the lag of a load report, the
interval between two reports and the time to read one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that an endpoint received."""

    time: float
    endpoint: str
    tag: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Overload:
    """An engine received more than its limits in cold start allow."""

    time: float
    endpoint: str


def read_arrivals(folder: pathlib.Path, endpoints: list[str]) -> list[Arrival]:
    """Return what all endpoints received according to their journals."""
    found = []
    for endpoint in endpoints:
        for line in journal.read_lines(folder / f"{endpoint}.jsonl"):
            if line["kind"] != "received":
                continue
            tag = line.get("tag") or _read_tag(line)
            found.append(
                Arrival(time=line["time"], endpoint=endpoint, tag=tag)
            )
    return sorted(found, key=lambda arrival: arrival.time)


def _read_tag(line: dict[str, Any]) -> str:
    try:
        return json.loads(line["body"])["tag"]
    except (KeyError, ValueError):
        return "?"


def check_invariants(
    records: list[callers.Record],
    arrivals: list[Arrival],
    overloads: list[Overload],
    cold_restarts: dict[str, list[float]],
) -> list[str]:
    """Return the violations of guarantees that every scenario checks."""
    return [
        *check_received_once(arrivals),
        *check_not_run(records, arrivals),
        *check_answers(records),
        *check_cold_overloads(overloads, cold_restarts),
    ]


def check_received_once(arrivals: list[Arrival]) -> list[str]:
    """Return the requests that endpoints received more than once."""
    counts = collections.Counter(arrival.tag for arrival in arrivals)
    return [
        f"{tag} was received {count} times"
        for tag, count in counts.items()
        if count > 1
    ]


def check_not_run(
    records: list[callers.Record], arrivals: list[Arrival]
) -> list[str]:
    """Return the requests that were refused as "not run" but received."""
    times = {arrival.tag: arrival.time for arrival in arrivals}
    problems = []
    for record in records:
        if record.tag not in times or not record.attempts:
            continue
        early = any(
            attempt.outcome.ran == "not run"
            and attempt.ended > times[record.tag]
            for attempt in record.attempts
        )
        if early or record.last.ran == "not run":
            codes = [attempt.outcome.code for attempt in record.attempts]
            problems.append(f"{record.tag} was received, codes {codes}")
    return problems


def check_answers(records: list[callers.Record]) -> list[str]:
    """Return the answers that differ from the expected ones."""
    problems = []
    for record in records:
        for attempt in record.attempts:
            outcome = attempt.outcome
            if outcome.status != 200:
                continue
            if outcome.whole and outcome.text != record.expected:
                problems.append(f"{record.tag} got a wrong complete answer")
            if outcome.clean and not outcome.whole:
                problems.append(f"{record.tag} was cut but ended cleanly")
            if not record.expected.startswith(outcome.text):
                problems.append(f"{record.tag} got a wrong partial answer")
    return problems


def read_cold_overloads(
    folder: pathlib.Path, endpoints: list[str]
) -> list[Overload]:
    """Return the overloads in cold start from the engines' journals."""
    return [
        Overload(time=line["time"], endpoint=endpoint)
        for endpoint in endpoints
        for line in journal.read_lines(folder / f"{endpoint}.jsonl")
        if line["kind"] == "cold_overload"
    ]


def check_cold_overloads(
    overloads: list[Overload], cold_restarts: dict[str, list[float]]
) -> list[str]:
    """Return the overloads in cold start that could have been avoided.

    An instance can't know of a restart without warning before it sees a
    broken stream or the next load report, which lags. Requests that are
    sent until then are not a problem; see docs/PROOFS.md.

    Args:
        overloads: from the engines' journals.
        cold_restarts: times at which the scenario restarted engines, by
            name.
    """
    return [
        f"{o.endpoint} was overloaded in cold start, at {o.time:.3f}"
        for o in overloads
        if not is_before_detection(o, cold_restarts)
    ]


def is_before_detection(
    overload: Overload, cold_restarts: dict[str, list[float]]
) -> bool:
    """Return whether the restart could not be known at an overload."""
    return any(
        0 <= overload.time - time <= DETECTION_SECONDS
        for time in cold_restarts.get(overload.endpoint, ())
    )


def check_last_work(
    arrivals: list[Arrival],
    endpoints: list[str],
    ordered: float,
    within: float,
) -> tuple[float, list[str]]:
    """Return when the last work arrived after an edit, and the problems.

    Args:
        arrivals: what all endpoints received.
        endpoints: the endpoints that were taken out of service.
        ordered: wall clock time of the edit.
        within: seconds after the edit in which work may arrive.

    Returns:
        Seconds from the edit to the last arrival, and the problems.
    """
    late = [
        a.time - ordered
        for a in arrivals
        if a.endpoint in endpoints and a.time > ordered
    ]
    last = max(late, default=0.0)
    problems = []
    if not any(a.endpoint in endpoints and a.time < ordered for a in arrivals):
        problems.append("no work before the edit: the check shows nothing")
    if last > within:
        problems.append(f"new work {last:.2f} s after the edit")
    return last, problems


def check_never_back(probes: list[callers.Probe]) -> list[str]:
    """Return the instances that refused a key after accepting it."""
    accepted: set[str] = set()
    problems = []
    for probe in probes:
        if probe.accepted:
            accepted.add(probe.instance)
        elif probe.instance in accepted:
            problems.append(f"{probe.instance} refused a key it had accepted")
    return sorted(set(problems))


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StartedRequest:
    request: str
    tier: int
    time: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShedRequest:
    """A request that was refused because of a lack of capacity.

    Attributes:
        tier: tier of the request.
        code: code of the refusal.
        waited: seconds from arrival to refusal.
        served: lower requests, anywhere in the fleet, that endpoints
            served at that moment; the promise is that there are none.
        started: lower requests that were started while it waited.
    """

    tier: int
    code: int
    waited: float
    lower_served: int
    lower_started: int


def read_shed_requests(
    folder: pathlib.Path, names: list[str], endpoints: list[str]
) -> list[ShedRequest]:
    """Return the shed requests from event traces and endpoints' journals."""
    tiers: dict[str, int] = {}
    arrived: dict[str, float] = {}
    shed: dict[str, float] = {}
    codes: dict[str, int] = {}
    started: list[_StartedRequest] = []
    for line in _read_events(folder, names):
        if line["event"] == "RequestArrived":
            tiers[line["request"]] = line["tier"]
            arrived.setdefault(line["request"], line["time"])
        for action in line["actions"]:
            request = action["request"]
            if action["kind"] == "Dispatch":
                started.append(
                    _StartedRequest(
                        request=request,
                        tier=tiers[request],
                        time=line["time"],
                    )
                )
            if action.get("code") in SHED_CODES:
                shed[request] = line["time"]
                codes[request] = action["code"]
    spans = _read_spans(folder, endpoints)
    sheds = []
    for request, time in shed.items():
        lower = [s for s in started if s.tier > tiers[request]]
        sheds.append(
            ShedRequest(
                tier=tiers[request],
                code=codes[request],
                waited=time - arrived[request],
                lower_served=sum(
                    _is_served(spans, s.request, time) for s in lower
                ),
                lower_started=sum(
                    arrived[request] < s.time < time for s in lower
                ),
            )
        )
    return sheds


def _read_spans(
    folder: pathlib.Path, endpoints: list[str]
) -> dict[str, tuple[float, float]]:
    """Return when the service of each request began and ended."""
    began: dict[str, float] = {}
    spans: dict[str, tuple[float, float]] = {}
    for endpoint in endpoints:
        for line in journal.read_lines(folder / f"{endpoint}.jsonl"):
            if line["kind"] == "received":
                began[line["request"]] = line["time"]
            if line["kind"] in ("finished", "stopped"):
                request = line["request"]
                spans[request] = (began[request], line["time"])
    return spans


def _is_served(
    spans: dict[str, tuple[float, float]], request: str, time: float
) -> bool:
    begin, end = spans.get(request, (0.0, 0.0))
    return begin <= time < end


def _read_events(
    folder: pathlib.Path, names: list[str]
) -> list[dict[str, Any]]:
    lines = [
        line
        for name in names
        for line in journal.read_lines(folder / f"{name}.events.jsonl")
    ]
    return sorted(lines, key=lambda line: line["time"])
