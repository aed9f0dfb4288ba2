"""Load pattern: full endpoints that turn requests away in milliseconds."""

import testtools

from citronport.scheduler.direct import pauses as pauses_module
from tests.relay import samples

START = ("e1", 1)


class PausesTest(testtools.TestCase):
    """Pauses of endpoints at given clock times."""

    def setUp(self):
        """Create the object under test."""
        super().setUp()
        self.pauses = pauses_module.Pauses()
        self.endpoint = samples.make_endpoint("e1", started=1)

    def test_pause_ends(self):
        """Guards against an endpoint that is left out for ever."""
        self.assertTrue(self.pauses.record(START, 3.0, 10.0))
        self.assertTrue(self.pauses.is_paused(START, 12.9))
        self.assertFalse(self.pauses.is_paused(START, 13.0))
        self.assertEqual({"e1"}, self.pauses.list_names([self.endpoint], 12.9))
        self.assertEqual(set(), self.pauses.list_names([self.endpoint], 13.0))

    def test_shorter_pause_does_not_end_a_longer_one(self):
        """Guards against a late answer that cuts a pause short."""
        self.pauses.record(START, 3.0, 10.0)
        self.assertFalse(self.pauses.record(START, 0.5, 11.0))
        self.assertTrue(self.pauses.is_paused(START, 12.9))
        self.pauses.record(START, 3.0, 11.0)
        self.assertTrue(self.pauses.is_paused(START, 13.9))

    def test_next_start_is_not_paused(self):
        """Guards against a pause that a restarted endpoint did not ask for."""
        self.pauses.record(START, 3.0, 10.0)
        restarted = samples.make_endpoint("e1", started=2)
        self.assertFalse(self.pauses.is_paused(restarted.start_id, 11.0))
        self.assertEqual(set(), self.pauses.list_names([restarted], 11.0))

    def test_wait_until_the_first_pause_ends(self):
        """The wait is over with the first endpoint that takes requests."""
        other = samples.make_endpoint("e2", started=1)
        self.assertEqual(0.0, self.pauses.compute_wait([], 10.0))
        self.pauses.record(START, 3.0, 10.0)
        both = [self.endpoint, other]
        self.assertEqual(0.0, self.pauses.compute_wait(both, 11.0))
        self.pauses.record(other.start_id, 1.5, 10.0)
        self.assertEqual(0.5, self.pauses.compute_wait(both, 11.0))
