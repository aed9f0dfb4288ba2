"""Callers of scenarios."""

import types
from unittest import mock

import testtools

from standins import caller
from standins import scenario_callers
from standins import scenario_expect
from standins import scenario_models as models

RETRY_SECONDS = 30.0


class CallersTest(testtools.TestCase):
    """Callers that are refused with a long retry time."""

    def setUp(self):
        """Create callers whose requests are refused at once."""
        super().setUp()
        fleet = types.SimpleNamespace(
            layout=types.SimpleNamespace(entries=[{"name": "e"}]),
            entries=[{"name": "e", "key": "k", "class": 0}],
            instances=[{"name": "entry-1"}],
            get_address=lambda name: "127.0.0.1:1",
        )
        entries = caller.Entries(
            addresses=("127.0.0.1:1",), ticket="", keep_seconds=1.0
        )
        refusal = caller.Outcome(
            status=503, ran="not run", retry_after=RETRY_SECONDS
        )
        for name, result in (("look_up", entries), ("send", refusal)):
            patch = mock.patch.object(caller, name, return_value=result)
            patch.start()
            self.addCleanup(patch.stop)
        self.callers = scenario_callers.Callers(fleet, lambda line: None)
        self.addCleanup(self.callers.stop)

    def send(self, repeats):
        """Send one request that is repeated so often."""
        self.callers.send(
            models.Send(by="x", to="small", count=1, repeats=repeats)
        )

    def test_last_outcome_is_final_at_once(self):
        """Guards against a known outcome that counts as a missing one."""
        self.send(repeats=0)
        self.assertTrue(self.callers.wait("x", 1.0))
        self.assertEqual("", self.callers.describe_pending("x"))

    def test_repeat_waits_for_its_retry_time(self):
        """Guards against a caller that repeats too early."""
        self.send(repeats=1)
        self.assertFalse(self.callers.wait("x", 0.3))
        (record,) = self.callers.get_records("x")
        self.assertEqual(1, len(record.attempts))


class DurationTest(testtools.TestCase):
    """The time from a send to its outcome."""

    def list_problems(self, seconds):
        """Return the problems of a request that took some time."""
        attempt = scenario_callers.Attempt(
            began=100.0,
            ended=100.0 + seconds,
            outcome=caller.Outcome(status=200),
        )
        record = types.SimpleNamespace(tag="..x-1", by="x", attempts=[attempt])
        record.last = attempt.outcome
        problems = []
        runner = types.SimpleNamespace(
            callers=types.SimpleNamespace(
                records=[record], get_records=lambda by: [record]
            ),
            write_trace=lambda line: None,
            add_problem=problems.append,
        )
        expect = models.Expect(of="x", answered_within=8.0)
        scenario_expect.check(runner, expect)
        return problems

    def test_late_outcome(self):
        """Guards against a late answer that passes for a late send."""
        self.assertEqual([], self.list_problems(7.9))
        (problem,) = self.list_problems(8.1)
        self.assertIn("x-1 had its outcome after 8.100 s", problem)
