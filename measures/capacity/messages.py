"""Cost of reports between instances, and the hops that a change takes."""

import dataclasses
import time

from citronport.instances import const
from citronport.instances import membership
from citronport.instances import messages
from citronport.scheduler import models
from measures.capacity import slopes

ENTRY_COUNTS = (0, 50, 100, 200)
TARGET_ENTRY_COUNT = 80
"""Active entries of one instance: there are 740 workspaces, and the lookup
spreads each over a few instances."""

FLEET_SIZES = (24, 64, 170, 510)
ROUNDS = 300


def make_report(entries: int) -> messages.Report:
    """Return the report of an instance with a number of active entries."""
    names = [f"workspace-{n}-class-1" for n in range(entries)]
    summary = models.InstanceSummary(
        instance="entry-123",
        version=123456,
        queued_tokens=(1000, 2000, 3000, 4000),
        running=(12, 20, 30, 8),
        free={f"model-{n}": 12 for n in range(6)},
        usage=dict.fromkeys(names, 12),
        waits={f"model-{n}": (0.12, 0.4, 1.2, 3.3) for n in range(6)},
        rates=dict.fromkeys(names, 1.25),
        token_rates=dict.fromkeys(names, 1234.5),
    )
    versions = {"/v1/catalogue": 123456, "/v1/instances": 12345}
    return messages.Report(
        sent=123456.789,
        summary=dataclasses.asdict(summary),
        versions=versions,
        silent={},
    )


def measure() -> list[slopes.Series]:
    """Return the series by active entries and by instances."""
    sizes = [len(messages.encode(make_report(n))) for n in ENTRY_COUNTS]
    costs = [_time_report(n) for n in ENTRY_COUNTS]
    links = [_count_links(n) for n in FLEET_SIZES]
    return [
        slopes.Series(
            name="report, bytes",
            by="entries with work",
            sizes=list(ENTRY_COUNTS),
            values=[float(size) for size in sizes],
            aim=TARGET_ENTRY_COUNT,
        ),
        slopes.Series(
            name="report made and read, s",
            by="entries with work",
            sizes=list(ENTRY_COUNTS),
            values=costs,
            aim=TARGET_ENTRY_COUNT,
        ),
        slopes.Series(
            name="links of an instance",
            by="instances (grows with the logarithm)",
            sizes=list(FLEET_SIZES),
            values=links,
            aim=510,
        ),
    ]


def _time_report(entries: int) -> float:
    report = make_report(entries)
    unpacker = messages.make_unpacker()
    began = time.process_time()
    for _ in range(ROUNDS):
        unpacker.feed(messages.encode(report))
        for raw in unpacker:
            messages.decode(raw)
    return (time.process_time() - began) / ROUNDS


def _choose(instances: int) -> dict[str, set[str]]:
    names = {f"entry-{n}" for n in range(instances)}
    return {n: membership.choose_neighbours(n, names) for n in names}


def _count_links(instances: int) -> float:
    chosen = _choose(instances)
    return 2.0 * sum(len(n) for n in chosen.values()) / instances


def count_hops() -> dict[str, float]:
    """Return the number of hops for a change to reach all 510 instances."""
    chosen = _choose(510)
    linked = {name: set(found) for name, found in chosen.items()}
    for name, found in chosen.items():
        for other in found:
            linked[other].add(name)
    start = min(chosen)
    reached = {start}
    frontier = {start}
    hops = 0
    while len(reached) < 510:
        frontier = {n for name in frontier for n in linked[name]} - reached
        reached |= frontier
        hops += 1
    return {
        "hops to reach 510 instances": hops,
        "report pause in a large fleet, s": const.RING_REPORT_INTERVAL_SECONDS,
    }
