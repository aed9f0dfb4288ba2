"""Who waits, who goes first, and for how long."""

import dataclasses

import testtools

from citronport.scheduler.direct import waiting
from tests.relay import samples


def make_waiter(name, now=0.0, **route):
    """Return a waiter whose request arrived at a time."""
    work = samples.make_work(name, samples.make_route(**route), now)
    return waiting.Waiter(work=work, since=now)


class QueueTest(testtools.TestCase):
    """Load: more work than the endpoints take for some seconds."""

    def order(self, waiters, now):
        """Return the names of waiters in their order."""
        queue = waiting.Queue()
        for waiter in waiters:
            queue.add(waiter)
        return [w.work.request_id for w in queue.list_in_order(now)]

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
        queue = waiting.Queue()
        for name in ("one", "two", "three"):
            queue.add(make_waiter(name))
        places = iter(["place", None, None])
        matched = queue.match(lambda waiter: next(places), 0.1)
        self.assertEqual(
            [("one", "place")],
            [(w.work.request_id, place) for w, place in matched],
        )
        self.assertEqual(2, len(queue))

    def test_patience(self):
        """Two objectives, but never most of the time that is left."""
        work = samples.make_work()
        self.assertEqual(1.6, waiting.compute_patience(work, 0.0))
        short = samples.make_work(deadline=1.0)
        self.assertEqual(0.5, waiting.compute_patience(short, 0.0))
        self.assertEqual(0.0, waiting.compute_patience(work, 20.0))
