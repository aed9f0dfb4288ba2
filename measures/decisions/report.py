"""Table and plot of the figures."""

import collections
from typing import Any

COLUMNS = "{:<16}{:<15}{:>4} {:>24} {:>6} {:>7} {:>5} {:>5} {:>4} {:>4}  {}"


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print one line for each run."""
    print(
        COLUMNS.format(
            "load",
            "policy",
            "seed",
            "goodput by tier, %",
            "total",
            "waste k",
            "cold",
            "inver",
            "dbl",
            "lost",
            "p99 first token by tier, s",
        )
    )
    for row in rows:
        offered = row["offered_by_tier"]
        good = row["goodput_by_tier"]
        shares = " ".join(
            f"{100 * g / max(1, o):5.1f}"
            for g, o in zip(good, offered, strict=True)
        )
        waits = " ".join(
            f"{w:6.2f}" if w is not None else "     -"
            for w in row["p99_first_token_s_by_tier"]
        )
        print(
            COLUMNS.format(
                row["load"],
                row["policy"]
                + (f"/{row['variant']}"[:5] if row["variant"] else ""),
                row["seed"],
                shares,
                f"{100 * sum(good) / max(1, sum(offered)):.1f}",
                row["wasted_prefill_tokens"] // 1000,
                row["cold_overloads"],
                row["tier_inversions"],
                row["doubled"],
                row["lost"],
                waits,
            )
        )


def draw_plot(rows: list[dict[str, Any]], path: str) -> None:
    """Plot goodput and wasted prefill by load and policy."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    totals: dict[tuple[str, str], list[dict]] = collections.defaultdict(list)
    for row in rows:
        if not row["variant"]:
            totals[row["load"], row["policy"]].append(row)
    names = list(dict.fromkeys(r["load"] for r in rows))
    policies = list(dict.fromkeys(r["policy"] for r in rows))
    figure, axes = pyplot.subplots(3, 1, figsize=(12, 11), sharex=True)
    titles = (
        "goodput of the top tier, part of what it offered",
        "goodput of all tiers, part of what was offered",
        "wasted prefill, thousand tokens",
    )
    for axis, title, figure_of in zip(
        axes, titles, (_get_top, _get_total, _get_waste), strict=True
    ):
        axis.set_title(title)
        for number, policy in enumerate(policies):
            heights = [
                sum(map(figure_of, totals[name, policy]))
                / max(1, len(totals[name, policy]))
                for name in names
            ]
            places = [n + number * 0.16 for n in range(len(names))]
            axis.bar(places, heights, 0.16, label=policy)
    axes[0].legend(loc="lower left", ncols=5)
    axes[2].set_xticks([n + 0.32 for n in range(len(names))], names)
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def _get_top(row: dict[str, Any]) -> float:
    return row["goodput_by_tier"][0] / max(1, row["offered_by_tier"][0])


def _get_total(row: dict[str, Any]) -> float:
    return sum(row["goodput_by_tier"]) / max(1, sum(row["offered_by_tier"]))


def _get_waste(row: dict[str, Any]) -> float:
    return row["wasted_prefill_tokens"] / 1000
