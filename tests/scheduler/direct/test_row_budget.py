"""Room for the rows that other instances report."""

import testtools

from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import row_budget

MAX_BYTES = 1000


class RowBudgetTest(testtools.TestCase):
    """Senders that report to one table."""

    def setUp(self):
        """Make a budget whose table records who had to make room."""
        super().setUp()
        self.dropped = []
        self.budget = row_budget.RowBudget(MAX_BYTES)
        self.budget.add_table("rows", self.dropped.append)

    def hold(self, sender, size):
        """Let a sender hold some bytes; return whether there is room."""
        return self.budget.hold("rows", sender, size)

    def test_crowd_of_new_senders(self):
        """Guards against a crowd that displaces those that were there."""
        self.assertTrue(self.hold("first", 100))
        taken = [self.hold(f"crowd-{n}", 100) for n in range(50)]
        self.assertEqual(9, sum(taken))
        self.assertTrue(self.hold("first", 200))
        self.assertEqual(["crowd-8"], self.dropped)
        self.assertLessEqual(self.budget.total, MAX_BYTES)

    def test_one_sender(self):
        """Guards against a sender that takes the room of all others."""
        share = MAX_BYTES // row_budget.SENDER_DIVISOR
        self.assertFalse(self.hold("first", share + 1))
        self.assertTrue(self.hold("first", share))
        self.assertEqual(1, self.budget.refused)

    def test_rows_that_are_gone(self):
        """Guards against room that is never given back."""
        for _ in range(20):
            self.assertTrue(self.hold("first", 200))
            self.assertTrue(self.hold("first", 0))
        self.assertEqual(0, self.budget.total)
        self.assertEqual([], self.dropped)


class LoadsTest(testtools.TestCase):
    """Loads of other instances within a small budget."""

    def setUp(self):
        """Make a tracker with room for some rows."""
        super().setUp()
        self.budget = row_budget.RowBudget(10_000)
        self.loads = load_tracker.LoadTracker(budget=self.budget)

    def test_dropped_loads_are_not_counted(self):
        """Guards against loads that stay counted without their rows."""
        self.loads.apply_report("first", [("e1", 1, 10, 5)])
        for number in range(30):
            self.loads.apply_report(f"crowd-{number}", [("e2", 1, 10, 5)])
        held = self.loads.count_requests("e2")
        self.assertLess(held, 30)
        rows = [(f"e{n}", 2, 0, 5) for n in range(1, 5)]
        self.loads.apply_report("first", rows)
        self.assertEqual(2, self.loads.count_requests("e1"))
        self.assertLess(self.loads.count_requests("e2"), held + 2)
        self.loads.drop_stale((), ())
        self.assertEqual(0, self.loads.count_requests("e1"))
        self.assertEqual(0, self.loads.count_requests("e2"))
        self.assertEqual(0, self.budget.total)
