"""Whether this instance has a path to the endpoints."""

import testtools

from citronport.scheduler.direct import reachability


class ReachabilityTest(testtools.TestCase):
    """Conclusions from connections that fail or succeed."""

    def setUp(self):
        """Start with an endpoint that was reached."""
        super().setUp()
        self.reach = reachability.Reachability()
        self.reach.record_reached(1.0)

    def test_one_failing_endpoint_is_not_the_path(self):
        """Guards against a path that counts as lost by one endpoint."""
        for at in range(10):
            self.assertFalse(self.reach.record_failed("e1", 2.0 + at))
        self.assertFalse(self.reach.is_lost)

    def test_several_failing_endpoints_are_the_path(self):
        """Guards against endpoints blamed for a path that is lost."""
        self.reach.record_failed("e1", 2.0)
        self.assertTrue(self.reach.record_failed("e2", 2.1))
        self.assertFalse(self.reach.record_failed("e3", 2.2))
        self.assertTrue(self.reach.is_lost)
        self.assertEqual(3, self.reach.failed_endpoints)

    def test_endpoints_that_fail_between_reached_ones(self):
        """Guards against a path lost by crashes of several endpoints."""
        self.reach.record_failed("e1", 2.0)
        self.reach.record_reached(2.05)
        self.assertFalse(self.reach.record_failed("e2", 2.1))
        self.assertFalse(self.reach.is_lost)

    def test_path_is_regained(self):
        """Guards against a path that stays lost once it is whole again."""
        self.reach.record_failed("e1", 2.0)
        self.reach.record_failed("e2", 2.0)
        self.assertTrue(self.reach.record_reached(5.0))
        self.assertFalse(self.reach.record_reached(5.1))
        self.assertFalse(self.reach.is_lost)
        self.assertTrue(self.reach.was_lost_since(3.0))
        self.assertFalse(self.reach.was_lost_since(5.05))

    def test_proof_must_be_as_late_as_the_failure(self):
        """Guards against an old connection that proves the path."""
        self.assertFalse(self.reach.has_reached_since(1.5))
        self.reach.record_reached(1.5)
        self.assertTrue(self.reach.has_reached_since(1.5))
