"""Runs the examples of docs/CALLING.md unchanged."""

import os
import pathlib
import re
import subprocess
import sys

import testtools

from tests import addresses
from tests.callers import fleets

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CALLING.md"
BLOCK = re.compile(r"```(bash|python)\n(.*?)```", re.DOTALL)
COMMANDS = {
    "bash": ("bash", "-euo", "pipefail", "-c"),
    "python": (sys.executable, "-c"),
}


class CallingPageTest(testtools.TestCase):
    """Each example works if it is copied from the page."""

    def test_examples_run(self):
        """Each example exits with 0; the reservation is made once."""
        started = fleets.start_fleet(self, addresses.choose_subnet(4))
        environment = {
            **os.environ,
            "ENTRY": started.get_callers_addresses()[0],
            "KEY": fleets.KEY,
        }
        examples = BLOCK.findall(PAGE.read_text())
        self.assertGreater(len(examples), 4)
        for language, text in examples:
            done = subprocess.run(
                [*COMMANDS[language], text],
                env=environment,
                capture_output=True,
                text=True,
                timeout=60,
            )
            self.assertEqual(0, done.returncode, f"{text}\n{done.stderr}")
        booked = fleets.count_lines(started, "reservations", "received")
        self.assertEqual(1, booked)
