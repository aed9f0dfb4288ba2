"""Scenarios with real processes behind the fault proxy, with a fixed seed.

Each file in scenarios/ describes what callers see, in what order, and why.
"""

import os
import subprocess
import sys

from gevent import pool
import testtools
from testtools import content

from standins import processes

CONCURRENT_SCENARIOS = 3
"""Scenarios that run at the same time, each with its own addresses."""

SEED = 1

SUBNET_NUMBER = 100 + 10 * (os.getpid() % 12)
"""Second number of the addresses; it depends on the process id, since two
checkouts may run their tests at the same time."""

NAMES = (
    "stop_in_turn",
    "cold_late_waker",
    "cold_restarted",
    "whole_cut_short",
    "whole_close_delimited",
    "once_owner_killed",
    "catalogue_in_force",
    "not_run_partition",
    "leave_data_centre",
    "catalogue_stale_start",
    "cold_again",
    "tier_order",
    "whole_crossed",
    "leave_endpoint",
    "non_idempotent_answer_lost",
    "once_answer_lost",
)
"""Scenarios run in CI; the others are run by hand, see docs/PROOFS.md."""


class ScenariosTest(testtools.TestCase):
    """The guarantees hold under failures; one test a scenario."""

    @classmethod
    def setUpClass(cls):
        """Run all scenarios, some at a time."""
        super().setUpClass()
        ended = pool.Pool(CONCURRENT_SCENARIOS).map(
            run_scenario, range(len(NAMES))
        )
        cls.ended = dict(zip(NAMES, ended, strict=True))

    def check_scenario(self, name):
        """Check that a scenario has succeeded."""
        ended = self.ended[name]
        if ended.returncode:
            output = ended.stdout + ended.stderr
            self.addDetail(name, content.text_content(output.decode()))
        self.assertEqual(0, ended.returncode)


def run_scenario(number):
    """Run one scenario; return its ended process."""
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "standins",
            "scenario",
            f"scenarios/{NAMES[number]}.yaml",
            f"--seed={SEED}",
            f"--subnet={SUBNET_NUMBER}.{number + 1}",
        ],
        cwd=processes.ROOT,
        capture_output=True,
        check=False,
    )


def _add_tests() -> None:
    for name in NAMES:

        def test(self, name=name):
            """The scenario succeeds with the fixed seed."""
            self.check_scenario(name)

        setattr(ScenariosTest, f"test_{name}", test)


_add_tests()
