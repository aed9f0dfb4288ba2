"""Shares of workspaces in scarce slots, without a network."""

import collections
import hashlib
import heapq
import random

import testtools

from citronport.scheduler.direct import early_refusal
from citronport.scheduler.direct import fair_shares
from citronport.scheduler.direct import models
from citronport.scheduler.direct import wait_queue
from tests.relay import samples

SLOTS = 63
RUN_SECONDS = 1.0
STEP_SECONDS = 0.025
RUN_LENGTH_SECONDS = 20.0
FLOODER = "w0"
RECORDED_ORDER = (
    "be26cfca718e649a8d8998d06b9d6079d1867769232f286042734e4710e7d6ce"
)
"""Digest of the decisions of a queue without shares."""


def make_queue(weights=None, expect=wait_queue.expect_no_delay):
    """Return a queue with shares; the expected tokens are the cost."""
    shares = fair_shares.FairShares(
        lambda work: work.expected_tokens, lambda: weights or {}
    )
    return wait_queue.WaitQueue(expect, shares)


def add(queue, name, workspace, now=0.0, **changes):
    """Add a request that arrives now; return its waiter."""
    work = samples.make_work(
        name, now=now, **{"workspace": workspace, **changes}
    )
    waiter = wait_queue.Waiter(work=work, waiting_since=now)
    queue.add(waiter)
    return waiter


def grant(queue, count, now=0.0):
    """Grant slots one at a time; return the workspaces that get them."""
    granted = []
    for _ in range(count):
        slots = [1]
        matched = queue.match(
            lambda _, s=slots: s.pop(), now, lambda s=slots: not s
        )
        granted += [w.work.workspace for w, _ in matched]
    return granted


class SlotLoad:
    """Requests of 16 workspaces for fewer slots than they ask for.

    Args:
        queue: the queue that orders them.
        usual: usual demand of all workspaces, as a multiple of the slots.
        flood: demand of the first workspace, as a multiple of its usual one.
    """

    def __init__(self, queue, usual=0.9, flood=5):
        self.queue = queue
        self.random = random.Random(3)
        self.rate = usual * SLOTS / RUN_SECONDS / 16
        self.names = [FLOODER] * flood + [f"w{n}" for n in range(1, 16)]
        self.came = collections.Counter()
        self.served = collections.Counter()
        self.waits = []
        self.waiting = set()
        self.ends = []
        self.now = 0.0
        self.idle = 0

    def run(self):
        """Play all seconds; return the shares of flooder and others."""
        next_at = 0.0
        while self.now < RUN_LENGTH_SECONDS:
            self.now += STEP_SECONDS
            while self.ends and self.ends[0] <= self.now:
                heapq.heappop(self.ends)
            while next_at <= self.now:
                self.arrive(next_at)
                next_at += self.random.expovariate(self.rate * len(self.names))
            self.match()
            if self.now > 2.0:
                self.idle += SLOTS - len(self.ends)
        others = [n for n in self.came if n != FLOODER]
        return (
            self.served[FLOODER] / self.came[FLOODER],
            sum(self.served[n] for n in others)
            / sum(self.came[n] for n in others),
        )

    def arrive(self, at):
        """Add a request, and refuse it if its wait is too long."""
        name = self.random.choice(self.names)
        self.came[name] += 1
        route = samples.make_route(objective=0.3)
        waiter = add(self.queue, f"r{at}", name, at, route=route)
        self.waiting.add(waiter)
        self.match()
        if not self.queue.contains(waiter):
            return
        wait = self.queue.estimate_wait(waiter, SLOTS / RUN_SECONDS, self.now)
        if wait > wait_queue.compute_max_wait(waiter.work, at):
            self.refuse(waiter)

    def refuse(self, waiter):
        """Remove a request."""
        self.queue.remove(waiter)
        self.waiting.remove(waiter)
        self.waits.append(self.now - waiter.waiting_since)

    def match(self):
        """Give free slots to requests, and refuse those without a chance."""
        for waiter in sorted(self.waiting, key=lambda w: w.waiting_since):
            if self.now > wait_queue.compute_wait_end(waiter):
                self.refuse(waiter)
        matched = self.queue.match(
            self.take_slot, self.now, lambda: len(self.ends) == SLOTS
        )
        for waiter, _ in matched:
            self.waiting.remove(waiter)
            self.served[waiter.work.workspace] += 1
        if len(self.ends) == SLOTS and self.queue.shares:
            for found in forecast(self.queue, SLOTS / RUN_SECONDS, self.now):
                self.refuse(found.waiter)

    def take_slot(self, waiter):
        """Occupy a slot."""
        del waiter
        run = self.random.uniform(0.5, 1.5) * RUN_SECONDS
        heapq.heappush(self.ends, self.now + run)
        return len(self.ends)


