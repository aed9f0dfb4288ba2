"""Breaks down the score that a simulated day loses, by reason.

Reads the output of one run of the users' test bench: its report, the sheet
that describes the deployment, and the log lines of the instances. The report
gives the score of each kind of request and the deductions; the log lines
give the reason why a request waited, was refused or was cut. The losses sum
to the score that is missing.

Usage: script/measure losses SHEET REPORT LINES [--json FILE]
"""

import collections
import collections.abc
import dataclasses
import json
import pathlib
import tomllib
from typing import Any

from citronport import errors

WAITED_SHARE = 0.5
"""Late answers that waited here for more than this share of the objective
are attributed to the wait, others to the endpoint."""

UNEXPLAINED = "no line of an instance tells why"

RUNNING_COST_LABEL = (
    "cost of running: machines, processor, memory, links, store"
)
"""Label of the prices that do not depend on the outcome of requests."""

RUNNING_COST_PRICES = frozenset(
    {
        "machine-seconds",
        "processor seconds",
        "memory, GB x seconds",
        "GB between zones",
        "GB between geos",
        "new connections to servers",
        "cloud calls",
        "probes and requests without id",
    }
)
"""Names of these prices in the report of the bench."""

Reasons = collections.Counter[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestKind:
    """A kind of request, as the sheet describes it.

    Attributes:
        name: its name in the sheet.
        repeat: whether it may be repeated, as log lines spell it.
        objective: latency objective, seconds.
        prompt: mean prompt tokens; 0 for a plain HTTP request.
        worth: score of an answer in time.
        late_worth: score of a late answer.
    """

    name: str
    repeat: str
    objective: float
    prompt: float
    worth: float
    late_worth: float


REPEAT_BY_SHEET_KIND = {
    "stream": "stream",
    "unsafe": "non-idempotent",
    "safe": "idempotent",
}
"""Values of ``repeat`` in log lines, by the kind in the sheet."""


def read_kinds(sheet: dict[str, Any]) -> list[RequestKind]:
    """Return the kinds of request that a sheet lists."""
    return [
        RequestKind(
            name=row["name"],
            repeat=REPEAT_BY_SHEET_KIND[row["kind"]],
            objective=row["aim_ms"] / 1000,
            prompt=row.get("stream", {})
            .get("prompt_tokens", {})
            .get("mean", 0.0),
            worth=row["worth"],
            late_worth=row["late_worth"],
        )
        for row in sheet["classes"]
    ]


def read_lines(text: str) -> collections.abc.Iterator[dict[str, Any]]:
    """Yield the log lines of instances; skip all other lines."""
    for line in text.splitlines():
        start = line.find('{"at"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except json.JSONDecodeError:
            # A killed process leaves a truncated last line.
            continue


def match_routes(
    lines: list[dict[str, Any]], kinds: list[RequestKind]
) -> dict[str, RequestKind]:
    """Return the kind of request that each route carries.

    Route names change with each run, so a route is identified by whether
    its requests may be repeated, its objective and its mean prompt length.
    """
    prompts: dict[str, float] = {
        line["request"]: line["prompt"]
        for line in lines
        if line["event"] == "request_sent"
    }
    seen: dict[str, list[float]] = collections.defaultdict(list)
    traits: dict[str, tuple[str, float]] = {}
    for line in lines:
        if line["event"] != "request_ended":
            continue
        route = line["route"]
        traits[route] = (line["repeat"], line["objective"])
        if line["request"] in prompts:
            seen[route].append(prompts[line["request"]])
    found = {}
    for route, (repeat, objective) in traits.items():
        alike = [k for k in kinds if k.repeat == repeat]
        if not alike:
            continue
        mean = sum(seen[route]) / max(1, len(seen[route]))
        found[route] = min(
            alike,
            key=lambda k: (
                abs(k.objective - objective) > 0.2 * k.objective,
                abs(k.prompt - mean),
            ),
        )
    return found


def classify_outcome(line: dict[str, Any]) -> tuple[str, str] | None:
    """Return the outcome and reason of a loss; None if in time."""
    objective = line["objective"]
    match line["outcome"]:
        case "answered" if line["status"] >= 500:
            return ("failed", "the endpoint answered with a failure")
        case "answered":
            gap = line["max_gap"]
            if line["waited"] > WAITED_SHARE * objective and (
                line["first"] > objective
            ):
                return ("late", "waited here for a place")
            if line["first"] > objective:
                return ("late", "the endpoint began late")
            if 0 < gap < line["longest"]:
                return ("late", "the stream paused")
            return None
        case "refused":
            name = errors.Code(line["code"]).name.lower()
            held = " after a wait" if line["waited"] > 0.05 else " at once"
            return ("refused", f"{name}{held}")
        case "cut":
            return ("failed", "cut at the endpoint")
        case _:
            return ("failed", "the caller left")


def count_reasons(
    lines: list[dict[str, Any]], routes: dict[str, RequestKind]
) -> dict[tuple[str, str], Reasons]:
    """Count the reasons of losses by kind of request and outcome."""
    counts: dict[tuple[str, str], Reasons] = collections.defaultdict(
        collections.Counter
    )
    for line in lines:
        kind = None
        found = None
        if line["event"] == "request_ended":
            kind = routes.get(line["route"])
            found = classify_outcome(line)
        elif line["event"] == "request_refused":
            kind = routes.get(line["route"])
            name = errors.Code(line["code"]).name.lower()
            found = ("refused", f"{name} at once")
        if kind is not None and found is not None:
            counts[kind.name, found[0]][found[1]] += 1
    return counts


def divide_loss(amount: float, reasons: Reasons) -> dict[str, float]:
    """Divide a loss among reasons in proportion to their counts."""
    total = sum(reasons.values())
    if not total:
        return {UNEXPLAINED: amount} if amount else {}
    return {why: amount * n / total for why, n in reasons.items()}


def compute_kind_losses(
    kind: RequestKind,
    row: dict[str, Any],
    reasons: dict[tuple[str, str], Reasons],
) -> dict[str, float]:
    """Return the score that a kind of request lost, by reason.

    The total comes from the report, which weighs requests by size; the
    counts of outcomes only divide it.
    """
    late = row["late"] * (kind.worth - kind.late_worth)
    refused = row["refused"] * kind.worth
    failed = row["failed"] * kind.worth
    attainable = (row["n"] - row["not_owed"]) * kind.worth
    lost = (1 - row["worth"]) * attainable
    seen = late + refused + failed
    if not seen:
        return {UNEXPLAINED: lost} if lost > 0 else {}
    scale = lost / seen
    found: dict[str, float] = collections.defaultdict(float)
    for outcome, amount in (
        ("late", late),
        ("refused", refused),
        ("failed", failed),
    ):
        counts = reasons.get((kind.name, outcome), collections.Counter())
        unseen = row[outcome] - sum(counts.values())
        if unseen > 0 and outcome != "refused":
            counts = counts + collections.Counter(
                {
                    "late": {"late since the caller's first try": unseen},
                    "failed": {"no instance was reached or it died": unseen},
                }[outcome]
            )
        for why, part in divide_loss(amount * scale, counts).items():
            found[f"{outcome}: {why}"] += part
    return dict(found)


def compute_losses(
    sheet: dict[str, Any],
    report: dict[str, Any],
    lines: list[dict[str, Any]],
) -> dict[str, dict[str, float]]:
    """Return everything that keeps the score below 1, by part and reason."""
    kinds = read_kinds(sheet)
    reasons = count_reasons(lines, match_routes(lines, kinds))
    rows = {row["name"]: row for row in report["classes"]}
    losses = {
        kind.name: compute_kind_losses(kind, rows[kind.name], reasons)
        for kind in kinds
        if kind.name in rows
    }
    total_loss = sum(sum(part.values()) for part in losses.values())
    parts = {name: (weight, got) for name, weight, got in report["parts"]}
    weight, got = parts.pop("whole day")
    scale = weight * (1 - got) / total_loss if total_loss else 0.0
    table = {
        name: {why: amount * scale for why, amount in part.items()}
        for name, part in losses.items()
    }
    for name, (weight, got) in parts.items():
        table[name] = {"below one": weight * (1 - got)}
    prices: dict[str, float] = collections.defaultdict(float)
    for name, _, taken in report["prices"]:
        named = RUNNING_COST_LABEL if name in RUNNING_COST_PRICES else name
        prices[named] += taken
    table["prices"] = {k: v for k, v in prices.items() if v > 0}
    return table


def render(table: dict[str, dict[str, float]], worth: float) -> str:
    """Return the table as text, largest losses first."""
    rows = sorted(
        (
            (amount, part, why)
            for part, reasons in table.items()
            for why, amount in reasons.items()
        ),
        reverse=True,
    )
    total = sum(amount for amount, _, _ in rows)
    out = [f"worth {worth:.3f}, lost {total:.3f}"]
    out += [
        f"{amount:8.4f}  {part:16}  {why}"
        for amount, part, why in rows
        if amount >= 0.0005
    ]
    rest = sum(amount for amount, _, _ in rows if amount < 0.0005)
    out.append(f"{rest:8.4f}  all smaller ones")
    return "\n".join(out)


def run(sheet: str, report: str, lines: str, json_file: str = "") -> None:
    """Print where a played day lost its worth.

    Args:
        sheet: the deployment's file.
        report: what the bench wrote of the day.
        lines: its output with the lines of all instances.
        json_file: where the table goes too.
    """
    with open(sheet, "rb") as file:
        described = tomllib.load(file)
    day = json.loads(pathlib.Path(report).read_text())
    text = pathlib.Path(lines).read_text(errors="replace")
    table = compute_losses(described, day, list(read_lines(text)))
    print(render(table, day["G"]))
    if json_file:
        pathlib.Path(json_file).write_text(json.dumps(table, indent=1))
