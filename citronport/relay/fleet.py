"""The tasks that talk with the other instances."""

import collections.abc
import contextlib
import dataclasses
import random

from absl import logging
from gevent import socket

from citronport import clock
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import follower as follower_module
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import settings as settings_module
from citronport.relay import summaries as summaries_module
from citronport.scheduler.direct import rendezvous

LOG = "fleet:"

REPORT_SECONDS = 0.1
"""Pause between two reports while requests run here. What others know of
an endpoint is that old at most; a prompt takes about as long to read."""

IDLE_REPORT_SECONDS = 0.3
"""Pause between two reports of an instance without work: three of them
fit into the time after which it counts as out of reach."""

ALONE_SECONDS = 0.1
"""First pause between two reports to seeds of an instance that has heard of
nobody yet; each is twice as long as the one before. After a loss of power
the seeds themselves may still be starting."""

SEED_SECONDS = 1.0
"""Pause between two reports to seeds while new instances show up."""

SETTLED_SEED_SECONDS = 10.0
"""The same later: only two parts of a fleet that have forgotten each other
in a long cut need it."""

TELLERS = 2
"""Readers that tell an instance of news at once. Each reader of 60 instances
then tells 15; what both fail to tell comes with anybody's next report."""

SENDS_AT_ONCE = 12
"""Reports sent without a pause: 24 KB take 20 ms on the slowest link."""

READ_BYTES = 65536


