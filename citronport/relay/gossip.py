"""Exchange of reports and summaries with the other instances over UDP."""

import collections.abc
import contextlib
import random

from absl import logging
from gevent import socket
import msgspec

from citronport import clock
from citronport import errors
from citronport import tasks
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import follower as follower_module
from citronport.relay import membership as membership_module
from citronport.relay import message_limits
from citronport.relay import messages
from citronport.relay import sender_clocks
from citronport.relay import settings as settings_module
from citronport.relay import summaries as summaries_module
from citronport.scheduler.direct import rendezvous

LOG = "fleet:"

REPORT_SECONDS = 0.1
"""Minimum pause between two reports while requests run here. The loads that
other instances know are about this old; an endpoint takes about as long to
process a prompt."""

IDLE_REPORT_SECONDS = 0.3
"""Minimum pause between two reports of an instance without requests: three
such pauses fit into the time after which it counts as out of reach."""

FIRST_SEED_SECONDS = 0.1
"""First pause between two reports to seeds while no other instance is known;
each later one is twice as long, up to ``SEED_SECONDS``. After a power failure
the seeds themselves may still be starting."""

SEED_SECONDS = 1.0
"""Pause between two reports to seeds while instances are being discovered."""

SETTLED_SEED_SECONDS = 10.0
"""Pause between two reports to seeds in a settled fleet. They are needed only
to rejoin parts of a fleet that have removed each other from their members
during a long partition."""

ANNOUNCERS = 2
"""Number of readers that announce each change to an instance on standby. In a
fleet of 60, each reader then sends 15 reports. If both announcements are lost,
the next report of any instance that has the change shows its revision."""

SEED_CONTACT_SECONDS = 1.0
"""How long after contacting this instance as a seed another one gets each
change of state at once. Summaries reach it after that."""

GROUP_SIZE = 12
"""Reports sent without a pause: 24 KB take 20 ms on the slowest link."""

READ_BYTES = 65536


