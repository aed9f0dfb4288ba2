"""Tests that retries of all instances stay within the budget."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import retries

RATIO = 0.2
EXTRA = 54.0
PROFILE = hypothesis.settings(derandomize=True, deadline=None)


class RetryBudgetTest(testtools.TestCase):
    """Endpoints fail all requests under load."""

    @PROFILE
    @hypothesis.given(
        instances=strategies.integers(1, 16),
        rate=strategies.integers(0, 50),
        known_instances=strategies.integers(1, 16),
    )
    def test_sum_over_instances_stays_within_the_budget(
        self, instances, rate, known_instances
    ):
        """The sum holds for any fleet size known to the instances."""
        budgets = [retries.RetryBudget(RATIO, EXTRA) for _ in range(instances)]
        retry_times = []
        first_send_times = []
        for step in range(200):
            now = step * 0.1
            for budget in budgets:
                for _ in range(rate // 10):
                    budget.record_first(now)
                    first_send_times.append(now)
                for _ in range(5):
                    if budget.take(known_instances, now):
                        retry_times.append(now)
        for end in (5.0, 10.0, 15.0, 19.9):
            retries_in_window = [t for t in retry_times if end - 10 < t <= end]
            sends_in_window = [
                t for t in first_send_times if end - 10 < t <= end
            ]
            self.assertLessEqual(
                len(retries_in_window), RATIO * len(sends_in_window) + EXTRA
            )

    def test_single_failure_is_retried(self):
        """One failure among few requests is retried."""
        budget = retries.RetryBudget(RATIO, EXTRA)
        budget.record_first(0.0)
        self.assertTrue(budget.take(7, 0.0))
