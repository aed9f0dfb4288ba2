"""Connects the components of an entry instance and runs its tasks."""

import signal

from absl import logging
import gevent
from gevent import event as gevent_event

from citronport import assignment
from citronport import byte_budget
from citronport import clock
from citronport import errors
from citronport import executor
from citronport import resources
from citronport import runs
from citronport import settings as settings_module
from citronport import spans
from citronport import tasks
from citronport import telemetry
from citronport import trace
from citronport.callers import application as caller_application
from citronport.callers import connections
from citronport.callers import const as caller_const
from citronport.callers import deduplication
from citronport.callers import idempotency
from citronport.callers import lookup
from citronport.callers import server as caller_server
from citronport.callers import tickets
from citronport.catalogue import client as catalogue_client
from citronport.catalogue import const as catalogue_const
from citronport.catalogue import store
from citronport.endpoints import watch
from citronport.instances import const as instance_const
from citronport.instances import gossip
from citronport.instances import messages
from citronport.instances import peers
from citronport.operators import server as operator_server
from citronport.operators import status
from citronport.scheduler import core as scheduler_core
from citronport.scheduler import models
from citronport.scheduler import ownership

LOG = "core:"

POLL_INTERVAL_SECONDS = 0.05
"""Interval at which the progress of a start or a stop is checked."""

READY_TIMEOUT_SECONDS = 5.0
"""How long a start waits for the catalogue and for its endpoints before
callers may connect. An endpoint that is down must not block the start."""

LINGER_SECONDS = 1.0
"""How long an idle instance still refuses requests before it stops; several
reports are sent to each peer in that time."""