class Gossip:
    """Sends and receives the datagrams between instances.

    Args:
        settings: settings of this instance.
        members: the other instances.
        ticker: the clock.
        make_report: returns this instance's report.
        handle_report: called with each new report.
        handle_message: called with each message for this instance alone.
        summaries: makes and applies summaries of data centres.
        log: receives events on instances that come into or out of reach.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        members: membership_module.Membership,
        ticker: clock.Clock,
        make_report: summaries_module.MakeReport,
        handle_report: collections.abc.Callable[[messages.Report], None],
        handle_message: collections.abc.Callable[
            [messages.InstanceMessage], None
        ],
        summaries: summaries_module.Summaries,
        log: eventlog.Log,
    ) -> None:
        self._settings = settings
        self._members = members
        self._ticker = ticker
        self._make_report = make_report
        self._handle_report = handle_report
        self._handle_message = handle_message
        self._summaries = summaries
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._seeded_at = float("-inf")
        self._seed_backoff_seconds = FIRST_SEED_SECONDS / 2
        self._reachable: set[str] = set()
        # Time of the latest contact, by address.
        self._seed_contacts: dict[str, float] = {}
        self._sender_clocks = sender_clocks.SenderClocks()

    def update_settings(self, settings: settings_module.Settings) -> None:
        """Use new settings; the addresses of this instance don't change."""
        self._settings = settings

    def open(self) -> None:
        """Open the socket for datagrams of other instances."""
        host = str(self._settings.peers.address)
        self._socket.bind((host, self._settings.reports))

    def report_forever(self) -> None:
        """Send reports to other instances until the task is killed."""
        while True:
            report = self._make_report()
            busy = any(row[1] for row in report.loads)
            pause = REPORT_SECONDS if busy else IDLE_REPORT_SECONDS
            self.send_report(
                report, max(pause, self._members.get_report_interval())
            )
            self._members.drop_forgotten(self._ticker.now())
            self._log_reach_changes()

    def summarize_forever(self) -> None:
        """Send summaries to other data centres until the task is killed."""
        while True:
            self.send_summaries()
            self._ticker.sleep(membership_module.SUMMARY_SECONDS)

    def send_summaries(self) -> None:
        """Send a summary to each data centre this instance is an envoy to."""
        now = self._ticker.now()
        targets = self._members.choose_summary_targets(now)
        if not targets:
            return
        data = messages.pack(self._summaries.make(now))
        for target in targets:
            self._send_datagram(data, target)

    def send_report(
        self, report: messages.Report, spread_seconds: float = 0.0
    ) -> None:
        """Send a report to other instances and, at longer intervals, to seeds.

        Reports are sent in small groups and in random order. Sixty reports
        of 2 KB at once overflow the queue of a link of 10 Mbit/s, which
        drops the same ones each time. Some instances then received reports
        of only a quarter of the others, considered themselves partitioned,
        and refused requests far below the limits of workspaces.

        Args:
            report: the report to send.
            spread_seconds: time over which the sends are spread.
        """
        now = self._ticker.now()
        targets = set(self._members.list_addresses(now))
        if now - self._seeded_at >= self._choose_seed_interval(now):
            self._seeded_at = now
            self._seed_backoff_seconds = min(
                2 * self._seed_backoff_seconds, SEED_SECONDS
            )
            seeds = {str(seed) for seed in self._settings.seeds}
            self._send_meet(seeds - {str(self._settings.peers)})
            targets |= seeds
        targets.discard(str(self._settings.peers))
        data = messages.CODEC.encode(report)
        for group in split_targets(targets):
            for target in group:
                self._send_datagram(data, target)
            share = len(group) / len(targets)
            if spread_seconds:
                self._ticker.sleep(spread_seconds * share)
        if spread_seconds and not targets:
            self._ticker.sleep(spread_seconds)

    def report_change(self) -> None:
        """Report a change of this instance's state at once.

        The report goes to the instances that get regular reports and to
        those that have just contacted this one as a seed. These may be of
        other data centres, and the next summary may be 0.3 s away.
        """
        now = self._ticker.now()
        self._drop_past_contacts(now)
        targets = {*self._members.list_addresses(now), *self._seed_contacts}
        targets.discard(str(self._settings.peers))
        data = messages.CODEC.encode(self._make_report())
        for target in targets:
            self._send_datagram(data, target)

    def _drop_past_contacts(self, now: float) -> None:
        self._seed_contacts = {
            address: at
            for address, at in self._seed_contacts.items()
            if now - at <= SEED_CONTACT_SECONDS
        }

    def _choose_seed_interval(self, now: float) -> float:
        if self._members.is_settled(now):
            return SETTLED_SEED_SECONDS
        return (
            self._seed_backoff_seconds
            if self._members.is_alone()
            else SEED_SECONDS
        )

    def _send_meet(self, seeds: set[str]) -> None:
        meet = messages.Meet(
            protocol=messages.PROTOCOL,
            peer_address=str(self._settings.peers),
            data_centre=self._settings.data_centre,
        )
        for seed in seeds:
            self._send_datagram(messages.CODEC.encode(meet), seed)

    def send_message(
        self, instance: str, message: messages.InstanceMessage
    ) -> None:
        """Send a message to an instance, this one included."""
        if instance == self._settings.instance:
            self._handle_message(message)
            return
        address = self._members.get_address(instance)
        if address is not None:
            self._send_datagram(messages.CODEC.encode(message), address)

    def receive(self) -> None:
        """Receive datagrams until the task is killed."""
        while True:
            data, sender = self._socket.recvfrom(READ_BYTES)
            try:
                self._handle_datagram(data)
            except Exception as error:
                # The fields of a message are checked where they are used. A
                # message that is of no use must not cost those behind it,
                # which are lost while the task is restarted.
                self._log.reject(
                    errors.InputFault.BAD_MESSAGE,
                    sender[0],
                    tasks.describe_error(error),
                )

    def _handle_datagram(self, data: bytes) -> None:
        message = messages.unpack(
            messages.CODEC.unpack(data), message_limits.MAX_DATAGRAM_BYTES
        )
        if getattr(message, "protocol", None) == messages.PROTOCOL:
            self._handle(message)

    def _handle(self, message: messages.Message) -> None:
        match message:
            case messages.Report():
                if self._members.apply_report(
                    message, self._estimate_sent_at(message)
                ):
                    self._handle_report(message)
                    self._report_to_new_instances()
            case messages.Meet():
                self._answer_meet(message)
            case messages.Summary():
                self._handle_summary(message)
            case (
                messages.Want()
                | messages.Held()
                | messages.Packed()
                | messages.Forward()
            ):
                # These messages are only valid on streams.
                logging.warning(
                    "%s dropped a datagram of kind %s, which is sent on "
                    "streams only.",
                    LOG,
                    type(message).__name__,
                )
            case _:
                self._handle_message(message)

    def _handle_summary(self, summary: messages.Summary) -> None:
        sent_at = self._estimate_sent_at(summary)
        if not self._summaries.apply(summary, sent_at):
            return
        if summary.is_forwarded:
            return
        data = messages.pack(
            msgspec.structs.replace(summary, is_forwarded=True)
        )
        for address in self._members.list_addresses(self._ticker.now()):
            self._send_datagram(data, address)

    def _estimate_sent_at(
        self, message: messages.Report | messages.Summary
    ) -> float:
        return self._sender_clocks.estimate_sent_at(
            message.instance,
            message.incarnation,
            message.up_seconds,
            self._ticker.now(),
        )

    def _answer_meet(self, meet: messages.Meet) -> None:
        # An instance of another data centre gets summaries of this one, not
        # reports. The answer names instances of its own data centre, which
        # forward these summaries to it.
        now = self._ticker.now()
        self._drop_past_contacts(now)
        if len(self._seed_contacts) < membership_module.MAX_MEMBERS:
            self._seed_contacts[meet.peer_address] = now
        if self._members.is_remote(meet.data_centre):
            report = self._make_report(meet.data_centre)
            self._send_datagram(
                messages.CODEC.encode(report), meet.peer_address
            )

    def _report_to_new_instances(self) -> None:
        """Report at once to instances that have just been discovered.

        When all instances restart, their callers reconnect at once. If the
        instances waited for the next regular report of an idle instance,
        they would need a third of a second or more to discover each other.
        Until then each grants slots on its own, and all of them choose the
        endpoints that seem to be idle.
        """
        new_addresses = self._members.take_new_addresses()
        if not new_addresses:
            return
        now = self._ticker.now()
        targets = set(self._members.list_addresses(now))
        data = messages.CODEC.encode(self._make_report())
        for address in new_addresses:
            if address in targets:
                self._send_datagram(data, address)

    def _send_datagram(self, data: bytes, address: str) -> None:
        host = address.rpartition(":")[0]
        # A datagram that can't be sent is treated as lost: the next one of
        # its kind replaces it.
        with contextlib.suppress(OSError):
            self._socket.sendto(data, (host, self._settings.reports))

    def announce_changes(self) -> None:
        """Report the revision of the store to instances on standby at once.

        In a fleet of sixty, reports are sent every 0.75 s. Without this
        announcement, most instances would keep sending requests for up to
        that time to an endpoint that has started to leave.
        """
        now = self._ticker.now()
        instances = self._members.list_known(now)
        own = self._settings.instance
        readers = follower_module.choose_readers(instances)
        if own not in readers:
            return
        data = messages.CODEC.encode(self._make_report())
        for instance in instances:
            if instance in readers:
                continue
            address = self._members.get_address(instance)
            if address and own in rendezvous.choose(
                instance, readers, ANNOUNCERS
            ):
                self._send_datagram(data, address)

    def _log_reach_changes(self) -> None:
        now = self._ticker.now()
        fresh = {r.instance for r in self._members.list_fresh(now)}
        for name in fresh ^ self._reachable:
            self._log.write(
                events.PeerChanged(
                    peer=name,
                    in_reach=name in fresh,
                    known=len(self._members.list_known(now)),
                )
            )
        self._reachable = fresh


def split_targets(targets: collections.abc.Iterable[str]) -> list[list[str]]:
    """Return addresses in groups, in random order."""
    shuffled = list(targets)
    random.shuffle(shuffled)
    return [
        shuffled[start : start + GROUP_SIZE]
        for start in range(0, len(shuffled), GROUP_SIZE)
    ]
