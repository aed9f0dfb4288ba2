"""Targets for the results, and whether they are met."""

import collections.abc
from typing import Any

Find = collections.abc.Callable[[str, str], dict[str, Any] | None]


def print_targets(rows: list[dict[str, Any]]) -> None:
    """Print each target, whether it is met, and the figures of all runs."""
    for text, values, met in evaluate(rows):
        if values:
            missed = [v for v in values if not met(v)]
            word = "met" if not missed else f"MISSED in {len(missed)} runs"
            print(f"{text}: {word}; all: {[round(v, 3) for v in values]}")


def evaluate(
    rows: list[dict[str, Any]],
) -> list[tuple[str, list[float], collections.abc.Callable[[float], bool]]]:
    """Return the text, the figures and the predicate of each target."""
    own = [r for r in rows if r["policy"] == "citronport"]
    plain = [r for r in own if not r["variant"]]
    judged = [
        (f"{key} is 0", [r[key] for r in plain], lambda v: v == 0)
        for key in ("cold_overloads", "tier_inversions", "doubled", "lost")
    ]
    saturated = [r for r in plain if r["load"] == "saturation"]
    judged += [
        (
            "saturation: top tier at least 0.99 of offered",
            [_get_goodput_share(r, 0) for r in saturated],
            lambda v: v >= 0.99,
        ),
        (
            "saturation: total at least 0.90 of clairvoyant",
            [
                sum(r["goodput_by_tier"]) / sum(o["goodput_by_tier"])
                for r in saturated
                for o in _find_matching_rows(rows, r, "clairvoyant")
            ],
            lambda v: v >= 0.90,
        ),
        (
            "wasted prefill at most 0.25 of least_reported",
            [
                r["wasted_prefill_tokens"] / o["wasted_prefill_tokens"]
                for r in plain
                for o in _find_matching_rows(rows, r, "least_reported")
            ],
            lambda v: v <= 0.25,
        ),
        (
            "dc_leave_return: top tier at least 0.99 of offered",
            [
                _get_goodput_share(r, 0)
                for r in plain
                if r["load"] == "dc_leave_return"
            ],
            lambda v: v >= 0.99,
        ),
        (
            "skew: small workspaces at least 0.98 of what they get alone",
            [
                sum(_get_small_workspace_goodput(r))
                / sum(_get_small_workspace_goodput(o))
                for r in plain
                for o in own
                if r["load"] == "skew"
                and o["variant"] == "alone"
                and o["seed"] == r["seed"]
            ],
            lambda v: v >= 0.98,
        ),
        (
            "the same without the lowest tier",
            [
                sum(_get_small_workspace_goodput(r, 2))
                / sum(_get_small_workspace_goodput(o, 2))
                for r in plain
                for o in own
                if r["load"] == "skew"
                and o["variant"] == "alone"
                and o["seed"] == r["seed"]
            ],
            lambda v: v >= 0.98,
        ),
        (
            "slow_endpoint: costs at most 0.05 against going without it",
            [
                1 - sum(r["goodput_by_tier"]) / sum(o["goodput_by_tier"])
                for r in plain
                for o in own
                if r["load"] == "slow_endpoint"
                and o["variant"] == "without"
                and o["seed"] == r["seed"]
            ],
            lambda v: v <= 0.05,
        ),
    ]
    return judged


def _find_matching_rows(
    rows: list[dict[str, Any]], row: dict[str, Any], policy: str
) -> list[dict[str, Any]]:
    return [
        r
        for r in rows
        if r["policy"] == policy
        and r["load"] == row["load"]
        and r["seed"] == row["seed"]
    ]


def _get_goodput_share(row: dict[str, Any], tier: int) -> float:
    return row["goodput_by_tier"][tier] / max(1, row["offered_by_tier"][tier])


def _get_small_workspace_goodput(
    row: dict[str, Any], lowest: int = 3
) -> list[int]:
    return [
        number
        for entry, number in row["goodput_by_entry"].items()
        if not entry.startswith("ws-1-") and int(entry[-1]) <= lowest
    ]
