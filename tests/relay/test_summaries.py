"""Exchange of reports and summaries in a large fleet."""

import random

import testtools

from citronport.relay import membership
from citronport.scheduler.direct import causes
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import models
from citronport.scheduler.direct import suspects
from tests.relay import networks
from tests.relay import samples

BOUND_SECONDS = 2.2
"""Time after which a dead instance has to be out of reach for all others."""

STABLE_SECONDS = 3.0
"""Time after which a running instance has to know what others know."""

KNOWN_SECONDS = 2.0
"""Time within which all instances have to know a limit. It is shorter than the
stable time, after which no request may be sent without regard to the limit."""


class LargeFleetTest(testtools.TestCase):
    """Sixty instances in six data centres."""

    def setUp(self):
        """Start all instances at once; each knows three seeds."""
        super().setUp()
        self.network = networks.Network(60, 6)
        self.nodes = list(self.network.nodes.values())
        self.names = {node.name for node in self.nodes}

    def assert_all_in_reach(self, nodes):
        """Assert that the given nodes are in reach of each other."""
        names = {node.name for node in nodes}
        for node in nodes:
            self.assertEqual(names - {node.name}, node.list_fresh())

    def test_all_in_reach_after_a_start(self):
        """Guards against a fleet that stays in parts after a common start."""
        self.network.run(4.0)
        self.assert_all_in_reach(self.nodes)

    def test_all_in_reach_though_the_seeds_start_last(self):
        """Guards against instances that stay alone after an early start.

        Their first reports reach the seeds before these listen.
        """
        network = networks.Network(24, 4)
        seeds = {network.nodes[address] for address in network.seeds}
        network.dead = seeds
        network.run(0.5)
        for seed in seeds:
            seed.start(network.seeds)
        network.dead = set()
        network.run(2.5)
        self.nodes = list(network.nodes.values())
        self.assert_all_in_reach(self.nodes)

    def test_all_in_reach_soon_after_the_last_start(self):
        """Guards against two data centres that do not discover each other.

        Their seeds are in a third one. Starts are up to half a second apart,
        as after a power failure. Until the others are known, each instance
        treats all endpoints as its own.
        """
        draw = random.Random(1)
        starts = {node: draw.uniform(0.0, 0.5) for node in self.nodes}
        started = self.network.ticker.now()
        self.network.dead = set(self.nodes)
        while self.network.dead:
            for node in list(self.network.dead):
                if self.network.ticker.now() - started >= starts[node]:
                    self.network.dead.discard(node)
                    node.start(self.network.seeds)
            self.network.run(0.02)
        self.network.run(0.7)
        self.assert_all_in_reach(self.nodes)

    def test_dead_instance_is_out_of_reach_in_time(self):
        """Guards against callers and slots for an instance that died."""
        self.network.run(4.0)
        self.network.dead = {self.nodes[40]}
        self.network.run(BOUND_SECONDS)
        for node in self.nodes:
            if node not in self.network.dead:
                self.assertNotIn(self.nodes[40].name, node.list_fresh())

    def test_dead_envoys_do_not_isolate_their_data_centre(self):
        """If both envoys of a data centre die, its others stay in reach."""
        self.network.run(4.0)
        now = self.network.ticker.now()
        data_centre = self.nodes[0].data_centre
        local = [n for n in self.nodes if n.data_centre == data_centre]
        envoys = [n for n in local if n.members.choose_summary_targets(now)]
        self.network.dead = set(envoys[: membership.ENVOY_COUNT])
        self.network.run(3.0)
        alive = [n for n in self.nodes if n not in self.network.dead]
        self.assert_all_in_reach(alive)

    def test_restarted_instance_is_known_by_its_new_incarnation(self):
        """Rows of the previous incarnation do not replace later ones."""
        self.network.run(4.0)
        restarted = self.nodes[20]
        restarted.start(self.network.seeds)
        self.network.run(2.0)
        self.assert_all_in_reach(self.nodes)
        remote = next(
            n for n in self.nodes if n.data_centre != restarted.data_centre
        )
        report = remote.members._members[restarted.name].report
        self.assertEqual(restarted.incarnation, report.incarnation)

    def test_all_know_a_request_that_ended_endpoints_elsewhere(self):
        """Guards against a barred request that some instances still send.

        It would crash three more endpoints for each data centre, or for
        each restart, that does not know of the earlier crashes.
        """
        self.network.run(4.0)
        content = suspects.Content(fingerprint="f1")
        for number in range(causes.REQUEST_THRESHOLD):
            self.nodes[number].suspects.record_crash(
                content,
                samples.make_endpoint(f"e{number}"),
                self.network.ticker.now(),
            )
        self.network.run(STABLE_SECONDS)
        restarted = self.nodes[20]
        restarted.start(self.network.seeds)
        self.network.run(STABLE_SECONDS)
        now = self.network.ticker.now()
        for node in self.nodes:
            self.assertTrue(node.suspects.is_barred(content, now))

    def test_all_bar_a_part_that_crashes_endpoints_elsewhere(self):
        """Guards against two crashes in each data centre."""
        self.network.run(4.0)
        part = fingerprints.make_part_fingerprint("bad")
        for number in range(causes.PART_THRESHOLD):
            self.nodes[number].suspects.record_crash(
                suspects.Content(fingerprint=f"f{number}", parts=(part,)),
                samples.make_endpoint(f"e{number}"),
                self.network.ticker.now(),
            )
            self.network.run(0.2)
        self.network.run(KNOWN_SECONDS)
        now = self.network.ticker.now()
        content = suspects.Content(fingerprint="other", parts=(part,))
        for node in self.nodes:
            self.assertTrue(node.suspects.is_barred(content, now))

    def test_all_take_back_a_crash_of_an_endpoint_that_answers(self):
        """Guards against a bar that stays on in other data centres."""
        self.network.run(4.0)
        part = fingerprints.make_part_fingerprint("rare")
        content = suspects.Content(fingerprint="f", parts=(part,))
        endpoints = [samples.make_endpoint(f"e{n}") for n in range(2)]
        for number, endpoint in enumerate(endpoints):
            now = self.network.ticker.now()
            self.nodes[number].suspects.record_crash(content, endpoint, now)
            self.network.run(0.2)
        self.network.run(KNOWN_SECONDS)
        now = self.network.ticker.now()
        self.nodes[30].suspects.record_alive(endpoints[0], now, now)
        self.network.run(STABLE_SECONDS)
        now = self.network.ticker.now()
        other = suspects.Content(fingerprint="other", parts=(part,))
        for node in self.nodes:
            self.assertFalse(node.suspects.is_barred(other, now))

    def test_all_know_a_limit_that_an_endpoint_names_elsewhere(self):
        """Guards against a limit that other data centres exceed.

        All instances must know the limit, and then that it no longer
        applies.
        """
        self.network.run(4.0)
        for rate in (2.5, None):
            now = self.network.ticker.now()
            self.nodes[0].limits.record_limit("e1", rate, now)
            self.network.run(KNOWN_SECONDS)
            for node in self.nodes:
                self.assertEqual(rate, node.limits.get_rate("e1"))

    def test_halves_rejoin_after_a_partition(self):
        """Two parts of a fleet join again after a partition."""
        self.network.run(4.0)
        half = {n.name for n in self.nodes[:30]}
        self.network.is_blocked = lambda a, b: (
            (a.name in half) != (b.name in half)
        )
        self.network.run(8.0)
        self.assert_all_in_reach(self.nodes[:30])
        self.network.is_blocked = lambda a, b: False
        self.network.run(4.0)
        self.assert_all_in_reach(self.nodes)

    def test_isolated_instance_rejoins(self):
        """An instance rejoins after a partition without a restart."""
        self.network.run(4.0)
        isolated = self.nodes[7]
        self.network.is_blocked = lambda a, b: isolated in (a, b)
        self.network.run(4.0)
        self.assertEqual(set(), isolated.list_fresh())
        self.network.is_blocked = lambda a, b: False
        self.network.run(2.0)
        self.assert_all_in_reach(self.nodes)


