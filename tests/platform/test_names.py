"""Tests that wire names of the platform occur only in its folder."""

import pathlib
import re

import testtools

ROOT = pathlib.Path(__file__).parent.parent.parent / "citronport"
NAMES = (
    "x-attempt-id",
    "x-deadline-ms",
    "x-api-key",
    "x-token-counts",
    "x-prompt-prefix",
    "x-expect-",
    "x-tenant",
    "x-response-seal",
    "x-not-executed",
    "x-length-hint",
    "x-hold",
    "x-pin-ms",
    "kv-",
    "op/config",
    "op/evacuate",
    "servers/",
    "readyz",
    "citronport/resolve",
    "trafficSplit",
    "apiKeys",
    "coldLeftMs",
    "coldStartS",
    "coldPerS",
    "currentRev",
    '"draining"',
)
PATTERN = re.compile("|".join(re.escape(name) for name in NAMES), re.ASCII)


HEADERS = re.compile(r"\bx-(attempt|deadline-ms|tenant|hold|pin)", re.I)


class NamesTest(testtools.TestCase):
    """Use of wire names, and the size of the folder."""

    def test_no_wire_name_outside_the_folder(self):
        """A wire name of the platform can be changed in one place."""
        found = [
            f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
            for path in sorted(ROOT.rglob("*.py"))
            if path.parent.name != "platform"
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if PATTERN.search(line) or HEADERS.search(line)
        ]
        self.assertEqual([], found)

    def test_folder_stays_small(self):
        """The folder holds only names, data formats and calls."""
        lines = sum(
            len(path.read_text().splitlines())
            for path in (ROOT / "platform").glob("*.py")
        )
        self.assertLess(lines, 1000)
