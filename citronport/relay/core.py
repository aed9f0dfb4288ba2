"""Wires the components of an instance; holds no scheduling logic."""

import pathlib
import secrets
import signal

from absl import logging
import gevent
from gevent import event as gevent_event
import result

from citronport import clock
from citronport import const
from citronport import errors
from citronport import tasks
from citronport.callers import server as caller_server
from citronport.platform import models as wire_models
from citronport.relay import application
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import contacts
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import draining
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import fair_queues
from citronport.relay import follower as follower_module
from citronport.relay import forward_server
from citronport.relay import forwarding
from citronport.relay import gossip as gossip_module
from citronport.relay import jobs
from citronport.relay import leasing as leasing_module
from citronport.relay import listeners
from citronport.relay import lookups
from citronport.relay import membership
from citronport.relay import messages
from citronport.relay import metrics
from citronport.relay import mirror as mirror_module
from citronport.relay import owners as owners_module
from citronport.relay import paths
from citronport.relay import readers
from citronport.relay import replication as replication_module
from citronport.relay import reports
from citronport.relay import retry_budgets
from citronport.relay import settings as settings_module
from citronport.relay import settings_watch
from citronport.relay import silence
from citronport.relay import stalls
from citronport.relay import startup
from citronport.relay import state
from citronport.relay import store_changes
from citronport.relay import store_check as store_check_module
from citronport.relay import stream_records
from citronport.relay import stream_versions
from citronport.relay import summaries
from citronport.relay import version_proofs
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import pauses
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import row_budget
from citronport.scheduler.direct import selection
from citronport.scheduler.direct import suspects as suspects_module

LOG = "relay:"

SWEEP_INTERVAL_SECONDS = 0.25
"""Interval at which expired state is removed."""


