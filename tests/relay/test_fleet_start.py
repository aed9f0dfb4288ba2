"""A fleet whose instances start at the same time while callers wait."""

import collections
import random

import gevent
import msgspec
import testtools

from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import owners
from citronport.relay import startup
from citronport.scheduler.direct import models
from citronport.scheduler.direct import ownership
from citronport.scheduler.direct import wait_queue
from tests.relay import networks
from tests.relay import samples

INSTANCES = 63
ENDPOINTS = [samples.make_endpoint(f"e{n}", slots=7) for n in range(30)]
SERVICE = samples.make_service(
    engine=models.Engine(slots=7, cache_tokens=100_000, event_tokens=6)
)
CONFIGURATION = samples.make_configuration(services=(SERVICE,))
POOL = ownership.Pool(service=samples.ENGINES, number=0)
REQUESTS = 600
STEP_SECONDS = 0.005
BURST_SECONDS = 0.3
"""Time within which all instances start."""

UNANSWERED_SECONDS = 0.12
"""Time after which an instance gives up on an owner that does not answer."""


class Node(networks.Node):
    """An instance that starts, and sends requests to endpoints.

    Attributes:
        early: whether instances own endpoints while they start.
        configured_at: clock time at which it gets the configuration.
        is_serving_since: clock time since which it is ready; None before.
    """

    early = True

    def start(self, seeds):
        """Start with empty state, as a new incarnation."""
        super().start(seeds)
        ticker = self.network.ticker
        self.started_at = ticker.now()
        self.configured_at = self.started_at + 0.05
        self.capacity = 2.15 if int(self.name[1:]) % 11 == 0 else 0.516
        room = self.room = samples.DispatcherFixture(
            ENDPOINTS, ticker, CONFIGURATION, self.name
        )
        room.cluster_state.configuration = None
        self.startup = startup.Startup(
            self.started_at,
            room.cluster_state,
            self.members,
            lambda: False,
            lambda: False,
            (lambda: self.owners.knows_owners(ticker.now()))
            if self.early
            else None,
            self.gossip.report_change,
            ticker,
            room.log,
        )
        self.owners = owners.Owners(
            self.name,
            self.capacity,
            self.members,
            room.cluster_state,
            self.startup.is_ready,
            room.log,
            lambda: None,
            owners.StartupOwnership(
                started_at=self.started_at,
                peer_address=self.address,
                seeds=frozenset(map(str, seeds)),
                is_starting=self.startup.is_starting,
            )
            if self.early
            else None,
        )
        self.dispatcher = dispatcher_module.Dispatcher(
            self.name,
            room.cluster_state,
            self.members,
            room.board,
            room.health,
            room.cold,
            room.limits,
            room.pauses,
            networks.settings_module.Scheduling(),
            ticker,
        )
        self.dispatcher.owners = self.owners

    def make_report(self, data_centre=""):
        """Return the report of this node."""
        return msgspec.structs.replace(
            super().make_report(data_centre),
            capacity=self.capacity,
            ready=self.startup.is_ready(),
            starting=self.startup.is_starting(),
        )

    def update(self, now):
        """Apply the configuration when it comes."""
        cluster_state = self.room.cluster_state
        if now >= self.configured_at and cluster_state.configuration is None:
            cluster_state.configuration = CONFIGURATION
        self.startup.is_ready()

    def may_send(self):
        """Return whether requests no longer wait for the start."""
        return (
            self.room.cluster_state.configuration is not None
            and not self.startup.is_discovering()
        )

    def find_owner(self):
        """Return the name of the owner."""
        return self.owners.find_owner(POOL, self.network.ticker.now())

    def enqueue(self, request_id, leased):
        """Let a request wait for a slot here, as its owner or without one."""
        now = self.network.ticker.now()
        waiter = wait_queue.Waiter(
            work=samples.make_work(request_id, now=now),
            waiting_since=now,
            tried=frozenset(),
            paused=frozenset(),
            handle=gevent.event.AsyncResult(),
            leased=leased,
        )
        self.dispatcher.enqueue(waiter, samples.ENGINES)


class LateNode(Node):
    """An instance that owns endpoints only when it is ready for callers."""

    early = False


