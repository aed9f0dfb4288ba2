"""Tests of the limits of endpoints over all instances."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.relay import membership
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import roles

WINDOW_SECONDS = 4.0
MAX_RATIO = 1.5
EXTRA_REQUESTS = 5
"""Bound for one window: a multiple of the limit plus some requests."""

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=30)


def count_busiest(sends):
    """Return the largest number of sends within one window."""
    return max(
        (sum(at <= s < at + WINDOW_SECONDS for s in sends) for at in sends),
        default=0,
    )


class FleetSimulation:
    """Instances that send at their full rate, each in its own role."""

    def __init__(self, rate, instance_roles):
        self.roles = list(instance_roles)
        self.limits = [
            endpoint_limits.EndpointLimits() for _ in instance_roles
        ]
        self.sends = []
        for own in self.limits:
            own.record_limit("e", rate, 0.0)

    def run(self, until, start=0.0, active=None):
        """Advance the clock in steps of 25 ms."""
        for step in range(int(start / 0.025), int(until / 0.025)):
            now = step * 0.025
            pairs = zip(self.limits, self.roles, strict=True)
            for number, (own, role) in enumerate(pairs):
                if active is not None and number not in active:
                    continue
                if own.may_send("e", role, now):
                    own.record_send("e")
                    self.sends.append(now)


def make_sender_roles(number):
    """Return the roles of instances that find no owner."""
    names = tuple(f"i{n}" for n in range(number))
    return [roles.Sender(name, names) for name in names]


class EndpointLimitsTest(testtools.TestCase):
    """Callers request far more than the limit of the endpoint."""

    @PROFILE
    @hypothesis.given(
        rate=strategies.floats(0.0, 40.0),
        instances=strategies.integers(1, 120),
    )
    def test_instances_without_an_owner_stay_within_the_bound(
        self, rate, instances
    ):
        """Guards against each instance using the whole limit on its own."""
        fleet = FleetSimulation(rate, make_sender_roles(instances))
        fleet.run(10.0)
        allowed = MAX_RATIO * rate * WINDOW_SECONDS + EXTRA_REQUESTS
        self.assertLessEqual(count_busiest(fleet.sends), allowed)
        self.assertGreaterEqual(len(fleet.sends), int(10.0 * rate / 3))

    @PROFILE
    @hypothesis.given(rate=strategies.floats(0.0, 40.0))
    def test_owner_uses_the_limit(self, rate):
        """Guards against sending less than a limited endpoint accepts."""
        fleet = FleetSimulation(rate, [roles.Owner()])
        fleet.run(10.0)
        allowed = MAX_RATIO * rate * WINDOW_SECONDS + EXTRA_REQUESTS
        self.assertLessEqual(count_busiest(fleet.sends), allowed)
        self.assertGreaterEqual(len(fleet.sends), int(9.5 * rate) - 1)

    @PROFILE
    @hypothesis.given(
        rate=strategies.floats(1.0, 40.0), at=strategies.floats(4.0, 8.0)
    )
    def test_change_of_owner(self, rate, at):
        """Guards against using the limit twice when the owner changes.

        The former owner continues for half a second until it is informed.
        """
        fleet = FleetSimulation(rate, [roles.Owner(), roles.Owner()])
        fleet.run(at, active={0})
        fleet.run(at + 0.5, start=at)
        fleet.run(12.0, start=at + 0.5, active={1})
        allowed = MAX_RATIO * rate * WINDOW_SECONDS + EXTRA_REQUESTS
        self.assertLessEqual(count_busiest(fleet.sends), allowed)

    @PROFILE
    @hypothesis.given(
        rate=strategies.floats(1.0, 40.0), gap=strategies.floats(0.5, 2.0)
    )
    def test_repeated_changes_of_owner(self, rate, gap):
        """Guards against a full bucket for each owner within one window.

        A new owner is limited to the share of a sender at first, as in the
        dispatcher.
        """
        senders = make_sender_roles(7)
        fleet = FleetSimulation(rate, senders)
        for turn in range(int(10.0 / gap)):
            owner = turn % len(senders)
            start = turn * gap
            settled = start + min(gap, cold_starts.WINDOW_SECONDS)
            fleet.roles[owner] = senders[owner]
            fleet.run(settled, start=start, active={owner})
            fleet.roles[owner] = roles.Owner()
            fleet.run(start + gap, start=settled, active={owner})
        allowed = MAX_RATIO * rate * WINDOW_SECONDS + EXTRA_REQUESTS
        self.assertLessEqual(count_busiest(fleet.sends), allowed)

    def test_limit_and_its_removal_are_announced(self):
        """Guards against an instance that keeps using an old answer."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        self.assertTrue(one.record_limit("e", 2.5, 1.0))
        two.apply_updates(one.list_updates(1.1), 1.1)
        self.assertEqual(2.5, two.get_rate("e"))
        self.assertTrue(two.record_limit("e", None, 2.0))
        one.apply_updates(two.list_updates(2.1), 2.1)
        self.assertIsNone(one.get_rate("e"))
        self.assertEqual((0, 0), (one.count_limited(), two.count_limited()))

    def test_old_update_does_not_replace_a_newer_one(self):
        """Guards against a late report that restores an old limit."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        one.record_limit("e", 2.5, 1.0)
        late = one.list_updates(1.1)
        two.record_limit("e", None, 1.5)
        two.apply_updates([(n, r, age + 600) for n, r, age in late], 1.7)
        self.assertIsNone(two.get_rate("e"))
        # The sender of the old update gets the newer one.
        one.apply_updates(two.list_updates(1.8), 1.8)
        self.assertIsNone(one.get_rate("e"))

    def test_new_instance_receives_all_limits(self):
        """Guards against a restarted instance that knows no limits."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        for number in range(6):
            one.record_limit(f"e{number}", 2.0, 0.0)
        for report in range(6):
            now = 50.0 + 0.1 * report
            two.apply_updates(one.list_updates(now), now)
        self.assertEqual(6, two.count_limited())

    def test_gone_endpoint_is_forgotten(self):
        """A new endpoint without a limit may get the same name."""
        one = endpoint_limits.EndpointLimits()
        one.record_limit("e", 2.0, 0.0)
        one.forget("e")
        self.assertIsNone(one.get_rate("e"))
        self.assertEqual([], one.list_updates(0.1))

    def test_gone_endpoint_is_not_told_for_ever(self):
        """Guards against instances that remind each other of one gone."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        one.record_limit("e", 2.0, 0.0)
        two.apply_updates(one.list_updates(0.1), 0.1)
        one.forget("e")
        one.apply_updates(two.list_updates(0.2), 0.2)
        two.forget("e")
        for minute in range(1, 60):
            now = 60.0 * minute
            two.apply_updates(one.list_updates(now), now)
            one.apply_updates(two.list_updates(now), now)
        self.assertEqual((0, 0), (one.count_limited(), two.count_limited()))

    def test_instances_that_start_alone(self):
        """Guards against a whole limit for each instance that knows nobody."""
        fleet = FleetSimulation(
            10.0,
            [
                roles.Sender(
                    f"i{n}", (f"i{n}",), known_share=membership.UNKNOWN_SHARE
                )
                for n in range(10)
            ],
        )
        fleet.run(WINDOW_SECONDS)
        self.assertLessEqual(
            count_busiest(fleet.sends),
            MAX_RATIO * 10.0 * WINDOW_SECONDS + EXTRA_REQUESTS,
        )
