"""Preference of the own data centre, without a network."""

import heapq
import itertools
import math
import random

import testtools

from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import data_centres
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import roles
from citronport.scheduler.direct import selection
from citronport.scheduler.direct import wait_queue
from tests.relay import samples

NOW = 100.0
DATA_CENTRES = ("a", "b", "c")
SENDER = roles.Sender("own", ("own",))


def make_endpoints(number, slots=4):
    """Return endpoints in the data centres by turns."""
    return [
        samples.make_endpoint(
            f"e{n}", data_centre=DATA_CENTRES[n % 3], slots=slots
        )
        for n in range(number)
    ]


class Chooser:
    """A selector with the loads that it knows."""

    def __init__(self, penalty, endpoints, service, role):
        self.loads = load_tracker.LoadTracker()
        self.health = health_module.Health()
        self.selector = selection.Selector(
            self.loads,
            self.health,
            cold_starts.ColdStarts(),
            endpoint_limits.EndpointLimits(),
        )
        self.selector.remote_penalty = penalty
        self.endpoints = endpoints
        self.service = service
        self.role = role

    def choose(self, work, now=NOW):
        """Send a request; return its endpoint and run, or None."""
        usable = [
            e
            for e in self.endpoints
            if self.selector.has_capacity(e, self.service, self.role, now)
        ]
        found = self.selector.choose(work, self.service, usable, now)
        if found is None:
            return None
        run = self.loads.record_send(found.endpoint.name, work, now)
        return found.endpoint, run


class PlainServiceTest(testtools.TestCase):
    """Three plain endpoints of two slots in three data centres."""

    def setUp(self):
        """Create a selector with the greatest penalty."""
        super().setUp()
        service = samples.make_service(engine=None, cold_rate=0.0)
        self.chooser = Chooser(1.0, make_endpoints(3, 2), service, SENDER)
        self.numbers = itertools.count()

    def choose(self, place, since=NOW):
        """Return the name of the endpoint for a request of a data centre."""
        work = samples.make_work(
            f"r{next(self.numbers)}",
            samples.make_route(objective=0.8),
            since,
            prompt_tokens=0,
            data_centre=place,
        )
        found = self.chooser.choose(work)
        return found[0].name if found else None

    def set_answer_seconds(self, endpoint, seconds):
        """Let an endpoint answer in a time."""
        for _ in range(60):
            self.chooser.loads.record_answer_seconds(endpoint, seconds)

    def test_free_slots_elsewhere_go_before_a_local_queue(self):
        """Guards against a request that queues while a slot is idle."""
        chosen = [self.choose("b") for _ in range(6)]
        self.assertEqual(["e1", "e1"], chosen[:2])
        self.assertEqual({"e0": 2, "e1": 2, "e2": 2}, count(chosen))

    def test_local_endpoint_that_would_be_late(self):
        """Guards against a late request that another data centre saves."""
        self.set_answer_seconds("e1", 0.7)
        self.set_answer_seconds("e2", 0.3)
        self.set_answer_seconds("e0", 0.3)
        self.assertEqual("e1", self.choose("b"))
        # It has waited, so that only the fast endpoints are in time.
        self.assertIn(self.choose("b", NOW - 0.4), ("e0", "e2"))
        # It is late everywhere.
        self.assertEqual("e1", self.choose("b", NOW - 0.6))

    def test_local_endpoint_that_fails(self):
        """Guards against an endpoint that is used since it fails nearby."""
        for _ in range(10):
            self.chooser.health.record_answer("e1", False, NOW)
        self.set_answer_seconds("e0", 0.9)
        self.set_answer_seconds("e2", 0.9)
        self.set_answer_seconds("e1", 0.1)
        self.assertNotEqual("e1", self.choose("b"))

    def test_unknown_data_centres_add_no_cost(self):
        """Guards against requests that avoid endpoints without a place."""
        self.set_answer_seconds("e0", 0.5)
        self.set_answer_seconds("e1", 0.4)
        self.set_answer_seconds("e2", 0.3)
        self.assertEqual("e2", self.choose(""))
        self.chooser.endpoints[2] = samples.make_endpoint("e2", data_centre="")
        self.assertEqual("e2", self.choose("b"))


def count(names):
    """Return how often each name occurs."""
    return {name: names.count(name) for name in set(names)}


