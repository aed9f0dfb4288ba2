"""Who waits, who goes first, and for how long."""

import dataclasses

import testtools

from citronport.scheduler.direct import wait_queue
from tests.relay import samples


def make_waiter(name, now=0.0, **route):
    """Return a waiter whose request arrived at a time."""
    work = samples.make_work(name, samples.make_route(**route), now)
    return wait_queue.Waiter(work=work, waiting_since=now)


class QueueTest(testtools.TestCase):
    """Load: more work than the endpoints take for some seconds."""

    def order(self, waiters, now):
        """Return the names of waiters in their order."""
        queue = wait_queue.WaitQueue()
        for waiter in waiters:
            queue.add(waiter)
        return [w.work.request_id for w in queue.list_by_urgency(now)]

    def test_higher_tier_first(self):
        """Whatever else holds, a higher tier goes before a lower."""
        waiters = [
            make_waiter("low", 0.0, tier=1),
            make_waiter("high, late", -5.0, tier=0),
        ]
        self.assertEqual(["high, late", "low"], self.order(waiters, 0.1))

    def test_in_time_before_late(self):
        """One that is late loses little by a longer wait."""
        waiters = [make_waiter("late", -2.0), make_waiter("fresh", 0.0)]
        self.assertEqual(["fresh", "late"], self.order(waiters, 0.1))

    def test_urgent_route_before_lateness(self):
        """Load: a burst, all of one workspace's tier.

        A long draft that is late already goes before a tag that could be
        in time: the work of its caller would be lost for a label.
        """
        draft = make_waiter("draft", -2.0, tier=0)
        tag = make_waiter("tag", 0.0, tier=2)
        for waiter in (draft, tag):
            waiter.work = dataclasses.replace(waiter.work, tier=1)
        self.assertEqual(["draft", "tag"], self.order([tag, draft], 0.1))

    def test_match_takes_out_who_got_a_place(self):
        """Places go in order; the others go on waiting."""
        queue = wait_queue.WaitQueue()
        for name in ("one", "two", "three"):
            queue.add(make_waiter(name))
        places = iter(["place", None, None])
        matched = queue.match(lambda waiter: next(places), 0.1)
        self.assertEqual(
            [("one", "place")],
            [(w.work.request_id, place) for w, place in matched],
        )
        self.assertEqual(2, len(queue))

    def fill(self, queue, count, now=0.0, **route):
        """Let some requests wait."""
        for number in range(count):
            queue.add(make_waiter(f"{route}-{number}", now, **route))

    def test_forecast_of_a_burst(self):
        """Load: a burst puts twenty requests before a new one.

        Places come free at forty a second, so that the wait is half a
        second: it waits, since it can still be in time.
        """
        queue = wait_queue.WaitQueue()
        self.fill(queue, 20)
        waiter = make_waiter("new")
        queue.add(waiter)
        self.assertAlmostEqual(0.5, queue.estimate_wait(waiter, 40.0, 0.0))

    def test_forecast_of_a_flood(self):
        """Load: a hundred requests of a more urgent route wait.

        At forty places a second a request of the next route would wait two
        and a half seconds, whatever comes meanwhile; one of the first
        route that has just come stands behind its like only.
        """
        queue = wait_queue.WaitQueue()
        self.fill(queue, 100, tier=0)
        self.fill(queue, 50, tier=2)
        waiter = make_waiter("new", tier=1)
        queue.add(waiter)
        self.assertAlmostEqual(2.5, queue.estimate_wait(waiter, 40.0, 0.0))

    def test_no_place_comes_free(self):
        """All endpoints are out of reach: a wait has no end."""
        queue = wait_queue.WaitQueue()
        self.fill(queue, 1)
        waiter = make_waiter("new")
        queue.add(waiter)
        self.assertEqual(float("inf"), queue.estimate_wait(waiter, 0.0, 0.0))

    def test_nothing_ahead(self):
        """The first in the queue gets the next place."""
        queue = wait_queue.WaitQueue()
        waiter = make_waiter("new")
        queue.add(waiter)
        self.assertEqual(0.0, queue.estimate_wait(waiter, 0.0, 0.0))

    def test_patience(self):
        """Two objectives, but never most of the time that is left."""
        work = samples.make_work()
        self.assertEqual(1.6, wait_queue.compute_max_wait(work, 0.0))
        short = samples.make_work(deadline=1.0)
        self.assertEqual(0.5, wait_queue.compute_max_wait(short, 0.0))
        self.assertEqual(0.0, wait_queue.compute_max_wait(work, 20.0))
