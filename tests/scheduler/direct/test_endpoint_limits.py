"""What an endpoint that names a limit gets from all instances together."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import roles

WINDOW_SECONDS = 4.0
OVER = 1.5
EXTRA = 5
"""A window may hold so many times the limit, and so many requests more."""

PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=30)


def count_busiest(sends):
    """Return the most sends within one window."""
    return max(
        (sum(at <= s < at + WINDOW_SECONDS for s in sends) for at in sends),
        default=0,
    )


class Sending:
    """Instances that send as fast as they may, each with its own part."""

    def __init__(self, rate, parts):
        self.parts = list(parts)
        self.limits = [endpoint_limits.EndpointLimits() for _ in parts]
        self.sends = []
        for own in self.limits:
            own.record_limit("e", rate, 0.0)

    def run(self, until, start=0.0, active=None):
        """Let time pass in steps of 25 ms."""
        for step in range(int(start / 0.025), int(until / 0.025)):
            now = step * 0.025
            pairs = zip(self.limits, self.parts, strict=True)
            for number, (own, part) in enumerate(pairs):
                if active is not None and number not in active:
                    continue
                if own.may_send("e", part, now):
                    own.record_send("e")
                    self.sends.append(now)


def list_senders(number):
    """Return the parts of instances that find no owner."""
    names = tuple(f"i{n}" for n in range(number))
    return [roles.Sender(name, names) for name in names]


class EndpointLimitsTest(testtools.TestCase):
    """Load: callers that ask for far more than the endpoint takes."""

    @PROFILE
    @hypothesis.given(
        rate=strategies.floats(0.0, 40.0),
        instances=strategies.integers(1, 120),
    )
    def test_instances_without_an_owner_stay_within_the_bound(
        self, rate, instances
    ):
        """Guards against a limit that each instance uses up by itself."""
        sending = Sending(rate, list_senders(instances))
        sending.run(10.0)
        allowed = OVER * rate * WINDOW_SECONDS + EXTRA
        self.assertLessEqual(count_busiest(sending.sends), allowed)
        self.assertGreaterEqual(len(sending.sends), int(10.0 * rate / 3))

    @PROFILE
    @hypothesis.given(rate=strategies.floats(0.0, 40.0))
    def test_owner_uses_the_limit(self, rate):
        """Guards against an endpoint in need that idles."""
        sending = Sending(rate, [roles.Owner()])
        sending.run(10.0)
        allowed = OVER * rate * WINDOW_SECONDS + EXTRA
        self.assertLessEqual(count_busiest(sending.sends), allowed)
        self.assertGreaterEqual(len(sending.sends), int(9.5 * rate) - 1)

    @PROFILE
    @hypothesis.given(
        rate=strategies.floats(1.0, 40.0), at=strategies.floats(4.0, 8.0)
    )
    def test_owner_that_another_one_follows(self, rate, at):
        """Guards against two limits in one window as the owner changes.

        The former one goes on for half a second, until it hears.
        """
        sending = Sending(rate, [roles.Owner(), roles.Owner()])
        sending.run(at, active={0})
        sending.run(at + 0.5, start=at)
        sending.run(12.0, start=at + 0.5, active={1})
        allowed = OVER * rate * WINDOW_SECONDS + EXTRA
        self.assertLessEqual(count_busiest(sending.sends), allowed)

    @PROFILE
    @hypothesis.given(
        rate=strategies.floats(1.0, 40.0), gap=strategies.floats(0.5, 2.0)
    )
    def test_owners_that_change_again_and_again(self, rate, gap):
        """Guards against a full bucket for each owner of a window.

        One that has just become the owner has a sender's part at first, as
        the dispatcher gives it.
        """
        senders = list_senders(7)
        sending = Sending(rate, senders)
        for turn in range(int(10.0 / gap)):
            owner = turn % len(senders)
            start = turn * gap
            settled = start + min(gap, cold_starts.WINDOW_SECONDS)
            sending.parts[owner] = senders[owner]
            sending.run(settled, start=start, active={owner})
            sending.parts[owner] = roles.Owner()
            sending.run(start + gap, start=settled, active={owner})
        allowed = OVER * rate * WINDOW_SECONDS + EXTRA
        self.assertLessEqual(count_busiest(sending.sends), allowed)

    def test_others_hear_of_a_limit_and_of_its_lifting(self):
        """Guards against an instance that goes on by an old answer."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        self.assertTrue(one.record_limit("e", 2.5, 1.0))
        two.apply_updates(one.list_updates(1.1), 1.1)
        self.assertEqual(2.5, two.get_rate("e"))
        self.assertTrue(two.record_limit("e", None, 2.0))
        one.apply_updates(two.list_updates(2.1), 2.1)
        self.assertIsNone(one.get_rate("e"))
        self.assertEqual((0, 0), (one.count_limited(), two.count_limited()))

    def test_old_word_does_not_replace_a_new_one(self):
        """Guards against a limit that comes back by a late report."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        one.record_limit("e", 2.5, 1.0)
        late = one.list_updates(1.1)
        two.record_limit("e", None, 1.5)
        two.apply_updates([(n, r, age + 600) for n, r, age in late], 1.7)
        self.assertIsNone(two.get_rate("e"))
        # And the one that told it is put right.
        one.apply_updates(two.list_updates(1.8), 1.8)
        self.assertIsNone(one.get_rate("e"))

    def test_instance_that_starts_later_hears_of_all(self):
        """Guards against a restart that knows no limit."""
        one, two = [endpoint_limits.EndpointLimits() for _ in range(2)]
        for number in range(6):
            one.record_limit(f"e{number}", 2.0, 0.0)
        for report in range(6):
            now = 50.0 + 0.1 * report
            two.apply_updates(one.list_updates(now), now)
        self.assertEqual(6, two.count_limited())

    def test_gone_endpoint_is_forgotten(self):
        """Its name may be used again by one that names no limit."""
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
