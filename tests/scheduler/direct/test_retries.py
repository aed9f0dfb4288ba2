"""Tests that retries of all instances stay within the budget."""

import bisect
import random

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import retries

RATIO = 0.2
EXTRA = 54.0
PROFILE = hypothesis.settings(derandomize=True, deadline=None)
STEP_SECONDS = 0.1
DISCOVERY_SECONDS = 2.0
"""Time after a start in which an instance knows no other one."""


class SimulatedFleet:
    """Instances whose requests all fail, once trouble has begun.

    Args:
        number: number of instances.
        window: window of the budget, seconds.
        extra: retries allowed beyond the ratio.
        rate: first sends of the fleet in a second.
        seed: of the times at which things happen.
        max_wait: longest time between decision and send, seconds.
    """

    def __init__(self, number, window, extra, rate, seed, max_wait=0.0):
        self.number = number
        self.window = window
        self.extra = extra
        self.rate = rate
        self.max_wait = max_wait
        self.chance = random.Random(seed)
        self.now = 0.0
        # All have run for a while.
        self.started = [-100.0] * number
        self.budgets = [self.make_budget(-100.0) for _ in range(number)]
        self.unsent = []
        self.first_sends = []
        self.retries = []

    def make_budget(self, started):
        """Return the budget of an instance that starts."""
        return retries.RetryBudget(RATIO, self.extra, self.window, started)

    def kill(self, indices):
        """Kill instances; they start again at once."""
        indices = set(indices)
        self.unsent = [u for u in self.unsent if u[1] not in indices]
        for index in indices:
            self.started[index] = self.now
            self.budgets[index] = self.make_budget(self.now)

    def describe(self, index):
        """Return what an instance knows of the fleet."""
        if self.now - self.started[index] < DISCOVERY_SECONDS:
            return retries.Fleet(instances=float("inf"), new_share=1.0)
        return retries.Fleet(
            instances=self.number,
            new_share=sum(
                retries.is_new(self.now - started, self.window)
                for started in self.started
            )
            / self.number,
        )

    def run_step(self, *, in_trouble):
        """Advance the time; send what callers ask for."""
        self.now += STEP_SECONDS
        due = [u for u in self.unsent if u[0] <= self.now]
        self.unsent = [u for u in self.unsent if u[0] > self.now]
        for _, index in due:
            self.budgets[index].record_sent(self.now)
            self.retries.append(self.now)
        asked = self.rate * STEP_SECONDS
        for _ in range(int(asked) + (self.chance.random() < asked % 1)):
            index = self.chance.randrange(self.number)
            self.budgets[index].record_first(self.now)
            self.first_sends.append(self.now)
        if not in_trouble:
            return
        for index, budget in enumerate(self.budgets):
            fleet = self.describe(index)
            while budget.take(fleet, self.now).allowed:
                at = self.now + self.chance.random() * self.max_wait
                self.unsent.append((at, index))

    def find_excess(self):
        """Return the most retries beyond what is allowed in any window."""
        worst = float("-inf")
        for number, at in enumerate(self.retries, 1):
            since = at - self.window
            inside = number - bisect.bisect_right(self.retries, since)
            asked = max(
                self.count_first_sends(at - back)
                for back in (0.0, self.window / 2, self.window)
            )
            worst = max(worst, inside - RATIO * asked - self.extra)
        return worst

    def count_first_sends(self, end):
        """Return the number of first sends in the window before a time."""
        sends = self.first_sends
        return bisect.bisect_right(sends, end) - bisect.bisect_right(
            sends, end - self.window
        )


