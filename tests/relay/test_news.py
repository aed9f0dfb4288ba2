"""Changes of the store that instances tell one another."""

import gevent
import testtools

from citronport import clock
from citronport.platform import models
from citronport.relay import fleet
from citronport.relay import follower as follower_module
from citronport.relay import membership
from citronport.relay import messages
from tests import addresses
from tests.relay import nodes
from tests.relay import test_membership


class NewsTest(testtools.TestCase):
    """What a reader of the store tells those that leave it to others."""

    def setUp(self):
        """Start a reader and one that rests, in a fleet that is large."""
        super().setUp()
        subnet = addresses.choose_subnet(7)
        size = membership.LARGE_FLEET + 5
        names = tuple(f"i{n}" for n in range(1, size + 1))
        readers = follower_module.choose_readers(names)
        rest = [n for n in names if n not in readers]
        self.resting = nodes.Node(self, int(rest[0][1:]), subnet)
        self.resting.follower.resting = True
        tellers = fleet.rendezvous.choose(rest[0], readers, fleet.TELLERS)
        self.reader = nodes.Node(self, int(tellers[0][1:]), subnet)
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
        self.resting.news.look_for_news()
        self.assertEqual(["servers/a"], self.resting.taken)
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

    def test_news_that_fail_are_told(self):
        """Another instance is ahead and can't be reached.

        Who looks why a change is late finds how often fetching failed, and
        for how long this instance has known that it lacks something.
        """
        now = clock.RuntimeClock().now()
        report = test_membership.make_report(
            self.reader.name, number=9, peers="127.0.0.1:1", revision=9
        )
        self.resting.members.hear(report, now)
        self.resting.news.look_for_news()
        self.assertEqual(1, self.resting.news.failed)
        gevent.sleep(0.01)
        self.assertGreater(self.resting.news.get_behind_seconds(), 0.0)
        self.assertEqual(0, self.resting.mirror.revision)
