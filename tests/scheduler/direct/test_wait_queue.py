"""Tests of the order and the waiting times of queued requests."""

import dataclasses

import testtools

from citronport.scheduler.direct import wait_queue
from tests.relay import samples


def make_waiter(name, now=0.0, **route):
    """Return a waiter whose request arrived at a given time."""
    work = samples.make_work(name, samples.make_route(**route), now)
    return wait_queue.Waiter(work=work, waiting_since=now)


class WaitQueueTest(testtools.TestCase):
    """More requests than the endpoints can take for some seconds."""

    def order(self, waiters, now):
        """Return the names of waiters, most urgent first."""
        queue = wait_queue.WaitQueue()
        for waiter in waiters:
            queue.add(waiter)
        return [w.work.request_id for w in queue.list_by_urgency(now)]

    def test_higher_tier_first(self):
        """A higher tier goes first even if its request is late."""
        waiters = [
            make_waiter("low", 0.0, tier=1),
            make_waiter("high, late", -5.0, tier=0),
        ]
        self.assertEqual(["high, late", "low"], self.order(waiters, 0.1))

    def test_in_time_before_late(self):
        """A late request loses little by waiting longer."""
        waiters = [make_waiter("late", -2.0), make_waiter("fresh", 0.0)]
        self.assertEqual(["fresh", "late"], self.order(waiters, 0.1))

    def test_urgent_route_before_lateness(self):
        """A late request of an urgent route goes before a timely one.

        Both have the tier of one workspace: a long draft is worth more to
        its caller than a tag, even if it is late.
        """
        draft = make_waiter("draft", -2.0, tier=0)
        tag = make_waiter("tag", 0.0, tier=2)
        for waiter in (draft, tag):
            waiter.work = dataclasses.replace(waiter.work, tier=1)
        self.assertEqual(["draft", "tag"], self.order([tag, draft], 0.1))

    def test_taken_up_streams_first(self):
        """Guards against streams that starve at the few they may go on at."""
        bound = make_waiter("bound, late", 0.0, tier=1)
        bound.work = dataclasses.replace(bound.work, software="v1")
        waiters = [
            make_waiter("urgent", 2.0, tier=0),
            make_waiter("fresh", 2.0, tier=1),
            bound,
        ]
        self.assertEqual(
            ["urgent", "bound, late", "fresh"], self.order(waiters, 2.0)
        )

    def test_match_removes_requests_that_got_a_slot(self):
        """Slots are assigned in order; other requests continue to wait."""
        queue = wait_queue.WaitQueue()
        for name in ("one", "two", "three"):
            queue.add(make_waiter(name))
        slots = iter(["slot", None, None])
        matched = queue.match(lambda waiter: next(slots), 0.1)
        self.assertEqual(
            [("one", "slot")],
            [(w.work.request_id, slot) for w, slot in matched],
        )
        self.assertEqual(2, len(queue))

    def fill(self, queue, count, now=0.0, **route):
        """Add requests to a queue."""
        for number in range(count):
            queue.add(make_waiter(f"{route}-{number}", now, **route))

    def test_estimated_wait_in_a_burst(self):
        """A burst puts twenty requests ahead of a new one.

        With forty free slots per second it waits for half a second and can
        still be in time.
        """
        queue = wait_queue.WaitQueue()
        self.fill(queue, 20)
        waiter = make_waiter("new")
        queue.add(waiter)
        self.assertAlmostEqual(0.5, queue.estimate_wait(waiter, 40.0, 0.0))

    def test_estimated_wait_in_an_overload(self):
        """A hundred requests of a more urgent route are waiting.

        With forty free slots per second, a new request of the next route
        waits at least two and a half seconds. Less urgent requests in the
        queue do not delay it.
        """
        queue = wait_queue.WaitQueue()
        self.fill(queue, 100, tier=0)
        self.fill(queue, 50, tier=2)
        waiter = make_waiter("new", tier=1)
        queue.add(waiter)
        self.assertAlmostEqual(2.5, queue.estimate_wait(waiter, 40.0, 0.0))

    def test_wait_is_infinite_without_free_slots(self):
        """All endpoints are unreachable."""
        queue = wait_queue.WaitQueue()
        self.fill(queue, 1)
        waiter = make_waiter("new")
        queue.add(waiter)
        self.assertEqual(float("inf"), queue.estimate_wait(waiter, 0.0, 0.0))

    def test_first_in_the_queue_does_not_wait(self):
        """The first request in the queue gets the next slot."""
        queue = wait_queue.WaitQueue()
        waiter = make_waiter("new")
        queue.add(waiter)
        self.assertEqual(0.0, queue.estimate_wait(waiter, 0.0, 0.0))

    def test_max_wait(self):
        """Two objectives, but at most half of the time to the deadline."""
        work = samples.make_work()
        self.assertEqual(1.6, wait_queue.compute_max_wait(work, 0.0))
        short = samples.make_work(deadline=1.0)
        self.assertEqual(0.5, wait_queue.compute_max_wait(short, 0.0))
        self.assertEqual(0.0, wait_queue.compute_max_wait(work, 20.0))
