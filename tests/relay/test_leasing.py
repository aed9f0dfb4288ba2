"""Instances that lease places from an owner, over links that may fail."""

import gevent
import testtools

from citronport import clock
from citronport import errors
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import leasing as leasing_module
from citronport.relay import messages
from citronport.relay import owners as owners_module
from citronport.scheduler.direct import ownership
from citronport.scheduler.direct import runs
from tests.relay import samples
from tests.relay import test_membership

INSTANCES = 13
"""Instances, so that some are neither owner nor asked next."""


class Node:
    """One instance of a fleet whose links are function calls.

    Attributes:
        silent: whether it answers nobody.
        lost: kinds of messages that get lost on the way to it.
    """

    def __init__(self, name, net, endpoints, configuration=None):
        self.name = name
        self.silent = False
        self.lost = ()
        self.received = []
        self._net = net
        room = self.room = samples.DispatcherFixture(
            endpoints, clock.RuntimeClock(), configuration, name
        )
        self.leasing = leasing_module.Leasing(
            name,
            1.0,
            room.members,
            room.cluster_state,
            room.dispatcher,
            room.board,
            room.health,
            lambda: True,
            self.tell,
            room.ticker,
            room.log,
        )

    def tell(self, instance, message):
        """Hand a message to another node, as a datagram would come."""
        other = self._net[instance]
        if other.silent or isinstance(message, other.lost):
            return
        data = messages.CODEC.encode(message)
        gevent.spawn(other.receive, messages.CODEC.unpack(data))

    def receive(self, message):
        """Take a message."""
        self.received.append(message)
        self.leasing.handle(message)

    def acquire(self, request_id="r1", route=None, tried=()):
        """Ask for a place for a request that arrives now."""
        work = samples.make_work(request_id, route, self.room.ticker.now())
        return self.room.dispatcher.acquire(
            work, samples.ENGINES, frozenset(tried)
        )

    def count(self, endpoint="e1"):
        """Return the requests that it counts at an endpoint."""
        return self.room.board.get_load(endpoint).requests


