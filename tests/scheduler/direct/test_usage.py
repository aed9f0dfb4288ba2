"""What other data centres let pass, told by several envoys."""

import testtools

from citronport.scheduler.direct import usage


class EnvoysTest(testtools.TestCase):
    """One instance hears of one other data centre."""

    def setUp(self):
        """Hear the first words of two envoys."""
        super().setUp()
        self.usage = usage.Usage()
        self.hear("one", 0.0, 1000.0)
        self.hear("two", 0.1, 1000.0)

    def hear(self, envoy, now, total, start="1"):
        """Hear the sums of an envoy; return what is to be charged."""
        grown = self.usage.apply_data_centre_totals(
            "dc", envoy, start, {"w": total}, now
        )
        return grown.get("w", 0.0)

    def test_the_same_units_from_two_count_once(self):
        """A limit would be used up twice as fast."""
        self.assertEqual(500.0, self.hear("one", 0.3, 1500.0))
        self.assertEqual(0.0, self.hear("two", 0.4, 1500.0))

    def test_next_envoy_goes_on_where_the_silent_one_stopped(self):
        """What passes while nobody is believed would pass once more."""
        self.hear("one", 0.3, 1500.0)
        self.hear("two", 0.4, 1500.0)
        self.assertEqual(0.0, self.hear("two", 0.7, 2500.0))
        self.assertEqual(1500.0, self.hear("two", 1.1, 3000.0))

    def test_new_envoy_is_not_believed_at_its_first_word(self):
        """It replaces a dead one, and speaks before the next in line."""
        self.hear("one", 0.3, 1500.0)
        self.hear("two", 0.4, 1500.0)
        self.assertEqual(0.0, self.hear("three", 1.1, 3000.0))
        self.assertEqual(1500.0, self.hear("two", 1.2, 3000.0))

    def test_envoy_that_starts_anew_counts_from_nothing(self):
        """Its sums before would else be taken off the limit's use."""
        self.assertEqual(500.0, self.hear("one", 0.3, 1500.0))
        self.assertEqual(200.0, self.hear("one", 0.6, 200.0, start="2"))
