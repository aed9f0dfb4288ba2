"""Which requests make room for others, and which keep it."""

import gevent
import testtools

from citronport import byte_budget
from citronport import clock
from citronport import resources
from citronport.relay import message_limits

TOTAL, SMALL, LARGEST, BEGINNING = 1000, 300, 1600, 100


class ByteBudgetTest(testtools.TestCase):
    """A budget with a clock that stands still."""

    def setUp(self):
        """Make an empty budget."""
        super().setUp()
        self.ticker = clock.ManualClock()
        self.budget = byte_budget.ByteBudget(
            TOTAL, SMALL, LARGEST, BEGINNING, self.ticker
        )

    def open(self, address, size):
        """Return a holding; its bytes are released as soon as it must go."""
        holding = self.budget.open(
            address, lambda: gevent.spawn(holding.release)
        )
        self.assertTrue(holding.reserve(size))
        return holding

    def test_bytes_over_the_total(self):
        """Guards against requests of one address that evict each other."""
        first = self.open("a", 800)
        second = self.budget.open("a", self.fail)
        self.assertFalse(second.reserve(500))
        self.assertFalse(first.evicted)

    def test_large_requests_leave_room_for_small_ones(self):
        """Guards against small requests that large ones keep out."""
        self.open("a", 1100).keep()
        self.assertTrue(self.budget.open("b", self.fail).reserve(100))

    def test_address_that_holds_most_makes_room(self):
        """Guards against a crowd that keeps everyone else out."""
        crowd = [self.open("a", 400) for _ in range(3)]
        self.assertTrue(self.budget.open("b", self.fail).reserve(200))
        self.assertEqual([True, False, False], [h.evicted for h in crowd])

    def test_request_without_progress_goes_first(self):
        """Guards against stalled requests of many addresses."""
        stalled = self.open("a", 600)
        self.ticker.advance(byte_budget.STALL_SECONDS)
        active = [self.open("b", 400), self.open("b", 200)]
        self.assertTrue(self.budget.open("b", self.fail).reserve(200))
        self.assertTrue(stalled.evicted)
        self.assertFalse(any(h.evicted for h in active))

    def test_complete_request_stays(self):
        """Guards against a request that is evicted while it runs."""
        complete = self.open("a", 1000)
        self.assertTrue(complete.keep())
        self.ticker.advance(byte_budget.STALL_SECONDS)
        self.assertFalse(self.budget.open("b", self.fail).reserve(400))
        self.assertFalse(complete.evicted)

    def test_evicted_bytes_count_until_they_are_released(self):
        """Guards against memory that is given away twice."""
        victim = self.budget.open("a", lambda: None)
        self.assertTrue(victim.reserve(1000))
        late = self.budget.open("b", self.fail)
        task = gevent.spawn(late.reserve, 400)
        gevent.sleep(0.01)
        self.assertTrue(victim.evicted)
        self.assertEqual(0, late.size)
        victim.release()
        self.assertTrue(task.get(timeout=byte_budget.RELEASE_SECONDS))

    def test_evicted_request_gets_no_further_bytes(self):
        """Guards against an evicted request that counts as complete."""
        victim = self.open("a", 1000)
        self.assertTrue(self.budget.open("b", self.fail).reserve(400))
        self.assertFalse(victim.reserve(1))
        self.assertFalse(victim.keep())

    def test_largest_request_alone(self):
        """Guards against a request inside the limits that is never served."""
        self.assertEqual(LARGEST, self.budget.largest)
        large = self.open("a", LARGEST)
        large.keep()
        self.assertFalse(self.budget.open("b", self.fail).reserve(200))
        large.release()
        self.assertTrue(self.budget.open("b", self.fail).reserve(200))


class SharesTest(testtools.TestCase):
    """The sums over all ports of the sizes that deployments have."""

    def test_sums_stay_within_the_limits(self):
        """Guards against shares that come to more than there is."""
        for memory_mb, files in (
            (128, 1024),
            (150, 1024),
            (150, 4100),
            (200, 4100),
            (300, 4100),
            (552, 8192),
        ):
            shares = resources.make_shares(memory_mb * 1e6, files)
            served = shares.callers + shares.forwards
            connections = served + (
                shares.lookups
                + shares.fetches
                + shares.readiness
                + shares.metrics
            )
            requests = shares.request_bytes + shares.small_request_bytes
            memory = (
                resources.PROCESS_BYTES
                + connections * resources.CONNECTION_BYTES
                + requests * 9 / 8
                + shares.answer_bytes
                + shares.peer_row_bytes
                + shares.streams * resources.STREAM_BYTES
                + message_limits.MAX_MESSAGE_BYTES
                + shares.callers * 1.5 * resources.RECEIVE_BUFFER_BYTES
            )
            self.assertLess(memory, memory_mb * 1e6)
            refused = connections // resources.REFUSALS_DIVISOR
            sockets = connections + refused + served
            self.assertLess(sockets, files - resources.RESERVED_DESCRIPTORS)
