"""Explaining the outcome of a request from log lines alone."""

import json
import pathlib
import tempfile

import testtools

from citronport import errors
from citronport.relay import explanation

SENT = {
    "event": "request_sent",
    "endpoint": "i-1",
    "attempt": 1,
    "waited": 0.0,
    "expected": 0.2,
    "load": 3,
    "pace": 1.0,
}
ENDED = {
    "event": "request_ended",
    "outcome": "answered",
    "status": 200,
    "code": 0,
    "endpoint": "i-1",
    "attempts": 1,
    "waited": 0.0,
    "first": 0.3,
    "longest": 0.1,
    "seconds": 1.0,
}


class ExplanationTest(testtools.TestCase):
    """Each outcome of a request has its own explanation."""

    def write(self, *lines):
        """Write a log file; return its path."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "entry-1.log"
        rows = [
            json.dumps({"at": at, "instance": "entry-1", **line})
            for at, line in lines
        ]
        path.write_text("\n".join(("not an event", *rows, '{"at":')) + "\n")
        return path

    def explain(self, **ended):
        """Return the explanation of a request with the given last line."""
        path = self.write(
            (1.0, {"event": "store_lost", "reason": "busy"}),
            (2.0, {**SENT, "request": "r"}),
            (3.0, {**ENDED, **ended, "request": "r"}),
        )
        return explanation.explain("r", [path]).unwrap()

    def test_causes(self):
        """Refused, unknown, late, cut, left by the caller, failed."""
        overloaded = int(errors.Code.OVERLOADED)
        lost = int(errors.Code.ENDPOINT_LOST)
        for fields, words in (
            ({"outcome": "refused", "code": overloaded}, "2101 overloaded"),
            (
                {"outcome": "refused", "code": overloaded, "waited": 0.5},
                "waited 0.50 s",
            ),
            ({"outcome": "refused", "code": lost}, "3001 endpoint_lost"),
            ({"waited": 0.28}, "in the queue"),
            ({"first": 1.5}, "0.20 s expected at load 3"),
            ({"outcome": "cut", "code": lost}, "broke off"),
            ({"outcome": "left", "first": -1.0}, "no byte"),
            ({"status": 500}, "itself answered 500"),
        ):
            self.assertIn(words, self.explain(**fields).cause, fields)

    def test_refused_by_an_old_configuration(self):
        """The cause names the version used and the age of the copy."""
        line = {
            "event": "request_refused",
            "request": "r",
            "code": int(errors.Code.UNKNOWN_KEY),
            "version": 7,
            "store_seconds": 4.0,
            "reach": 1.0,
        }
        path = self.write((2.0, line))
        cause = explanation.explain("r", [path]).unwrap().cause
        self.assertIn("1002 unknown_key", cause)
        self.assertIn("version 7", cause)
        self.assertIn("4.0 s old", cause)

    def test_context_and_request_lines(self):
        """The loss of the store a second before is shown as context."""
        found = self.explain()
        text = explanation.render(found)
        self.assertIn("store_lost reason=busy", text)
        self.assertLess(text.index("request_sent"), text.index("request_en"))

    def test_instance_died_before_the_request_ended(self):
        """The cause is the end of the instance if the last line is missing."""
        path = self.write((2.0, {**SENT, "request": "r"}))
        cause = explanation.explain("r", [path]).unwrap().cause
        self.assertIn("instance ended", cause)

    def test_unknown_request_and_missing_file(self):
        """Each is reported as an error in one line."""
        path = self.write((2.0, {**SENT, "request": "r"}))
        self.assertIn("no line", explanation.explain("x", [path]).unwrap_err())
        gone = path.with_name("gone")
        self.assertIn("gone", explanation.explain("r", [gone]).unwrap_err())
