"""Exchanges reports and published values with neighbouring instances."""

import collections.abc
import dataclasses

import gevent

from citronport import clock
from citronport.catalogue import client as catalogue_client
from citronport.catalogue import const as catalogue_const
from citronport.catalogue import delta
from citronport.catalogue import store
from citronport.instances import const
from citronport.instances import membership
from citronport.instances import messages
from citronport.instances import peers
from citronport.scheduler import models
from citronport.scheduler import ownership


class Gossip:
    """Exchanges load, reachability and published values between instances.

    Args:
        links: links to other instances.
        published: the published values, sent to and received from others.
        owners: is notified of contacts and of released endpoints.
        ticker: the clock.
        summarize: returns the load summary of this instance.
        post: receives events for the scheduler.
    """

    def __init__(
        self,
        links: peers.Peers,
        published: store.Store,
        owners: ownership.Ownership,
        ticker: clock.Clock,
        summarize: collections.abc.Callable[[], models.InstanceSummary],
        post: collections.abc.Callable[[models.Event], None],
    ) -> None:
        self._links = links
        self._published = published
        self._owners = owners
        self._ticker = ticker
        self._summarize = summarize
        self._post = post
        self._failure_detector = membership.FailureDetector()
        self._neighbours: set[str] = set()
        self._silent: frozenset[str] = frozenset()
        self._synced: set[str] = set()
        self._requested: dict[str, tuple[int, float]] = {}
        published.add_listener(self._announce_change)

    def get_silent_instances(self) -> frozenset[str]:
        """Return the names of the unreachable instances."""
        return self._silent

    def has_synced(self) -> bool:
        """Return whether all reachable neighbours had no newer values.

        A new instance may read old values from a stale platform; its
        neighbours have those that were in force before it started.
        """
        return self._neighbours - self._silent <= self._synced

    def report_forever(self) -> None:
        """Send reports to the neighbours until killed."""
        while True:
            self.report()
            self._ticker.sleep(self._get_report_interval())

    def _get_report_interval(self) -> float:
        if len(self._published.instances) <= const.FULL_MESH_INSTANCES:
            return const.REPORT_INTERVAL_SECONDS
        return const.RING_REPORT_INTERVAL_SECONDS

    def report(self) -> None:
        """Send one report and update the set of unreachable instances."""
        now = self._ticker.now()
        self._links.update_links(self._published.instances, self._neighbours)
        silent = self._failure_detector.find_silent(
            now, self._get_report_interval()
        )
        self._update_silent(frozenset(silent))
        self._links.broadcast(
            messages.Report(
                sent=now,
                summary=self._summarize(),
                versions=self._published.get_versions(),
                silent=silent,
            ),
            self._neighbours,
        )

    def handle_message(
        self, sender: str, message: messages.Message
    ) -> messages.Message | None:
        """Handle a message of another instance; return the reply, if any."""
        now = self._ticker.now()
        self._failure_detector.record_contact(sender, now)
        match message:
            case messages.Report():
                return self._handle_report(sender, message)
            case messages.Echo():
                if not self._request_newer(sender, message.versions):
                    self._synced.add(sender)
                version = message.versions.get(
                    catalogue_const.PATH_INSTANCES, 0
                )
                self._owners.record_contact(sender, message.sent, version)
            case messages.Want():
                self._handle_want(sender, message)
            case messages.Difference():
                self._handle_difference(sender, message)
            case messages.Value():
                self._published.apply_from_peer(
                    catalogue_client.Published(**dataclasses.asdict(message))
                )
            case messages.Release():
                self._handle_release(message)
        return None

    def _handle_report(
        self, sender: str, message: messages.Report
    ) -> messages.Message:
        now = self._ticker.now()
        # Anyone can name instances that do not exist.
        listed = self._published.instances
        silent = {n: age for n, age in message.silent.items() if n in listed}
        self._failure_detector.record_relayed_silence(silent, now)
        self._request_newer(sender, message.versions)
        summary = message.summary
        if summary.instance in listed:
            self._owners.update_leaving(summary.instance, summary.leaving, now)
            self._post(models.InstanceReported(summary=summary))
        return messages.Echo(
            sent=message.sent, versions=self._published.get_versions()
        )

    def _request_newer(self, sender: str, versions: dict[str, int]) -> bool:
        """Request values that are newer there; return whether any are."""
        mine = self._published.get_versions()
        newer = {
            path: versions[path]
            for path in catalogue_const.PATHS
            if versions.get(path, 0) > mine.get(path, 0)
        }
        for path in newer:
            self._request_value(sender, path, mine.get(path, 0))
        return bool(newer)

    def _request_value(self, sender: str, path: str, version: int) -> None:
        # All neighbours announce a change at about the same time. The value
        # is requested from one of them, and from another after a timeout.
        now = self._ticker.now()
        known, requested_at = self._requested.get(path, (-1, float("-inf")))
        if (
            known == version
            and now - requested_at < const.VALUE_REQUEST_TIMEOUT_SECONDS
        ):
            return
        self._requested[path] = (version, now)
        self._links.send(sender, messages.Want(path=path, version=version))

    def _handle_want(self, sender: str, message: messages.Want) -> None:
        known = self._published.get(message.path)
        if known is None or known.version <= message.version:
            return
        differences = [
            messages.Difference(path=message.path, **dataclasses.asdict(delta))
            for delta in self._published.find_deltas(
                message.path, message.version
            )
        ]
        if not differences or any(map(messages.is_too_long, differences)):
            value = messages.Value(**dataclasses.asdict(known))
            self._links.send(sender, value)
            return
        for difference in differences:
            self._links.send(sender, difference)

    def _handle_difference(
        self, sender: str, message: messages.Difference
    ) -> None:
        fields = dataclasses.asdict(message)
        path = fields.pop("path")
        if not self._published.apply_delta(path, delta.Delta(**fields)):
            self._links.send(sender, messages.Want(path=path, version=0))

    def reads_from_platform(self, path: str) -> bool:
        """Return whether this instance watches a value at the platform.

        With hundreds of instances and a catalogue of up to a megabyte,
        reading each change in full everywhere costs thousands of times the
        size of the change. In a large fleet only the first few instances of
        each data centre, chosen by rendezvous hashing, read it; all others
        get differences from their peers.
        """
        instances = self._published.instances
        me = instances.get(self._links.hello.instance)
        if me is None or len(instances) <= const.FULL_MESH_INSTANCES:
            return True
        names = [
            i.name
            for i in instances.values()
            if i.data_centre == me.data_centre and i.name not in self._silent
        ]
        ranked = ownership.rank_instances(path, names)
        return me.name in ranked[: catalogue_const.READERS_PER_DATA_CENTRE]

    def _handle_release(self, message: messages.Release) -> None:
        mine = self._published.get_versions()
        # A release that was buffered while the instance list changed says
        # nothing about instances that owned the endpoint in between.
        if message.list_version == mine.get(catalogue_const.PATH_INSTANCES):
            self._owners.record_release(message.endpoint)

    def _update_silent(self, silent: frozenset[str]) -> None:
        for name in silent - self._silent:
            self._post(models.InstanceGone(instance=name))
        self._silent = silent

    def _announce_change(self, path: str) -> None:
        if path == catalogue_const.PATH_INSTANCES:
            me = self._links.hello.instance
            names = set(self._published.instances)
            self._neighbours = membership.choose_neighbours(me, names)
            self._failure_detector.set_neighbours(
                self._neighbours, self._ticker.now()
            )
        # Report at once instead of after the interval, so that a change is
        # in force everywhere within seconds even if only one instance can
        # read the platform.
        gevent.spawn(self.report)