class Fleet:
    """Reports to other instances and takes their reports.

    Args:
        settings: where this instance listens.
        members: what is known of the others.
        ticker: the clock.
        describe: returns this instance's report.
        take_report: called with each fresh report.
        take_leasing: called with each message on leases.
        summaries: of data centres.
        log: where changes are told.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        members: membership_module.Membership,
        ticker: clock.Clock,
        describe: messages.Describe,
        take_report: collections.abc.Callable[[messages.Report], None],
        take_leasing: collections.abc.Callable[[messages.Leasing], None],
        summaries: summaries_module.Summaries,
        log: eventlog.Log,
    ) -> None:
        self._settings = settings
        self._members = members
        self._ticker = ticker
        self._describe = describe
        self._take_report = take_report
        self._take_leasing = take_leasing
        self._summaries = summaries
        self._log = log
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._seeded = float("-inf")
        self._alone_pause = ALONE_SECONDS / 2
        self._reachable: set[str] = set()

    def use(self, settings: settings_module.Settings) -> None:
        """Take new settings; addresses of this instance stay."""
        self._settings = settings

    def open(self) -> None:
        """Listen for reports."""
        host = str(self._settings.peers.address)
        self._socket.bind((host, self._settings.reports))

    def report_again_and_again(self) -> None:
        """Tell the others of this instance for ever."""
        while True:
            report = self._describe()
            busy = any(row[1] for row in report.loads)
            pause = REPORT_SECONDS if busy else IDLE_REPORT_SECONDS
            self.send(report, max(pause, self._members.get_pause()))
            self._members.drop_gone(self._ticker.now())
            self._note_reach()

    def summarize_again_and_again(self) -> None:
        """Tell other data centres of this one for ever."""
        while True:
            self.tell_summary()
            self._ticker.sleep(membership_module.SUMMARY_SECONDS)

    def tell_summary(self) -> None:
        """Tell the data centres that this instance is an envoy to."""
        now = self._ticker.now()
        targets = self._members.choose_targets(now)
        if not targets:
            return
        data = messages.pack(self._summaries.make(now))
        for target in targets:
            self._put(data, target)

    def send(self, report: messages.Report, seconds: float = 0.0) -> None:
        """Send a report to other instances, and to seeds now and then.

        Load: sixty reports of 2 KB at once on a link of 10 Mbit/s. Harm:
        what does not fit into its queue is lost, each time the same ones;
        some instances heard of a quarter of the others, took themselves
        for cut off, and refused callers far below their limits. A few are
        sent at a time, in an order drawn anew.

        Args:
            report: what to tell.
            seconds: time over which the sends are spread.
        """
        now = self._ticker.now()
        targets = set(self._members.list_addresses(now))
        if now - self._seeded >= self._choose_seed_pause(now):
            self._seeded = now
            self._alone_pause = min(2 * self._alone_pause, SEED_SECONDS)
            seeds = {str(seed) for seed in self._settings.seeds}
            self._ask_seeds(seeds - {str(self._settings.peers)})
            targets |= seeds
        targets.discard(str(self._settings.peers))
        data = messages.CODEC.encode(report)
        for chosen in split_targets(targets):
            for target in chosen:
                self._put(data, target)
            share = len(chosen) / len(targets)
            if seconds:
                self._ticker.sleep(seconds * share)
        if seconds and not targets:
            self._ticker.sleep(seconds)

    def _choose_seed_pause(self, now: float) -> float:
        if self._members.is_settled(now):
            return SETTLED_SEED_SECONDS
        return self._alone_pause if self._members.is_alone() else SEED_SECONDS

    def _ask_seeds(self, seeds: set[str]) -> None:
        meet = messages.Meet(
            protocol=messages.PROTOCOL,
            peers=str(self._settings.peers),
            data_centre=self._settings.data_centre,
        )
        for seed in seeds:
            self._put(messages.CODEC.encode(meet), seed)

    def tell(self, instance: str, message: messages.Leasing) -> None:
        """Send a message on leases to an instance, this one included."""
        if instance == self._settings.instance:
            self._take_leasing(message)
            return
        address = self._members.get_address(instance)
        if address is not None:
            self._put(messages.CODEC.encode(message), address)

    def receive(self) -> None:
        """Take reports for ever."""
        while True:
            data, sender = self._socket.recvfrom(READ_BYTES)
            try:
                message = messages.unpack(messages.CODEC.unpack(data))
            except ValueError as error:
                logging.warning(
                    "%s a datagram of %s is no message: %s.",
                    LOG,
                    sender[0],
                    error,
                )
                continue
            if getattr(message, "protocol", None) == messages.PROTOCOL:
                self._take(message)

    def _take(self, message: messages.Message) -> None:
        match message:
            case messages.Report():
                if self._members.hear(message, self._ticker.now()):
                    self._take_report(message)
                    self._greet()
            case messages.Meet():
                self._introduce(message)
            case messages.Summary():
                self._take_summary(message)
            case messages.Want() | messages.Held() | messages.Packed():
                # These go over streams; here they are somebody's mistake.
                logging.warning(
                    "%s %s came as a datagram.", LOG, type(message).__name__
                )
            case _:
                self._take_leasing(message)

    def _take_summary(self, summary: messages.Summary) -> None:
        if not self._summaries.take(summary, self._ticker.now()):
            return
        if summary.passed_on:
            return
        data = messages.pack(dataclasses.replace(summary, passed_on=True))
        for address in self._members.list_addresses(self._ticker.now()):
            self._put(data, address)

    def _introduce(self, meet: messages.Meet) -> None:
        # The summaries tell it of this data centre; it lacks neighbours
        # that would pass them on to it.
        if self._members.is_far(meet.data_centre):
            report = self._describe(meet.data_centre)
            self._put(messages.CODEC.encode(report), meet.peers)

    def _greet(self) -> None:
        """Report at once to instances that have just shown up.

        Load: all instances are killed and start again, and their callers
        come back in that moment. Harm: until they know each other, a third
        of a second and more with reports at rest, each hands out places by
        itself, and all send to the endpoints that look idle.
        """
        strangers = self._members.take_strangers()
        if not strangers:
            return
        now = self._ticker.now()
        told = set(self._members.list_addresses(now))
        data = messages.CODEC.encode(self._describe())
        for address in strangers:
            if address in told:
                self._put(data, address)

    def _put(self, data: bytes, address: str) -> None:
        host = address.rpartition(":")[0]
        # A datagram that can't be sent is one that got lost: the next one
        # of its kind makes up for it.
        with contextlib.suppress(OSError):
            self._socket.sendto(data, (host, self._settings.reports))

    def tell_news(self) -> None:
        """Tell instances that leave the store to others of its news.

        Load: an endpoint that starts to leave, in a fleet of sixty whose
        reports come every 0.75 s. Harm: most would send there for as long.
        """
        now = self._ticker.now()
        instances = self._members.list_known(now)
        own = self._settings.instance
        readers = follower_module.choose_readers(instances)
        if own not in readers:
            return
        data = messages.CODEC.encode(self._describe())
        for instance in instances:
            if instance in readers:
                continue
            address = self._members.get_address(instance)
            if address and own in rendezvous.choose(
                instance, readers, TELLERS
            ):
                self._put(data, address)

    def _note_reach(self) -> None:
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
    """Return addresses in groups, in an order that is drawn by chance."""
    drawn = list(targets)
    random.shuffle(drawn)
    return [
        drawn[start : start + SENDS_AT_ONCE]
        for start in range(0, len(drawn), SENDS_AT_ONCE)
    ]