class Fleet(networks.Network):
    """A fleet whose instances start one after the other.

    Args:
        instances: number of instances.
        kind: class of the instances.
        seed: of the random numbers.
    """

    def __init__(self, instances, kind=Node, seed=1):
        self.random = random.Random(seed)
        # Members to report and orders of sends are drawn by the code itself.
        random.seed(seed)
        super().__init__(instances, 3, kind)
        self.by_name = {n.name: n for n in self.nodes.values()}
        self.start_times = {
            node: self.ticker.now() + self.random.uniform(0, BURST_SECONDS)
            for node in self.nodes.values()
        }
        self.dead = set(self.start_times)
        self.killed = set()
        self.unconfigured = set()
        self.store_back_at = 0.0
        self.asked = collections.Counter()
        self.waiting = [
            (number, self.random.choice(list(self.by_name)))
            for number in range(REQUESTS)
        ]
        self.retry_at = {}

    def run(self, seconds):
        """Advance the clock in short steps; start nodes and send requests."""
        end = self.ticker.now() + seconds
        while self.ticker.now() < end:
            self.ticker.advance(STEP_SECONDS)
            now = self.ticker.now()
            self._start_due(now)
            self._deliver(now)
            for node in self.list_alive():
                node.update(now)
                node.send_due(now)
            # Lets changes of state be reported.
            gevent.sleep(0)
            self._send_requests(now)

    def list_alive(self):
        """Return the instances that have started."""
        return [n for n in self.nodes.values() if n not in self.dead]

    def count_sent(self):
        """Return the number of requests at endpoints."""
        return sum(
            node.room.board.get_load(endpoint.name).requests
            for node in self.nodes.values()
            for endpoint in ENDPOINTS
        )

    def _start_due(self, now):
        for node, at in list(self.start_times.items()):
            if now >= at and node not in self.killed:
                del self.start_times[node]
                self.dead.discard(node)
                node.start(
                    tuple(
                        networks.settings_module.parse_listener(s)
                        for s in self.seeds
                    )
                )
                node.configured_at = (
                    float("inf")
                    if node in self.unconfigured
                    else max(now, self.store_back_at)
                    + self.random.uniform(0.02, 0.1)
                )

    def _send_requests(self, now):
        left = []
        for number, name in self.waiting:
            node = self.by_name[name]
            if (
                node in self.dead
                or not node.may_send()
                or now < self.retry_at.get(number, 0.0)
            ):
                left.append((number, name))
                continue
            owner = node.find_owner()
            if owner is None or owner == name:
                self.asked[owner or f"{name} without owner"] += 1
                node.enqueue(f"r{number}", False)
            elif self.by_name[owner] in self.dead:
                node.owners.mark_unresponsive(owner, now)
                self.retry_at[number] = now + UNANSWERED_SECONDS
                left.append((number, name))
            else:
                self.asked[owner] += 1
                self.by_name[owner].enqueue(f"r{number}", True)
        self.waiting = left


