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
        self.age = None
        store = client.Client(self.store.address, 0.2)
        self.addCleanup(store.close)
        self.follower = follower_module.Follower(
            store,
            self.mirror,
            self.ticker,
            lambda news: self.news.extend(i.key for i in news),
            samples.make_log(self.ticker),
            lambda: self.age,
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

    def test_few_of_a_large_fleet_read(self):
        """Of sixty instances eight watch the store; of seven all do."""
        for size, reading in ((60, follower_module.READERS), (7, 7)):
            names = tuple(f"i{n}" for n in range(size))
            ages = [0.5] * reading + [-1.0] * (size - reading)
            rests = [follower_module.rest(n, names, ages) for n in names]
            self.assertEqual(reading, rests.count(None))

    def test_all_read_where_too_few_readers_reach_the_store(self):
        """The store turns the readers away and serves the others.

        Endpoints that leave would go on getting work from instances that
        wait for news which nobody can tell them.
        """
        names = tuple(f"i{n}" for n in range(60))
        ages = [0.5] * (follower_module.MIN_SOURCES - 1) + [-1.0, 9.0] * 5
        rests = [follower_module.rest(n, names, ages) for n in names]
        self.assertEqual([None] * 60, rests)

    def test_resting_asks_nothing_and_goes_on_from_where_it_was(self):
        """Others read for this instance; when they can't, it watches."""
        self.follower.step()
        self.age = 1.5
        self.assertTrue(self.follower.rest())
        self.assertEqual(98.5, self.follower.answered)
        self.store.put("servers/a", {})
        self.age = None
        self.assertFalse(self.follower.rest())
        self.follower.step()
        self.assertEqual(["op/config", "servers/a"], self.news)
        self.assertEqual(
            [fakes.STORE_RANGE, fakes.STORE_WATCH], self.store.calls
        )

    def test_nobody_rests_before_the_first_copy(self):
        """A started instance knows nothing that news could add to."""
        self.age = 1.5
        self.assertFalse(self.follower.rest())

    def test_all_pages_are_read(self):
        """More items than one page holds."""
        self.store.page = 2
        for number in range(5):
            self.store.put(f"servers/{number}", {})
        self.follower.step()
        self.assertEqual(6, len(self.news))

    def test_one_that_starts_does_not_ask_with_each_change(self):
        """Two hundred that start ask the store once for each endpoint."""
        self.follower.step()
        began = self.ticker.now()
        for number in range(4):
            self.store.put(f"servers/{number}", {})
            self.follower.step()
        passed = self.ticker.now() - began
        self.assertGreaterEqual(passed, 4 * 0.5)

    def test_later_changes_are_gathered_for_a_moment_only(self):
        """News of an endpoint that leaves wait as long as after a start."""
        self.follower.step()
        self.ticker.advance(follower_module.START_SECONDS)
        began = self.ticker.now()
        self.store.put("servers/a", {})
        self.follower.step()
        self.assertLess(self.ticker.now() - began, 0.5)

    def test_those_that_leave_the_store_to_others_ask_it_seldom(self):
        """A store that is away is asked by hundreds as often as by eight."""
        asked = {}
        for reader in (True, False):
            self.follower._is_reader = lambda reader=reader: reader
            self.follower._pause = follower_module.RETRY_SECONDS
            until = self.ticker.now() + 30.0
            asked[reader] = 0
            while self.ticker.now() < until:
                self.follower.pause()
                asked[reader] += 1
        self.assertLess(asked[False], 0.7 * asked[True])