class Waves:
    """Data centres whose demand peaks one after the other.

    Six engines of four slots hold each request for half a second, so that a
    data centre has 16 slots a second of its own. Its demand swings between
    1 and 19 requests a second, and the sum of all is 30.

    Attributes:
        sent: requests sent.
        remote: those sent to another data centre.
        waited: requests that did not get a slot at once.
        idle: moments at which a request waited beside a free slot.
    """

    SECONDS = 24.0
    HOLD_SECONDS = 0.5
    FIRST_EVENT_SECONDS = 0.1

    def __init__(self, penalty):
        service = samples.make_service(cold_rate=0.0)
        self._chooser = Chooser(
            penalty, make_endpoints(6), service, roles.Owner()
        )
        self._queue = wait_queue.WaitQueue()
        self.sent = self.remote = self.waited = self.idle = 0
        numbers = itertools.count()
        draw = random.Random(4)
        events = []
        for turn, place in enumerate(DATA_CENTRES):
            now = 0.0
            while (now := now + draw.expovariate(19.0)) < self.SECONDS:
                wave = math.sin(2 * math.pi * (now / 8.0 + turn / 3))
                if draw.random() * 1.9 < 1.0 + 0.9 * wave:
                    event = (now, next(numbers), self._arrive, place)
                    heapq.heappush(events, event)
        self._events, self._numbers = events, numbers

    def run(self):
        """Process all requests."""
        while self._events:
            now, number, handle, argument = heapq.heappop(self._events)
            handle(now, number, argument)
            self._match(now)
        return self

    def _arrive(self, now, number, place):
        work = samples.make_work(f"r{number}", now=now, data_centre=place)
        waiter = wait_queue.Waiter(work=work, waiting_since=now)
        self._queue.add(waiter)
        self._match(now)
        self.waited += self._queue.contains(waiter)

    def _match(self, now):
        for waiter, found in self._queue.match(
            lambda w: self._chooser.choose(w.work, now), now
        ):
            place = waiter.work.data_centre
            self.sent += 1
            self.remote += place != found[0].data_centre
            self._schedule(now + self.FIRST_EVENT_SECONDS, self._begin, found)
            self._schedule(now + self.HOLD_SECONDS, self._end, found)
        loads = self._chooser.loads
        self.idle += len(self._queue) > 0 and any(
            loads.count_requests(e.name) < e.slots
            for e in self._chooser.endpoints
        )

    def _schedule(self, when, handle, argument):
        event = (when, next(self._numbers), handle, argument)
        heapq.heappush(self._events, event)

    def _begin(self, now, _, argument):
        endpoint, run = argument
        self._chooser.loads.record_events(endpoint.name, run, 1, 6, now)

    def _end(self, now, _, argument):
        endpoint, run = argument
        self._chooser.loads.record_end(endpoint.name, run.request_id, now)


class WavesTest(testtools.TestCase):
    """Demand that moves from data centre to data centre."""

    def test_work_spills_before_a_queue_grows(self):
        """Guards against a queue in one data centre beside idle slots."""
        before, after = Waves(0.0).run(), Waves(0.3).run()
        self.assertEqual(before.sent, after.sent)
        self.assertEqual(0, after.idle)
        self.assertLessEqual(after.waited, before.waited)
        self.assertLess(after.remote, before.remote / 2)
        self.assertGreater(after.remote, 0)


class SampleTest(testtools.TestCase):
    """Random samples of endpoints for one choice."""

    def test_sample_holds_both_kinds(self):
        """Guards against a choice without a local or a remote endpoint."""
        for number in (1, 2, 6, 12):
            for _ in range(50):
                drawn = data_centres.draw_sample(
                    make_endpoints(12), number, "b"
                )
                self.assertEqual(len(drawn), len({e.name for e in drawn}))
                places = {e.data_centre for e in drawn}
                self.assertIn("b", places)
                self.assertNotEqual({"b"}, places)

    def test_unknown_data_centre_changes_nothing(self):
        """Guards against a sample that differs without a data centre."""
        endpoints = make_endpoints(12)
        random.seed(3)
        expected = random.sample(endpoints, 4)
        random.seed(3)
        self.assertEqual(expected, data_centres.draw_sample(endpoints, 4, ""))
