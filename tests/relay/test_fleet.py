"""How reports go out to a large fleet."""

import testtools

from citronport.relay import fleet


class SpreadTest(testtools.TestCase):
    """Load: sixty instances on links of 10 Mbit/s."""

    def test_reports_go_out_a_few_at_a_time(self):
        """A limit refuses callers on a calm day, far below its rate.

        An instance sends its report to all others at once; its link drops
        what does not fit into its queue, each time the last ones of the
        same order. Those hear of a quarter of the fleet, take themselves
        for a minority, and use a small part of each limit. So a group is
        small, and everybody is in one.
        """
        targets = [f"10.0.0.{n}:1" for n in range(59)]
        groups = fleet.split_targets(targets)
        self.assertEqual(sorted(targets), sorted(sum(groups, [])))
        self.assertLessEqual(max(map(len, groups)), fleet.SENDS_AT_ONCE)
        self.assertGreater(len(groups), 4)

    def test_who_comes_last_changes(self):
        """What gets lost all the same hits other instances each time."""
        targets = [f"10.0.0.{n}:1" for n in range(59)]
        last = {fleet.split_targets(targets)[-1][-1] for _ in range(20)}
        self.assertGreater(len(last), 3)

    def test_nobody_to_tell(self):
        """An instance that knows nobody has nothing to send."""
        self.assertEqual([], fleet.split_targets([]))
