"""Runs both users' workloads on a fleet of processes; checks the results."""

import dataclasses
import json
import pathlib
import random
import signal
import sys
import tempfile
import time

import gevent
from gevent import pool

from standins import caller
from standins import demo_figures
from standins import demo_loads
from standins import fleet
from standins import processes

SEED = 7
HARD_LIMIT_SECONDS = 110.0
"""Time after which the demo is aborted as failed."""

STOP_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Phase:
    """A phase of the run with a constant load.

    Attributes:
        name: shown in the progress lines.
        seconds: duration.
        factor: offered load as a multiple of the normal rate.
    """

    name: str
    seconds: float
    factor: float


WARM_UP = Phase(name="warm-up", seconds=5.0, factor=0.4)
STEADY = Phase(name="steady", seconds=6.0, factor=1.0)
OVERLOAD = Phase(name="overload", seconds=5.0, factor=6.0)
AFTER = Phase(name="after the overload", seconds=4.0, factor=1.0)
OUT_OF_SERVICE = Phase(name="a data centre is out", seconds=9.0, factor=1.0)
RETURN = Phase(name="it is back", seconds=6.0, factor=1.0)


class Demo:
    """One run of the demo.

    Args:
        running: starts the processes of the fleet.
        subnet: second and third octet of all addresses.
        seed: of the random arrivals, workspaces and prompts.
    """

    def __init__(
        self, running: processes.Processes, subnet: str, seed: int
    ) -> None:
        self._fleet = fleet.Fleet(demo_loads.make_layout(subnet), running)
        self._rng = random.Random(seed)
        self._callers: dict[str, caller.Caller] = {}
        self._tasks = pool.Group()
        self._records: list[demo_figures.Record] = []
        self._number = 0
        self._started = time.monotonic()

    def run(self) -> demo_figures.Figures:
        """Run all phases and return the figures."""
        self._print_progress(
            "starting 7 instances, the platform and the endpoints"
        )
        self._fleet.start()
        for phase in (WARM_UP, STEADY, OVERLOAD, AFTER):
            self._offer_load(phase)
        left = time.time()
        leaving = demo_loads.LEAVING_DATA_CENTRE
        self._fleet.set_data_centre(leaving, "out")
        self._offer_load(OUT_OF_SERVICE)
        returned = time.time()
        self._fleet.set_data_centre(leaving, "in")
        self._offer_load(RETURN)
        self._print_progress("waiting for the last answers")
        self._tasks.join()
        self._print_progress("stopping")
        codes = self._fleet.stop_instances(STOP_SECONDS)
        if any(codes):
            self._print_progress(
                f"instances failed to stop cleanly, exit codes {codes}"
            )
        absent = frozenset(
            e["name"]
            for e in self._fleet.endpoints
            if e["data_centre"] == leaving
        )
        return demo_figures.compute_figures(
            self._records,
            self._fleet.folder,
            demo_figures.OutOfService(left=left, returned=returned),
            absent,
            time.monotonic() - self._started,
        )

    def _offer_load(self, phase: Phase) -> None:
        self._print_progress(f"{phase.name}, {phase.seconds:.0f} s")
        start = time.monotonic()
        for at, kind in demo_loads.make_arrivals(
            phase.seconds, phase.factor, self._rng
        ):
            gevent.sleep(max(0.0, start + at - time.monotonic()))
            self._number += 1
            job = demo_loads.make_job(kind, self._number, self._rng)
            self._tasks.spawn(self._run_job, job)
        gevent.sleep(max(0.0, start + phase.seconds - time.monotonic()))

    def _run_job(self, job: demo_loads.Job) -> None:
        started = time.monotonic()
        attempts = self._find_caller(job).call(
            job.path,
            job.body,
            deadline=job.kind.deadline,
            key=f"job-{job.number}" if job.is_service else None,
        )
        self._records.append(
            demo_figures.Record(
                job=job,
                attempts=attempts,
                seconds=time.monotonic() - started,
            )
        )

    def _find_caller(self, job: demo_loads.Job) -> caller.Caller:
        if job.key not in self._callers:
            addresses = self._fleet.get_callers_addresses()
            self._rng.shuffle(addresses)
            self._callers[job.key] = caller.Caller(job.key, addresses)
        return self._callers[job.key]

    def _print_progress(self, text: str) -> None:
        seconds = time.monotonic() - self._started
        answered = sum(r.answered for r in self._records)
        print(
            f"{seconds:6.1f} s  {text} "
            f"({self._number} sent, {len(self._records)} settled, "
            f"{answered} answered)",
            flush=True,
        )


def run(
    json: str | None = None, subnet: str = "70.1", seed: int = SEED
) -> None:
    """Run the main job, print its figures, exit 1 if a promise broke.

    Args:
        json: file that gets the figures.
        subnet: second and third number of the loopback addresses.
        seed: draws the work.
    """
    # Raise SystemExit on SIGTERM, so that the child processes end too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with tempfile.TemporaryDirectory() as folder:
        running = processes.Processes(pathlib.Path(folder))
        with running, gevent.Timeout(HARD_LIMIT_SECONDS):
            figures = Demo(running, str(subnet), seed).run()
    _print_figures(figures)
    if json:
        _write_figures(figures, pathlib.Path(json))
    sys.exit(1 if figures.broken else 0)


def _write_figures(figures: demo_figures.Figures, path: pathlib.Path) -> None:
    path.write_text(json.dumps(dataclasses.asdict(figures), indent=2) + "\n")


def _print_figures(figures: demo_figures.Figures) -> None:
    print("tier  offered  goodput  share  given up")
    rows = zip(
        figures.offered_by_tier,
        figures.goodput_by_tier,
        figures.given_up_by_tier,
        strict=True,
    )
    for tier, (offered, good, given_up) in enumerate(rows):
        share = good / offered if offered else 1.0
        print(f"{tier:4}  {offered:7}  {good:7}  {share:5.2f}  {given_up:8}")
    print(
        f"wasted prefill: {figures.wasted_prefill_tokens} "
        f"of {figures.prefill_tokens} tokens"
    )
    refusals = figures.refused_by_code or "none"
    print(f"refusals by code: {refusals}")
    ends = figures.given_up_by_end or "none"
    print(f"given up, by the last answer: {ends}")
    print(
        f"answers checked byte for byte: {figures.answers_checked}, "
        f"wrong: {figures.answers_wrong}"
    )
    print(
        f"doubled: {figures.doubled}, lost: {figures.lost}, "
        f"new work in the absent data centre: {figures.late_work}, "
        f"cold overloads: {figures.cold_overloads}"
    )
    broken = "; ".join(figures.broken)
    print(f"BROKEN: {broken}" if broken else "All promises held.")
    print(f"{figures.seconds} s")
