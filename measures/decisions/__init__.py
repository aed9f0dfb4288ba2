"""Scheduling quality of each policy under each simulated load."""

import concurrent.futures
import json as json_module
import time
from typing import Any

from citronport.scheduler import core
from measures.decisions import aims
from measures.decisions import baselines
from measures.decisions import earlier
from measures.decisions import instances
from measures.decisions import loads
from measures.decisions import report
from measures.decisions import site as site_module

POLICIES = (
    "citronport",
    "earlier",
    "round_robin",
    "least_reported",
    "clairvoyant",
)
WORKERS = 5
"""Concurrent worker processes, each of which simulates one run at a time."""


def run(
    json: str = "",
    load: str = "",
    seeds: int = 3,
    policy: str = "",
    plot: str = "",
) -> None:
    """Measure the decisions under load.

    Args:
        json: file for the figures.
        load: only this load.
        seeds: number of seeds.
        policy: only this policy; "independent" has no owners.
        plot: file for the plot (PNG).
    """
    names = [load] if load else list(loads.LOADS)
    policies = [policy] if policy else list(POLICIES)
    jobs = [
        (name, each, seed, variant)
        for name in names
        for seed in range(1, seeds + 1)
        for each in policies
        for variant in _get_variants(name, each)
    ]
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        rows = list(pool.map(measure, jobs))
    if json:
        with open(json, "w") as file:
            json_module.dump([r for r in rows if not r["variant"]], file)
    report.print_table(rows)
    aims.print_targets(rows)
    if plot:
        report.draw_plot(rows, plot)


def _get_variants(load: str, policy: str) -> tuple[str, ...]:
    # Some targets compare citronport with itself on a reduced load.
    if policy != "citronport":
        return ("",)
    match load:
        case "slow_endpoint":
            return "", "without"
        case "skew":
            return "", "alone"
        case _:
            return ("",)


def measure(job: tuple[str, str, int, str]) -> dict[str, Any]:
    """Simulate one load with one policy and return its figures."""
    name, policy, seed, variant = job
    load = loads.LOADS[name](seed)
    if variant == "without":
        load = loads.remove_endpoint(load, "engine-1")
    if variant == "alone":
        load = loads.keep_small_workspaces(load)
    site = site_module.Site(load)
    began = time.process_time()
    site.run(_make_policy(policy, site))
    return {
        "load": name,
        "policy": policy,
        "seed": seed,
        "variant": variant,
        **site.ledger.summarize(),
        "cold_overloads": sum(e.overloads for e in site.engines.values()),
        "received_cold": sum(e.received_cold for e in site.engines.values()),
        "inversion_cases": {
            f"tier {t}: {c}": n
            for (t, c), n in site.ledger.inversion_cases.items()
        },
        "cpu_seconds": round(time.process_time() - began, 2),
    }


def _make_policy(policy: str, site: site_module.Site) -> site_module.Policy:
    match policy:
        case "citronport":
            return instances.Instances(site, core.Scheduler)
        case "earlier":
            # It scans its whole queue at each event, so it gets fewer ticks.
            return instances.Instances(site, earlier.Scheduler, tick=1.0)
        case "independent":
            return instances.Instances(site, core.Scheduler, independent=True)
        case "round_robin":
            return baselines.ImmediateDispatch(site, by_report=False)
        case "least_reported":
            return baselines.ImmediateDispatch(site, by_report=True)
        case "clairvoyant":
            return baselines.Clairvoyant(site)
        case _:
            raise ValueError(f"unknown policy {policy!r}")
