"""Soak test with random scenarios, one for each seed."""

import random
import sys
import time
from typing import Any

from standins import proxy
from standins import scenario
from standins import scenario_models as models

NAMES = ("entry-1", "entry-2", "entry-3", "entry-4")
ENGINES = ("engine-1", "engine-2")
FAULT_COUNT = 8
"""Faults in one scenario; each is repaired before the next one."""

ENGINE_SHAPE = {"cold_seconds": 0.5, "prefill_rate": 1000}


def make_scenario(seed: int) -> models.Scenario:
    """Return the random scenario of a seed."""
    rng = random.Random(seed)
    engines = [
        {"name": n, "models": ["small"], **ENGINE_SHAPE} for n in ENGINES
    ]
    entries = [
        {"name": f"tier-{n}", "owner": f"w-{n}", "class": n, "key": f"key-{n}"}
        for n in range(4)
    ]
    steps: list[dict[str, Any]] = [
        {"send": {"by": "warm", "to": "small", "count": 8, "repeats": 20}},
        {"wait": {"outcomes": "warm"}},
        *_make_load(rng),
    ]
    for _ in range(FAULT_COUNT):
        fault, repair_steps = _make_fault(rng)
        steps += [fault, _pause(rng), *repair_steps]
    return models.Scenario.model_validate(
        {
            "promise": "all that hold in every scenario",
            "story": f"Random faults under load, seed {seed}.",
            "layout": {
                "instances": len(NAMES),
                "engines": engines,
                "services": ["reservations"],
                "entries": entries,
            },
            "steps": steps,
        }
    )


def _make_load(rng: random.Random) -> list[dict[str, Any]]:
    common = {"count": 100, "keyed": True, "repeats": 4, "deadline": 8}
    chats = [
        {
            **common,
            "by": f"chats-{tier}",
            "entry": f"tier-{tier}",
            "to": "small",
            "every": 0.2,
            "tokens": rng.choice((5, 30, 200)),
            "stream": rng.random() < 0.7,
        }
        for tier in range(4)
    ]
    books = {
        **common,
        "by": "books",
        "to": "reservations",
        "service": True,
        "method": rng.choice(("POST", "PUT")),
        "idempotent": False,
        "every": 0.2,
    }
    return [{"send": send} for send in (*chats, books)]


def _pause(rng: random.Random) -> dict[str, Any]:
    return {"wait": {"seconds": round(rng.uniform(0.1, 3.0), 2)}}


def _make_fault(
    rng: random.Random,
) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    name = rng.choice(NAMES)
    engine = rng.choice(ENGINES)
    centre = rng.choice(("dc-1", "dc-2"))
    halves = rng.sample(NAMES, len(NAMES))
    served = {"wait": {"served": "tier-0", "at": [name]}}
    restart = [{"start": name}, served]
    faults: list[tuple[dict[str, Any], list[dict[str, Any]]]] = [
        ({"kill": name}, restart),
        ({"stop": name}, [{"wait": {"ended": name}}, *restart]),
        ({"freeze": name}, [{"wake": name}]),
        (
            {"partition": {"groups": [halves[:2], halves[2:]]}},
            [{"heal": "all"}],
        ),
        ({"cut": _make_cut(rng)}, [{"heal": "all"}]),
        ({"platform": rng.choice(("down", "stale"))}, [{"platform": "up"}]),
        ({"cold": engine}, []),
        ({"slow": {engine: 5}}, [{"slow": {engine: 1}}]),
        (
            {"edit": {"data_centre": centre, "state": "out"}},
            [{"edit": {"data_centre": centre, "state": "in"}}],
        ),
    ]
    return rng.choice(faults)


def _make_cut(rng: random.Random) -> dict[str, Any]:
    sides = rng.choice(
        (
            (["entries"], ["endpoints"]),
            (["callers"], ["entries"]),
            ([rng.choice(NAMES)], list(NAMES)),
        )
    )
    return {
        "between": sides[0],
        "and": sides[1],
        "how": str(rng.choice(list(proxy.How))),
        "size": rng.choice((50, 500, 5000)),
        "share": rng.choice((0.3, 1.0)),
    }


def run(minutes: float = 5, seed: int = 1, subnet: str = "41.1") -> None:
    """Run random scenarios; print the seed of each failure."""
    end = time.monotonic() + 60 * minutes
    failed = []
    runs = 0
    while time.monotonic() < end:
        lines: list[str] = []
        problems = scenario.Runner(
            make_scenario(seed), seed, subnet, lines.append
        ).run()
        runs += 1
        print(f"seed {seed}: {len(problems)} problems", flush=True)
        if problems:
            failed.append(seed)
            print("\n".join(lines), flush=True)
        seed += 1
    print(f"{runs} scenarios, {len(failed)} failed, seeds {failed}")
    sys.exit(1 if failed else 0)
