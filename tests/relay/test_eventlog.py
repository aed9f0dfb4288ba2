"""Log lines are complete, limited in rate, and never block the instance."""

import fcntl
import json
import os

import testtools

from citronport import clock
from citronport.relay import eventlog
from citronport.relay import events


class EventlogTest(testtools.TestCase):
    """A log that writes to a pipe."""

    def setUp(self):
        """Open the pipe."""
        super().setUp()
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.ticker = clock.ManualClock(10.0)
        self.log = eventlog.Log("entry-1", self.ticker, writer)

    def read_lines(self):
        """Return the lines in the pipe."""
        flags = fcntl.fcntl(self.reader, fcntl.F_GETFL)
        fcntl.fcntl(self.reader, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        data = b""
        try:
            while piece := os.read(self.reader, 1 << 20):
                data += piece
        except BlockingIOError:
            # The pipe is empty.
            pass
        return [json.loads(line) for line in data.splitlines()]

    def test_a_line_holds_name_and_fields(self):
        """Each line names the instance, the event, its fields and time."""
        self.log.write(events.Ready(ready=True))
        (line,) = self.read_lines()
        self.assertEqual(
            ("entry-1", "ready", True, 10.0),
            (line["instance"], line["event"], line["ready"], line["at"]),
        )

    def test_lines_beyond_the_limit_are_counted(self):
        """Lines beyond the limit are dropped and counted a second later."""
        for _ in range(eventlog.LINES_PER_SECOND + 50):
            self.log.write(events.Ready(ready=True))
        self.ticker.advance(1.0)
        self.log.write(events.Ready(ready=False))
        lines = self.read_lines()
        dropped = [x for x in lines if x["event"] == "lines_dropped"]
        self.assertEqual({"ready": 50}, dropped[0]["by_event"])
        self.assertEqual(eventlog.LINES_PER_SECOND + 2, len(lines))

    def test_lines_are_dropped_while_the_pipe_is_full(self):
        """Writing to a full pipe returns, and dropped lines are counted.

        Once the pipe is read again, lines are complete, and one of them
        holds the number of dropped lines.
        """
        for second in range(40):
            self.ticker.advance(1.0)
            for _ in range(eventlog.LINES_PER_SECOND):
                self.log.write(events.Ready(ready=bool(second)))
        self.assertGreater(sum(self.log.dropped.values()), 0)
        before = len(self.read_lines())
        self.assertGreater(before, 0)
        self.ticker.advance(1.0)
        self.log.write(events.Ready(ready=True))
        names = [line["event"] for line in self.read_lines()]
        self.assertIn("lines_dropped", names)
