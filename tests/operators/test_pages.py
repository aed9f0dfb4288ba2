"""Tests of the operators' manual and of the overview of the fleet."""

import pathlib
import re

import testtools

from citronport import telemetry
from citronport.operators import metrics
from citronport.operators import models
from citronport.operators import overview

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PAGE = (ROOT / "docs" / "OPERATING.md").read_text()

ENDPOINT = models.EndpointStatus(
    name='engine"1',
    kind="engine",
    data_centre="dc-1",
    listed="in",
    connected=False,
    cold=True,
    running=1,
    concurrency=8,
    reported_running=2,
    reported_queued=0,
)
STATUS = models.Status(
    instance="entry-1",
    incarnation="a1",
    data_centre="dc-1",
    program="0",
    leaving=True,
    up_seconds=1.0,
    catalogue_version=3,
    catalogue_seconds=1.0,
    list_version=2,
    data_centres={"dc-1": "leaving"},
    peers=(),
    endpoints=(ENDPOINT,),
    tiers=(
        models.TierStatus(
            tier=0,
            running=1,
            queued_tokens=40,
            outcomes={"whole": 5, "2101": 2, "late": 1},
        ),
    ),
    refusals={"2101": 2},
    task_deaths={},
)


def read_section(title):
    """Return the section of the manual under a title."""
    return PAGE.partition(f"### {title}\n")[2].partition("\n##")[0]


class PagesTest(testtools.TestCase):
    """The manual and the program agree on names."""

    def test_metrics(self):
        """The manual lists exactly the metrics of the program."""
        counts = telemetry.Counts()
        text = metrics.render(STATUS, counts)[0].decode()
        exported = set(re.findall(r"^# TYPE citronport_(\w+)", text, re.M))
        rows = re.findall(r"^\| (`.*?) \|", read_section("Metrics"), re.M)
        documented = set(re.findall(r"`(\w+)", " ".join(rows)))
        self.assertEqual(exported, documented)
        self.assertIn('endpoint_running{endpoint="engine_1"} 1', text)

    def test_log_prefixes(self):
        """The manual lists exactly the log prefixes of the program."""
        sources = (ROOT / "citronport").rglob("*.py")
        used = {
            prefix
            for source in sources
            for prefix in re.findall(
                r'^LOG = "(\w+:)"$', source.read_text(), re.M
            )
        }
        rows = re.findall(r"^\| `(\w+:)` \|", read_section("Log lines"), re.M)
        self.assertEqual(used, set(rows))


class OverviewTest(testtools.TestCase):
    """Text tables of the status command."""

    def test_tables(self):
        """The tables show all parts of the fleet and unreachable instances."""
        gone = models.Unreachable(
            address="127.0.0.1:1", name="entry-2", reason="refused"
        )
        plain = overview.render_text([STATUS, gone], styled=False)
        for line in (
            r"entry-1 +dc-1 +leaving +3 +2 +0 +1 +0",
            r"entry-2 +- +unreachable: refused +-",
            r"dc-1 +leaving +1 +1",
            r'engine"1 +entry-1 +dc-1 +in +unreachable +1/8 +2\+0',
            r"0 +1 +40 +5 +1 +2101: 2",
        ):
            self.assertRegex(plain, f"(?m)^{line}$|^{line} ")
        styled = overview.render_text([STATUS, gone], styled=True)
        self.assertIn("\033[31mentry-2", styled)
        self.assertEqual(plain, re.sub(r"\033\[\d+m", "", styled))
