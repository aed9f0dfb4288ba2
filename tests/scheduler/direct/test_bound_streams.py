"""Overload while streams that are taken up may use few endpoints."""

import dataclasses
import heapq
import random

import testtools

from citronport.scheduler.direct import wait_queue
from tests.relay import samples

ENDPOINTS = 9
SLOTS = 7
RUN_SECONDS = 1.0
BOUND_SHARE = 0.05
"""Share of the requests that take a stream up again."""

MAX_WAIT_SECONDS = 0.6
STEP_SECONDS = 0.005
DAY_SECONDS = 20.0


@dataclasses.dataclass
class Tally:
    """How many requests came, and how many of them got a slot."""

    came: int = 0
    served: int = 0

    @property
    def share(self):
        """Share of the requests that got a slot."""
        return self.served / self.came


class Load:
    """Requests for endpoints of two versions, more than they can take.

    Args:
        old: number of endpoints of the version that began the bound streams.
        overload: requests that come, as a multiple of what can be served.
    """

    def __init__(self, old, overload):
        self.random = random.Random(old)
        self.old = old
        self.rate = overload * ENDPOINTS * SLOTS / RUN_SECONDS
        self.queue = wait_queue.WaitQueue()
        self.free = [SLOTS] * ENDPOINTS
        self.ends = []
        self.waiting = []
        self.now = 0.0
        self.tallies = {None: Tally(), "v1": Tally()}

    def run(self):
        """Play all seconds; return the shares of new and bound requests."""
        next_at = 0.0
        while self.now < DAY_SECONDS:
            self.now += STEP_SECONDS
            while self.ends and self.ends[0][0] <= self.now:
                self.free[heapq.heappop(self.ends)[1]] += 1
            while next_at <= self.now:
                self.add(next_at)
                next_at += self.random.expovariate(self.rate)
            self.match()
        return self.tallies[None].share, self.tallies["v1"].share

    def add(self, at):
        """Let a request come."""
        is_bound = self.random.random() < BOUND_SHARE
        route = samples.make_route(objective=MAX_WAIT_SECONDS / 2)
        work = samples.make_work(
            f"r{at}", route, at, software="v1" if is_bound else None
        )
        waiter = wait_queue.Waiter(work=work, waiting_since=at)
        self.tallies[work.software].came += 1
        self.queue.add(waiter)
        self.waiting.append(waiter)

    def match(self):
        """Give free slots to waiting requests; drop those that are late."""
        for waiter in list(self.waiting):
            if self.now - waiter.waiting_since > MAX_WAIT_SECONDS:
                self.queue.remove(waiter)
                self.waiting.remove(waiter)
        for waiter, _ in self.queue.match(
            self.choose, self.now, lambda: not any(self.free)
        ):
            self.waiting.remove(waiter)
            self.tallies[waiter.work.software].served += 1

    def choose(self, waiter):
        """Take a slot at the emptiest endpoint that fits; None if full."""
        number = self.old if waiter.work.software else ENDPOINTS
        endpoint = max(range(number), key=lambda n: self.free[n])
        if not self.free[endpoint]:
            return None
        self.free[endpoint] -= 1
        end = self.now + self.random.expovariate(1 / RUN_SECONDS)
        heapq.heappush(self.ends, (end, endpoint))
        return endpoint


class BoundStreamsTest(testtools.TestCase):
    """Two or four of nine endpoints have the version of the streams."""

    def test_overload(self):
        """Guards against streams that starve where few endpoints fit."""
        for old in (2, 4):
            for overload in (1.3, 2.0):
                new, bound = Load(old, overload).run()
                self.assertLess(new, 0.9)
                self.assertGreater(bound, new / 2)
