"""Following a store that is well, away, or has forgotten its history."""

import testtools

from citronport import clock
from citronport.platform import client
from citronport.relay import follower as follower_module
from citronport.relay import mirror as mirror_module
from tests.relay import fakes
from tests.relay import samples


class FollowerTest(testtools.TestCase):
    """Steps of the task against a fake store."""

    def setUp(self):
        """Start a store with a configuration."""
        super().setUp()
        self.store = fakes.Store(self)
        self.store.put("op/config", {})
        self.ticker = clock.ManualClock(100.0)
        self.mirror = mirror_module.Mirror()
        self.news = []
        store = client.Client(self.store.address, 0.2)
        self.addCleanup(store.close)
        self.follower = follower_module.Follower(
            store,
            self.mirror,
            self.ticker,
            lambda news: self.news.extend(i.key for i in news),
            samples.make_log(self.ticker),
        )

    def test_reads_once_then_watches(self):
        """A change comes by the watch, without a second read."""
        self.assertTrue(self.follower.step())
        self.store.put("servers/a", {})
        self.assertTrue(self.follower.step())
        self.assertEqual(["op/config", "servers/a"], self.news)
        self.assertEqual(
            [fakes.STORE_RANGE, fakes.STORE_WATCH], self.store.calls
        )

    def test_history_is_gone(self):
        """An endpoint left in the gap: the new copy tells so."""
        self.store.put("servers/a", {})
        self.follower.step()
        self.store.delete("servers/a")
        self.store.mode = "compacted"
        self.assertTrue(self.follower.step())
        self.assertTrue(self.follower.step())
        self.assertEqual("servers/a", self.news[-1])
        self.assertEqual(["op/config"], self.mirror.list_keys())

    def test_outage_is_noted_with_its_end(self):
        """What vanishes right after an outage may only have lapsed."""
        self.follower.step()
        self.store.mode = "busy"
        self.assertFalse(self.follower.step())
        self.ticker.advance(5.0)
        self.store.mode = "well"
        self.store.put("servers/a", {})
        self.assertTrue(self.follower.step())
        self.assertEqual(105.0, self.follower.returned)

    def test_few_of_a_large_fleet_ask_often(self):
        """Of sixty instances eight hold short watches; of seven all do."""
        for size, short in ((60, 8), (7, 7)):
            names = tuple(f"i{n}" for n in range(size))
            waits = [follower_module.choose_wait(n, names) for n in names]
            self.assertEqual(short, waits.count(follower_module.WATCH_SECONDS))

    def test_all_pages_are_read(self):
        """More items than one page holds."""
        self.store.page = 2
        for number in range(5):
            self.store.put(f"servers/{number}", {})
        self.follower.step()
        self.assertEqual(6, len(self.news))
