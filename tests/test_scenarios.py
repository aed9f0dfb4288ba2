"""Scenarios with real processes behind the fault proxy, fixed seeds.

Each file in scenarios/ tells what callers see, in what order, and why.
"""

import pathlib

import testtools

from standins import processes
from standins import scenario
from standins import scenario_models

FOLDER = processes.ROOT / "scenarios"
SUBNET = "42.1"
SEED = 1

NAMES = ("once_answer_lost",)
"""What CI runs; the rest runs by hand, see docs/PROOFS.md."""


class ScenariosTest(testtools.TestCase):
    """The promises hold under failure."""

    def run_scenario(self, name):
        """Run one scenario and expect no problem."""
        path = pathlib.Path(FOLDER / f"{name}.yaml")
        lines = []
        problems = scenario.Runner(
            scenario_models.read_scenario(path), SEED, SUBNET, lines.append
        ).run()
        self.addDetail(
            "trace", testtools.content.text_content("\n".join(lines))
        )
        self.assertEqual([], problems)


def _add_test(name):
    def run_it(self):
        self.run_scenario(name)

    run_it.__doc__ = f"Run scenarios/{name}.yaml."
    setattr(ScenariosTest, f"test_{name}", run_it)


for _name in NAMES:
    _add_test(_name)
