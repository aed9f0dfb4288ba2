"""What an instance takes the fleet to be that shares its retry budgets."""

import msgspec
import testtools

from citronport import clock
from citronport.relay import membership
from citronport.relay import retry_budgets
from citronport.relay import settings as settings_module
from tests.relay import networks
from tests.relay import test_membership

PORT = 8229
SEEDS = (0, 3, 5)
NUMBER = 12


class FleetTest(testtools.TestCase):
    """Twelve instances, three of which are seeds."""

    def setUp(self):
        """Start an instance that knows no other one."""
        super().setUp()
        self.clock = clock.ManualClock()
        self.own = 1
        self.members = membership.Membership("i1", "a")
        self.budgets = self.make_budgets(SEEDS)

    def make_budgets(self, seeds):
        """Return the budgets of the instance.

        Args:
            seeds: numbers of the seeds in its settings.
        """
        address = settings_module.parse_listener(make_address(self.own))
        fields = ("callers", "readiness", "lookups", "peers", "store")
        return retry_budgets.RetryBudgets(
            settings_module.Settings(
                instance=f"i{self.own}",
                data_centre="a",
                reports=7600,
                metrics=9464,
                seeds=[
                    settings_module.parse_listener(make_address(seed))
                    for seed in seeds
                ],
                **dict.fromkeys(fields, address),
            ),
            self.members,
            self.clock,
        )

    def discover(self, *numbers, **fields):
        """Apply the reports of other instances."""
        for number in numbers:
            self.members.apply_report(
                test_membership.make_report(
                    f"i{number}",
                    peer_address=make_address(number),
                    incarnation=str(self.clock.now()),
                    **fields,
                ),
                self.clock.now(),
            )
        self.clock.advance(retry_budgets.FLEET_SECONDS)

    def test_start_without_others(self):
        """Guards against the whole fixed part at an instance cut off."""
        self.assertEqual(float("inf"), self.describe().instances)

    def test_parts_of_a_fleet(self):
        """Guards against parts that each divide by their own number."""
        self.discover(0, 3, 4)
        self.assertEqual(4 * 3 / 2, self.describe().instances)
        self.discover(*range(2, NUMBER))
        self.assertEqual(NUMBER, self.describe().instances)

    def test_others_out_of_reach(self):
        """Guards against a fixed part that grows during a partition."""
        self.discover(*range(2, NUMBER), 0)
        self.clock.advance(membership.FORGET_SECONDS - 1)
        self.assertEqual(NUMBER, self.describe().instances)
        # Forgotten, the other seeds still show that there are others.
        self.clock.advance(2.0)
        self.discover(0, 2)
        self.assertEqual(3 * 3, self.describe().instances)

    def test_instance_that_left(self):
        """An instance that left counts until its repeats no longer do."""
        self.discover(*range(2, NUMBER), 0)
        self.discover(7, leaving=True, number=2)
        self.clock.advance(14.0)
        self.assertEqual(NUMBER, self.describe().instances)
        self.clock.advance(2.0)
        self.assertEqual(NUMBER - 1, self.describe().instances)

    def test_only_instance(self):
        """A deployment of one instance uses the whole fixed part."""
        for seeds in ((), (self.own,)):
            self.budgets = self.make_budgets(seeds)
            self.assertEqual(1, self.describe().instances)

    def test_share_of_new_instances(self):
        """Guards against instances that do not see that all are new."""
        self.assertEqual(1.0, self.describe().new_share)
        self.discover(2, 3, up_seconds=1.0)
        self.assertEqual(1.0, self.describe().new_share)
        self.discover(4, up_seconds=100.0)
        self.assertEqual(0.75, self.describe().new_share)

    def test_longer_window_in_an_old_fleet(self):
        """Guards against a reload after which a repeat is an error."""
        self.discover(*range(2, NUMBER), 0)
        self.clock.advance(100.0)
        budget = self.budgets.get("llm")
        settings = self.budgets._settings
        bounds = msgspec.structs.replace(
            settings.bounds, retry_window_seconds=20.0
        )
        self.budgets.update_settings(
            msgspec.structs.replace(settings, bounds=bounds)
        )
        fleet = self.describe()
        self.assertEqual(1.0, fleet.new_share)
        self.assertFalse(budget.take(fleet, self.clock.now()).allowed)

    def describe(self):
        """Return what the instance takes the fleet to be."""
        return self.budgets.describe_fleet()


class Node(networks.Node):
    """An instance that shares the budget of repeats with others."""

    def start(self, seeds):
        """Start with empty state, as a new incarnation."""
        super().start(seeds)
        self.budgets = retry_budgets.RetryBudgets(
            self.gossip._settings, self.members, self.network.ticker
        )


class PartitionTest(testtools.TestCase):
    """Fleets of which each instance knows a part."""

    def start(self, instances, data_centres, part):
        """Start a fleet behind a partition.

        Args:
            instances: number of instances.
            data_centres: number of data centres.
            part: returns the part that a number belongs to.
        """
        network = networks.Network(instances, data_centres, Node)
        parts = {
            node.name: part(int(node.name[1:]))
            for node in network.nodes.values()
        }
        network.is_blocked = lambda one, other: (
            parts[one.name] != parts[other.name]
        )
        network.run(2.0)
        return network

    def sum_shares(self, network):
        """Return the sum of the parts that instances take for theirs."""
        return sum(
            1 / node.budgets.describe_fleet().instances
            for node in network.nodes.values()
        )

    def test_start_behind_a_partition(self):
        """Guards against parts of a fleet that each use the whole budget."""
        for instances, data_centres in ((7, 4), (16, 4), (40, 3)):
            for part in (
                lambda n: n % 2,
                lambda n: n < 2,
                lambda n: n < 3,
                lambda n: n % 5,
                lambda n: n,
            ):
                network = self.start(instances, data_centres, part)
                self.assertLess(self.sum_shares(network), 1.001)

    def test_partition_that_heals(self):
        """Guards against parts that go on with the share of a part."""
        network = self.start(16, 4, lambda n: n % 2)
        network.is_blocked = lambda one, other: False
        network.run(12.0)
        self.assertAlmostEqual(1.0, self.sum_shares(network), places=3)


def make_address(number):
    """Return the address of an instance for other instances."""
    return f"10.0.0.{number + 1}:{PORT}"