class Daemon:
    """One entry instance.

    Args:
        settings: checked settings.
        ticker: the clock.
    """

    def __init__(
        self, settings: settings_module.Settings, ticker: clock.Clock
    ) -> None:
        self.settings = settings
        self.ticker = ticker
        self.name = settings.instance
        self.incarnation = tickets.make_incarnation()
        self.published = store.Store()
        self.scheduler = scheduler_core.Scheduler(self.name)
        self.owners = ownership.Ownership(self.name, ticker.now())
        self.records = idempotency.RequestRecords(
            self.name, self.incarnation, ticker.now()
        )
        self._tracer = spans.make_tracer(
            self.name, settings.trace_file, settings.trace_share
        )
        self.telemetry = telemetry.Telemetry(ticker, self._tracer)
        self.tasks = tasks.Supervisor(
            ticker, self.telemetry.counts.record_task_death
        )
        self._shares = resources.make_default_shares(settings.memory_mb)
        self._budget = byte_budget.make_budget(self._shares)
        self.peers = self._make_peers()
        self.endpoint_monitors = watch.EndpointMonitors(
            ticker, self._handle_endpoint_event
        )
        self.executor = executor.Executor(
            self.scheduler,
            ticker,
            self._forward,
            self.owners.may_send_cold,
            trace.make_event_recorder(self.name, settings.event_file),
            self.endpoint_monitors.is_current,
            self.telemetry,
        )
        self.gossip = gossip.Gossip(
            self.peers,
            self.published,
            self.owners,
            ticker,
            self.scheduler.summarize,
            self.executor.post,
        )
        self.assignment = assignment.Assignment(
            self.owners,
            self.published,
            ticker,
            self.executor.post,
            self.executor.count_running,
            self.peers.send,
            self._monitor_owned_endpoints,
        )
        self.directory = lookup.Directory(
            self.published,
            self.name,
            lambda: self._leaving,
            self.gossip.get_silent_instances,
            lambda: self.assignment.current.owners,
            ticker,
        )
        self.deduplicator = deduplication.Deduplicator(
            self.records,
            ticker,
            self.executor.submit,
            self.executor.report_abandoned,
            self._send_home,
            lambda: self._leaving,
        )
        self._connected: set[str] = set()
        self._reports: dict[str, models.LoadReport] = {}
        self._stop_ordered = gevent_event.Event()
        self._leaving = False
        self.status = self._make_status_reader()
        self.published.add_listener(self._apply_published)

    def serve(self) -> None:
        """Run until a stop is ordered and the work in progress is done."""
        # Installed before any listener starts: until then SIGTERM would end
        # the process at once and break the connections of the first callers.
        gevent.signal_handler(signal.SIGTERM, self.stop)
        self.tasks.report_unhandled()
        listener = self.settings.peers
        peer_server = self.peers.serve(str(listener.address), listener.port)
        operators = self._make_operator_server()
        operators.start()
        callers = self._make_caller_server()
        self._start_tasks()
        self._wait_until_ready()
        callers.start()
        logging.info("%s instance %s has started.", LOG, self.name)
        self._stop_ordered.wait()
        self._drain(callers)
        callers.stop(timeout=LINGER_SECONDS)
        peer_server.stop(timeout=0)
        self.peers.close_links(LINGER_SECONDS)
        logging.info("%s instance %s has stopped.", LOG, self.name)

    def stop(self) -> None:
        """Start a graceful shutdown; has no effect if one is in progress."""
        logging.info("%s instance %s is shutting down.", LOG, self.name)
        self._stop_ordered.set()

    def _make_peers(self) -> peers.Peers:
        return peers.Peers(
            messages.Hello(
                protocol=instance_const.PROTOCOL,
                instance=self.name,
                incarnation=self.incarnation,
            ),
            self.ticker,
            self._submit_from_peer,
            self._handle_message,
            self._shares,
            self._budget,
        )

    def _make_caller_server(self) -> caller_server.Server:
        application = caller_application.Application(
            self.published,
            self.records,
            self.ticker,
            self._submit_from_caller,
            self.directory,
        )
        listener = self.settings.callers
        return caller_server.make_server(
            str(listener.address),
            listener.port,
            telemetry.TelemetryMiddleware(
                application,
                self.telemetry.counts,
                self._tracer,
                caller_const.PATH_LOOKUP,
            ),
            connections.Limits(connections=self._shares.callers),
            self._budget,
        )

    def _make_operator_server(self) -> caller_server.Server:
        return operator_server.make_server(
            self.settings.operators,
            operator_server.Application(
                self.status.read, self.telemetry.counts, self.stop
            ),
            self._shares.operators,
        )

    def _make_status_reader(self) -> status.StatusReader:
        return status.StatusReader(
            status.StatusSources(
                settings=self.settings,
                incarnation=self.incarnation,
                ticker=self.ticker,
                published=self.published,
                counts=self.telemetry.counts,
                summarize=self.scheduler.summarize,
                get_owned_endpoints=lambda: self.assignment.current.owned,
                count_running=self.executor.count_running,
                is_warm=self.scheduler.is_warm,
                is_linked=lambda n: self.peers.get_incarnation(n) is not None,
                is_leaving=lambda: self._leaving,
                connected=self._connected,
                reports=self._reports,
            )
        )

    def _start_tasks(self) -> None:
        watches = (
            (
                catalogue_const.PATH_CATALOGUE,
                catalogue_const.CATALOGUE_WATCH_SECONDS,
                lambda asked, version: None,
                self.gossip.reads_from_platform,
            ),
            (
                catalogue_const.PATH_INSTANCES,
                catalogue_const.INSTANCE_LIST_WATCH_SECONDS,
                self.assignment.record_list_confirmation,
                # Each instance reads the list itself, because leases depend
                # on it.
                lambda path: True,
            ),
        )
        for path, wait, confirm, is_reader in watches:
            self.tasks.start_restarting(
                f"watch {path}",
                catalogue_client.watch,
                path,
                wait,
                self.settings.platform,
                self.ticker,
                self.published.apply,
                confirm,
                self.telemetry.counts.record_platform_read,
                is_reader,
            )
        self.tasks.start_restarting("peer reports", self.gossip.report_forever)
        self.tasks.start_restarting("keeper", self.deduplicator.sweep_forever)
        self.tasks.start_required("assignment", self.assignment.serve)
        self.tasks.start_required("executor", self.executor.serve)

    def _wait_until_ready(self) -> None:
        # A caller that connects before the catalogue and an endpoint are
        # available can only be refused. Without a listener it tries its next
        # address at once.
        for _ in range(int(READY_TIMEOUT_SECONDS / POLL_INTERVAL_SECONDS)):
            if self._is_ready() or self._stop_ordered.is_set():
                return
            self.ticker.sleep(POLL_INTERVAL_SECONDS)

    def _is_ready(self) -> bool:
        if not (self.published.fleet and self.published.instances):
            return False
        if not self.gossip.has_synced():
            return False
        return self.assignment.current.owned <= self._connected

    def _drain(self, callers: caller_server.Server) -> None:
        self._set_leaving(True)
        self._wait_until_idle(callers)
        # Callers and instances that have not been notified of the shutdown
        # still send requests. Until they are, each request is refused as "not
        # run"; a broken connection would leave its outcome unknown.
        self.ticker.sleep(LINGER_SECONDS)
        self._wait_until_idle(callers)
        self.assignment.update()

    def _wait_until_idle(self, callers: caller_server.Server) -> None:
        parts = (self.executor, self.peers, callers)
        while not all(part.is_idle() for part in parts):
            self.ticker.sleep(POLL_INTERVAL_SECONDS)

    def _apply_published(self, path: str) -> None:
        self.assignment.apply(path)
        if not self._stop_ordered.is_set():
            self._set_leaving(self._is_out_of_service())

    def _is_out_of_service(self) -> bool:
        own_listing = self.published.instances.get(self.name)
        if own_listing is not None and own_listing.state != models.Service.IN:
            return True
        fleet = self.published.fleet
        if fleet is None:
            return False
        centre = fleet.data_centres.get(self.settings.data_centre)
        return centre in (models.Service.OUT, models.Service.LEAVING)

    def _set_leaving(self, leaving: bool) -> None:
        if leaving == self._leaving:
            return
        self._leaving = leaving
        order = models.LeaveOrdered() if leaving else models.ReturnOrdered()
        self.executor.post(order)
        # Lets the executor handle the order before the report announces it.
        gevent.sleep(0)
        self.owners.update_leaving(self.name, leaving, self.ticker.now())
        self.gossip.report()

    def _monitor_owned_endpoints(self) -> None:
        fleet = self.published.fleet
        if fleet is None:
            return
        self.endpoint_monitors.assign(
            {
                name: fleet.endpoints[name].address
                for name in self.assignment.current.owned
                if name in fleet.endpoints
            }
        )

    def _handle_endpoint_event(self, event: models.Event) -> None:
        match event:
            case models.EndpointConnected():
                self._connected.add(event.endpoint)
            case models.EndpointLost():
                self._connected.discard(event.endpoint)
            case models.EndpointReported():
                self._reports[event.endpoint] = event.report
                self.assignment.record_load_report(
                    event.endpoint, event.report
                )
        self.executor.post(event)

    def _handle_message(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        return self.gossip.handle_message(sender, message)

    def _submit_from_caller(self, work: runs.Work) -> runs.Run:
        telemetry.attach_caller_header(work)
        return self.deduplicator.submit(work)

    def _submit_from_peer(self, work: runs.Work, role: str) -> runs.Run:
        if role == instance_const.ROLE_HOME:
            return self.deduplicator.submit(work, forwarded=True)
        run = runs.Run(work, self.executor.report_abandoned)
        self.executor.submit(run, forwarded=True)
        return run

    def _send_home(
        self, run: runs.Run, instance: str
    ) -> errors.Refusal | None:
        run.observer = self.telemetry.make_observer(run.work, forwarded=True)
        run.observer.record_forward(instance)
        return self.peers.forward(run, instance, instance_const.ROLE_HOME)

    def _forward(self, run: runs.Run, instance: str) -> errors.Refusal | None:
        return self.peers.forward(run, instance, instance_const.ROLE_OWNER)