class CostTest(testtools.TestCase):
    """Cost of the exchange in fleets of many instances."""

    def measure(self, instances, data_centres):
        """Return the traffic of a fleet whose instances know each other.

        Returns:
            The maximum number of datagrams that an instance receives a
            second, and the number of bytes a second between data centres.
        """
        network = networks.Network(instances, data_centres)
        network.run(4.0)
        for node in network.nodes.values():
            node.received.clear()
        network.cross_bytes = 0
        network.run(2.0)
        # Seeds receive more until no new instance appears any more.
        nodes = [n for a, n in network.nodes.items() if a not in network.seeds]
        most = max(sum(n.received.values()) for n in nodes)
        return most / 2.0, network.cross_bytes / 2.0

    def test_reading_does_not_grow_with_the_fleet(self):
        """Guards against a cost that grows with the number of instances.

        Reading reports used a part of a core for each hundred instances.
        """
        for instances, data_centres in ((24, 4), (72, 6)):
            most, _ = self.measure(instances, data_centres)
            self.assertLess(most, 1.7 * membership.REPORTS_PER_SECOND)

    def test_few_bytes_go_between_data_centres(self):
        """Guards against reports from each instance to each remote one."""
        instances = 72
        _, cross_bytes = self.measure(instances, 6)
        self.assertLess(cross_bytes / instances, 6000)


class UsageSumsTest(testtools.TestCase):
    """Usage of limits, summed up by data centre."""

    def setUp(self):
        """Make a settled fleet and a workspace with a limit."""
        super().setUp()
        self.network = networks.Network(48, 4)
        self.nodes = list(self.network.nodes.values())
        self.network.run(4.0)
        self.workspace = models.Workspace(
            name="w",
            tier=0,
            rate=1.0,
            burst=10000.0,
            counts_tokens=True,
            plain_tokens=100.0,
        )
        for node in self.nodes:
            self.charge(node, 0.0)

    def charge(self, node, units):
        """Admit units at an instance."""
        self.assertIsNone(
            node.quotas.admit(
                self.workspace,
                units,
                1.0,
                self.network.ticker.now(),
                len(self.nodes),
                0.4,
            )
        )

    def get_level(self, node):
        """Return the units left in an instance's view."""
        return node.quotas._buckets["w"].level

    def test_admitted_units_are_charged_once_everywhere(self):
        """Guards against units counted twice as both envoys report them."""
        self.charge(self.nodes[5], 4000.0)
        self.network.run(2.0)
        for node in self.nodes:
            self.assertAlmostEqual(6000.0, self.get_level(node), delta=1.0)

    def test_change_of_envoys_counts_units_once(self):
        """An envoy dies while units are admitted; each counts once."""
        local = [n for n in self.nodes if n.data_centre == "dc1"]
        remote = next(n for n in self.nodes if n.data_centre == "dc2")
        active, _ = remote.quotas._usage._active_envoys["dc1"]
        self.network.dead = {n for n in local if n.name == active}
        alive = [n for n in local if n not in self.network.dead]
        for number in range(8):
            self.charge(alive[number % len(alive)], 500.0)
            self.network.run(0.25)
        self.network.run(2.0)
        self.assertAlmostEqual(6000.0, self.get_level(remote), delta=500.0)