def may_decline(waiter):
    """Return whether a request may decline a slot."""
    return bool(waiter.work.software or waiter.tried)


def forecast(queue, slot_rate, now, idle_slots=0):
    """Return the requests that get no slot in time."""
    return early_refusal.Forecast(
        queue.shares,
        slot_rate,
        idle_slots,
        now,
        queue.compute_late_at,
        lambda w: float("inf") if may_decline(w) else float("-inf"),
    ).find_unservable(queue.group_by_urgency(now))


class FairSharesTest(testtools.TestCase):
    """Slots are short, and workspaces ask for unequal parts of them."""

    def test_flood_of_one_workspace(self):
        """Guards against a flooder that is served more than the others."""
        flooder, others = SlotLoad(wait_queue.WaitQueue()).run()
        self.assertLess(others, 1.1 * flooder)
        load = SlotLoad(make_queue())
        flooder, others = load.run()
        self.assertGreaterEqual(others, flooder)
        self.assertGreater(others, 0.9)
        steps = (RUN_LENGTH_SECONDS - 2.0) / STEP_SECONDS
        self.assertLess(load.idle / steps, 0.01 * SLOTS)

    def test_uneven_weights(self):
        """Guards against shares that ignore the workspaces' limits."""
        queue = make_queue({"a": 1.5, "b": 0.5})
        for number in range(80):
            add(queue, f"a{number}", "a", number / 1e6)
            add(queue, f"b{number}", "b", number / 1e6)
        granted = collections.Counter(grant(queue, 40))
        self.assertEqual({"a": 30, "b": 10}, granted)

    def test_workspace_without_limit(self):
        """Guards against a workspace that has no weight."""
        queue = make_queue({"a": 1.5, "b": 0.5})
        for number in range(40):
            for name in "abc":
                add(queue, f"{name}{number}", name, number / 1e6)
        granted = collections.Counter(grant(queue, 30))
        self.assertEqual({"a": 10, "b": 10, "c": 10}, granted)

    def test_many_slots_in_one_match(self):
        """Guards against one workspace that takes all slots of a match."""
        queue = make_queue()
        for name in "ab":
            for number in range(20):
                add(queue, f"{name}{number}", name)
        slots = list(range(10))
        matched = queue.match(
            lambda _: (slots.pop(), 1), 0.0, lambda: not slots
        )
        got = collections.Counter(w.work.workspace for w, _ in matched)
        self.assertEqual({"a": 5, "b": 5}, got)

    def test_no_credit_for_idle_time(self):
        """Guards against a workspace that saves up service while idle."""
        queue = make_queue()
        for number in range(60):
            add(queue, f"a{number}", "a")
        grant(queue, 40)
        for number in range(20):
            add(queue, f"b{number}", "b")
        granted = collections.Counter(grant(queue, 10))
        self.assertEqual({"a": 5, "b": 5}, granted)

    def test_refused_requests_cost_nothing(self):
        """Guards against a workspace that pays for what it did not get."""
        queue = make_queue()
        add(queue, "a0", "a")
        for waiter in [add(queue, f"b{n}", "b") for n in range(50)]:
            queue.remove(waiter)
        add(queue, "b", "b")
        add(queue, "a1", "a")
        self.assertEqual(["a", "b", "a"], grant(queue, 3))

    def test_equal_again_when_none_waits(self):
        """Guards against tags that outlive a shortage, and use memory."""
        queue = make_queue()
        for number in range(9):
            add(queue, f"a{number}", "a")
        grant(queue, 9)
        self.assertEqual({}, queue.shares._tags)
        self.assertEqual({}, queue.shares._waiting)

    def test_large_and_small_requests(self):
        """Guards against small requests that overtake large ones."""
        queue = make_queue()
        for number in range(10):
            cost = 1000 if number % 2 else 10
            add(queue, f"{number}", "a", expected_tokens=cost)
            add(queue, f"b{number}", "b", expected_tokens=10)
        order = [w.work.request_id for w in queue.list_by_urgency(0.0)]
        own = [name for name in order if not name.startswith("b")]
        self.assertEqual([str(n) for n in range(10)], own)
        # A large request of one workspace gives the other its turns.
        self.assertLess(order.index("b9"), order.index("2"))

    def test_change_of_owner(self):
        """Guards against a new owner that favours the flooder."""
        old, new = make_queue(), make_queue()
        waiting = [add(old, f"a{n}", "a") for n in range(40)]
        waiting += [add(old, f"b{n}", "b") for n in range(40)]
        grant(old, 21)
        for waiter in waiting:
            if old.contains(waiter):
                new.add(waiter)
        granted = collections.Counter(grant(new, 20))
        self.assertEqual({"a": 10, "b": 10}, granted)

    def test_resumed_streams_do_not_delay_returning_workspaces(self):
        """Guards against a virtual time that bound streams push ahead."""
        queue = make_queue()
        for number in range(10):
            add(queue, f"a{number}", "a", software="v1")
            add(queue, f"c{number}", "c")
        grant(queue, 10)
        for number in range(10):
            add(queue, f"b{number}", "b")
        granted = collections.Counter(grant(queue, 10))
        self.assertEqual({"b": 5, "c": 5}, granted)

    def test_estimate_follows_the_order(self):
        """Guards against a wait behind the whole queue of a flooder."""
        queue = make_queue()
        flood = [add(queue, f"a{n}", "a") for n in range(100)]
        waiter = add(queue, "b", "b", 0.1)
        self.assertAlmostEqual(1 / 40, queue.estimate_wait(waiter, 40.0, 0.1))
        self.assertAlmostEqual(
            100 / 40, queue.estimate_wait(flood[-1], 40.0, 0.1)
        )

    def test_weights_of_two_units(self):
        """Guards against a comparison of tokens with requests."""

        def make(name, rate, counts_tokens):
            return models.Workspace(
                name=name,
                tier=None,
                rate=rate,
                burst=1.0,
                counts_tokens=counts_tokens,
                plain_tokens=0.0,
            )

        found = fair_shares.compute_weights(
            {
                "a": make("a", 3000.0, True),
                "b": make("b", 1000.0, True),
                "c": make("c", 5.0, False),
                "d": make("d", 0.0, False),
            }
        )
        self.assertEqual({"a": 1.5, "b": 0.5, "c": 1.0}, found)


