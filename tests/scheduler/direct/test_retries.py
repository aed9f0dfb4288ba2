"""Repeats of all instances together stay within their budget."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.scheduler.direct import retries

RATIO = 0.2
EXTRA = 54.0
PROFILE = hypothesis.settings(derandomize=True, deadline=None)


class RetryTest(testtools.TestCase):
    """Load: endpoints fail every request while callers press."""

    @PROFILE
    @hypothesis.given(
        instances=strategies.integers(1, 16),
        rate=strategies.integers(0, 50),
        told=strategies.integers(1, 16),
    )
    def test_sum_over_instances(self, instances, rate, told):
        """However many each instance knows of, the sum holds."""
        budgets = [retries.RetryBudget(RATIO, EXTRA) for _ in range(instances)]
        repeats = []
        firsts = []
        for step in range(200):
            now = step * 0.1
            for budget in budgets:
                for _ in range(rate // 10):
                    budget.record_first(now)
                    firsts.append(now)
                for _ in range(5):
                    if budget.take(told, now):
                        repeats.append(now)
        for end in (5.0, 10.0, 15.0, 19.9):
            window = [t for t in repeats if end - 10 < t <= end]
            sent = [t for t in firsts if end - 10 < t <= end]
            self.assertLessEqual(len(window), RATIO * len(sent) + EXTRA)

    def test_a_calm_service_may_repeat(self):
        """One failure among few requests is repeated."""
        budget = retries.RetryBudget(RATIO, EXTRA)
        budget.record_first(0.0)
        self.assertTrue(budget.take(7, 0.0))
