"""Places that were handed out, when messages and instances get lost."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import leases as leases_module
from citronport.scheduler.direct import load_tracker
from tests.relay import samples

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=50)


def make_held(request_id="r1", endpoint="e1", unread=0):
    """Return a lease as its holder tells it."""
    return leases_module.HeldLease(
        request_id=request_id, endpoint=endpoint, prefill_tokens=unread
    )


class LeasesTest(testtools.TestCase):
    """What an owner counts at its endpoints."""

    def setUp(self):
        """Make an owner that has handed out one place."""
        super().setUp()
        self.board = load_tracker.LoadTracker()
        self.leases = leases_module.Leases(self.board)
        self.grant("r1", 0.0)

    def grant(self, request_id, now, endpoint="e1", holder="x"):
        """Hand out a place."""
        work = samples.make_work(request_id, now=now)
        self.board.record_send(endpoint, work, now)
        self.leases.grant(request_id, endpoint, holder, now)

    def count(self, endpoint="e1"):
        """Return requests and unread tokens at an endpoint."""
        load = self.board.get_load(endpoint)
        return load.requests, load.prefill_backlog

    def test_end_frees_the_place_once(self):
        """The news of an end comes twice, as it goes to two owners."""
        self.leases.end("r1", "e1")
        self.leases.end("r1", "e1")
        self.assertEqual((0, 0), self.count())

    def test_first_event_takes_the_prompt_off(self):
        """What has been read keeps nobody waiting any more."""
        self.assertEqual((1, 1000), self.count())
        self.leases.record_first_event("r1", "e1", 0.1)
        self.assertEqual((1, 0), self.count())

    def test_lost_end_is_made_up_for_by_the_next_renewal(self):
        """The datagram that tells an end is lost.

        The holder tells half a second later what it holds, and the place
        is free; else it would count until the deadline of the request.
        """
        self.leases.renew("x", [], 0.5)
        self.assertEqual((0, 0), self.count())

    def test_renewal_that_was_sent_before_the_grant(self):
        """It crosses the grant on the way and does not end it."""
        self.leases.renew("x", [], 0.1)
        self.assertEqual((1, 1000), self.count())

    def test_renewal_of_one_holder_leaves_others_alone(self):
        """Each instance speaks for its own requests alone."""
        self.leases.renew("y", [], 1.0)
        self.assertEqual((1, 1000), self.count())

    def test_dead_holder_frees_its_places(self):
        """It was killed: nobody renews, and its places are free soon."""
        self.leases.renew("x", [make_held()], 1.0)
        self.leases.remove_expired(2.0)
        self.assertEqual(1, self.count()[0])
        self.leases.remove_expired(1.01 + leases_module.EXPIRE_SECONDS)
        self.assertEqual((0, 0), self.count())

    def test_new_owner_learns_what_runs(self):
        """The owner died; the next one hears of all within a renewal."""
        board = load_tracker.LoadTracker()
        leases = leases_module.Leases(board)
        held = [make_held("r1", "e1", 700), make_held("r2", "e1", 0)]
        leases.renew("x", held, 0.0)
        self.assertEqual(load_tracker.Load(2, 700), board.get_load("e1"))
        leases.end("r1", "e1")
        leases.end("r2", "e1")
        self.assertEqual(load_tracker.Load(0, 0), board.get_load("e1"))

    def test_leased_requests_are_not_told_twice(self):
        """The holder runs them, the owner counts them: one of the two."""
        board = load_tracker.LoadTracker()
        run = board.record_leased_send("e1", samples.make_work("r1"), 0.0)
        self.assertEqual([], board.make_report_rows())
        self.assertEqual([("e1", run)], board.list_leased())
        board.record_leased_end("e1", "r1")
        self.assertEqual([], board.list_leased())

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
    def test_a_renewal_sets_right_what_got_lost(self, steps):
        """Whatever is lost, one renewal makes both sides agree."""
        board = load_tracker.LoadTracker()
        leases = leases_module.Leases(board)
        running = set()
        now = 0.0
        for what, number in steps:
            now += 0.05
            request = f"r{number}"
            if what == "grant" and request not in running:
                running.add(request)
                board.record_send("e1", samples.make_work(request), now)
                leases.grant(request, "e1", "x", now)
            elif request in running:
                running.discard(request)
                if what == "end":
                    leases.end(request, "e1")
        now += 1.0
        leases.renew("x", [make_held(r) for r in running], now)
        self.assertEqual(len(running), board.get_load("e1").requests)
        self.assertEqual(len(running), len(leases))
