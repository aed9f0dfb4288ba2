"""Tests of the demo's figures and of the violations that it reports."""

import json
import pathlib
import random
import tempfile

import testtools

from standins import answers
from standins import caller
from standins import demo_figures
from standins import demo_loads
from standins import engine

STATUS_READ = demo_loads.WORK_KINDS[0]
RESERVATION = demo_loads.WORK_KINDS[1]


class FiguresTest(testtools.TestCase):
    """Figures are computed from journals of stand-ins and callers' records."""

    def setUp(self):
        """Create a folder for journals."""
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.rng = random.Random(1)

    def count(self, records, lines):
        """Write a journal and return the figures computed from it."""
        path = self.folder / "endpoint.jsonl"
        path.write_text("".join(json.dumps(x) + "\n" for x in lines))
        out_of_service = demo_figures.OutOfService(left=100.0, returned=200.0)
        return demo_figures.compute_figures(
            records, self.folder, out_of_service, frozenset({"endpoint"}), 1.0
        )

    def make_record(self, kind, **fields):
        """Return a record of one attempt."""
        job = demo_loads.make_job(kind, 1, self.rng)
        outcome = caller.Outcome(**{"status": 200, **fields})
        return demo_figures.Record(job=job, attempts=[outcome], seconds=1.0)

    def make_line(self, record, request, time=0.0):
        """Return the journal line of a request that was received."""
        line = {
            "time": time,
            "by": "endpoint",
            "kind": "received",
            "request": request,
        }
        body = record.job.body
        if record.job.is_service:
            return {**line, "body": caller.encode_body(body).decode()}
        prompt = answers.hash_prompt(engine.make_prompt(body))
        return {**line, "prompt": prompt}

    def test_correct_answer_is_goodput(self):
        """A correct answer within the deadline counts as goodput."""
        record = self.make_record(STATUS_READ, whole=True)
        record.attempts[0] = caller.Outcome(
            status=200, whole=True, text=record.job.expected
        )
        figures = self.count([record], [self.make_line(record, "a")])
        self.assertEqual([], figures.broken)
        self.assertEqual([1, 0, 0, 0], figures.goodput_by_tier)

    def test_wrong_answer_is_reported(self):
        """A complete answer with unexpected bytes is reported as wrong."""
        record = self.make_record(STATUS_READ, whole=True, text="other")
        figures = self.count([record], [self.make_line(record, "a")])
        self.assertEqual(["answers_wrong: 1"], figures.broken)

    def test_run_after_not_run_is_doubled(self):
        """A job reported as "not run" that reached an endpoint is doubled."""
        record = self.make_record(RESERVATION, code=1, ran=caller.NOT_RUN)
        figures = self.count([record], [self.make_line(record, "a")])
        self.assertEqual(1, figures.doubled)

    def test_second_run_of_a_reservation_is_doubled(self):
        """A reservation that reaches an endpoint under two ids is doubled."""
        record = self.make_record(RESERVATION)
        record.attempts.append(record.attempts[0])
        lines = [self.make_line(record, request) for request in ("a", "b")]
        figures = self.count([record], lines)
        self.assertEqual(1, figures.doubled)

    def test_missing_answer_and_late_work_are_counted(self):
        """A missing answer and work after the data centre left are counted."""
        record = self.make_record(STATUS_READ, status=0)
        figures = self.count([record], [self.make_line(record, "a", 150.0)])
        self.assertEqual(1, figures.lost)
        self.assertEqual(1, figures.late_work)
