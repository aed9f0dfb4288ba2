"""Simulated site: engines, load reports, faults and the ledger."""

import collections.abc
from typing import Protocol

from citronport import errors
from citronport.scheduler import models
from measures.decisions import engine
from measures.decisions import ledger
from measures.decisions import loads
from measures.decisions import timeline

START_SECONDS = -15.0
"""Start of the simulation; the first requests arrive after time 0."""

DRAIN_SECONDS = 80.0
"""Time after the end of the load in which each request must end."""

HOP_SECONDS = 0.001
"""One-way latency between two data centres."""

REPORT_INTERVAL_SECONDS = 0.5


class Policy(Protocol):
    """Interface of the policies that are compared."""

    def arrive(self, arrival: loads.Arrival) -> None:
        """Handle a request from a caller."""

    def connect(self, endpoint: str, *, up: bool) -> None:
        """Handle a connection to an endpoint that came up or broke."""

    def report(self, endpoint: str, report: models.LoadReport) -> None:
        """Handle a load report."""

    def publish(self, fleet: models.Fleet) -> None:
        """Handle a newer catalogue."""

    def freeze(self, instance: str, seconds: float) -> None:
        """Freeze an instance for some seconds."""

    def take_first_token(self, sender: str, request_id: str) -> None:
        """Handle the first token of an answer."""

    def finish(
        self, sender: str, request_id: str, output: int, cached: int
    ) -> None:
        """Handle a complete answer."""

    def fail(self, sender: str, request_id: str, *, sent: bool) -> None:
        """Handle a failed dispatch."""


