"""How reports go out to a large fleet."""

import gevent
import testtools

from citronport import clock
from citronport.platform import client
from citronport.platform import models
from citronport.relay import fleet
from citronport.relay import follower as follower_module
from citronport.relay import membership
from citronport.relay import messages
from citronport.relay import mirror as mirror_module
from citronport.relay import settings as settings_module
from tests import addresses
from tests.relay import samples
from tests.relay import test_membership


class SpreadTest(testtools.TestCase):
    """Load: sixty instances on links of 10 Mbit/s."""

    def test_reports_go_out_a_few_at_a_time(self):
        """A limit refuses callers on a calm day, far below its rate.

        An instance sends its report to all others at once; its link drops
        what does not fit into its queue, each time the last ones of the
        same order. Those hear of a quarter of the fleet, take themselves
        for a minority, and use a small part of each limit. So a group is
        small, and everybody is in one.
        """
        targets = [f"10.0.0.{n}:1" for n in range(59)]
        groups = fleet.split_targets(targets)
        self.assertEqual(sorted(targets), sorted(sum(groups, [])))
        self.assertLessEqual(max(map(len, groups)), fleet.SENDS_AT_ONCE)
        self.assertGreater(len(groups), 4)

    def test_who_comes_last_changes(self):
        """What gets lost all the same hits other instances each time."""
        targets = [f"10.0.0.{n}:1" for n in range(59)]
        last = {fleet.split_targets(targets)[-1][-1] for _ in range(20)}
        self.assertGreater(len(last), 3)

    def test_nobody_to_tell(self):
        """An instance that knows nobody has nothing to send."""
        self.assertEqual([], fleet.split_targets([]))


class Node:
    """An instance's link to the others, with its copy of the store."""

    def __init__(self, test, number, subnet):
        host = f"127.{subnet}.{number}"
        self.name = f"i{number}"
        self.address = f"{host}:8229"
        self.news = []
        self.mirror = mirror_module.Mirror()
        self.members = membership.Membership(self.name)
        ticker = clock.RuntimeClock()
        listeners = ("callers", "readiness", "lookups", "peers", "store")
        settings = settings_module.Settings(
            instance=self.name,
            data_centre="a",
            reports=7600,
            metrics=9464,
            **{name: f"{host}:8229" for name in listeners},
        )
        log = samples.make_log(ticker)
        self.follower = follower_module.Follower(
            client.Client(self.address, 0.2),
            self.mirror,
            ticker,
            lambda news: None,
            log,
        )
        self.fleet = fleet.Fleet(
            settings,
            self.members,
            self.mirror,
            ticker,
            self.describe,
            lambda report: None,
            lambda message: None,
            lambda news, returned: self.news.extend(i.key for i in news),
            self.follower,
            log,
        )
        self.fleet.open()
        test.addCleanup(self.fleet._socket.close)
        test.addCleanup(self.fleet.close)
        task = gevent.spawn(self.fleet.receive)
        test.addCleanup(task.kill)

    def describe(self):
        """Return the report of this node."""
        return test_membership.make_report(
            self.name,
            number=self.mirror.revision + 2,
            peers=self.address,
            revision=self.mirror.revision,
        )


class NewsTest(testtools.TestCase):
    """What a reader of the store tells those that leave it to others."""

    def setUp(self):
        """Start a reader and one that rests, in a fleet that is large."""
        super().setUp()
        subnet = addresses.choose_subnet(16)
        size = membership.LARGE_FLEET + 5
        names = tuple(f"i{n}" for n in range(1, size + 1))
        readers = follower_module.choose_readers(names)
        rest = [n for n in names if n not in readers]
        self.resting = Node(self, int(rest[0][1:]), subnet)
        self.resting.follower.resting = True
        tellers = fleet.cold.choose_senders(rest[0], readers, fleet.TELLERS)
        self.reader = Node(self, int(tellers[0][1:]), subnet)
        now = clock.RuntimeClock().now()
        for node in (self.reader, self.resting):
            for name in names:
                other = {
                    n.name: n.address for n in (self.reader, self.resting)
                }.get(name, "127.0.0.1:1")
                report = test_membership.make_report(
                    name, peers=other, revision=0
                )
                node.members.hear(report, now)

    def test_news_arrive_at_once(self):
        """An endpoint starts to leave.

        The reader hears of it from the store and tells its part of the
        others, which fetch the change from it: long before the next report
        of anybody, and without a call to the store.
        """
        item = models.Item(key="servers/a", value=b"{}", revision=9)
        self.reader.mirror.apply([item], 9)
        self.reader.fleet.tell_news()
        gevent.sleep(0.05)
        self.resting.fleet.look_for_news()
        self.assertEqual(["servers/a"], self.resting.news)
        self.assertEqual(9, self.resting.mirror.revision)

    def test_those_that_rest_tell_nobody(self):
        """Only readers pass news on, so that each comes twice at most."""
        item = models.Item(key="servers/a", value=b"{}", revision=9)
        self.resting.mirror.apply([item], 9)
        self.resting.fleet.tell_news()
        gevent.sleep(0.05)
        ahead = [
            r.instance
            for r in self.reader.members.list_fresh(clock.RuntimeClock().now())
            if r.revision == 9
        ]
        self.assertEqual([], ahead)
        self.assertIsInstance(self.resting.describe(), messages.Report)


class MeetingTest(testtools.TestCase):
    """An instance that has started anew, in a small fleet."""

    def test_all_meet_at_once(self):
        """Load: callers come the moment an instance is back.

        The new one knows a seed only. The seed answers its first report at
        once and names the third instance, which hears from the new one and
        answers too: all know each other without waiting for a report.
        """
        subnet = addresses.choose_subnet(17)
        new, seed, third = (Node(self, n, subnet) for n in (1, 2, 3))
        ticker = clock.RuntimeClock()
        for one, other in ((seed, third), (third, seed)):
            one.members.hear(other.describe(), ticker.now())
        told = [(third.name, "1", third.address)]
        seed.fleet._describe = lambda: test_membership.make_report(
            seed.name, number=9, peers=seed.address, members=told
        )
        new.members._learn([(seed.name, "1", seed.address)], ticker.now())
        new.fleet.send(new.describe())
        gevent.sleep(0.1)
        fresh = new.members.list_fresh(ticker.now())
        self.assertEqual({"i2", "i3"}, {r.instance for r in fresh})
        fresh = third.members.list_fresh(ticker.now())
        self.assertEqual({"i1", "i2"}, {r.instance for r in fresh})