class EarlyRefusalTest(testtools.TestCase):
    """Random queues, played to their end without further arrivals."""

    def make(self, seed, declining_share):
        """Return a queue of a hundred requests, and its slot rate."""
        draw = random.Random(seed)
        queue = make_queue(
            {f"w{n}": draw.uniform(0.3, 2.0) for n in range(6)},
            lambda work: work.prompt_tokens * 1e-4,
        )
        routes = [
            samples.make_route(tier=n, objective=o)
            for n, o in enumerate((0.8, 0.3, 0.4))
        ]
        for number in range(100):
            route = draw.choice(routes)
            may_decline = draw.random() < declining_share
            waiter = add(
                queue,
                f"{number}",
                f"w{int(6 * draw.random() ** 3)}",
                -draw.uniform(0.0, 0.28),
                route=route,
                prompt_tokens=draw.randrange(4000),
                expected_tokens=draw.randrange(10, 500),
                software="v1" if may_decline and draw.random() < 0.5 else None,
                deadline=draw.uniform(0.3, 4.0),
            )
            if may_decline and draw.random() < 0.7:
                waiter.tried = frozenset(("e1",))
        return queue, draw.uniform(20.0, 120.0), draw

    def play(self, queue, slot_rate, draw):
        """Return the requests that are granted slots in time."""
        granted = set()
        number = 0
        while len(queue) and number < 1000:
            now = number / slot_rate
            for waiter in queue.list_by_urgency(now):
                if now and now > wait_queue.compute_wait_end(waiter):
                    queue.remove(waiter)
            slots = [1]

            def choose(waiter, slots=slots):
                if may_decline(waiter) and draw.random() < 0.7:
                    return None
                return slots.pop()

            for waiter, _ in queue.match(choose, now, lambda s=slots: not s):
                granted.add(waiter)
            number += 1
        return granted

    def test_refusals_are_certain(self):
        """Guards against refusing a request that would get a slot."""
        refused = 0
        for seed in range(200):
            queue, slot_rate, draw = self.make(seed, 0.002 * (seed % 50))
            found = {f.waiter for f in forecast(queue, slot_rate, 0.0)}
            refused += len(found)
            self.assertEqual(
                set(), found & self.play(queue, slot_rate, draw), seed
            )
        self.assertGreater(refused, 2000)

    def test_all_without_a_chance_are_found(self):
        """Guards against requests that wait until the end without a chance."""
        for seed in range(100):
            queue, slot_rate, draw = self.make(seed, 0.0)
            all_waiters = set(queue.list_by_urgency(0.0))
            found = {f.waiter for f in forecast(queue, slot_rate, 0.0)}
            granted = self.play(queue, slot_rate, draw)
            self.assertEqual(all_waiters - granted, found, seed)

    def test_idle_slots_that_may_return(self):
        """Guards against a refusal while an endpoint is briefly unusable."""
        queue = make_queue()
        for number in range(100):
            add(queue, f"{number}", "a")
        without = len(forecast(queue, 20.0, 0.0))
        idle = len(forecast(queue, 20.0, 0.0, 14))
        self.assertLessEqual(idle, without - 14)


