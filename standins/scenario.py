"""Runs a scenario with real processes, the fault proxy and callers."""

import collections.abc
import pathlib
import signal
import sys
import tempfile
import time

import gevent

from standins import fleet as fleet_module
from standins import processes
from standins import proxy
from standins import scenario_callers
from standins import scenario_checks as checks
from standins import scenario_expect
from standins import scenario_fleet
from standins import scenario_models as models

POLL_SECONDS = 0.05


class Runner:
    """Runs the steps of one scenario.

    Args:
        scenario: the scenario to run.
        seed: of the random choices of the fault proxy.
        subnet: second and third octet of the fleet's addresses.
        write_line: called with each line of the trace.
    """

    def __init__(
        self,
        scenario: models.Scenario,
        seed: int,
        subnet: str,
        write_line: collections.abc.Callable[[str], None],
    ) -> None:
        self.scenario = scenario
        self.problems: list[str] = []
        self._seed = seed
        self._subnet = subnet
        self._write_line = write_line
        self._started_at = time.monotonic()
        self._order_times: dict[str, float] = {}
        self._cold_restarts: dict[str, list[float]] = {}

    def run(self) -> list[str]:
        """Run all steps; return the problems, an empty list on success."""
        with (
            tempfile.TemporaryDirectory() as folder,
            processes.Processes(pathlib.Path(folder)) as running,
        ):
            links = proxy.Proxy(self._seed)
            self.running = running
            layout = fleet_module.Layout(
                subnet=self._subnet,
                **dict(self.scenario.layout),
            )
            self.fleet = scenario_fleet.ProxiedFleet(layout, running, links)
            self.callers = scenario_callers.Callers(
                self.fleet, self.write_trace
            )
            try:
                self._run_steps()
            finally:
                self.callers.stop()
                links.stop()
        return self.problems

    def write_trace(self, text: str) -> None:
        """Write a line with the seconds since the start and the wall clock."""
        passed = time.monotonic() - self._started_at
        self._write_line(f"{passed:8.3f} {time.time():.3f} {text}")

    def add_problem(self, text: str) -> None:
        """Record a violated guarantee or a failed expectation."""
        self.write_trace(f"FAILED {text}")
        self.problems.append(text)

    def read_arrivals(self) -> list[checks.Arrival]:
        """Return the requests that the endpoints have received so far."""
        return checks.read_arrivals(self.fleet.folder, self.endpoints)

    @property
    def endpoints(self) -> list[str]:
        """Names of all endpoints."""
        return [e["name"] for e in self.fleet.endpoints]

    def get_order_time(self, name: str) -> float:
        """Return the wall clock time of the edit that took a name out."""
        return self._order_times[name]

    def _run_steps(self) -> None:
        self.fleet.start()
        first = self.fleet.entries[0]["name"]
        self._wait(models.Wait(served=first))
        for step in self.scenario.steps:
            self.write_trace(f"{step.verb} {_describe(step)}")
            self._run_step(step)
        self._settle()

    def _settle(self) -> None:
        # Late violations show only when all processes run and all links are
        # healed.
        for name in [i["name"] for i in self.fleet.instances]:
            if self.running.is_running(name):
                self.running.signal(name, signal.SIGCONT)
        self.fleet.links.heal(lambda source, target: True)
        for by in {record.by for record in self.callers.records}:
            if not self.callers.wait(by, 60.0):
                self.add_problem(f"{by}: a request has no outcome after 60 s")
        gevent.sleep(self.scenario.settle)
        overloads = checks.read_cold_overloads(
            self.fleet.folder, self.endpoints
        )
        self.write_trace(f"  {len(overloads)} cold overloads in all")
        for problem in checks.check_invariants(
            self.callers.records,
            self.read_arrivals(),
            overloads,
            self._cold_restarts,
        ):
            self.add_problem(problem)

    def _run_step(self, step: models.Step) -> None:
        value = getattr(step, step.verb)
        if isinstance(value, str):
            value = self.fleet.resolve(value)
        match step.verb:
            case "start":
                self._start(value)
            case "kill":
                self.running.signal(value, signal.SIGKILL)
                self.running.wait(value, 5.0)
                self.fleet.links.stop_listening(value)
            case "freeze":
                self.running.signal(value, signal.SIGSTOP)
            case "wake":
                self.running.signal(value, signal.SIGCONT)
            case "stop":
                self.running.signal(value, signal.SIGTERM)
                gevent.spawn(self._stop_listening_on_exit, value)
            case "platform":
                self.fleet.set_platform(value)
            case "edit":
                self._edit(value)
            case "edits":
                gevent.joinall([gevent.spawn(self._edit, e) for e in value])
            case "send":
                at = self.fleet.resolve(value.at) if value.at else None
                self.callers.send(value.model_copy(update={"at": at}))
            case "probe":
                self.callers.probe(value)
            case "wait":
                self._wait(value)
            case "expect":
                scenario_expect.check(self, value)
            case _:
                self._inject_fault(step)

    def _start(self, name: str) -> None:
        names = [e["name"] for e in self.fleet.endpoints]
        if name in names:
            self.fleet.start_endpoint(names.index(name))
            address = self.fleet.endpoints[names.index(name)]["address"]
            port = fleet_module.ENDPOINT_PORT
        else:
            self.fleet.start_instance(name)
            address = self.fleet.get_real_address(name)
            port = fleet_module.CALLER_PORT
        processes.wait_for_port(address, port)
        self.fleet.links.start_listening(name)

    def _stop_listening_on_exit(self, name: str) -> None:
        while self.running.is_running(name):
            gevent.sleep(0.005)
        self.fleet.links.stop_listening(name)

    def _inject_fault(self, step: models.Step) -> None:
        match step.verb:
            case "cut":
                self._cut_links(step.cut)
            case "partition":
                self._partition(step.partition)
            case "heal":
                self._heal(step.heal)
            case "cold":
                self._cold_restarts.setdefault(step.cold, []).append(
                    time.time()
                )
                self.fleet.post_to_engine(step.cold, "/admin/cold")
            case "slow":
                for name, factor in step.slow.items():
                    self.fleet.post_to_engine(
                        name, f"/admin/slow?factor={factor}"
                    )

    def _cut_links(self, cut: models.Cut) -> None:
        fault = proxy.Fault(
            how=cut.how, seconds=cut.seconds, size=cut.size, share=cut.share
        )
        for one in self.fleet.expand_names(cut.between):
            for other in self.fleet.expand_names(cut.and_):
                self.fleet.links.inject_fault(one, other, fault)
                if not cut.one_way:
                    self.fleet.links.inject_fault(other, one, fault)

    def _partition(self, partition: models.Partition) -> None:
        fault = proxy.Fault(how=partition.how)
        groups = [self.fleet.expand_names(group) for group in partition.groups]
        for group in groups:
            for other in groups:
                if other is group:
                    continue
                for source in group:
                    for target in other:
                        self.fleet.links.inject_fault(source, target, fault)

    def _heal(self, name: str) -> None:
        self.fleet.links.heal(lambda *pair: name == "all" or name in pair)

    def _edit(self, edit: models.Edit) -> None:
        if edit.instance:
            name = self.fleet.resolve(edit.instance)
            edit = edit.model_copy(update={"instance": name})
        named = edit.data_centre or edit.endpoint or edit.instance
        if named and edit.state != "in":
            self._order_times[named] = time.time()
        self.fleet.edit(edit)

    def _wait(self, wait: models.Wait) -> None:
        end = time.monotonic() + wait.seconds
        if not wait.model_fields_set - {"seconds"}:
            gevent.sleep(wait.seconds)
            return
        while not self._has_happened(wait):
            if time.monotonic() > end:
                self.add_problem(
                    f"not within {wait.seconds:g} s: {_describe_model(wait)}"
                )
                if wait.outcomes:
                    self.write_trace(
                        self.callers.describe_pending(wait.outcomes)
                    )
                return
            gevent.sleep(POLL_SECONDS)

    def _has_happened(self, wait: models.Wait) -> bool:
        if wait.outcomes:
            return self.callers.wait(wait.outcomes, 0)
        if wait.received:
            return self._count_received(wait.received) >= (wait.count or 1)
        if wait.ended:
            name = self.fleet.resolve(wait.ended)
            return not self.running.is_running(name)
        names = wait.at or tuple(i["name"] for i in self.fleet.instances)
        return all(self.callers.accepts_key(wait.served, n) for n in names)

    def _count_received(self, by: str) -> int:
        tags = {r.tag for r in self.callers.records if r.by == by}
        return sum(arrival.tag in tags for arrival in self.read_arrivals())


def _describe(step: models.Step) -> str:
    value = getattr(step, step.verb)
    if isinstance(value, str | dict):
        return str(value)
    if isinstance(value, tuple):
        return "; ".join(_describe_model(item) for item in value)
    return _describe_model(value)


def _describe_model(model: models.Step) -> str:
    fields = model.model_dump(exclude_unset=True, mode="json")
    return ", ".join(f"{name}: {value}" for name, value in fields.items())


def run_file(file: str, seed: int = 1, subnet: str = "40.1") -> None:
    """Run a scenario file; exit 0 if all its expectations held, else 1."""
    try:
        scenario = models.read_scenario(pathlib.Path(file))
    except (OSError, ValueError) as error:
        print(f"{file}: {error}", file=sys.stderr)
        sys.exit(2)
    print(f"promise: {scenario.promise}\nseed: {seed}", flush=True)
    problems = Runner(
        scenario, seed, subnet, lambda line: print(line, flush=True)
    ).run()
    print(f"{len(problems)} problems", flush=True)
    sys.exit(1 if problems else 0)
