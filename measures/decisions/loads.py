"""Simulated loads: arrivals of requests, and injected faults."""

import collections.abc
import dataclasses
import random

from citronport.scheduler import models

LOAD_SECONDS = 90.0
"""Duration of each load."""

CAPACITY_PER_SECOND = 36.0
"""Measured capacity of the engines for the standard mix, requests/s."""

WORKSPACE_SHARES = {
    "ws-1": 0.4,
    "ws-2": 0.3,
    "ws-3": 0.1,
    "ws-4": 0.1,
    "ws-5": 0.1,
}
SKEWED_WORKSPACE_SHARES = {
    "ws-1": 0.8,
    "ws-2": 0.05,
    "ws-3": 0.05,
    "ws-4": 0.05,
    "ws-5": 0.05,
}
SYSTEM_PROMPT_BLOCKS = 4
"""Blocks of 128 tokens in the common prefix of a workspace's requests."""

MAX_TOKENS = 1024
"""Token limit that callers set; most answers are far shorter."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkKind:
    """A kind of request; ranges are (lowest, highest)."""

    tier: int
    share: float
    prompt_blocks: tuple[int, int]
    output: tuple[int, int]
    deadline_seconds: float
    model: str = "floor"
    document_count: int = 0


WORK_KINDS = (
    WorkKind(
        tier=0,
        share=0.35,
        prompt_blocks=(1, 2),
        output=(8, 30),
        deadline_seconds=4,
    ),
    WorkKind(
        tier=0,
        share=0.10,
        prompt_blocks=(1, 4),
        output=(20, 40),
        deadline_seconds=6,
    ),
    WorkKind(
        tier=1,
        share=0.30,
        prompt_blocks=(2, 8),
        output=(40, 120),
        deadline_seconds=15,
    ),
    WorkKind(
        tier=2,
        share=0.17,
        prompt_blocks=(20, 40),
        output=(100, 300),
        deadline_seconds=30,
        document_count=6,
    ),
    WorkKind(
        tier=3,
        share=0.08,
        prompt_blocks=(60, 140),
        output=(200, 600),
        deadline_seconds=60,
        model="draft",
        document_count=4,
    ),
)
"""Status reads, reservations, answers, summaries and long reviews."""

LONG_WORK_MIX = (0.40, 0.05, 0.20, 0.15, 0.20)
"""Shares of the same kinds in the load that mixes long and short work."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request, its arrival time and the true length of its answer."""

    time: float
    request: models.Request
    output_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault that is injected at a time.

    Attributes:
        time: seconds.
        kind: see ``site.Site._inject_fault``.
        target: name of the affected engine, data centre or instance.
        value: severity, or duration in seconds.
    """

    time: float
    kind: str
    target: str = ""
    value: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Arrivals, faults and settings of one run."""

    name: str
    arrivals: tuple[Arrival, ...]
    faults: tuple[Fault, ...] = ()
    report_lag: float = 0.5
    excluded_endpoints: tuple[str, ...] = ()


def make_endpoints() -> dict[str, models.Endpoint]:
    """Return ten engines of three kinds in four data centres."""
    shapes = (
        *((10_000.0, 60.0, 16, 400_000),) * 3,
        *((6000.0, 40.0, 12, 200_000),) * 4,
        *((3000.0, 30.0, 8, 100_000),) * 3,
    )
    made = [
        models.Endpoint(
            name=f"engine-{number}",
            kind=models.Kind.ENGINE,
            # Three engines serve short work only.
            models=("floor",) if number in (3, 5, 7) else ("floor", "draft"),
            data_centre=f"dc-{number % 4 + 1}",
            address="127.0.0.1:1",
            prefill_rate=prefill,
            decode_rate=decode,
            concurrency=batch,
            cold_concurrency=2,
            cold_prompt_tokens=3000,
            cache_tokens=cache,
        )
        for number, (prefill, decode, batch, cache) in enumerate(shapes)
    ]
    return {endpoint.name: endpoint for endpoint in made}


def make_fleet(
    endpoints: dict[str, models.Endpoint], version: int = 1, out: str = ""
) -> models.Fleet:
    """Return a catalogue, optionally with one data centre out."""
    centres = [f"dc-{n}" for n in range(1, 5)]
    entries = [
        models.Entry(
            name=f"{workspace}-{tier}", workspace=workspace, tier=tier
        )
        for workspace in WORKSPACE_SHARES
        for tier in range(4)
    ]
    return models.Fleet(
        version=version,
        data_centres={
            c: models.Service.OUT if c == out else models.Service.IN
            for c in centres
        },
        endpoints=endpoints,
        entries={entry.name: entry for entry in entries},
    )


def draw_arrivals(
    seed: int,
    rate: collections.abc.Callable[[float], float],
    shares: dict[str, float] = WORKSPACE_SHARES,
    mix: tuple[float, ...] = tuple(w.share for w in WORK_KINDS),
    seconds: float = LOAD_SECONDS,
) -> tuple[Arrival, ...]:
    """Draw Poisson arrivals; ``rate`` maps a time to requests per second."""
    source = random.Random(seed)
    peak = max(rate(t * 0.5) for t in range(int(seconds * 2)))
    arrivals = []
    time = 0.0
    documents: dict[tuple[str, int], list[tuple[int, int]]] = {}
    while True:
        time += source.expovariate(peak)
        if time >= seconds:
            return tuple(arrivals)
        if source.random() * peak > rate(time):
            continue
        work = source.choices(WORK_KINDS, mix)[0]
        workspace = source.choices(list(shares), list(shares.values()))[0]
        arrivals.append(
            _draw_arrival(
                source, work, workspace, time, len(arrivals), documents
            )
        )


