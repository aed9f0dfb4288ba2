"""Wiring of the tasks of one entry instance; nothing is decided here."""

import signal

from absl import logging
import gevent
from gevent import event as gevent_event
import result

from citronport import clock
from citronport import errors
from citronport import executor
from citronport import runs
from citronport import settings as settings_module
from citronport import trace
from citronport.callers import application as caller_application
from citronport.callers import home
from citronport.callers import keeper
from citronport.callers import lookup
from citronport.callers import server as caller_server
from citronport.callers import tickets
from citronport.endpoints import client as endpoint_client
from citronport.endpoints import const as endpoint_const
from citronport.instances import const as instance_const
from citronport.instances import gossip
from citronport.instances import messages
from citronport.instances import peers
from citronport.platform import client as platform_client
from citronport.platform import const as platform_const
from citronport.platform import store
from citronport.scheduler import core as scheduler_core
from citronport.scheduler import models
from citronport.scheduler import ownership

LOG = "core:"

ASSESS_SECONDS = 0.25
"""Pause between two looks at leases; a lease is checked before each send
to a cold endpoint all the same."""

POLL_SECONDS = 0.05
"""Pause between two looks at whether a start or a stop has got on."""

READY_SECONDS = 10.0
"""How long a start waits for a catalogue before callers may connect."""

LINGER_SECONDS = 1.0
"""How long an idle instance goes on refusing before it ends; several
reports to each neighbour go out in that time."""

