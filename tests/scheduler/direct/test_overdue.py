"""Which endpoints count as silent, and which are only slow or full."""

import testtools

from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import leases as leases_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import overdue

FACTOR = 4.0
EXPECTED = 0.2
OBJECTIVE = 0.5
LISTED = [f"e{n}" for n in range(8)]


class OverdueTest(testtools.TestCase):
    """Eight endpoints, of which some begin nothing."""

    def setUp(self):
        """Enable the rule."""
        super().setUp()
        self.loads = load_tracker.LoadTracker()
        self.tracker = self.loads.overdue
        self.tracker.factor = FACTOR

    def send(self, endpoint, request, now=0.0, **changes):
        """Record a request that is sent to an endpoint."""
        fields = {
            "expected": EXPECTED,
            "objective": OBJECTIVE,
            "has_prompt": True,
            **changes,
        }
        self.tracker.record_send(endpoint, request, now, **fields)

    def begin_elsewhere(self, now=0.7):
        """Let another endpoint begin a request."""
        self.tracker.record_begun("e7", "other", now)

    def find(self, now=1.0, listed=LISTED, seconds=0.0, may_delay=False):
        """Return the endpoints found silent."""
        targets = [
            overdue.Target(
                name=name,
                seconds=seconds,
                objective=OBJECTIVE,
                may_delay=may_delay,
            )
            for name in sorted(self.tracker.list_endpoints())
        ]
        found = self.tracker.find_silent(targets, listed, now)
        return [silent.endpoint for silent in found]

    def hang(self, endpoint="e0", now=0.0):
        """Send two requests that wait."""
        self.send(endpoint, f"{endpoint}-1", now)
        self.send(endpoint, f"{endpoint}-2", now + 0.1)

    def test_endpoint_that_begins_nothing(self):
        """Guards against an endpoint that hangs and attracts requests."""
        self.hang()
        self.begin_elsewhere()
        self.assertEqual([], self.find(0.79))
        targets = [overdue.Target(name="e0", seconds=0.0, objective=0.5)]
        (silent,) = self.tracker.find_silent(targets, LISTED, 1.0)
        self.assertEqual(2, silent.overdue)
        self.assertEqual((1.0, EXPECTED), (silent.age, silent.expected))

    def test_off_by_default(self):
        """Guards against a rule that applies without its setting."""
        self.tracker.factor = load_tracker.LoadTracker().overdue.factor
        self.hang()
        self.begin_elsewhere()
        self.assertEqual([], self.find(60.0))
        self.assertEqual(set(), self.tracker.list_endpoints())

    def test_too_little_evidence(self):
        """Guards against an endpoint skipped that begins other requests.

        Or for one request, or for callers that leave.
        """
        self.begin_elsewhere()
        self.send("e0", "r1")
        self.hang("e1")
        self.tracker.record_begun("e1", "r3", 0.2)
        self.hang("e2")
        self.tracker.record_end("e2", "e2-1")
        self.assertEqual([], self.find(60.0))

    def test_slow_long_or_cold(self):
        """Guards against working endpoints that count as silent.

        An engine at 2.8 times its usual step time, one with a prompt of
        50,000 tokens, one with a growing backlog, a plain endpoint at five
        times its usual answer time, and one that is cold or full.
        """
        self.begin_elsewhere(20.0)
        self.hang()
        self.assertEqual([], self.find(2.8 * EXPECTED))
        self.assertEqual([], self.find(5.0, seconds=3.0))
        self.assertEqual([], self.find(5.0, may_delay=True))
        self.assertEqual([], self.find(5.7))
        self.hang("e1")
        for request in ("e1-1", "e1-2"):
            self.send("e1", request, expected=50_000 * 0.005 * 0.005)
        self.assertNotIn("e1", self.find(4.9))
        self.assertIn("e1", self.find(6.0))

    def test_all_silent(self):
        """Guards against endpoints blamed for a lost path or overload."""
        for name in LISTED:
            self.hang(name)
        self.assertEqual([], self.find(60.0))

    def test_at_most_a_quarter(self):
        """Guards against a rule that removes most of a service's capacity."""
        for number, name in enumerate(LISTED[:7]):
            self.hang(name, 0.01 * number)
        self.begin_elsewhere()
        self.assertEqual(["e0", "e1"], self.find(3.0))
        self.assertEqual([], self.find(3.1))
        self.begin_elsewhere(2.0)
        self.assertEqual([], self.find(3.2, LISTED[:3]))

    def test_probe_that_hangs_too(self):
        """Guards against an endpoint used again after one pause."""
        self.hang()
        self.begin_elsewhere()
        self.assertEqual(["e0"], self.find(1.0))
        self.assertEqual([], self.find(1.2))
        self.send("e0", "probe", 1.5)
        self.begin_elsewhere(2.0)
        self.assertEqual([], self.find(2.2))
        self.assertEqual(["e0"], self.find(2.4))
        self.tracker.record_begun("e0", "probe", 2.5)
        self.send("e0", "r4", 2.6)
        self.begin_elsewhere(3.0)
        self.assertEqual([], self.find(60.0))

    def test_requests_sent_elsewhere_count(self):
        """Guards against a silence hidden by requests that leave in time."""
        self.hang()
        for request, now in (("e0-1", 0.81), ("e0-2", 0.91)):
            self.tracker.record_end("e0", request, now)
        self.begin_elsewhere()
        self.assertEqual(["e0"], self.find(1.0))

    def test_dead_holder(self):
        """Guards against an endpoint blamed for a dead instance's leases."""
        for request in ("r1", "r2"):
            self.send("e0", request, is_leased_out=True)
            self.tracker.record_renewal("e0", request, 0.5, has_prompt=True)
        self.begin_elsewhere()
        self.assertEqual([], self.find(1.5))
        for request in ("r1", "r2"):
            self.tracker.record_renewal("e0", request, 1.0, has_prompt=True)
        self.assertEqual(["e0"], self.find(1.5))

    def renew(self, now, prefill_tokens=1000, leases=None):
        """Renew two leases at the owner."""
        leases = leases or leases_module.Leases(self.loads)
        held = [
            leases_module.HeldLease(
                request_id=request,
                endpoint="e0",
                prefill_tokens=prefill_tokens,
            )
            for request in ("r1", "r2")
        ]
        leases.renew("x", held, now)
        return leases

    def test_new_owner(self):
        """Guards against ages that a new owner can't know.

        It learns of requests by renewals, counts from then on, and uses the
        expected time of the endpoint as a whole.
        """
        leases = self.renew(10.0)
        self.renew(10.5, leases=leases)
        self.begin_elsewhere(10.6)
        self.assertEqual([], self.find(10.9))
        self.renew(11.0, leases=leases)
        self.assertEqual([], self.find(11.0, seconds=0.3))
        self.assertEqual(["e0"], self.find(11.0))

    def test_lost_report_of_a_first_event(self):
        """Guards against an endpoint blamed for a lost datagram."""
        leases = self.renew(10.0)
        self.begin_elsewhere(10.6)
        self.renew(11.0, prefill_tokens=0, leases=leases)
        self.assertEqual([], self.find(60.0))

    def test_renewal_of_a_plain_request(self):
        """Guards against renewals without a prompt taken for an answer."""
        for request in ("r1", "r2"):
            self.send("e0", request, has_prompt=False, is_leased_out=True)
            self.tracker.record_renewal("e0", request, 1.0, has_prompt=False)
        self.begin_elsewhere()
        self.assertEqual(["e0"], self.find(1.5))


class SilentHealthTest(testtools.TestCase):
    """The pause of a silent endpoint."""

    def test_pause_until_the_endpoint_answers(self):
        """Guards against a pause ended by a request that hung there."""
        health = health_module.Health()
        health.record_silent("e0", 0.0)
        health.record_answer("e0", False, 0.1)
        self.assertFalse(health.may_use("e0", 0.2))
        self.assertTrue(health.may_use("e0", 0.6))
        health.record_send("e0")
        self.assertFalse(health.may_use("e0", 0.7))
        health.record_silent("e0", 1.0)
        self.assertFalse(health.may_use("e0", 1.9))
        health.record_reached("e0", 1.9)
        self.assertTrue(health.may_use("e0", 1.9))
