"""Limits of workspaces over instances that hear each other late or not."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import models
from citronport.scheduler.direct import quota

RATE = 10_000.0
BURST = 10_000.0
WINDOW = 8.0
OVER = 0.25
SLACK = 10_000.0
PROFILE = hypothesis.settings(derandomize=True, deadline=None, max_examples=20)


def make_workspace(rate=RATE, burst=BURST):
    """Return a workspace whose limit counts tokens."""
    return models.Workspace(
        name="w",
        tier=None,
        rate=rate,
        burst=burst,
        counts_tokens=True,
        plain_tokens=200.0,
    )


def exchange(part, now):
    """Let all instances of a part tell each other their totals."""
    for index, one in enumerate(part):
        for other in part:
            if other is not one:
                other.apply_totals(
                    str(index), "1", dict(one.get_totals()), now
                )


def press(parts, seconds, units, lag=0.1, deaf=0.0, started=-10.0):
    """Let one workspace press on every instance as hard as it can.

    Args:
        parts: number of instances in each part of the fleet; instances
            of one part hear each other.
        seconds: how long.
        units: of each request.
        lag: pause between two reports, seconds.
        deaf: time at the start in which no report arrives, seconds.
        started: when the instances started, seconds.

    Returns:
        Time and units of each request that passed.
    """
    total = sum(parts)
    fleet = [
        [quota.Quotas(OVER, SLACK, started) for _ in range(size)]
        for size in parts
    ]
    workspace = make_workspace()
    passed = []
    now = 0.0
    if started < now:
        # Instances that run for a while have heard of each other.
        for part in fleet:
            exchange(part, now)
    while now < seconds:
        for part in fleet:
            reach = len(part) / total
            for one in part:
                for _ in range(10):
                    wait = one.admit(
                        workspace, units, reach, now, len(part), lag
                    )
                    if wait is None:
                        passed.append((now, units))
            if now >= deaf:
                exchange(part, now)
        now += lag
    return passed


def count_busiest(passed):
    """Return the most units that passed within a window."""
    return max(
        sum(u for t, u in passed if at <= t < at + WINDOW) for at, _ in passed
    )


class QuotaTest(testtools.TestCase):
    """Load: one workspace at many times its limit, on all instances."""

    @PROFILE
    @hypothesis.given(
        parts=strategies.lists(
            strategies.integers(1, 5), min_size=1, max_size=4
        ),
        units=strategies.sampled_from((200.0, 1000.0)),
    )
    def test_parts_of_a_fleet_keep_the_limit_together(self, parts, units):
        """However the fleet is cut, the sum stays within the tolerance."""
        passed = press(parts, 12.0, units)
        bound = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
        # What all instances let pass between two reports comes on top of
        # the first burst only.
        self.assertLessEqual(
            count_busiest(passed), bound + sum(parts) * units * 10
        )

    def test_a_majority_serves_the_limit_whole(self):
        """Two of seven instances are cut off: the others lose nothing."""
        passed = press([5, 1, 1], 12.0, 200.0)
        served = sum(u for _, u in passed)
        self.assertGreaterEqual(served, RATE * 11)

    def test_refused_callers_come_back_one_after_the_other(self):
        """Ten callers are refused in one moment.

        Each hears a later time, a request's worth of the limit apart, so
        that each finds its units free when it is back.
        """
        workspace = make_workspace(rate=1000.0, burst=1000.0)
        quotas = quota.Quotas()
        self.assertIsNone(quotas.admit(workspace, 1000.0, 1.0, 0.0))
        waits = [quotas.admit(workspace, 500.0, 1.0, 0.0) for _ in range(4)]
        self.assertEqual([0.1, 0.501, 1.001, 1.501], waits)

    def test_large_requests_pass_among_small_ones(self):
        """A workspace at four times its limit sends both kinds.

        A large request is refused no more often than a small one: a season
        of receipts must not wait until nobody asks for a status.
        """
        quotas = quota.Quotas()
        workspace = make_workspace(rate=1000.0, burst=1000.0)
        asked = {100.0: 0, 900.0: 0}
        passed = {100.0: 0, 900.0: 0}
        now = 0.0
        for step in range(2000):
            units = 900.0 if step % 3 == 0 else 100.0
            asked[units] += 1
            if quotas.admit(workspace, units, 1.0, now) is None:
                passed[units] += 1
            now += 0.1
        shares = [passed[units] / asked[units] for units in (100.0, 900.0)]
        self.assertGreater(shares[1], 0.75 * shares[0])

    def test_a_long_request_locks_nobody_out_for_long(self):
        """One request of six bursts passes in a fleet of fresh reports.

        Those after it wait until a burst is paid back, and no longer.
        """
        quotas = quota.Quotas()
        workspace = make_workspace(rate=1000.0, burst=1000.0)
        first = quotas.admit(workspace, 6000.0, 1.0, 0.0, 7, 0.1)
        self.assertIsNone(first)
        self.assertIsNotNone(quotas.admit(workspace, 1.0, 1.0, 0.5, 7, 0.1))
        self.assertIsNone(quotas.admit(workspace, 1.0, 1.0, 1.7, 7, 0.1))

    def test_within_its_limit_nobody_is_refused(self):
        """A caller below the limit on all instances is always served."""
        fleet = [quota.Quotas(OVER, SLACK) for _ in range(7)]
        workspace = make_workspace()
        now, refused = 0.0, 0
        for step in range(200):
            one = fleet[step % 7]
            if one.admit(workspace, 900.0, 1.0, now) is not None:
                refused += 1
            for index, peer in enumerate(fleet):
                for other in fleet:
                    if other is not peer:
                        other.apply_totals(
                            str(index), "1", dict(peer.get_totals()), now
                        )
            now += 0.1
        self.assertEqual(0, refused)

    def test_an_old_total_is_not_charged_again(self):
        """Reports that overtake each other charge nothing twice."""
        workspace = make_workspace()
        quotas = quota.Quotas()
        quotas.admit(workspace, 1.0, 1.0, 0.0)
        quotas.apply_totals("other", "1", {"w": 0.0}, 0.0)
        quotas.apply_totals("other", "1", {"w": 6000.0}, 0.0)
        quotas.apply_totals("other", "1", {"w": 3000.0}, 0.0)
        quotas.apply_totals("other", "1", {"w": 6000.0}, 0.0)
        self.assertIsNone(quotas.admit(workspace, 3000.0, 1.0, 0.0))

    def test_a_new_instance_does_not_pay_for_the_past(self):
        """One instance of seven starts anew after a day of work.

        The others' first reports tell totals of a day. The new instance
        serves its callers as they do, and charges only what they let pass
        from then on.
        """
        quotas = quota.Quotas()
        workspace = make_workspace()
        self.assertIsNone(quotas.admit(workspace, 1.0, 1.0, 0.0))
        for other in "abcdef":
            quotas.apply_totals(other, "1", {"w": 1e9}, 0.0)
        self.assertIsNone(quotas.admit(workspace, 1.0, 1.0, 0.1))
        quotas.apply_totals("a", "1", {"w": 1e9 + BURST}, 0.0)
        self.assertIsNotNone(quotas.admit(workspace, 9000.0, 1.0, 0.1))

    def test_an_instance_that_started_anew_counts_from_nothing(self):
        """What it has let pass since its start is charged whole."""
        quotas = quota.Quotas()
        workspace = make_workspace()
        quotas.apply_totals("other", "1", {"w": 5000.0}, 0.0)
        self.assertIsNone(quotas.admit(workspace, 1.0, 1.0, 0.0))
        quotas.apply_totals("other", "2", {"w": BURST}, 0.0)
        self.assertIsNotNone(quotas.admit(workspace, 1.0, 1.0, 0.0))

    def test_one_instance_away_takes_little_of_the_tolerance(self):
        """One of seven is killed and stays known for half a minute.

        The others go on to use most of what operators tolerate: callers
        within their limit are not refused for views that are late.
        """
        passed = press([6, 1], 12.0, 200.0)
        served = sum(u for _, u in passed)
        self.assertGreater(served, RATE * 12 * 1.05)

    def test_all_start_anew_under_a_flood(self):
        """All instances are killed while one workspace floods them.

        They forget what they let pass. Before and after together stay
        within what operators tolerate in one of their windows, at any
        time of the kill, and though the new ones don't hear each other in
        the first 0.3 s.
        """
        # What passes before the first report comes on top, as above.
        bound = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK + 7 * 200 * 10
        for killed in (1.0, 3.0, 5.0, 7.0):
            before = press([7], killed, 200.0)
            after = press(
                [7], WINDOW - killed - 1.0, 200.0, deaf=0.3, started=0.0
            )
            passed = before + [(at + killed + 1.0, u) for at, u in after]
            self.assertLessEqual(count_busiest(passed), bound)

    def test_a_flood_in_a_large_fleet_of_late_reports(self):
        """Load: one workspace floods forty instances at once.

        Their reports are a second old. They see the same units left, and
        each hands out its part of them only; the sum stays within what
        operators tolerate, though each lets one request pass at any time.
        """
        fleet = 40
        passed = press([fleet], 16.0, 200.0, lag=1.0)
        bound = (RATE * WINDOW + BURST) * (1 + OVER) + SLACK
        self.assertLessEqual(count_busiest(passed), bound)
        self.assertGreater(sum(u for _, u in passed), 0.8 * RATE * 16)

    def test_what_has_not_run_is_given_back(self):
        """A refused request's units serve the next one, everywhere."""
        quotas, other = quota.Quotas(), quota.Quotas()
        workspace = make_workspace()
        other.admit(workspace, 1.0, 1.0, 0.0)
        for _ in range(5):
            self.assertIsNone(quotas.admit(workspace, 9000.0, 1.0, 0.0))
            other.apply_totals("one", "1", dict(quotas.get_totals()), 0.0)
            quotas.refund(workspace, 9000.0)
            other.apply_totals("one", "1", dict(quotas.get_totals()), 0.0)
        self.assertIsNone(other.admit(workspace, 9000.0, 1.0, 0.0))

    def test_no_limit(self):
        """A workspace without a limit always passes."""
        quotas = quota.Quotas()
        workspace = make_workspace(rate=0.0)
        self.assertIsNone(quotas.admit(workspace, 1e9, 1.0, 0.0))