RELEASE_SECONDS = 10.0
"""How long an endpoint that was given up is offered to its new owner."""


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
        now = ticker.now()
        incarnation = tickets.make_incarnation()
        self.published = store.Store()
        self.scheduler = scheduler_core.Scheduler(self.name)
        self.owners = ownership.Ownership(self.name, now)
        self.records = home.Home(self.name, incarnation, now)
        self.peers = peers.Peers(
            messages.Hello(
                protocol=instance_const.PROTOCOL,
                instance=self.name,
                incarnation=incarnation,
            ),
            ticker,
            self._take_run,
            self._take_message,
        )
        self.executor = executor.Executor(
            self.scheduler,
            ticker,
            self._forward,
            self.owners.may_feed_cold,
            trace.make_event_recorder(self.name, settings.event_file),
        )
        self.gossip = gossip.Gossip(
            self.peers,
            self.published,
            self.owners,
            ticker,
            self.scheduler.summarize,
            self.executor.post,
        )
        self.directory = lookup.Directory(
            self.published,
            self.name,
            lambda: self._leaving,
            self.gossip.find_silent,
            lambda: self._assigned.owners if self._assigned else {},
            ticker,
        )
        self.keeper = keeper.Keeper(
            self.records,
            ticker,
            self.executor.submit,
            self.executor.leave,
            lambda run, instance: self.peers.forward(
                run, instance, instance_const.ROLE_HOME
            ),
            lambda: self._leaving,
        )
        self._connected: set[str] = set()
        self._stopped = gevent_event.Event()
        self._leaving = False
        self._assigned: models.OwnershipChanged | None = None
        self._given: dict[str, float] = {}
        self.published.listen(self._apply)

    def serve(self) -> None:
        """Run until a stop is ordered and the work in progress is done."""
        gevent.signal_handler(signal.SIGTERM, self.stop)
        listener = self.settings.peers
        peer_server = self.peers.serve(str(listener.address), listener.port)
        callers = self._make_caller_server()
        self._watch_platform()
        gevent.spawn(self._watch_endpoints)
        gevent.spawn(self.gossip.serve)
        gevent.spawn(self._assess)
        gevent.spawn(self.executor.serve)
        gevent.spawn(self.keeper.sweep_forever)
        self._wait_until_ready()
        callers.start()
        logging.info("%s %s is up.", LOG, self.name)
        self._stopped.wait()
        self._drain(callers)
        callers.stop(timeout=LINGER_SECONDS)
        peer_server.stop(timeout=0)
        self.peers.flush(LINGER_SECONDS)
        logging.info("%s %s is down.", LOG, self.name)

    def stop(self) -> None:
        """Order a graceful shutdown; a second order changes nothing."""
        logging.info("%s %s is leaving.", LOG, self.name)
        self._stopped.set()

    def _make_caller_server(self) -> caller_server.Server:
        application = caller_application.Application(
            self.published,
            self.records,
            self.ticker,
            self.keeper.take,
            self.directory,
        )
        listener = self.settings.callers
        return caller_server.make_server(
            str(listener.address), listener.port, application
        )

    def _watch_platform(self) -> None:
        gevent.spawn(
            platform_client.watch,
            platform_const.PATH_CATALOGUE,
            platform_const.WATCH_SECONDS,
            self.settings.platform,
            self.ticker,
            self.published.offer,
            lambda asked, version: None,
        )
        gevent.spawn(
            platform_client.watch,
            platform_const.PATH_INSTANCES,
            platform_const.CONFIRM_SECONDS,
            self.settings.platform,
            self.ticker,
            self.published.offer,
            self._confirm_list,
        )

    def _confirm_list(self, asked: float, version: int) -> None:
        # A stale platform confirms an older list; that says nothing of
        # the one in force here.
        mine = self.published.get_versions()
        if version >= mine.get(platform_const.PATH_INSTANCES, 0):
            self.owners.note_platform(asked)

    def _wait_until_ready(self) -> None:
        # A caller that connects before the first catalogue is here can
        # only be refused; without a listener it goes to its next address
        # at once.
        for _ in range(int(READY_SECONDS / POLL_SECONDS)):
            known = self.published.fleet and self.published.instances
            if known or self._stopped.is_set():
                return
            self.ticker.sleep(POLL_SECONDS)

    def _drain(self, callers: caller_server.Server) -> None:
        self._set_leaving(True)
        self._wait_until_idle(callers)
        # Callers and instances that have not heard of the leave yet still
        # send; until they have, each gets a refusal that says "not run"
        # instead of a broken connection, of which nobody knows the outcome.
        self.ticker.sleep(LINGER_SECONDS)
        self._wait_until_idle(callers)
        self._update_ownership()
        self._offer_given()

    def _wait_until_idle(self, callers: caller_server.Server) -> None:
        parts = (self.executor, self.peers, callers)
        while not all(part.is_idle() for part in parts):
            self.ticker.sleep(POLL_SECONDS)

    def _set_leaving(self, leaving: bool) -> None:
        if leaving == self._leaving:
            return
        self._leaving = leaving
        order = models.LeaveOrdered() if leaving else models.ReturnOrdered()
        self.executor.post(order)
        gevent.sleep(0)
        names = frozenset({self.name}) if leaving else frozenset()
        self.owners.update_leaving(names, self.ticker.now())
        self.gossip.report()

    def _apply(self, path: str) -> None:
        now = self.ticker.now()
        fleet = self.published.fleet
        instances = self.published.instances
        if path == platform_const.PATH_CATALOGUE and fleet is not None:
            self.owners.update_endpoints(
                {e.name: e.data_centre for e in fleet.endpoints.values()}, now
            )
            self.executor.post(models.FleetChanged(fleet=fleet))
        else:
            members = {
                i.name: ownership.Member(
                    name=i.name, data_centre=i.data_centre
                )
                for i in instances.values()
                if i.state == models.Service.IN
            }
            version = self.published.get_versions()[path]
            self.owners.update_members(members, version, now)
        self._update_leaving()
        self._update_ownership()

    def _update_leaving(self) -> None:
        if self._stopped.is_set():
            return
        fleet = self.published.fleet
        me = self.published.instances.get(self.name)
        ordered = me is not None and me.state != models.Service.IN
        if fleet is not None:
            centre = fleet.data_centres.get(self.settings.data_centre)
            ordered = ordered or centre in (
                models.Service.OUT,
                models.Service.LEAVING,
            )
        self._set_leaving(ordered)

    def _assess(self) -> None:
        while True:
            self._update_ownership()
            self._offer_given()
            self.ticker.sleep(ASSESS_SECONDS)

    def _update_ownership(self) -> None:
        assigned = self.owners.assess(self.ticker.now())
        if assigned == self._assigned:
            return
        if self._assigned is not None:
            for endpoint in self._assigned.owned - assigned.owned:
                self._given[endpoint] = self.ticker.now()
        self._assigned = assigned
        self.executor.post(assigned)

    def _offer_given(self) -> None:
        version = self.published.get_versions().get(
            platform_const.PATH_INSTANCES, 0
        )
        now = self.ticker.now()
        for endpoint, since in list(self._given.items()):
            owner = self.owners.find_owner(endpoint)
            if owner == self.name or now - since > RELEASE_SECONDS:
                del self._given[endpoint]
            elif owner and not self.executor.count_running(endpoint):
                release = messages.Release(
                    endpoint=endpoint, list_version=version
                )
                self.peers.send(owner, release)

    def _watch_endpoints(self) -> None:
        while True:
            fleet = self.published.fleet
            owned = self._assigned.owned if self._assigned else frozenset()
            if fleet is not None:
                gevent.joinall(
                    [
                        gevent.spawn(self._read_load, fleet.endpoints[name])
                        for name in owned
                        if name in fleet.endpoints
                    ]
                )
            self.ticker.sleep(endpoint_const.REPORT_SECONDS)

    def _read_load(self, endpoint: models.Endpoint) -> None:
        name = endpoint.name
        match endpoint_client.read_load(endpoint.address):
            case result.Ok(report):
                if name not in self._connected:
                    self._connected.add(name)
                    self.executor.post(models.EndpointConnected(endpoint=name))
                if not report.running and not report.queued:
                    seen = self.ticker.now() - report.age
                    self.owners.note_idle(name, seen)
                self.executor.post(
                    models.EndpointReported(endpoint=name, report=report)
                )
            case result.Err(_):
                if name in self._connected:
                    self._connected.discard(name)
                    self.executor.post(models.EndpointLost(endpoint=name))

    def _take_message(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        return self.gossip.take(sender, message)

    def _take_run(self, work: runs.Work, role: str) -> runs.Run:
        if role == instance_const.ROLE_HOME:
            return self.keeper.take(work, forwarded=True)
        run = runs.Run(work, self.executor.leave)
        self.executor.submit(run, forwarded=True)
        return run

    def _forward(self, run: runs.Run, instance: str) -> errors.Refusal | None:
        return self.peers.forward(run, instance, instance_const.ROLE_OWNER)
