"""Tests of the engines that long answers go to."""

import testtools

from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import long_answers
from tests.relay import samples

NOW = 100.0
STEP_MS = {"fast": 2.0, "usual": 4.0, "slow": 11.0}


class LongAnswersTest(testtools.TestCase):
    """Three engines of which the slow one takes three times the usual."""

    def setUp(self):
        """List the engines."""
        super().setUp()
        self.listed = [samples.make_endpoint(name) for name in STEP_MS]

    def list_names(self, expected, names=tuple(STEP_MS), **changes):
        """Return the engines that an answer may go to within ten seconds."""
        work = samples.make_work(
            now=NOW,
            expected_tokens=expected,
            **{"output_tokens": 4000, "deadline": NOW + 10.0, **changes},
        )
        found = long_answers.list_fast_enough(
            work,
            [e for e in self.listed if e.name in names],
            self.listed,
            STEP_MS.get,
            NOW,
        )
        return [endpoint.name for endpoint in found]

    def test_short_answer_goes_anywhere(self):
        """Guards against slow engines that are idle under full load."""
        self.assertEqual(["fast", "usual", "slow"], self.list_names(300))

    def test_long_answer_avoids_engines_that_would_be_cut(self):
        """Guards against answers that are cut at their deadline."""
        self.assertEqual(["fast", "usual"], self.list_names(900))
        self.assertEqual(["fast"], self.list_names(2000))

    def test_long_answer_waits_while_only_slow_engines_are_free(self):
        """The slow engine is left to short answers meanwhile."""
        self.assertEqual([], self.list_names(2000, names=("slow",)))

    def test_no_wait_if_no_engine_is_fast_enough(self):
        """Guards against a wait that can't help."""
        found = self.list_names(3900, names=("slow",), deadline=NOW + 5.0)
        self.assertEqual(["slow"], found)

    def test_estimate_beyond_the_maximum(self):
        """An estimate above the maximum counts as the maximum."""
        found = self.list_names(100_000, output_tokens=500)
        self.assertEqual(["fast", "usual", "slow"], found)

    def test_plain_request(self):
        """A request without tokens goes anywhere."""
        found = self.list_names(0, output_tokens=0)
        self.assertEqual(["fast", "usual", "slow"], found)


class EarlyStepTimeTest(testtools.TestCase):
    """The first stream at an engine whose step time is not known."""

    def receive(self, loads, spans):
        """Record events of 6 tokens at 60 ms each; return what changed."""
        run = loads.record_send("e1", samples.make_work(), 0.0)
        loads.record_events("e1", run, 1, 6, 0.1)
        found = []
        for number in range(1, 4 * spans + 1):
            now = 0.1 + 0.06 * number
            found.append(loads.record_events("e1", run, 1, 6, now))
        return found

    def test_first_events_give_a_step_time(self):
        """Guards against a slow engine that is taken for a typical one."""
        loads = load_tracker.LoadTracker(early_step_times=True)
        self.assertEqual([False, False, False, True], self.receive(loads, 1))
        self.assertAlmostEqual(10.0, loads.get_step_ms("e1"))

    def test_complete_sample_replaces_it(self):
        """A prompt that is processed meanwhile has no lasting effect."""
        loads = load_tracker.LoadTracker(early_step_times=True)
        run = loads.record_send("e1", samples.make_work(), 0.0)
        loads.record_events("e1", run, 1, 6, 0.0)
        loads.record_events("e1", run, 4, 6, 1.0)
        self.assertGreater(loads.get_step_ms("e1"), 40.0)
        for number in range(1, 4):
            loads.record_events("e1", run, 4, 6, 1.0 + 0.24 * number)
        self.assertAlmostEqual(10.0, loads.get_step_ms("e1"))

    def test_without_the_option(self):
        """By default an engine gets its step time after sixteen events."""
        loads = load_tracker.LoadTracker()
        self.assertNotIn(True, self.receive(loads, 3))
        self.assertEqual(load_tracker.DEFAULT_STEP_MS, loads.get_step_ms("e1"))