def _draw_arrival(
    source: random.Random,
    work: WorkKind,
    workspace: str,
    time: float,
    number: int,
    documents: dict[tuple[str, int], list[tuple[int, int]]],
) -> Arrival:
    first = int(workspace.removeprefix("ws-")) * 1_000_000_000
    prefix = [first + n for n in range(SYSTEM_PROMPT_BLOCKS)]
    tail = first + 500_000_000 + number * 1000
    blocks = source.randint(*work.prompt_blocks)
    if work.document_count:
        pool = documents.setdefault((workspace, work.tier), [])
        if not pool or source.random() < 1 / 4:
            # Each document is used about four times on average.
            pool.append((tail, blocks))
            del pool[: -work.document_count]
        tail, blocks = source.choice(pool)
        prefix += [tail + n for n in range(blocks)]
        prefix += [first + 700_000_000 + number]
    else:
        prefix += [tail + n for n in range(blocks)]
    request = models.Request(
        request_id=f"r{number}",
        entry=f"{workspace}-{work.tier}",
        workspace=workspace,
        tier=work.tier,
        model=work.model,
        prompt_tokens=len(prefix) * 128 + source.randint(1, 127),
        max_tokens=MAX_TOKENS,
        prefix=tuple(prefix),
        deadline=time + work.deadline_seconds,
    )
    return Arrival(
        time=time,
        request=request,
        output_tokens=source.randint(*work.output),
    )


def _burst(seed: int) -> Load:
    def rate(time: float) -> float:
        return CAPACITY_PER_SECOND * (3.0 if time % 30 > 24 else 0.6)

    return Load(name="burst", arrivals=draw_arrivals(seed, rate))


def _skew(seed: int) -> Load:
    arrivals = draw_arrivals(
        seed, lambda t: CAPACITY_PER_SECOND * 1.5, SKEWED_WORKSPACE_SHARES
    )
    return Load(name="skew", arrivals=arrivals)


def _slow_endpoint(seed: int) -> Load:
    return Load(
        name="slow_endpoint",
        arrivals=draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 0.7),
        faults=(Fault(time=15, kind="slow", target="engine-1", value=5),),
    )


def _mixed_lengths(seed: int) -> Load:
    arrivals = draw_arrivals(
        seed, lambda t: CAPACITY_PER_SECOND * 0.6, mix=LONG_WORK_MIX
    )
    return Load(name="mixed_lengths", arrivals=arrivals)


def _saturation(seed: int) -> Load:
    arrivals = draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 2)
    return Load(name="saturation", arrivals=arrivals)


def _dc_leave_return(seed: int) -> Load:
    return Load(
        name="dc_leave_return",
        arrivals=draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 0.7),
        faults=(
            Fault(time=25, kind="dc_out", target="dc-2"),
            Fault(time=55, kind="dc_in", target="dc-2"),
        ),
    )


def _cold_restart(seed: int) -> Load:
    source = random.Random(seed)
    faults = tuple(
        Fault(
            time=10.0 + 6.0 * number + source.random() * 3,
            kind="restart" if number % 2 else "cold",
            target=f"engine-{source.randrange(10)}",
            value=0.2 + source.random() * 2,
        )
        for number in range(12)
    )
    return Load(
        name="cold_restart",
        arrivals=draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 0.7),
        faults=faults,
    )


def _stale_reports(seed: int) -> Load:
    return Load(
        name="stale_reports",
        arrivals=draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 0.8),
        faults=(
            Fault(time=30, kind="reports_off"),
            Fault(time=60, kind="reports_on"),
        ),
        report_lag=10.0,
    )


def _platform_down(seed: int) -> Load:
    return Load(
        name="platform_down",
        arrivals=draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 0.7),
        faults=(
            Fault(time=15, kind="platform_down"),
            Fault(time=25, kind="dc_out", target="dc-2"),
            Fault(time=30, kind="restart", target="engine-2", value=20),
            Fault(time=60, kind="platform_up"),
            Fault(time=70, kind="dc_in", target="dc-2"),
        ),
    )


def _late_waker(seed: int) -> Load:
    return Load(
        name="late_waker",
        arrivals=draw_arrivals(seed, lambda t: CAPACITY_PER_SECOND * 0.7),
        faults=(
            Fault(time=25, kind="freeze", target="entry-2", value=15),
            Fault(time=33, kind="cold", target="engine-0"),
            Fault(time=60, kind="freeze", target="entry-5", value=10),
        ),
    )


LOADS: dict[str, collections.abc.Callable[[int], Load]] = {
    "burst": _burst,
    "skew": _skew,
    "slow_endpoint": _slow_endpoint,
    "mixed_lengths": _mixed_lengths,
    "saturation": _saturation,
    "dc_leave_return": _dc_leave_return,
    "cold_restart": _cold_restart,
    "stale_reports": _stale_reports,
    "platform_down": _platform_down,
    "late_waker": _late_waker,
}


def remove_endpoint(load: Load, endpoint: str) -> Load:
    """Return the same load without one engine and without any faults."""
    return dataclasses.replace(load, faults=(), excluded_endpoints=(endpoint,))


def keep_small_workspaces(load: Load) -> Load:
    """Return the same load with only the requests of small workspaces."""
    small = ("ws-2", "ws-3", "ws-4", "ws-5")
    kept = tuple(a for a in load.arrivals if a.request.workspace in small)
    return dataclasses.replace(load, arrivals=kept)
