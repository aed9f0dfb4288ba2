"""Wiring of the tasks of one entry instance; nothing is decided here."""

import dataclasses
import json
import signal
import time

from absl import logging
import gevent
from gevent import event as gevent_event
import result

from citronport import clock
from citronport import errors
from citronport import runs
from citronport import settings as settings_module
from citronport.callers import home
from citronport.callers import server as caller_server
from citronport.endpoints import client as endpoint_client
from citronport.endpoints import const as endpoint_const
from citronport.executor import Executor
from citronport.instances import const as instance_const
from citronport.instances import messages
from citronport.instances import peers
from citronport.platform import client as platform_client
from citronport.platform import const as platform_const
from citronport.platform import store
from citronport.scheduler import core as scheduler_core
from citronport.scheduler import models
from citronport.scheduler import ownership

LOG = "core:"


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
        self.published = store.Store()
        self.scheduler = scheduler_core.Scheduler(settings.instance)
        incarnation = home.make_incarnation()
        self.records = home.Home(settings.instance, incarnation, ticker.now())
        self.peers = peers.Peers(
            messages.Hello(
                protocol=instance_const.PROTOCOL,
                instance=settings.instance,
                incarnation=incarnation,
            ),
            ticker,
            self._take_run,
            self._take_message,
        )
        self.executor = Executor(
            self.scheduler, ticker, self._forward, self._record
        )
        self._connected: set[str] = set()
        self._stopped = gevent_event.Event()
        self._event_file = (
            open(settings.event_file, "a", buffering=1)
            if settings.event_file
            else None
        )
        self.published.listen(self._apply)

    def serve(self) -> None:
        """Run until a stop is ordered and the work in progress is done."""
        listeners = self.settings
        self.peers.serve(str(listeners.peers.address), listeners.peers.port)
        application = caller_server.Application(
            self.published,
            self.records,
            self.ticker,
            self.executor.submit,
            self.executor.leave,
            lambda: frozenset(),
        )
        callers = caller_server.make_server(
            str(listeners.callers.address),
            listeners.callers.port,
            application,
        )
        callers.start()
        for path in (
            platform_const.PATH_CATALOGUE,
            platform_const.PATH_INSTANCES,
        ):
            gevent.spawn(
                platform_client.watch,
                path,
                self.settings.platform,
                self.ticker,
                self.published.offer,
                lambda asked: None,
            )
        gevent.spawn(self._watch_endpoints)
        gevent.spawn(self._speak)
        gevent.spawn(self.executor.serve)
        gevent.signal_handler(signal.SIGTERM, self._stopped.set)
        logging.info("%s %s is up.", LOG, self.settings.instance)
        self._stopped.wait()
        self._drain()
        callers.stop(timeout=0)
        logging.info("%s %s is down.", LOG, self.settings.instance)

    def _drain(self) -> None:
        self.executor.post(models.LeaveOrdered())
        while not self.executor.is_idle():
            self.ticker.sleep(0.05)

    def _apply(self, path: str) -> None:
        if path == platform_const.PATH_CATALOGUE and self.published.fleet:
            self.executor.post(models.FleetChanged(fleet=self.published.fleet))
        self._assign()

    def _assign(self) -> None:
        fleet = self.published.fleet
        if fleet is None:
            return
        names = [
            name
            for name, instance in self.published.instances.items()
            if instance.state == models.Service.IN
        ]
        owners = {
            endpoint: ownership.rank_instances(endpoint, names)[0]
            for endpoint in fleet.endpoints
            if names
        }
        owned = frozenset(
            e for e, i in owners.items() if i == self.settings.instance
        )
        self.executor.post(models.OwnershipChanged(owned=owned, owners=owners))

    def _watch_endpoints(self) -> None:
        while True:
            fleet = self.published.fleet
            if fleet is not None:
                gevent.joinall(
                    [
                        gevent.spawn(self._read_load, e)
                        for e in fleet.endpoints.values()
                    ]
                )
            self.ticker.sleep(endpoint_const.REPORT_SECONDS)

    def _read_load(self, endpoint: models.Endpoint) -> None:
        match endpoint_client.read_load(endpoint.address):
            case result.Ok(report):
                if endpoint.name not in self._connected:
                    self._connected.add(endpoint.name)
                    self.executor.post(
                        models.EndpointConnected(endpoint=endpoint.name)
                    )
                self.executor.post(
                    models.EndpointReported(
                        endpoint=endpoint.name, report=report
                    )
                )
            case result.Err(_):
                if endpoint.name in self._connected:
                    self._connected.discard(endpoint.name)
                    self.executor.post(
                        models.EndpointLost(endpoint=endpoint.name)
                    )

    def _speak(self) -> None:
        while True:
            self.peers.connect(self.published.instances)
            self.peers.broadcast(
                messages.Report(
                    summary=dataclasses.asdict(self.scheduler.summarize()),
                    versions=self.published.get_versions(),
                )
            )
            self.ticker.sleep(instance_const.REPORT_SECONDS)

    def _take_message(self, sender: str, message: messages.Message) -> None:
        match message:
            case messages.Report():
                self._take_report(sender, message)
            case messages.Want():
                known = self.published.get(message.path)
                if known is not None and known.version > message.version:
                    self.peers.send(
                        sender, messages.Value(**dataclasses.asdict(known))
                    )
            case messages.Value():
                self.published.offer(
                    platform_client.Published(**dataclasses.asdict(message))
                )

    def _take_report(self, sender: str, message: messages.Report) -> None:
        summary = models.InstanceSummary(**message.summary)
        self.executor.post(models.InstanceReported(summary=summary))
        mine = self.published.get_versions()
        for path, version in message.versions.items():
            if version > mine.get(path, 0):
                self.peers.send(
                    sender,
                    messages.Want(path=path, version=mine.get(path, 0)),
                )

    def _take_run(self, work: runs.Work, role: str) -> runs.Run:
        run = runs.Run(work, self.executor.leave)
        self.executor.submit(run, forwarded=True)
        return run

    def _forward(self, run: runs.Run, instance: str) -> errors.Refusal | None:
        return self.peers.forward(run, instance, "owner")

    def _record(
        self, event: models.Event, actions: list[models.Action]
    ) -> None:
        if self._event_file is None:
            return
        if isinstance(event, models.TimePassed) and not actions:
            return
        line = {
            "time": time.time(),
            "instance": self.settings.instance,
            "event": type(event).__name__,
            "request": getattr(event, "request_id", None),
            "actions": [
                {"kind": type(a).__name__, **_describe(a)} for a in actions
            ],
        }
        if isinstance(event, models.RequestArrived):
            line["request"] = event.request.request_id
            line["tier"] = event.request.tier
        self._event_file.write(json.dumps(line) + "\n")


def _describe(action: models.Action) -> dict:
    match action:
        case models.Refuse():
            return {
                "request": action.request_id,
                "code": int(action.refusal.code),
            }
        case models.Forward():
            return {
                "request": action.request_id,
                "instance": action.instance,
            }
        case models.Dispatch() | models.Cancel():
            return {
                "request": action.request_id,
                "endpoint": action.endpoint,
            }
