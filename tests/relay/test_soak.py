"""Random faults in series and at once, with instances as processes.

The environment variable SOAK_SEEDS names other seeds, as in "1-50".
"""

import collections
import os

from tests.relay import instances
from tests.relay import soak_fleet

CI_SEEDS = "1-2"
LAST_REQUESTS = 20


class SoakTest(instances.InstanceCase):
    """A fleet keeps its promises under random faults; one test a seed."""

    scheduling = (
        "fair_shares: true, remote_penalty: 0.2, early_owners: true,"
        " fit_long_answers: true, early_step_times: true, overdue_factor: 6"
    )

    def check_seed(self, seed):
        """Run a fleet under the faults of one seed."""
        self.store.delete("servers/i-1")
        fleet = soak_fleet.Fleet(self, seed)
        fleet.run()
        soak_fleet.wait_until_up(fleet)
        broken = soak_fleet.find_broken_promises(fleet)
        for number in range(LAST_REQUESTS):
            host = fleet.hosts[number % len(fleet.hosts)]
            outcome = fleet.ask_once(host, f"last-{number}", "review")
            if outcome.status != 200 or outcome.body is None:
                broken.append(f"last-{number}: {outcome.status} in the calm")
        statuses = [outcome.status for outcome in fleet.outcomes]
        taken_up = soak_fleet.list_taken_up(fleet)
        went_on = sum(outcome.status == 200 for outcome in taken_up)
        codes = collections.Counter(outcome.code for outcome in taken_up)
        print(
            f"soak seed {seed}: {len(fleet.faults)} faults,"
            f" {statuses.count(200)} of {len(statuses)} answered,"
            f" {fleet.count_part_sends()} of {fleet.sent_parts} requests"
            f" with the crashing part sent, {went_on} of {len(taken_up)}"
            f" attempts to take a stream up went on ({dict(codes)}),"
            f" {len(broken)} broken"
        )
        self.assertEqual([], broken)


def _add_tests() -> None:
    first, _, last = os.environ.get("SOAK_SEEDS", CI_SEEDS).partition("-")
    for seed in range(int(first), int(last or first) + 1):

        def test(self, seed=seed):
            """Guards against promises that break when faults overlap."""
            self.check_seed(seed)

        setattr(SoakTest, f"test_seed_{seed}", test)


_add_tests()
