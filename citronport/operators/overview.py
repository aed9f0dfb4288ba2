"""Overview of the fleet as text tables or as JSON."""

import collections
import dataclasses
import json

from citronport import telemetry
from citronport.operators import models

_BOLD = "\033[1m"
_RED = "\033[31m"
_RESET = "\033[0m"

Row = tuple[str, ...]


def render_json(answers: list[models.Answer]) -> str:
    """Return the status of all instances as one JSON object."""
    reached = [a for a in answers if isinstance(a, models.Status)]
    missed = [a for a in answers if isinstance(a, models.Unreachable)]
    return json.dumps(
        {
            "instances": [dataclasses.asdict(a) for a in reached],
            "unreachable": [dataclasses.asdict(a) for a in missed],
        },
        indent=2,
    )


def render_text(answers: list[models.Answer], *, styled: bool) -> str:
    """Return tables of instances, data centres, endpoints and tiers.

    Args:
        answers: status or failure of each instance.
        styled: whether to use bold type and colours of the terminal.
    """
    reached = [a for a in answers if isinstance(a, models.Status)]
    tables = [
        _make_instance_table(answers),
        _make_data_centre_table(reached),
        _make_endpoint_table(reached),
        _make_tier_table(reached),
    ]
    return "\n\n".join(
        _format_table(table, styled) for table in tables if table
    )


def _make_instance_table(answers: list[models.Answer]) -> list[Row]:
    rows = [
        (
            "INSTANCE",
            "DATA CENTRE",
            "STATE",
            "CATALOGUE",
            "LIST",
            "LINKS",
            "ENDPOINTS",
            "TASK DEATHS",
        )
    ]
    for answer in answers:
        match answer:
            case models.Status():
                rows.append(_make_instance_row(answer))
            case models.Unreachable():
                name = answer.name or answer.address
                state = f"unreachable: {answer.reason}"
                rows.append((name, "-", state, "-", "-", "-", "-", "-"))
    return rows


def _make_instance_row(status: models.Status) -> Row:
    return (
        status.instance,
        status.data_centre,
        "leaving" if status.leaving else "serving",
        str(status.catalogue_version or "none"),
        str(status.list_version or "none"),
        str(sum(peer.linked for peer in status.peers)),
        str(len(status.endpoints)),
        str(sum(status.task_deaths.values())),
    )


def _make_data_centre_table(reached: list[models.Status]) -> list[Row]:
    newest = max(reached, key=lambda s: s.catalogue_version, default=None)
    if newest is None or not newest.data_centres:
        return []
    instances = collections.Counter(s.data_centre for s in reached)
    endpoints = collections.Counter(
        e.data_centre for s in reached for e in s.endpoints
    )
    rows = [("DATA CENTRE", "SERVICE", "INSTANCES", "ENDPOINTS")]
    rows += [
        (name, state, str(instances[name]), str(endpoints[name]))
        for name, state in sorted(newest.data_centres.items())
    ]
    return rows


def _make_endpoint_table(reached: list[models.Status]) -> list[Row]:
    rows = [
        (
            endpoint.name,
            status.instance,
            endpoint.data_centre,
            endpoint.listed,
            _get_state(endpoint),
            f"{endpoint.running}/{endpoint.concurrency}",
            f"{endpoint.reported_running}+{endpoint.reported_queued}",
        )
        for status in reached
        for endpoint in status.endpoints
    ]
    if not rows:
        return []
    header = (
        "ENDPOINT",
        "OWNER",
        "DATA CENTRE",
        "SERVICE",
        "STATE",
        "RUNNING",
        "REPORTED",
    )
    return [header, *sorted(rows)]


def _get_state(endpoint: models.EndpointStatus) -> str:
    if not endpoint.connected:
        return "unreachable"
    return "cold" if endpoint.cold else "warm"


def _make_tier_table(reached: list[models.Status]) -> list[Row]:
    rows = [("TIER", "RUNNING", "QUEUED TOKENS", "GOODPUT", "LATE", "REFUSED")]
    numbers = sorted({t.tier for s in reached for t in s.tiers})
    for number in numbers:
        tier_statuses = [
            t for s in reached for t in s.tiers if t.tier == number
        ]
        outcomes: collections.Counter[str] = collections.Counter()
        for tier in tier_statuses:
            outcomes.update(tier.outcomes)
        refused = ", ".join(
            f"{code}: {count}"
            for code, count in sorted(outcomes.items())
            if code.isdecimal()
        )
        rows.append(
            (
                str(number),
                str(sum(t.running for t in tier_statuses)),
                str(sum(t.queued_tokens for t in tier_statuses)),
                str(outcomes[telemetry.OUTCOME_WHOLE]),
                str(outcomes[telemetry.OUTCOME_LATE]),
                refused or "0",
            )
        )
    return rows if len(rows) > 1 else []


def _format_table(rows: list[Row], styled: bool) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    if styled:
        lines = [f"{_BOLD}{lines[0]}{_RESET}", *map(_colour_row, lines[1:])]
    return "\n".join(lines)


def _colour_row(line: str) -> str:
    if "unreachable" in line:
        return f"{_RED}{line}{_RESET}"
    return line
