"""What a cold endpoint gets from many instances that do not agree."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

RATE = 11.0
BOUND = RATE * 1.5 + 5
"""Requests a second above which a cold endpoint may crash."""

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=20)


class ColdTest(testtools.TestCase):
    """Load: a fresh endpoint that looks empty to all instances at once."""

    @PROFILE
    @hypothesis.given(
        instances=strategies.integers(1, 120),
        gap=strategies.floats(0.02, 0.2),
    )
    def test_a_burst_stays_within_the_bound(self, instances, gap):
        """Every instance sends as fast as it may; no second has too much."""
        names = tuple(f"i{n}" for n in range(instances))
        starts = {name: cold_starts.ColdStarts() for name in names}
        sends = []
        for own in starts.values():
            own.set_cold("e", 10.0)
        now = 0.0
        while now < 2.5:
            for name, own in starts.items():
                if own.may_send("e", roles.Sender(name, names), RATE, now):
                    own.record_send("e", now)
                    sends.append(now)
            now += gap
        busiest = max(
            sum(1 for s in sends if at <= s < at + 1.0) for at in sends
        )
        self.assertLessEqual(busiest, BOUND)
        self.assertGreaterEqual(len(sends), 8)

    def test_one_of_several_views_is_late(self):
        """An instance that knows four of eleven still keeps the bound.

        Four machines were just added; the old ones do not know them yet
        and divide the rate by seven, the new ones by eleven.
        """
        old = cold_starts.compute_window_limit(RATE, 7) * 7
        new = (
            cold_starts.compute_window_limit(
                RATE,
                len(
                    rendezvous.choose(
                        "e", tuple(f"i{n}" for n in range(11)), 8
                    )
                ),
            )
            * 4
        )
        self.assertLessEqual(old + new, BOUND)

    def test_warm_again(self):
        """Past its cold time an endpoint takes what it gets."""
        own = cold_starts.ColdStarts()
        own.set_cold("e", 1.0)
        for _ in range(50):
            own.record_send("e", 0.5)
        share = roles.Sender("i", ("i",))
        self.assertFalse(own.may_send("e", share, RATE, 0.9))
        self.assertTrue(own.may_send("e", share, RATE, 1.0))

    def test_two_owners_and_instances_that_find_none(self):
        """Views of who owns an endpoint differ for a moment.

        Two instances hand out places at a cold endpoint at once, and all
        others that have a part of the rate send by themselves besides.
        """
        names = tuple(f"i{n}" for n in range(60))
        parts = [roles.Owner(), roles.Owner()]
        parts += [roles.Sender(name, names) for name in names]
        sends = []
        starts = [cold_starts.ColdStarts() for _ in parts]
        for own in starts:
            own.set_cold("e", 10.0)
        for step in range(100):
            now = step * 0.025
            for own, share in zip(starts, parts, strict=True):
                if own.may_send("e", share, RATE, now):
                    own.record_send("e", now)
                    sends.append(now)
        busiest = max(
            sum(1 for s in sends if at <= s < at + 1.0) for at in sends
        )
        self.assertLessEqual(busiest, BOUND)
