"""Tests of the bound on requests to a cold endpoint over all instances."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.relay import membership
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

RATE = 11.0
MAX_REQUESTS_PER_SECOND = RATE * 1.5 + 5
"""Requests per second above which a cold endpoint may crash."""

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=20)


class ColdStartsTest(testtools.TestCase):
    """A freshly started endpoint that looks idle to all instances at once."""

    @PROFILE
    @hypothesis.given(
        instances=strategies.integers(1, 120),
        gap=strategies.floats(0.02, 0.2),
    )
    def test_burst_stays_within_the_bound(self, instances, gap):
        """No second exceeds the bound if all instances send at full rate."""
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
        self.assertLessEqual(busiest, MAX_REQUESTS_PER_SECOND)
        self.assertGreaterEqual(len(sends), 8)

    def test_instances_with_different_fleet_sizes(self):
        """The bound holds while instances differ about the fleet size.

        Four instances have just been added. The seven old ones do not know
        them yet and divide the rate by seven, the new ones by eleven.
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
        self.assertLessEqual(old + new, MAX_REQUESTS_PER_SECOND)

    def test_instances_that_start_alone(self):
        """Guards against a whole rate for each instance that knows nobody."""
        sends = 0
        for number in range(12):
            own = cold_starts.ColdStarts()
            own.set_cold("e", 10.0)
            name = f"i{number}"
            role = roles.Sender(
                name, (name,), known_share=membership.UNKNOWN_SHARE
            )
            while own.may_send("e", role, RATE, 0.0):
                own.record_send("e", 0.0)
                sends += 1
        self.assertLessEqual(sends, MAX_REQUESTS_PER_SECOND)

    def test_warm_endpoint_is_not_limited(self):
        """There is no bound after the end of the cold time."""
        own = cold_starts.ColdStarts()
        own.set_cold("e", 1.0)
        for _ in range(50):
            own.record_send("e", 0.5)
        role = roles.Sender("i", ("i",))
        self.assertFalse(own.may_send("e", role, RATE, 0.9))
        self.assertTrue(own.may_send("e", role, RATE, 1.0))

    def test_two_owners_and_instances_without_owner(self):
        """The bound holds while instances differ about the owner.

        Two instances lease out slots of a cold endpoint at once, and all
        others with a share of the rate send as well.
        """
        names = tuple(f"i{n}" for n in range(60))
        instance_roles = [roles.Owner(), roles.Owner()]
        instance_roles += [roles.Sender(name, names) for name in names]
        sends = []
        starts = [cold_starts.ColdStarts() for _ in instance_roles]
        for own in starts:
            own.set_cold("e", 10.0)
        for step in range(100):
            now = step * 0.025
            for own, role in zip(starts, instance_roles, strict=True):
                if own.may_send("e", role, RATE, now):
                    own.record_send("e", now)
                    sends.append(now)
        busiest = max(
            sum(1 for s in sends if at <= s < at + 1.0) for at in sends
        )
        self.assertLessEqual(busiest, MAX_REQUESTS_PER_SECOND)
