"""Tests of the executor's checks before a send."""

import testtools

from citronport import clock
from citronport import executor
from citronport.scheduler import models


class WarmScheduler:
    """Takes every endpoint for warm."""

    fleet = None

    def handle(self, event, now):
        """Decide nothing."""
        return []

    def is_shown_warm(self, endpoint, now):
        """Return that it is warm."""
        return True


class LateWakerTest(testtools.TestCase):
    """A process that was stopped acts on an old view."""

    def setUp(self):
        """Make an executor whose leases have run out."""
        super().setUp()
        self.ticker = clock.ManualClock(100.0)
        self.leased = False
        self.executor = executor.Executor(
            WarmScheduler(),
            self.ticker,
            lambda run, instance: None,
            lambda endpoint, now: self.leased,
            lambda event, actions: None,
            lambda endpoint, start: True,
        )

    def may_feed(self):
        """Ask as the dispatch task does before the first byte."""
        return self.executor._may_feed("engine", self.ticker.now())

    def step(self, seconds):
        """Let time pass, then let the executor have its turn."""
        self.ticker.advance(seconds)
        self.executor._step(models.TimePassed())

    def test_warm_endpoint_needs_no_lease(self):
        """An outage of the platform alone stops no warm endpoint."""
        self.step(0.05)
        self.assertTrue(self.may_feed())

    def test_no_send_between_wake_and_first_step(self):
        """The dispatch task may get its turn before the executor does.

        The process was stopped with a decision made. Meanwhile the
        endpoint got another owner and turned cold; the send would be one
        more than it bears.
        """
        self.ticker.advance(4.0)
        self.assertFalse(self.may_feed())

    def test_no_send_without_lease_after_a_pause(self):
        """What is in force is told within the hold; then all is as before.

        The process wakes and its loop runs at once, but the list and the
        other instances answer only some milliseconds later.
        """
        self.step(4.0)
        self.step(0.05)
        self.assertFalse(self.may_feed())
        self.leased = True
        self.assertTrue(self.may_feed())
        self.leased = False
        for _ in range(45):
            self.step(0.05)
        self.assertTrue(self.may_feed())
