"""Where a request goes, under the loads that the choice is made for."""

import random

import testtools

from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import roles
from citronport.scheduler.direct import selection
from tests.relay import samples

NOW = 100.0

COMMON_PACE = 3.2
"""Time of a step of a common engine, milliseconds."""


class SelectionTest(testtools.TestCase):
    """Two or three engines that differ in one thing."""

    def setUp(self):
        """Make the parts of a selector."""
        super().setUp()
        self.board = load_tracker.LoadTracker()
        self.health = health_module.Health()
        self.cold = cold_starts.ColdStarts()
        self.limits = endpoint_limits.EndpointLimits()
        self.selector = selection.Selector(
            self.board, self.health, self.cold, self.limits
        )
        self.service = samples.make_service()
        self.endpoints = [
            samples.make_endpoint(name, slots=4) for name in ("a", "b")
        ]
        self.number = 0

    def choose(self, **work):
        """Return the name of the endpoint for a request, or None."""
        self.number += 1
        work = samples.make_work(f"r{self.number}", now=NOW, **work)
        share = roles.Sender("own", ("own",))
        usable = [
            e
            for e in self.endpoints
            if self.selector.has_capacity(e, self.service, share, NOW)
        ]
        place = self.selector.choose(work, self.service, usable, NOW)
        return place.endpoint.name if place else None

    def load(self, endpoint, count, **work):
        """Put requests on an endpoint; they have begun to stream."""
        for _ in range(count):
            self.number += 1
            run = self.board.record_send(
                endpoint,
                samples.make_work(f"r{self.number}", now=NOW, **work),
                NOW,
            )
            self.board.record_events(endpoint, run, 1, 6, NOW)

    def set_pace(self, endpoint, pace):
        """Let another instance tell the pace of an endpoint.

        Args:
            endpoint: its name.
            pace: as a multiple of a common engine's.
        """
        rows = [(endpoint, 0, 0, int(pace * COMMON_PACE * 1e6))]
        self.board.apply_report(f"of {endpoint}", rows)

    def test_one_slow_endpoint(self):
        """Work goes where it begins soonest, by learnt pace."""
        self.set_pace("a", 3.0)
        self.set_pace("b", 0.5)
        self.assertEqual("b", self.choose())

    def test_skew_between_instances(self):
        """What others have sent counts, though it is not seen here."""
        self.board.apply_report("other", [("a", 4, 30_000, 0)])
        self.assertEqual("b", self.choose())

    def test_saturation(self):
        """All places and the spare one are taken: the request waits."""
        for name in ("a", "b"):
            self.load(name, 4 + selection.SPARE_REQUESTS)
        self.assertIsNone(self.choose())

    def test_failing_endpoint_is_left_alone(self):
        """It answers at once, with failures: it looks idle to all."""
        for _ in range(6):
            self.health.record_answer("a", False, NOW)
        self.load("b", 3)
        self.assertEqual("b", self.choose())

    def test_dark_endpoint_gets_one_probe_at_a_time(self):
        """After a failed connection it is tried again, with one request."""
        self.endpoints = self.endpoints[:1]
        self.health.record_unreachable("a", NOW - 1.0)
        self.assertEqual("a", self.choose())
        self.health.record_send("a")
        self.assertIsNone(self.choose())
        self.health.record_answer("a", True, NOW)
        self.assertEqual("a", self.choose())

    def test_cold_endpoint_gets_its_share(self):
        """The rest waits for a warm one, or for the next second."""
        self.endpoints = self.endpoints[:1]
        self.cold.set_cold("a", NOW + 3)
        sent = 0
        while self.choose() is not None and sent < 100:
            self.cold.record_send("a", NOW)
            sent += 1
        self.assertEqual(cold_starts.compute_window_limit(11.0, 1), sent)

    def test_plain_service(self):
        """The one that answers sooner gets the request."""
        self.service = samples.make_service(engine=None)
        run = self.board.record_send("a", samples.make_work(now=NOW), NOW)
        for _ in range(10):
            self.board.record_answer("a", run, NOW + 0.5)
        self.board.record_end("a", run.request_id)
        self.assertEqual("b", self.choose())

    def test_places_that_come_free(self):
        """Two engines of four slots, one at half of the other's speed.

        A request stays 300 steps: places come free every 300 ms and every
        600 ms for each slot, whatever runs there now.
        """
        self.set_pace("a", 1.0 / COMMON_PACE)
        self.set_pace("b", 2.0 / COMMON_PACE)
        places = self.selector.compute_slot_rate(self.service, self.endpoints)
        self.assertAlmostEqual(4 / 0.3 + 4 / 0.6, places, delta=0.1)


class HerdTest(testtools.TestCase):
    """Load: sixty instances that hear of each other late."""

    def spread(self, count, drawn):
        """Return the most requests on one of 45 endpoints.

        All instances see idle endpoints and send one request each before
        they hear of each other.
        """
        draw = random.Random(5)
        loads = [0] * 45
        paces = [1 + 0.01 * n for n in range(45)]
        for _ in range(count):
            seen = draw.sample(range(45), drawn)
            loads[min(seen, key=lambda n: paces[n])] += 1
        return max(loads)

    def test_a_drawn_few_spread_what_all_would_send_to_one(self):
        """By chance the fastest gets a fifth of the sends and not all."""
        drawn = selection.compute_sample_size(45, 60)
        self.assertEqual(60, self.spread(60, 45))
        self.assertLessEqual(self.spread(60, drawn), 20)

    def test_a_small_fleet_sees_all(self):
        """Its reports are fresh enough for the best choice."""
        self.assertEqual(9, selection.compute_sample_size(9, 11))
        self.assertEqual(1, selection.compute_sample_size(1, 90))


class BoardTest(testtools.TestCase):
    """Learning paces and counting loads."""

    def test_pace_is_learnt_past_the_reading_of_prompts(self):
        """Some spans hold a long prompt's reading; the pace stays true."""
        board = load_tracker.LoadTracker()
        run = board.record_send("a", samples.make_work(), 0.0)
        now = 0.0
        board.record_events("a", run, 1, 6, now)
        for event in range(40):
            now += 0.2 if event % 9 == 0 else 6 * 0.0032 * 2
            board.record_events("a", run, 1, 6, now)
        self.assertAlmostEqual(6.4, board.get_step_ms("a"), delta=0.6)

    def test_half_of_the_instances_are_gone(self):
        """What they told does not count any more."""
        board = load_tracker.LoadTracker()
        board.apply_report("x", [("a", 3, 100, 0)])
        board.apply_report("y", [("a", 2, 50, 0)])
        self.assertEqual(load_tracker.Load(5, 150), board.get_load("a"))
        board.drop_stale({"y"})
        self.assertEqual(load_tracker.Load(2, 50), board.get_load("a"))

    def test_one_wrong_pace_is_outvoted(self):
        """The middle of what all instances measured counts."""
        board = load_tracker.LoadTracker()
        for name, pace in (("x", 1.0), ("y", 17.0), ("z", 1.1)):
            board.apply_report(name, [("a", 0, 0, int(pace * 1e6))])
        self.assertAlmostEqual(1.1, board.get_step_ms("a"))