class RetryBudgetTest(testtools.TestCase):
    """Endpoints fail all requests under load."""

    def play(self, fleet, kills, trouble_at, seconds):
        """Return the excess after kills at some times.

        Args:
            fleet: the fleet.
            kills: for each, its time and the share of the instances.
            trouble_at: time at which requests begin to fail, seconds.
            seconds: time to play.
        """
        pending = sorted(kills)
        while fleet.now < seconds:
            while pending and pending[0][0] <= fleet.now:
                share = pending.pop(0)[1]
                number = max(1, round(share * fleet.number))
                fleet.kill(fleet.chance.sample(range(fleet.number), number))
            fleet.run_step(in_trouble=fleet.now >= trouble_at)
        return fleet.find_excess()

    @PROFILE
    @hypothesis.given(
        number=strategies.sampled_from((1, 3, 7, 16, 82)),
        window=strategies.sampled_from((7.0, 10.0, 15.0)),
        extra=strategies.sampled_from((0.0, 54.0, 204.0)),
        rate=strategies.sampled_from((0.0, 2.0, 80.0)),
        kills=strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 35.0),
                strategies.sampled_from((0.1, 0.25, 0.5, 1.0)),
            ),
            max_size=12,
        ),
        trouble_at=strategies.floats(0.0, 30.0),
        max_wait=strategies.sampled_from((0.0, 0.3, 5.0)),
    )
    def test_sum_over_instances_and_their_starts(
        self, number, window, extra, rate, kills, trouble_at, max_wait
    ):
        """Guards against starts, or waits, that exceed the budget together."""
        fleet = SimulatedFleet(number, window, extra, rate, 1, max_wait)
        self.assertLessEqual(self.play(fleet, kills, trouble_at, 40.0), 0.0)

    def test_kill_after_the_savings_are_spent(self):
        """Guards against a window that holds the budgets of two starts."""
        for number in (3, 7, 82, 195, 510):
            for window in (7.0, 10.0):
                fleet = SimulatedFleet(number, window, 204.0, 300.0, number)
                again = [(12.5 + 0.7 * n, 1.0) for n in range(6)]
                excess = self.play(fleet, again, 12.0, 26.0)
                self.assertLessEqual(excess, 0.0, (number, window))

    def test_instances_that_join(self):
        """Guards against a fixed part that newcomers get a second time."""
        fleet = SimulatedFleet(36, 15.0, 160.0, 0.0, 1)
        fleet.started[3:] = [0.0] * 33
        fleet.budgets[3:] = [fleet.make_budget(0.0) for _ in range(33)]
        describe = fleet.describe

        def describe_late(index):
            if index < 3 and fleet.now < DISCOVERY_SECONDS:
                return retries.Fleet(instances=3, new_share=0.0)
            return describe(index)

        fleet.describe = describe_late
        self.assertLessEqual(self.play(fleet, [], 0.0, 45.0), 0.0)

    def test_steady_trouble_uses_most_of_the_budget(self):
        """Guards against callers that lose what the fleet may repeat."""
        for number in (1, 3, 7, 16):
            fleet = SimulatedFleet(number, 10.0, 160.0, 50.0, 1)
            excess = self.play(fleet, [], 0.0, 30.0)
            allowed = RATIO * 50.0 * 10.0 + 160.0
            self.assertGreaterEqual(excess, -0.35 * allowed, number)

    def test_retry_that_is_not_sent(self):
        """Guards against budgets that are used up by what is not sent."""
        budget = retries.RetryBudget(0.0, 4.0)
        fleet = retries.Fleet(instances=1, new_share=0.0)
        for _ in range(5):
            self.assertTrue(budget.take(fleet, 0.0).allowed)
            budget.give_back()
        for _ in range(3):
            self.assertTrue(budget.take(fleet, 0.0).allowed)
        self.assertFalse(budget.take(fleet, 30.0).allowed)

    def test_longer_window(self):
        """Guards against a longer window that forgets the one before."""
        budget = retries.RetryBudget(0.0, 40.0, 7.0)
        fleet = retries.Fleet(instances=1, new_share=0.5)
        times = []
        for step in range(210):
            now = step * 0.1
            if step == 75:
                budget.update(0.0, 40.0, 14.0, now)
            while budget.take(fleet, now).allowed:
                budget.record_sent(now)
                times.append(now)
        self.assertLessEqual(sum(t > 0.5 for t in times), 40)

    def test_single_failure_is_retried(self):
        """One failure among few requests is retried."""
        budget = retries.RetryBudget(RATIO, EXTRA)
        fleet = retries.Fleet(instances=7, new_share=0.0)
        budget.record_first(0.0)
        self.assertTrue(budget.take(fleet, 0.0).allowed)
