"""Which connections make room for new ones."""

import testtools

from citronport import byte_budget
from citronport import clock
from citronport.callers import connections


class FakeSocket:
    """A socket that records whether it was shut down."""

    def __init__(self):
        self.is_shut = False

    def shutdown(self, how):
        """Record the shutdown."""
        del how
        self.is_shut = True


class EvictionTest(testtools.TestCase):
    """A port for four connections."""

    def setUp(self):
        """Make a tracker with a clock that stands still."""
        super().setUp()
        self.ticker = clock.ManualClock()
        self.tracker = connections.ConnectionTracker(
            connections.Limits(connections=4), self.ticker
        )

    def add(self, address):
        """Return a new connection, which the tracker accepts."""
        sock = FakeSocket()
        self.assertTrue(self.tracker.add(sock, address))
        return sock

    def test_stalled_request_before_an_idle_connection(self):
        """Guards against reuse that a crowd of stalled requests ends."""
        idle = [self.add("a"), self.add("b")]
        for sock in idle:
            self.tracker.set_idle(sock)
        stalled = [self.add("c"), self.add("c")]
        for sock in stalled:
            self.tracker.set_reading(sock, carries_request=True)
        self.ticker.advance(byte_budget.STALL_SECONDS)
        self.add("d")
        self.assertEqual([True, False], [s.is_shut for s in stalled])
        self.assertFalse(any(s.is_shut for s in idle))

    def test_progress_keeps_a_slow_request(self):
        """Guards against a slow upload that is taken for a stalled one."""
        slow, stalled = self.add("a"), self.add("a")
        for sock in (slow, stalled):
            self.tracker.set_reading(sock, carries_request=True)
        self.ticker.advance(byte_budget.STALL_SECONDS)
        self.tracker.record_received(slow, byte_budget.PROGRESS_BYTES)
        self.add("a")
        self.assertTrue(stalled.is_shut)
        self.assertFalse(slow.is_shut)

    def test_complete_requests_stay(self):
        """Guards against a request that ends for a new connection."""
        busy = [self.add(address) for address in "abcd"]
        for sock in busy:
            self.tracker.set_busy(sock)
        self.assertFalse(self.tracker.add(FakeSocket(), "e"))
        self.assertFalse(any(s.is_shut for s in busy))

    def test_stop_waits_for_complete_heads_only(self):
        """Guards against a stop that unfinished heads delay."""
        sock = self.add("a")
        self.assertTrue(self.tracker.is_idle())
        self.tracker.set_reading(sock, carries_request=True)
        self.assertFalse(self.tracker.is_idle())
        self.tracker.remove(sock)
        self.assertTrue(self.tracker.is_idle())
