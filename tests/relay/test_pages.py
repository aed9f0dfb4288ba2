"""The operations page lists the log events and metrics that exist."""

import pathlib
import re

import msgspec
import testtools

from citronport import errors
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import metrics
from citronport.relay import request_events
from citronport.relay import silence_events

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
STATE = metrics.State(
    up_seconds=1.0,
    ready=True,
    running=2,
    waiting=0,
    peers_in_reach=6,
    known_instances=7,
    configuration_version=7,
    store_seconds=0.5,
    store_revision=9,
    store_calls=30,
    store_refused=0,
    store_era=0,
    store_lost=0,
    store_failures=1,
    summaries_made=3,
    summaries_taken=9,
    news_taken=4,
    news_failed=1,
    news_received=1000,
    news_behind_seconds=0.0,
    endpoints=13,
    cold=1,
    brittle=0,
    limited=0,
    leaving=0,
    paused=0,
    path_lost=False,
    leases=1,
    barred=0,
    barred_parts=0,
    streams=0,
    peer_row_bytes=0,
    peer_rows_refused=0,
    lines_dropped=0,
    rejected={errors.InputFault.BAD_ENDPOINT: 1},
    oldest_report_seconds=0.1,
)


def read_rows(title):
    """Return the first cells of the table under a title."""
    part = PAGE.partition(f"## {title}\n")[2].partition("\n## ")[0]
    return " ".join(re.findall(r"^\| (`.*?) \|", part, re.M))


class PagesTest(testtools.TestCase):
    """Names on the page are those in the code."""

    def test_events(self):
        """Each event has a row, and each row is an event."""
        kinds = [
            value
            for module in (events, request_events, silence_events)
            for value in vars(module).values()
            if isinstance(value, type) and issubclass(value, msgspec.Struct)
        ]
        self.assertNotEqual([], kinds)
        logged = {eventlog.get_event_name(kind) for kind in kinds}
        self.assertEqual(
            logged, set(re.findall(r"`(\w+)`", read_rows("The lines")))
        )

    def test_metrics(self):
        """Each metric has a row, and each row is a metric."""
        counts = metrics.Counts()
        counts.requests["stream", 0, "answered"] += 1
        counts.first_byte_seconds["stream"].observe(0.2)
        counts.queue_seconds.observe(0.0)
        text = metrics.render(STATE, counts)[0].decode()
        rendered = set(re.findall(r"^# TYPE (citronport_\w+)", text, re.M))
        named = set(re.findall(r"`(citronport_\w+)", read_rows("Metrics")))
        self.assertEqual(rendered, named)
        self.assertIn(
            'first_byte_seconds_bucket{kind="stream",le="0.2"} 1', text
        )