class Instance:
    """An instance that accepts callers' requests and sends them to endpoints.

    Args:
        path: the settings file; reloaded when it changes.
        settings: settings read from it at the start.
        ticker: the clock.
    """

    def __init__(
        self,
        path: pathlib.Path,
        settings: settings_module.Settings,
        ticker: clock.Clock,
    ) -> None:
        self._path = path
        self._settings = settings
        self._ticker = ticker
        self._incarnation = secrets.token_hex(4)
        self.log = eventlog.Log(settings.instance, ticker)
        self._leaving = False
        self._closing = False
        self.started_at = ticker.now()
        self.counts = metrics.Counts()
        self._stopped = gevent_event.Event()
        self.peer_rows = row_budget.RowBudget(settings.shares.peer_row_bytes)
        self.loads = load_tracker.LoadTracker(
            early_step_times=settings.scheduling.early_step_times,
            budget=self.peer_rows,
        )
        self.loads.overdue.factor = settings.scheduling.overdue_factor
        self.health = health_module.Health()
        self.cold = cold_starts.ColdStarts()
        self.limits = endpoint_limits.EndpointLimits(
            lambda name: name in self.cluster_state.endpoints
        )
        self.pauses = pauses.Pauses()
        self.suspects = suspects_module.Suspects()
        self.quotas = quota.Quotas(
            settings.bounds.limit_over,
            settings.bounds.limit_slack,
            ticker.now(),
            self.peer_rows,
        )
        self.members = membership.Membership(
            settings.instance, settings.data_centre, self.peer_rows
        )
        if any(str(seed) != str(settings.peers) for seed in settings.seeds):
            self.members.expect_others(ticker.now())
        self.mirror = mirror_module.Mirror(cluster_state_module.uses_value)
        self.cluster_state = cluster_state_module.ClusterState(
            self.cold, self._forget_endpoint, self.log
        )
        self._store_changes = store_changes.StoreChanges(
            self.cluster_state, self._update_derived_state, ticker
        )
        self.forwarder = forwarding.Forwarder(
            settings.instance,
            settings.data_centre,
            settings.reports,
            self.members,
            ticker,
        )
        self.paths = paths.Paths(
            self.cluster_state,
            self.forwarder.has_peers,
            self.health.clear_pauses,
            ticker,
            self.log,
        )
        store_readers = readers.Readers(
            settings.instance, self.members, ticker
        )
        self.follower = follower_module.Follower(
            follower_module.make_client(str(settings.store)),
            self.mirror,
            ticker,
            self._handle_store_changes,
            self.log,
            store_readers.compute_standby_age,
            store_readers.is_reader,
            lambda seconds: self.stream_versions.record_gap(seconds),
            self._handle_past,
        )
        self.store_check = store_check_module.StoreCheck(
            follower_module.make_client(str(settings.store)),
            self.mirror,
            self.follower,
            self._handle_store_changes,
            ticker,
            lambda: self._store_changes.is_applied,
        )
        self._stalls = stalls.StallMonitor(self.store_check, ticker)
        self.dispatcher = dispatcher_module.Dispatcher(
            settings.instance,
            self.cluster_state,
            self.members,
            self.loads,
            self.health,
            self.cold,
            self.limits,
            self.pauses,
            settings.scheduling,
            ticker,
            fair_queues.FairQueues(
                self.cluster_state,
                selection.Selector(
                    self.loads, self.health, self.cold, self.limits
                ),
                self.loads,
                ticker,
                self.log,
            )
            if settings.scheduling.fair_shares
            else None,
            self._stalls.renew_view,
        )
        self.startup = startup.Startup(
            self.started_at,
            self.cluster_state,
            self.members,
            lambda: self._leaving,
            lambda: self.replication.misses_lost_items(),
            (
                (lambda: self.leasing.owners.knows_owners(ticker.now()))
                if settings.scheduling.early_owners
                else None
            ),
            lambda: self.gossip.report_change(),
            ticker,
            self.log,
        )
        self._silence = silence.SilenceCheck(
            self.cluster_state,
            self.loads,
            self.health,
            self.cold,
            self.limits,
            self.paths.was_lost_since,
            ticker,
            self.log,
        )
        self.reports = reports.Reports(
            settings,
            self._incarnation,
            self.members,
            self.loads,
            self.quotas,
            self.suspects,
            self.limits,
            self.mirror,
            self.follower,
            self.paths,
            self.is_ready,
            lambda: self._leaving,
            self.startup.is_starting,
            ticker,
        )
        self.summaries = summaries.Summaries(
            settings.instance,
            self._incarnation,
            settings.data_centre,
            self.members,
            self.quotas,
            self.loads.profiles,
            self.suspects,
            self.limits,
            self.reports.make,
        )
        self.gossip = gossip_module.Gossip(
            settings,
            self.members,
            ticker,
            self.reports.make,
            self._handle_report,
            self._handle_message,
            self.summaries,
            self.log,
        )
        self.replication = replication_module.Replication(
            settings,
            self.members,
            self.mirror,
            ticker,
            self._apply_changes,
            self.follower,
            self.log,
            lambda seconds: self.stream_versions.record_gap(seconds),
        )
        self.leasing = leasing_module.Leasing(
            settings.instance,
            settings.capacity,
            self.members,
            self.cluster_state,
            self.dispatcher,
            self.loads,
            self.health,
            self.limits,
            self.is_ready,
            self.gossip.send_message,
            ticker,
            self.log,
            owners_module.make_startup_ownership(
                settings, self.started_at, self.startup.is_starting
            ),
            self.peer_rows,
        )
        self.stream_versions = stream_versions.StreamVersions(
            settings.instance,
            self.members,
            self.cluster_state,
            self.leasing.owners,
            self.gossip.send_message,
            version_proofs.VersionProofs(
                self.members,
                contacts.Contacts(self.members, ticker, contacts.probe),
                self.store_check,
                ticker,
            ),
            self.counts,
            ticker,
            stream_records.StreamRecords(ticker, settings.shares.streams),
        )
        self.retry_budgets = retry_budgets.RetryBudgets(
            settings, self.members, ticker
        )
        context = jobs.RelayContext(
            cluster_state=self.cluster_state,
            dispatcher=self.dispatcher,
            loads=self.loads,
            health=self.health,
            limits=self.limits,
            pauses=self.pauses,
            paths=self.paths,
            suspects=self.suspects,
            forwarder=self.forwarder,
            stream_versions=self.stream_versions,
            ticker=ticker,
            log=self.log,
            counts=self.counts,
            retry_budgets=self.retry_budgets,
            renew_view=self._stalls.renew_view,
            count_instances=lambda: len(self.members.list_known(ticker.now())),
            data_centre=settings.data_centre,
        )
        self.application = application.Application(
            context,
            self.quotas,
            lambda: self.members.compute_reach(ticker.now()),
            lambda: max(
                gossip_module.REPORT_SECONDS,
                self.members.get_propagation_seconds(),
            ),
            lambda: self._leaving,
            lambda: self._closing,
            lambda: ticker.now() - self.follower.answered_at,
            self.startup.is_discovering,
            ticker,
        )
        self.lookup_addresses = lookups.LookupAddresses(
            str(settings.callers),
            settings.capacity,
            self.members,
            self.is_ready,
            ticker,
        )
        self._callers, self._forwards = listeners.make_request_servers(
            settings,
            self.application,
            forward_server.ForwardServer(
                self.application, context, lambda: self._closing, ticker
            ),
        )
        self._tasks = tasks.Supervisor(
            ticker, lambda name: logging.error("%s task %s died.", LOG, name)
        )

    def serve(self) -> None:
        """Run until a stop is requested and running requests are finished."""
        gevent.signal_handler(signal.SIGTERM, self.stop)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        self._tasks.report_unhandled()
        started = events.Started(
            incarnation=self._incarnation, version=const.VERSION
        )
        self.log.write(started)
        self.gossip.open()
        self.replication.open()
        servers = self._make_servers()
        for server in servers:
            server.start()
        self._start_tasks()
        self._stopped.wait()
        self._drain()
        self.log.write(events.Stopped(requests=self.application.running))

    def stop(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        if self._leaving:
            return
        self._leaving = True
        self.log.write(events.Leaving(requests=self.application.running))
        self.gossip.send_report(self.reports.make())
        self._stopped.set()

    def reload(self) -> None:
        """Reload the settings file; keep the current settings if invalid."""
        match settings_module.read_settings(self._path):
            case result.Err(reason):
                fault = int(errors.InputFault.BAD_SETTINGS)
                self.log.write(
                    events.SettingsReloaded(
                        accepted=False, detail=f"{fault}: {reason}"
                    )
                )
            case result.Ok(settings):
                self._settings = settings
                self.loads.overdue.factor = settings.scheduling.overdue_factor
                self.gossip.update_settings(settings)
                self.reports.update_settings(settings)
                self.retry_budgets.update_settings(settings)
                self.dispatcher.update_scheduling(settings.scheduling)
                reloaded = events.SettingsReloaded(accepted=True, detail="")
                self.log.write(reloaded)

    def is_ready(self) -> bool:
        """Return whether callers should use this instance."""
        return self.startup.is_ready()

    def _make_servers(self) -> list[caller_server.Server]:
        return [
            self._callers,
            self._forwards,
            *listeners.make_other_servers(
                self._settings,
                application.Lookups(self.lookup_addresses.list_addresses),
                application.Readiness(self.is_ready),
                application.Metrics(
                    lambda: state.read_state(self, self._ticker.now()),
                    self.counts,
                ),
            ),
        ]

    def _start_tasks(self) -> None:
        start_task = self._tasks.start_restarting
        start_task("stalls", self._stalls.run)
        start_task("follower", self.follower.follow)
        start_task("receiver", self.gossip.receive)
        start_task("reporter", self.gossip.report_forever)
        start_task("envoy", self.gossip.summarize_forever)
        start_task("catch-up", self.replication.catch_up)
        start_task("dispatcher", self.dispatcher.run_match_loop)
        start_task("renewer", self.leasing.run_renewal_loop)
        start_task("paths", self.paths.probe_forever)
        start_task("sweeper", self._run_sweeper)
        start_task(
            "settings",
            lambda: settings_watch.watch(
                self._path, self._ticker, self.reload
            ),
        )

    def _drain(self) -> None:
        draining.drain(
            self._settings.bounds.grace_seconds,
            self._stop_accepting,
            lambda: not self.application.running and self._callers.is_idle(),
            self._ticker,
        )
        self.replication.close()

    def _stop_accepting(self) -> None:
        self._closing = True
        self._callers.close()
        self._forwards.close()

    def _run_sweeper(self) -> None:
        while True:
            self._ticker.sleep(SWEEP_INTERVAL_SECONDS)
            self.cluster_state.sweep(self._ticker.now())
            self.leasing.lease_server.sweep()
            self._silence.check()
            self.suspects.remove_expired(self._ticker.now())
            self.limits.remove_expired(self._ticker.now())
            self._store_changes.apply_pending()

    def _update_derived_state(self) -> None:
        """Update what depends on the store's content."""
        self._callers.tracker.limits = listeners.make_limits(
            self._settings, self.cluster_state.configuration
        )
        self.stream_versions.update()
        self.is_ready()

    def _handle_report(self, report: messages.Report) -> None:
        self.reports.apply(report)
        self.dispatcher.schedule_match()

    def _handle_message(self, message: messages.InstanceMessage) -> None:
        self._stalls.renew_view()
        self.stream_versions.handle(message)
        self.leasing.handle(message)

    def _handle_store_changes(self, changes: list[wire_models.Item]) -> None:
        self._apply_changes(changes, self.follower.recovered_at)
        self.gossip.announce_changes()

    def _handle_past(
        self, changes: tuple[wire_models.Item, ...], revision: int
    ) -> None:
        past = store_changes.find_past(
            changes, revision, self.mirror, self.follower
        )
        if past is not None:
            self.stream_versions.record_past(past)

    def _apply_changes(
        self, changes: list[wire_models.Item], recovered_at: float
    ) -> None:
        self._store_changes.apply(
            changes, max(self.follower.recovered_at, recovered_at)
        )
        self.follower.recovered_at = self._store_changes.recovered_at
        self.dispatcher.schedule_match()

    def _forget_endpoint(self, name: str) -> None:
        for known in (self.loads, self.health, self.cold, self.limits):
            known.forget(name)
