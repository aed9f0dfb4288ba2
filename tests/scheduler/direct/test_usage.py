"""Tests of the usage of other data centres, reported by several envoys."""

import testtools

from citronport.scheduler.direct import usage


class EnvoysTest(testtools.TestCase):
    """One instance gets the totals of one other data centre."""

    def setUp(self):
        """Apply the first totals of two envoys."""
        super().setUp()
        self.usage = usage.Usage()
        self.apply_totals("one", 0.0, 1000.0)
        self.apply_totals("two", 0.1, 1000.0)

    def apply_totals(self, envoy, now, total, incarnation="1"):
        """Apply the totals of an envoy; return the units to charge."""
        increase = self.usage.apply_data_centre_totals(
            "dc", envoy, incarnation, {"w": total}, now
        )
        return increase.get("w", 0.0)

    def test_units_from_two_envoys_count_once(self):
        """Guards against a limit that is used up twice as fast."""
        self.assertEqual(500.0, self.apply_totals("one", 0.3, 1500.0))
        self.assertEqual(0.0, self.apply_totals("two", 0.4, 1500.0))

    def test_next_envoy_continues_where_the_silent_one_stopped(self):
        """Guards against units that are not charged between two envoys."""
        self.apply_totals("one", 0.3, 1500.0)
        self.apply_totals("two", 0.4, 1500.0)
        self.assertEqual(0.0, self.apply_totals("two", 0.7, 2500.0))
        self.assertEqual(1500.0, self.apply_totals("two", 1.1, 3000.0))

    def test_first_report_of_a_new_envoy_is_not_charged(self):
        """A replacement of a dead envoy may report before the next known one.

        Its first totals have no baseline, so that it must not take over.
        """
        self.apply_totals("one", 0.3, 1500.0)
        self.apply_totals("two", 0.4, 1500.0)
        self.assertEqual(0.0, self.apply_totals("three", 1.1, 3000.0))
        self.assertEqual(1500.0, self.apply_totals("two", 1.2, 3000.0))

    def test_totals_of_a_restarted_envoy_count_from_zero(self):
        """Guards against subtracting the totals from before the restart."""
        self.assertEqual(500.0, self.apply_totals("one", 0.3, 1500.0))
        self.assertEqual(
            200.0, self.apply_totals("one", 0.6, 200.0, incarnation="2")
        )
