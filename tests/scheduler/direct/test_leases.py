"""Tests of leases when messages and instances are lost."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import leases as leases_module
from citronport.scheduler.direct import load_tracker
from tests.relay import samples

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=50)


def make_held(request_id="r1", endpoint="e1", prefill_tokens=0):
    """Return a lease as reported by its holder."""
    return leases_module.HeldLease(
        request_id=request_id, endpoint=endpoint, prefill_tokens=prefill_tokens
    )


class LeasesTest(testtools.TestCase):
    """Requests that an owner counts at its endpoints."""

    def setUp(self):
        """Create an owner that has granted one lease."""
        super().setUp()
        self.loads = load_tracker.LoadTracker()
        self.leases = leases_module.Leases(self.loads)
        self.grant("r1", 0.0)

    def grant(self, request_id, now, endpoint="e1", holder="x"):
        """Grant a lease."""
        work = samples.make_work(request_id, now=now)
        self.loads.record_send(endpoint, work, now)
        self.leases.grant(request_id, endpoint, holder, now)

    def count(self, endpoint="e1"):
        """Return requests and prefill backlog of an endpoint."""
        load = self.loads.get_load(endpoint)
        return load.requests, load.prefill_backlog

    def test_repeated_end_frees_the_slot_once(self):
        """Holders report an end to two owners, so that it may come twice."""
        self.leases.end("r1", "e1")
        self.leases.end("r1", "e1")
        self.assertEqual((0, 0), self.count())

    def test_first_event_removes_the_prefill_backlog(self):
        """A processed prompt no longer delays other requests."""
        self.assertEqual((1, 1000), self.count())
        self.leases.record_first_event("r1", "e1", 0.1)
        self.assertEqual((1, 0), self.count())

    def test_next_renewal_makes_up_for_a_lost_end(self):
        """Guards against a slot that stays taken after a lost datagram.

        If the message of an end is lost, the next renewal half a second
        later frees the slot. Otherwise it would count until the deadline of
        the request.
        """
        self.leases.renew("x", [], 0.5)
        self.assertEqual((0, 0), self.count())

    def test_renewal_that_was_sent_before_the_grant(self):
        """A renewal that crosses a grant does not end the new lease."""
        self.leases.renew("x", [], 0.1)
        self.assertEqual((1, 1000), self.count())

    def test_renewal_affects_only_its_holder(self):
        """A renewal does not end the leases of other holders."""
        self.leases.renew("y", [], 1.0)
        self.assertEqual((1, 1000), self.count())

    def test_leases_of_a_dead_holder_expire(self):
        """The slots of a killed holder are freed without a renewal."""
        self.leases.renew("x", [make_held()], 1.0)
        self.leases.remove_expired(2.0)
        self.assertEqual(1, self.count()[0])
        self.leases.remove_expired(1.01 + leases_module.EXPIRE_SECONDS)
        self.assertEqual((0, 0), self.count())

    def test_new_owner_learns_of_running_requests(self):
        """A new owner learns of all leases from the next renewals."""
        loads = load_tracker.LoadTracker()
        leases = leases_module.Leases(loads)
        held = [make_held("r1", "e1", 700), make_held("r2", "e1", 0)]
        leases.renew("x", held, 0.0)
        self.assertEqual(load_tracker.Load(2, 700), loads.get_load("e1"))
        leases.end("r1", "e1")
        leases.end("r2", "e1")
        self.assertEqual(load_tracker.Load(0, 0), loads.get_load("e1"))

    def test_leased_requests_are_not_reported_twice(self):
        """The owner counts leased requests, the holder does not."""
        loads = load_tracker.LoadTracker()
        run = loads.record_leased_send("e1", samples.make_work("r1"), 0.0)
        self.assertEqual([], loads.make_report_rows())
        self.assertEqual([("e1", run)], loads.list_leased())
        loads.record_leased_end("e1", "r1")
        self.assertEqual([], loads.list_leased())

    @PROFILE
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("grant", "end", "lost end")),
                strategies.integers(0, 5),
            ),
            max_size=40,
        )
    )
    def test_renewal_corrects_any_lost_messages(self, steps):
        """One renewal makes owner and holder agree after any losses."""
        loads = load_tracker.LoadTracker()
        leases = leases_module.Leases(loads)
        running = set()
        now = 0.0
        for action, number in steps:
            now += 0.05
            request = f"r{number}"
            if action == "grant" and request not in running:
                running.add(request)
                loads.record_send("e1", samples.make_work(request), now)
                leases.grant(request, "e1", "x", now)
            elif request in running:
                running.discard(request)
                if action == "end":
                    leases.end(request, "e1")
        now += 1.0
        leases.renew("x", [make_held(r) for r in running], now)
        self.assertEqual(len(running), loads.get_load("e1").requests)
        self.assertEqual(len(running), len(leases))