class OldOrderTest(testtools.TestCase):
    """A queue without shares."""

    def test_recorded_decisions(self):
        """Guards against other decisions while the setting is off."""
        self.assertEqual(RECORDED_ORDER, compute_digest(wait_queue))


def compute_digest(module):
    """Return a digest of the decisions on a thousand requests."""
    draw = random.Random(11)
    queue = module.WaitQueue(lambda work: work.prompt_tokens * 1e-4)
    digest = hashlib.sha256()
    for number in range(1000):
        now = number / 100
        route = samples.make_route(
            tier=draw.randrange(3), objective=draw.choice((0.3, 0.4, 0.8))
        )
        work = samples.make_work(
            f"{number}",
            route,
            now - draw.choice((0.0, 0.0, 0.2)),
            tier=draw.randrange(2),
            prompt_tokens=draw.randrange(8000),
            software=draw.choice((None, None, None, "v1")),
            workspace=f"w{draw.randrange(4)}",
        )
        waiter = module.Waiter(work=work, waiting_since=now)
        queue.add(waiter)
        digest.update(f"{queue.estimate_wait(waiter, 40.0, now)}".encode())
        slots = [1] * draw.choice((0, 1, 1))

        def choose(waiter, slots=slots):
            return None if waiter.work.prompt_tokens > 6000 else slots.pop()

        for each, _ in queue.match(choose, now, lambda s=slots: not s):
            digest.update(each.work.request_id.encode())
        for each in queue.list_by_urgency(now):
            if now - each.waiting_since > 1.0:
                queue.remove(each)
                digest.update(f"-{each.work.request_id}".encode())
    return digest.hexdigest()