class LeasingTest(testtools.TestCase):
    """A fleet before one endpoint of two slots."""

    def setUp(self):
        """Make the nodes, each of which hears of all others."""
        super().setUp()
        self.net = {}
        self.names = [f"i{n}" for n in range(INSTANCES)]
        for name in self.names:
            self.net[name] = Node(name, self.net, [samples.make_endpoint()])
        for node in self.net.values():
            for other in self.names:
                report = test_membership.make_report(other)
                node.room.members.apply_report(report, node.room.ticker.now())
        node = self.net["i0"]
        self.owner = self.net[self.find_owner(node)]
        rest = [n for n in self.net.values() if n is not self.owner]
        self.one, self.two = rest[:2]

    def find_owner(self, node):
        """Return the owner that a node sees."""
        pool = ownership.Pool(service=samples.ENGINES, number=0)
        return node.leasing.owners.find_owner(pool, node.room.ticker.now())

    def configure(self, route):
        """Put a route into force on all nodes."""
        for node in self.net.values():
            node.room.cluster_state.configuration = samples.make_configuration(
                (route,)
            )

    def settle(self):
        """Let messages that are on their way arrive."""
        gevent.sleep(0.01)

    def test_all_see_the_same_owner(self):
        """No message is needed for it."""
        owners = {self.find_owner(node) for node in self.net.values()}
        self.assertEqual({self.owner.name}, owners)

    def test_single_instance_decides_by_itself(self):
        """Nobody else is there to ask."""
        node = Node("alone", self.net, [samples.make_endpoint()])
        found = node.acquire()
        self.assertFalse(found.leased)

    def test_place_counts_at_the_owner_until_it_is_given_back(self):
        """Two instances fill an endpoint of which both know nothing."""
        first = self.one.acquire("r1")
        second = self.two.acquire("r2")
        self.assertTrue(first.leased and second.leased)
        self.assertEqual(2, self.owner.count())
        self.assertEqual([], self.one.room.board.make_report_rows())
        first.run.verdict = runs.Verdict.GOOD
        self.one.room.dispatcher.release(first, "r1")
        self.settle()
        self.assertEqual(1, self.owner.count())

    def test_freed_place_goes_to_the_most_urgent_of_all(self):
        """Two callers wait at two instances, the lower tier for longer.

        The place that a third instance gives back goes to the higher tier,
        though its request came later and elsewhere: the owner's queue is
        the only one.
        """
        taken = [self.owner.acquire(f"t{n}") for n in range(3)]
        low = samples.make_route(tier=2)
        later = gevent.spawn(self.one.acquire, "low", low)
        gevent.sleep(0.02)
        sooner = gevent.spawn(self.two.acquire, "high")
        gevent.sleep(0.02)
        self.owner.room.dispatcher.release(taken[0], "t0")
        found = sooner.get(timeout=1)
        self.assertEqual("e1", found.endpoint.name)
        self.assertFalse(later.ready())
        later.kill()

    def test_refused_with_a_retry_time_after_waiting(self):
        """All places stay taken.

        The caller hears so after its patience, and the owner forgets its
        request.
        """
        for number in range(3):
            self.owner.acquire(f"t{number}")
        route = samples.make_route(objective=0.05)
        self.configure(route)
        found = self.one.acquire("late", route)
        self.assertEqual(errors.Code.OVERLOADED, found.code)
        self.settle()
        self.assertEqual(0, self.owner.room.dispatcher.count_waiting())

    def test_refused_at_once_if_the_wait_would_be_too_long(self):
        """The owner's endpoint is full, and forty requests wait there.

        A request of another instance hears within a moment that it has not
        run, and when to come back; the owner keeps nothing of it.
        """
        for number in range(3):
            self.owner.acquire(f"t{number}")
        waiting = [
            gevent.spawn(self.owner.acquire, f"w{number}")
            for number in range(40)
        ]
        gevent.sleep(0)
        began = self.one.room.ticker.now()
        found = self.one.acquire("late")
        self.assertLess(self.one.room.ticker.now() - began, 0.1)
        self.assertEqual(errors.Code.OVERLOADED, found.code)
        self.assertGreaterEqual(found.retry_after, 0.5)
        self.settle()
        self.assertLessEqual(self.owner.room.dispatcher.count_waiting(), 40)
        gevent.killall(waiting)

    def test_dead_owner_delays_nobody(self):
        """The owner is killed.

        The first request notices within 0.15 s and is sent by its own
        instance's choice; the next ones ask the next owner, which hears of
        what runs with the next renewal.
        """
        held = self.one.acquire("held")
        self.assertTrue(held.leased)
        self.owner.silent = True
        began = self.one.room.ticker.now()
        found = self.one.acquire("r1")
        self.assertFalse(found.leased)
        self.assertLess(self.one.room.ticker.now() - began, 0.3)
        second = self.net[self.find_owner(self.one)]
        self.assertIsNot(self.owner, second)
        self.one.leasing.lease_client.renew()
        self.settle()
        self.assertEqual(1, second.leasing.leases.has("held", "e1"))

    def test_successor_of_a_leaving_owner_learns_the_leases(self):
        """The owner is told to stop, while an endpoint is full.

        The next owner hears of what runs from each instance as soon as
        that names it, and not up to half a second later: it would hand out
        the same places once more.
        """
        held = self.one.acquire("held")
        self.assertTrue(held.leased)
        report = test_membership.make_report(
            self.owner.name, number=9, leaving=True
        )
        now = self.one.room.ticker.now()
        self.one.room.members.apply_report(report, now)
        gevent.sleep(owners_module.CANDIDATES_CACHE_SECONDS)
        second = self.net[self.find_owner(self.one)]
        self.assertIsNot(self.owner, second)
        self.settle()
        self.assertTrue(second.leasing.leases.has("held", "e1"))

    def test_short_wait_does_not_mark_the_owner_unresponsive(self):
        """A request has 0.09 s left to wait, and one question gets lost.

        Its second question has no time for an answer: the request ends in
        vain, and the owner is not passed over for all others.
        """
        route = samples.make_route(objective=0.045)
        self.configure(route)
        self.owner.lost = (messages.Ask,)
        self.one.acquire("r1", route)
        self.assertEqual(self.owner.name, self.find_owner(self.one))

    def test_lost_grant_is_sent_again(self):
        """The answer to the first question is lost.

        The second question gets the same place, and it counts once.
        """
        for node in self.net.values():
            second = samples.make_endpoint("e2")
            node.room.cluster_state.endpoints["e2"] = second
            node.room.cluster_state._index()
        self.one.lost = (messages.Granted,)
        asked = gevent.spawn(self.one.acquire, "r1")
        gevent.sleep(0.03)
        self.one.lost = ()
        found = asked.get(timeout=1)
        self.assertTrue(found.leased)
        counts = [self.owner.count(name) for name in ("e1", "e2")]
        self.assertEqual(1, sum(counts))

    def test_caller_that_leaves_while_it_waits(self):
        """Its request is taken out of the owner's queue.

        A place that is granted at the same moment is given back.
        """
        taken = [self.owner.acquire(f"t{n}") for n in range(3)]
        waits = gevent.spawn(self.one.acquire, "gone")
        gevent.sleep(0.02)
        self.owner.room.dispatcher.release(taken[0], "t0")
        waits.kill()
        self.settle()
        self.assertEqual(2, self.owner.count())
        self.assertEqual(0, self.owner.room.dispatcher.count_waiting())

    def test_failures_that_others_saw_count_at_the_owner(self):
        """Load: 45 endpoints and 60 instances, of which each sees little.

        One instance finds an endpoint dark, and the next caller, at
        another instance, is not sent there.
        """
        found = self.one.acquire("r1")
        found.run.verdict = runs.Verdict.UNREACHABLE
        self.one.room.dispatcher.release(found, "r1")
        self.settle()
        route = samples.make_route(objective=0.05)
        self.configure(route)
        second = self.two.acquire("r2", route)
        self.assertEqual(errors.Code.OVERLOADED, second.code)

    def test_owner_that_does_not_know_the_route(self):
        """It has an older configuration: the asker decides by itself."""
        self.owner.room.cluster_state.configuration = (
            samples.make_configuration((samples.make_route(name="old"),))
        )
        found = self.one.acquire("r1")
        self.assertIsInstance(found, dispatcher_module.Reservation)
        self.assertFalse(found.leased)
