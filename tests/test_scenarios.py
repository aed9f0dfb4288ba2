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
    """The guarantees hold under failures."""

    def run_scenario(self, number):
        """Run one scenario; return its exit code."""
        name = NAMES[number]
        ended = subprocess.run(
            [
                sys.executable,
                "-m",
                "standins",
                "scenario",
                f"scenarios/{name}.yaml",
                f"--seed={SEED}",
                f"--subnet={SUBNET_NUMBER}.{number + 1}",
            ],
            cwd=processes.ROOT,
            capture_output=True,
            check=False,
        )
        if ended.returncode:
            output = ended.stdout + ended.stderr
            self.addDetail(name, content.text_content(output.decode()))
        return ended.returncode

    def test_scenarios(self):
        """Each scenario of the fixed subset succeeds."""
        codes = pool.Pool(CONCURRENT_SCENARIOS).map(
            self.run_scenario, range(len(NAMES))
        )
        failed = [n for n, code in zip(NAMES, codes, strict=True) if code != 0]
        self.assertEqual([], failed)
