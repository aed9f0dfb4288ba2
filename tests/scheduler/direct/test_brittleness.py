"""Sends to endpoints that must not have to turn requests away."""

import testtools

from citronport.scheduler.direct import brittleness
from citronport.scheduler.direct import roles

SLOTS = 4
NOW = 10.0


class BrittlenessTest(testtools.TestCase):
    """One endpoint that stands four rejections in a second."""

    def setUp(self):
        """Create the tracker."""
        super().setUp()
        self.brittle = brittleness.BrittleEndpoints()

    def may_send(self, requests=0, role=None, now=NOW, own=0):
        """Return whether the endpoint has room for one more request."""
        return self.brittle.may_send(
            "e1", SLOTS, requests, own, role or roles.Owner(), now
        )

    def count_at_once(self, instances):
        """Return how many requests all senders have there at once."""
        names = tuple(f"i{n}" for n in range(instances))
        total = 0
        for own in names:
            sent = 0
            while self.may_send(own=sent, role=roles.Sender(own, names)):
                sent += 1
            total += sent
        return total

    def test_other_endpoints_are_not_affected(self):
        """Guards against endpoints that are used less than they may."""
        self.assertTrue(self.may_send(requests=SLOTS + 1))
        self.brittle.record_rejection("e1", NOW)
        self.brittle.record_statement("e1", None, NOW)
        self.assertTrue(self.may_send(requests=SLOTS + 1))

    def test_owner_uses_the_slots_only(self):
        """Guards against requests that wait at a brittle endpoint."""
        self.brittle.record_statement("e1", 4.0, NOW)
        self.assertTrue(self.may_send(requests=SLOTS - 1))
        self.assertFalse(self.may_send(requests=SLOTS))

    def test_senders_share_the_slots(self):
        """Guards against slots that each of many instances uses up."""
        self.brittle.record_statement("e1", 4.0, NOW)
        for instances in (1, 2, 3, 7, 195):
            self.assertIn(self.count_at_once(instances), range(2, SLOTS + 1))

    def test_rejections_end_the_sends(self):
        """Guards against sends on to an endpoint that has no room."""
        self.brittle.record_statement("e1", 4.0, NOW)
        self.brittle.record_rejection("e1", NOW)
        self.assertTrue(self.may_send(now=NOW + 0.1))
        self.brittle.record_rejection("e1", NOW + 0.1)
        self.assertFalse(self.may_send(now=NOW + 0.2))
        self.assertTrue(self.may_send(now=NOW + 1.2))

    def test_latest_statement_counts(self):
        """Guards against an old answer that ends the caution."""
        self.assertTrue(self.brittle.record_statement("e1", 4.0, NOW))
        self.assertFalse(self.brittle.record_statement("e1", None, NOW - 1))
        self.assertEqual((4.0, NOW), self.brittle.get_statement("e1"))
        self.assertTrue(self.brittle.record_statement("e1", None, NOW + 1))
        self.assertEqual(0, self.brittle.count())