class FleetStartTest(testtools.TestCase):
    """All instances start within a third of a second."""

    def count_of_one_owner(self):
        """Return what one owner sends if all requests come at once."""
        fleet = Fleet(1)
        fleet.run(1.0)
        return fleet.count_sent()

    def test_a_burst_fills_the_slots_once(self):
        """Guards against instances that each grant all slots at the start."""
        most = self.count_of_one_owner()
        late = Fleet(INSTANCES, LateNode)
        late.run(1.0)
        for seed in range(5):
            fleet = Fleet(INSTANCES, seed=seed)
            fleet.run(1.0)
            self.assertEqual([], fleet.waiting)
            # All asked one of the seeds, each of which grants its slots once.
            owners = len(fleet.asked)
            self.assertLessEqual(owners, len(fleet.seeds), fleet.asked)
            self.assertLessEqual(fleet.count_sent(), owners * most)
        self.assertGreater(late.count_sent(), 1.3 * most)

    def test_owner_dies_at_the_start(self):
        """Guards against requests that all decide alone without the owner."""
        most = self.count_of_one_owner()
        fleet = Fleet(INSTANCES)
        fleet.run(0.4)
        alive = fleet.list_alive()
        (owner,) = {n.find_owner() for n in alive}
        fleet.dead.add(fleet.by_name[owner])
        fleet.killed.add(fleet.by_name[owner])
        fleet.waiting = [w for w in fleet.waiting if w[1] != owner]
        fleet.run(0.8)
        self.assertEqual([], fleet.waiting)
        owners = len(fleet.asked)
        self.assertLessEqual(owners, len(fleet.seeds), fleet.asked)
        self.assertLessEqual(fleet.count_sent(), owners * most)

    def test_a_seed_is_down(self):
        """Guards against owners that depend on every seed."""
        fleet = Fleet(INSTANCES)
        node = fleet.nodes[fleet.seeds[0]]
        fleet.killed.add(node)
        fleet.waiting = [w for w in fleet.waiting if w[1] != node.name]
        fleet.run(1.0)
        self.assertEqual([], fleet.waiting)
        self.assertLess(len(fleet.asked), len(fleet.seeds), fleet.asked)

    def test_seeds_are_down(self):
        """Guards against requests that wait for seeds that are down."""
        fleet = Fleet(INSTANCES)
        seeds = {fleet.nodes[address] for address in fleet.seeds}
        fleet.killed |= seeds
        names = {n.name for n in seeds}
        fleet.waiting = [w for w in fleet.waiting if w[1] not in names]
        fleet.run(1.0)
        self.assertEqual([], fleet.waiting)

    def test_lone_instance(self):
        """Guards against a lone instance whose requests keep waiting."""
        fleet = Fleet(1)
        fleet.run(1.0)
        self.assertEqual([], fleet.waiting)
        self.assertEqual({"i0 without owner"}, set(fleet.asked))

    def test_two_instances(self):
        """Guards against two instances that each own all endpoints."""
        fleet = Fleet(2)
        fleet.run(1.0)
        self.assertEqual([], fleet.waiting)
        self.assertEqual(1, len(fleet.asked), fleet.asked)

    def test_no_configuration(self):
        """Guards against an owner that can't decide for others."""
        fleet = Fleet(INSTANCES)
        seed = fleet.nodes[fleet.seeds[0]]
        fleet.unconfigured.add(seed)
        fleet.waiting = [w for w in fleet.waiting if w[1] != seed.name]
        fleet.run(1.0)
        self.assertEqual([], fleet.waiting)
        self.assertNotIn(seed.name, fleet.asked)

    def test_without_the_setting_starting_changes_nothing(self):
        """Guards against decisions that change although the setting is off.

        Replays all reports of a start to an instance without the setting,
        and compares its owners with those among the ready instances.
        """
        fleet = Fleet(INSTANCES)
        reports = []
        for node in fleet.nodes.values():
            node.handle_report = lambda report: reports.append(
                (fleet.ticker.now(), report)
            )
        fleet.run(1.0)
        self.assertTrue(any(r.starting for _, r in reports))
        room = samples.DispatcherFixture(ENDPOINTS, own="own")
        for number, (now, report) in enumerate(reports):
            room.members.apply_report(report, now)
            if number % 50:
                continue
            room.owners._refreshed_at = float("-inf")
            ready = [r for r in room.members.list_fresh(now) if r.ready]
            candidates = [
                ownership.Candidate(instance=r.instance, capacity=r.capacity)
                for r in ready
            ]
            own = ownership.Candidate(instance="own", capacity=1.0)
            expected = ownership.choose_owner(POOL, (*candidates, own))
            if len(room.members.list_known(now)) < 2:
                expected = None
            self.assertEqual(expected, room.owners.find_owner(POOL, now))

    def test_store_answers_late(self):
        """Guards against seeds that others count only with a summary."""
        fleet = Fleet(INSTANCES)
        fleet.store_back_at = fleet.ticker.now() + 0.4
        fleet.run(1.5)
        self.assertEqual(1, len(fleet.asked), fleet.asked)

    def test_only_candidate_in_its_own_view(self):
        """Guards against an instance that takes itself for the owner.

        The store answers after discovery has ended. The instances that get
        the configuration first know of no other candidate.
        """
        fleet = Fleet(INSTANCES, seed=0)
        fleet.store_back_at = fleet.ticker.now() + 0.7
        fleet.run(1.5)
        alone = [name for name in fleet.asked if "without" in name]
        self.assertNotEqual([], alone)

    def test_rolling_restart_keeps_the_owner(self):
        """Guards against an owner that changes with each restart."""
        fleet = Fleet(INSTANCES)
        fleet.run(4.0)
        before = {n.find_owner() for n in fleet.list_alive()}
        self.assertEqual(1, len(before))
        node = next(
            n
            for a, n in fleet.nodes.items()
            if n.name not in before and a not in fleet.seeds
        )
        fleet.dead.add(node)
        fleet.start_times[node] = fleet.ticker.now() + 0.5
        for _ in range(30):
            fleet.run(0.05)
            ready = [n for n in fleet.list_alive() if n.may_send()]
            self.assertEqual(before, {n.find_owner() for n in ready})
