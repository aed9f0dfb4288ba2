"""Tests of the choice of endpoints under different loads."""

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

TYPICAL_STEP_MS = 3.2
"""Step time of a typical engine."""


class SelectionTest(testtools.TestCase):
    """Two or three engines that differ in one property."""

    def setUp(self):
        """Create a selector."""
        super().setUp()
        self.loads = load_tracker.LoadTracker()
        self.health = health_module.Health()
        self.cold = cold_starts.ColdStarts()
        self.limits = endpoint_limits.EndpointLimits()
        self.selector = selection.Selector(
            self.loads, self.health, self.cold, self.limits
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
        role = roles.Sender("own", ("own",))
        usable = [
            e
            for e in self.endpoints
            if self.selector.has_capacity(e, self.service, role, NOW)
        ]
        placement = self.selector.choose(work, self.service, usable, NOW)
        return placement.endpoint.name if placement else None

    def add_load(self, endpoint, count, **work):
        """Add requests to an endpoint that have had a first event."""
        for _ in range(count):
            self.number += 1
            run = self.loads.record_send(
                endpoint,
                samples.make_work(f"r{self.number}", now=NOW, **work),
                NOW,
            )
            self.loads.record_events(endpoint, run, 1, 6, NOW)

    def set_step_time(self, endpoint, factor):
        """Apply a step time reported by another instance.

        Args:
            endpoint: name of the endpoint.
            factor: step time as a multiple of a typical engine's.
        """
        rows = [(endpoint, 0, 0, int(factor * TYPICAL_STEP_MS * 1e6))]
        self.loads.apply_report(f"of {endpoint}", rows)

    def test_slow_endpoint_is_avoided(self):
        """The request goes to the engine with the shorter step time."""
        self.set_step_time("a", 3.0)
        self.set_step_time("b", 0.5)
        self.assertEqual("b", self.choose())

    def list_for_prompt(self, prompt_tokens):
        """Return the names of the endpoints that a prompt may go to."""
        work = samples.make_work(now=NOW, prompt_tokens=prompt_tokens)
        found = self.selector.list_for_prompt(
            work,
            self.service,
            self.endpoints,
            self.selector.find_typical_step_ms(self.endpoints, NOW),
        )
        return [endpoint.name for endpoint in found]

    def test_long_prompt_avoids_an_engine_where_streams_would_pause(self):
        """Guards against streams that pause while a prompt is processed."""
        self.endpoints.append(samples.make_endpoint("c", slots=4))
        self.set_step_time("a", 3.0)
        self.set_step_time("b", 1.0)
        self.set_step_time("c", 1.2)
        self.assertEqual(["a", "b", "c"], self.list_for_prompt(500))
        self.assertEqual(["b", "c"], self.list_for_prompt(20_000))

    def test_long_prompt_goes_to_slow_engines_if_only_these_are_left(self):
        """Guards against a prompt that waits for engines out of reach."""
        for name in ("c", "d", "e"):
            self.endpoints.append(samples.make_endpoint(name, slots=4))
            self.set_step_time(name, 0.5)
            self.health.record_unreachable(name, NOW)
        self.set_step_time("a", 3.0)
        self.set_step_time("b", 3.0)
        self.assertIn("a", self.list_for_prompt(20_000))

    def test_load_from_other_instances_counts(self):
        """Reported requests of other instances are considered."""
        self.loads.apply_report("other", [("a", 4, 30_000, 0)])
        self.assertEqual("b", self.choose())

    def test_full_endpoints_are_not_chosen(self):
        """The request waits if all slots and the spare request are used."""
        for name in ("a", "b"):
            self.add_load(name, 4 + selection.SPARE_REQUESTS)
        self.assertIsNone(self.choose())

    def test_failing_endpoint_is_avoided(self):
        """Guards against an endpoint that looks idle as it fails at once."""
        for _ in range(6):
            self.health.record_answer("a", False, NOW)
        self.add_load("b", 3)
        self.assertEqual("b", self.choose())

    def test_unreachable_endpoint_gets_one_probe_at_a_time(self):
        """After a failed connection it is probed with one request."""
        self.endpoints = self.endpoints[:1]
        self.health.record_unreachable("a", NOW - 1.0)
        self.assertEqual("a", self.choose())
        self.health.record_send("a")
        self.assertIsNone(self.choose())
        self.health.record_answer("a", True, NOW)
        self.assertEqual("a", self.choose())

    def test_cold_endpoint_gets_its_share(self):
        """Further requests wait for a warm endpoint or the next window."""
        self.endpoints = self.endpoints[:1]
        self.cold.set_cold("a", NOW + 3)
        sent = 0
        while self.choose() is not None and sent < 100:
            self.cold.record_send("a", NOW)
            sent += 1
        self.assertEqual(cold_starts.compute_window_limit(11.0, 1), sent)

    def test_plain_service(self):
        """The endpoint with the shorter answer time gets the request."""
        self.service = samples.make_service(engine=None)
        run = self.loads.record_send("a", samples.make_work(now=NOW), NOW)
        for _ in range(10):
            self.loads.record_answer("a", run, NOW + 0.5)
        self.loads.record_end("a", run.request_id)
        self.assertEqual("b", self.choose())

    def test_rate_of_slots_that_become_free(self):
        """Two engines of four slots, one at half of the other's speed.

        A request takes 300 steps, so that each slot becomes free every 300
        or 600 ms, regardless of what is running now.
        """
        self.set_step_time("a", 1.0 / TYPICAL_STEP_MS)
        self.set_step_time("b", 2.0 / TYPICAL_STEP_MS)
        slot_rate = self.selector.compute_slot_rate(
            self.service, self.endpoints
        )
        self.assertAlmostEqual(4 / 0.3 + 4 / 0.6, slot_rate, delta=0.1)


class ThunderingHerdTest(testtools.TestCase):
    """Sixty instances that learn of each other's sends late."""

    def find_highest_load(self, instances, sample_size):
        """Return the highest number of requests on one of 45 endpoints.

        Each instance sees only idle endpoints and sends one request before
        it learns of the others' sends.
        """
        draw = random.Random(5)
        loads = [0] * 45
        step_times = [1 + 0.01 * n for n in range(45)]
        for _ in range(instances):
            sample = draw.sample(range(45), sample_size)
            loads[min(sample, key=lambda n: step_times[n])] += 1
        return max(loads)

    def test_sampling_spreads_requests(self):
        """With sampling, the fastest endpoint gets about a fifth of them."""
        drawn = selection.compute_sample_size(45, 60)
        self.assertEqual(60, self.find_highest_load(60, 45))
        self.assertLessEqual(self.find_highest_load(60, drawn), 20)

    def test_small_fleet_considers_all_endpoints(self):
        """Its reports are fresh enough to choose among all endpoints."""
        self.assertEqual(9, selection.compute_sample_size(9, 11))
        self.assertEqual(1, selection.compute_sample_size(1, 90))


class LoadTrackerTest(testtools.TestCase):
    """Learning of step times and counting of loads."""

    def test_step_time_excludes_the_prefill_of_prompts(self):
        """Spans that include the prefill of a long prompt are ignored."""
        loads = load_tracker.LoadTracker()
        run = loads.record_send("a", samples.make_work(), 0.0)
        now = 0.0
        loads.record_events("a", run, 1, 6, now)
        for event in range(40):
            now += 0.2 if event % 9 == 0 else 6 * 0.0032 * 2
            loads.record_events("a", run, 1, 6, now)
        self.assertAlmostEqual(6.4, loads.get_step_ms("a"), delta=0.6)

    def test_reports_of_lost_instances_are_dropped(self):
        """The loads that they reported no longer count."""
        loads = load_tracker.LoadTracker()
        loads.apply_report("x", [("a", 3, 100, 0)])
        loads.apply_report("y", [("a", 2, 50, 0)])
        self.assertEqual(load_tracker.Load(5, 150), loads.get_load("a"))
        loads.drop_stale({"y"}, {"y"})
        self.assertEqual(load_tracker.Load(2, 50), loads.get_load("a"))

    def test_median_step_time_ignores_an_outlier(self):
        """The median of the step times of all instances is used."""
        loads = load_tracker.LoadTracker()
        for name, step_ms in (("x", 1.0), ("y", 17.0), ("z", 1.1)):
            loads.apply_report(name, [("a", 0, 0, int(step_ms * 1e6))])
        self.assertAlmostEqual(1.1, loads.get_step_ms("a"))

    def test_loads_of_an_instance_that_reports_no_longer(self):
        """Guards against slots that look occupied by one report for good.

        An instance of another data centre stays in reach by its summaries.
        """
        loads = load_tracker.LoadTracker()
        loads.apply_report("x", [("a", 5, 900, 4_000_000)])
        loads.drop_stale({"x"}, set())
        self.assertEqual(load_tracker.Load(0, 0), loads.get_load("a"))
        self.assertEqual(4.0, loads.get_step_ms("a"))
        loads.drop_stale({"x"}, set())
        self.assertEqual(0, loads.count_requests("a"))
