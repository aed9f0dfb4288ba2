"""A fleet whose datagrams go through memory, for tests."""

import collections
import heapq
import itertools

from citronport import clock
from citronport.relay import fleet
from citronport.relay import membership
from citronport.relay import messages
from citronport.relay import settings as settings_module
from citronport.relay import summaries
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import profiles
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import suspects
from tests.relay import samples
from tests.relay import test_membership

LINK_SECONDS = 0.001


class Node:
    """An instance that tells of itself and hears of others."""

    def __init__(self, network, number, data_centre, seeds):
        self.network = network
        self.name = f"i{number}"
        self.data_centre = data_centre
        host = f"127.{number // 250}.{number % 250}.1"
        self.address = f"{host}:8229"
        self.start(seeds)

    def start(self, seeds):
        """Begin anew; nothing is known."""
        ticker = self.network.ticker
        self.incarnation = str(ticker.now())
        self.number = 0
        self.passed = {}
        self.heard = collections.Counter()
        self.members = membership.Membership(self.name, self.data_centre)
        self.quotas = quota.Quotas()
        self.suspects = suspects.SuspectRequests()
        self.limits = endpoint_limits.EndpointLimits()
        listeners = ("callers", "readiness", "lookups", "peers", "store")
        settings = settings_module.Settings(
            instance=self.name,
            data_centre=self.data_centre,
            reports=7600,
            metrics=9464,
            seeds=seeds,
            **dict.fromkeys(listeners, self.address),
        )
        self.fleet = fleet.Fleet(
            settings,
            self.members,
            ticker,
            self.describe,
            self.take_report,
            lambda message: None,
            summaries.Summaries(
                self.name,
                self.incarnation,
                self.data_centre,
                self.members,
                self.quotas,
                profiles.Profiles(),
                self.suspects,
                self.limits,
                self.describe,
            ),
            samples.make_log(ticker),
        )
        self.fleet._socket.close()
        self.fleet._put = self.put
        self.next_report = self.next_summary = ticker.now()

    def describe(self, data_centre=""):
        """Return the report of this node."""
        self.number += 1
        return test_membership.make_report(
            self.name,
            incarnation=self.incarnation,
            number=self.number,
            data_centre=self.data_centre,
            peers=self.address,
            passed=self.quotas.get_totals(),
            members=self.members.list_members(
                self.network.ticker.now(), data_centre
            ),
            suspects=self.suspects.list_updates(self.network.ticker.now()),
            limits=self.limits.list_updates(self.network.ticker.now()),
        )

    def take_report(self, report):
        """Charge what a neighbour let pass."""
        if not self.members.is_far(report.data_centre):
            now = self.network.ticker.now()
            self.quotas.apply_totals(
                report.instance, report.incarnation, report.passed, now
            )
            self.suspects.apply_updates(report.suspects, now)
            self.limits.apply_updates(report.limits, now)

    def put(self, data, address):
        """Send a datagram."""
        self.network.put(self, data, address)

    def tell(self, now):
        """Send what is due."""
        if now >= self.next_report:
            self.fleet.send(self.describe())
            pause = max(fleet.REPORT_SECONDS, self.members.get_pause())
            self.next_report = now + pause
        if now >= self.next_summary:
            self.fleet.tell_summary()
            self.next_summary = now + membership.SUMMARY_SECONDS

    def list_fresh(self):
        """Return the names of the instances in reach."""
        now = self.network.ticker.now()
        return {r.instance for r in self.members.list_fresh(now)}


class Network:
    """Instances in several data centres, with the links between them.

    Args:
        instances: how many.
        data_centres: among how many they are divided.
    """

    def __init__(self, instances, data_centres):
        self.ticker = clock.ManualClock(1.0)
        self.nodes = {}
        self.dead = set()
        self.crosses = 0
        self.is_cut = lambda sender, receiver: False
        self._order = itertools.count()
        self._flying = []
        seeds = tuple(f"127.0.{n}.1:8229" for n in range(3))
        self.seeds = seeds
        for number in range(instances):
            place = f"dc{number % data_centres}"
            node = Node(self, number, place, seeds)
            self.nodes[node.address] = node

    def put(self, sender, data, address):
        """Take a datagram on its way."""
        receiver = self.nodes.get(address)
        if receiver is None or self.is_cut(sender, receiver):
            return
        if receiver.data_centre != sender.data_centre:
            self.crosses += len(data)
        at = self.ticker.now() + LINK_SECONDS
        item = (at, next(self._order), data, receiver)
        heapq.heappush(self._flying, item)

    def run(self, seconds):
        """Let time pass."""
        end = self.ticker.now() + seconds
        while self.ticker.now() < end:
            self.ticker.advance(0.02)
            now = self.ticker.now()
            self._deliver(now)
            for node in self.nodes.values():
                if node not in self.dead:
                    node.tell(now)

    def _deliver(self, now):
        while self._flying and self._flying[0][0] <= now:
            _, _, data, receiver = heapq.heappop(self._flying)
            if receiver in self.dead:
                continue
            message = messages.unpack(messages.CODEC.unpack(data))
            receiver.heard[type(message).__name__] += 1
            receiver.fleet._take(message)