class Site:
    """Simulates the environment of one policy under one load."""

    def __init__(self, load: loads.Load) -> None:
        self.load = load
        self.clock = timeline.Timeline(START_SECONDS)
        self.ledger = ledger.Ledger()
        endpoints = loads.make_endpoints()
        for name in load.excluded_endpoints:
            del endpoints[name]
        self.fleet = loads.make_fleet(endpoints)
        self.lengths = {
            a.request.request_id: a.output_tokens for a in load.arrivals
        }
        seen: set[int] = set()
        self.engines = {
            name: engine.Engine(shape, self.clock, seen)
            for name, shape in endpoints.items()
        }
        self._reports_on = True
        self._platform_on = True
        self._policy: Policy | None = None

    def run(self, policy: Policy) -> None:
        """Run the whole load with a policy."""
        self._policy = policy
        policy.publish(self.fleet)
        for name, each in self.engines.items():
            each.on_connection_change = lambda name=name: (
                self._announce_connection(name)
            )
            self.clock.call_later(HOP_SECONDS, self._announce_connection, name)
        self.clock.call_later(0.0, self._send_reports)
        for arrival in self.load.arrivals:
            self.clock.call_at(arrival.time, self._arrive, arrival)
        for fault in self.load.faults:
            self.clock.call_at(fault.time, self._inject_fault, fault)
        self.clock.run(loads.LOAD_SECONDS + DRAIN_SECONDS)

    def send(
        self,
        sender: str,
        request: models.Request,
        endpoint: str,
        incarnation: int,
        on_answer: collections.abc.Callable[[], None],
    ) -> None:
        """Send a request on a connection to one incarnation of an engine.

        Args:
            sender: name of the sending instance, which gets the outcome.
            request: the request.
            endpoint: name of the engine.
            incarnation: the incarnation that the sender is connected to.
            on_answer: called when the complete answer reaches the sender.
        """
        self.clock.call_later(
            HOP_SECONDS,
            self._deliver,
            sender,
            request,
            endpoint,
            incarnation,
            on_answer,
        )

    def _deliver(
        self,
        sender: str,
        request: models.Request,
        endpoint: str,
        incarnation: int,
        on_answer: collections.abc.Callable[[], None],
    ) -> None:
        assert self._policy is not None
        policy = self._policy
        target = self.engines[endpoint]
        name = request.request_id
        if not target.up or target.incarnation != incarnation:
            self.clock.call_later(
                HOP_SECONDS, policy.fail, sender, name, False
            )
            return
        job = engine.Job(
            request=request,
            output_tokens=self.lengths[name],
            on_first_token=lambda: self.clock.call_later(
                HOP_SECONDS, self._deliver_first_token, sender, name
            ),
            on_finished=lambda cached: self._finish(
                sender, job, on_answer, cached
            ),
            on_cut=lambda: self._handle_cut(sender, job),
        )
        self.ledger.record_send(name)
        target.receive(job)

    def cancel(self, endpoint: str, request_id: str) -> None:
        """Cancel a request at an engine."""
        self.clock.call_later(HOP_SECONDS, self._cancel, endpoint, request_id)

    def refuse(self, request_id: str, code: errors.Code) -> None:
        """Send a final refusal to the caller."""
        self.ledger.record_refusal(request_id, code, self.clock.now)

    def _cancel(self, endpoint: str, request_id: str) -> None:
        job = self.engines[endpoint].jobs.get(request_id)
        if job is not None:
            self.engines[endpoint].cancel(request_id)
            self.ledger.record_job_end(job, completed=False)

    def _deliver_first_token(self, sender: str, name: str) -> None:
        assert self._policy is not None
        self.ledger.record_first_token(name, self.clock.now)
        self._policy.take_first_token(sender, name)

    def _finish(
        self,
        sender: str,
        job: engine.Job,
        on_answer: collections.abc.Callable[[], None],
        cached: int,
    ) -> None:
        assert self._policy is not None
        late = self.clock.now > job.request.deadline
        self.ledger.record_job_end(job, completed=not late)
        self.clock.call_later(HOP_SECONDS, on_answer)
        self.clock.call_later(
            HOP_SECONDS,
            self._policy.finish,
            sender,
            job.request.request_id,
            job.output_tokens,
            cached,
        )

    def _handle_cut(self, sender: str, job: engine.Job) -> None:
        assert self._policy is not None
        self.ledger.record_job_end(job, completed=False)
        name = job.request.request_id
        self.clock.call_later(HOP_SECONDS, self._fail_sent, sender, name)

    def _fail_sent(self, sender: str, name: str) -> None:
        assert self._policy is not None
        self._policy.fail(sender, name, sent=True)

    def _arrive(self, arrival: loads.Arrival) -> None:
        assert self._policy is not None
        self.ledger.record_arrival(arrival.request, self.clock.now)
        self._policy.arrive(arrival)

    def _announce_connection(self, name: str) -> None:
        assert self._policy is not None
        self.clock.call_later(
            HOP_SECONDS, self._connect, name, self.engines[name].up
        )

    def _connect(self, name: str, up: bool) -> None:
        assert self._policy is not None
        self._policy.connect(name, up=up)

    def _send_reports(self) -> None:
        if self._reports_on:
            for name, each in self.engines.items():
                if each.up:
                    self.clock.call_later(
                        self.load.report_lag, self._report, name, each.report()
                    )
        if self.clock.now < loads.LOAD_SECONDS + DRAIN_SECONDS:
            self.clock.call_later(REPORT_INTERVAL_SECONDS, self._send_reports)

    def _report(self, name: str, report: models.LoadReport) -> None:
        assert self._policy is not None
        if not self.engines[name].up:
            return
        late = models.LoadReport(
            running=report.running,
            queued=report.queued,
            cold=report.cold,
            age=self.load.report_lag,
            received=report.received,
        )
        self._policy.report(name, late)

    def _inject_fault(self, fault: loads.Fault) -> None:
        assert self._policy is not None
        match fault.kind:
            case "slow":
                self.engines[fault.target].slowdown = fault.value
            case "cold":
                self.engines[fault.target].enter_cold_start(restart=False)
            case "restart":
                self.engines[fault.target].enter_cold_start(
                    restart=True, down=fault.value
                )
            case "dc_out" | "dc_in":
                self._change_data_centre(fault)
            case "reports_off" | "reports_on":
                self._reports_on = fault.kind == "reports_on"
            case "platform_down" | "platform_up":
                self._platform_on = fault.kind == "platform_up"
                self._publish()
            case "freeze":
                self._policy.freeze(fault.target, fault.value)

    def _change_data_centre(self, fault: loads.Fault) -> None:
        out = fault.target if fault.kind == "dc_out" else ""
        self.fleet = loads.make_fleet(
            self.fleet.endpoints, self.fleet.version + 1, out
        )
        if fault.kind == "dc_in":
            # The engines of a data centre that returns have been restarted.
            for name, endpoint in self.fleet.endpoints.items():
                if endpoint.data_centre == fault.target:
                    self.engines[name].enter_cold_start(restart=True, down=0.1)
        self._publish()

    def _publish(self) -> None:
        assert self._policy is not None
        if self._platform_on:
            self.clock.call_later(0.5, self._policy.publish, self.fleet)
