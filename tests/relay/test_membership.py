"""Membership as derived from reports."""

import testtools

from citronport.relay import membership
from citronport.relay import messages
from citronport.scheduler.direct import quota


def make_report(name, number=1, **changes):
    """Return the report of an instance."""
    fields = {
        "protocol": messages.PROTOCOL,
        "instance": name,
        "incarnation": "1",
        "number": number,
        "up_seconds": 60.0,
        "data_centre": "a",
        "capacity": 1.0,
        "caller_address": f"10.0.0.1:{len(name)}",
        "peer_address": f"10.0.0.{len(name)}:9",
        "ready": True,
        "leaving": False,
        "starting": False,
        "revision": 5,
        "store_seconds": 0.1,
        "knows_lost": False,
        "path_lost": False,
        "admitted_units": {},
        "loads": [],
        "profiles": [],
        "members": [],
        "suspects": [],
        "limits": [],
    }
    return messages.Report(**{**fields, **changes})


class MembershipTest(testtools.TestCase):
    """One instance's view of the others."""

    def setUp(self):
        """Make the view of an instance that got reports of two others."""
        super().setUp()
        self.members = membership.Membership("own", "a")
        self.members.apply_report(make_report("x"), 0.0)
        self.members.apply_report(make_report("yy"), 0.0)

    def test_start_behind_a_partition(self):
        """Guards against limits that each instance uses as a whole."""
        alone = membership.Membership("own", "a")
        self.assertEqual(1.0, alone.compute_reach(0.0))
        alone.expect_others(0.0)
        self.assertLess(alone.compute_reach(10.0), quota.MAJORITY)
        self.assertEqual(1.0, alone.compute_reach(31.0))
        alone.apply_report(make_report("x"), 10.0)
        self.assertEqual(1.0, alone.compute_reach(10.0))

    def list_usable(self, now):
        """Return the names of the instances that callers may use."""
        return sorted(r.instance for r in self.members.list_usable(now))

    def test_silent_instance_gets_no_callers(self):
        """Callers get no address of an instance killed two seconds ago."""
        self.members.apply_report(make_report("x", 2), 2.0)
        self.assertEqual(["x"], self.list_usable(2.5))

    def test_leaving_or_unready_instance_gets_no_callers(self):
        """Its next report removes it from the addresses for callers."""
        self.members.apply_report(make_report("x", 2, leaving=True), 0.1)
        self.members.apply_report(make_report("yy", 2, ready=False), 0.1)
        self.assertEqual([], self.list_usable(0.2))

    def test_limits_count_silent_instances_for_a_while(self):
        """A partitioned instance may still serve callers and use limits."""
        self.members.apply_report(make_report("x", 2), 5.0)
        self.assertEqual(("own", "x", "yy"), self.members.list_known(5.0))
        self.assertAlmostEqual(2 / 3, self.members.compute_reach(5.0))
        self.members.apply_report(make_report("x", 3), 40.0)
        self.assertEqual(1.0, self.members.compute_reach(40.0))

    def test_one_that_left_does_not_count(self):
        """An instance does not count for reach after it has shut down."""
        self.members.apply_report(make_report("yy", 2, leaving=True), 0.5)
        self.members.apply_report(make_report("x", 2), 2.0)
        self.assertEqual(1.0, self.members.compute_reach(2.0))

    def test_out_of_order_reports(self):
        """An older report of the same incarnation is ignored."""
        self.assertTrue(self.members.apply_report(make_report("x", 5), 1.0))
        self.assertFalse(self.members.apply_report(make_report("x", 4), 1.0))
        restarted = make_report("x", 1, incarnation="2")
        self.assertTrue(self.members.apply_report(restarted, 2.0))

    def test_late_report_of_an_earlier_incarnation(self):
        """A summary may still hold the incarnation before a restart."""
        restarted = make_report("x", 1, incarnation="2")
        self.assertTrue(self.members.apply_report(restarted, 2.0))
        self.assertFalse(self.members.apply_report(make_report("x", 9), 1.5))

    def test_members_named_by_a_seed(self):
        """Members in a seed's report get reports, but no callers yet."""
        members = [
            ("zzz", "1", "10.0.0.3:9", "a"),
            ("own", "1", "10.0.0.9:9", "a"),
        ]
        self.members.apply_report(make_report("x", 2, members=members), 1.0)
        self.assertIn("10.0.0.3:9", self.members.list_addresses(1.0))
        self.assertNotIn("10.0.0.9:9", self.members.list_addresses(1.0))
        self.assertNotIn("zzz", self.list_usable(1.0))

    def test_silent_instances_still_get_reports(self):
        """Both parts rejoin after a partition of one minute."""
        self.assertEqual(2, len(self.members.list_addresses(60.0)))

    def test_a_settled_fleet_names_fewer_members(self):
        """Names cost bytes; a new instance raises their number again."""
        for number in range(20):
            self.members.apply_report(make_report(f"i{number}"), 0.0)
        self.assertEqual(
            membership.REPORTED_MEMBERS, len(self.members.list_members(0.1))
        )
        later = membership.SETTLED_SECONDS + 1.0
        for number in range(20):
            self.members.apply_report(make_report(f"i{number}", 2), later)
        self.assertEqual(
            membership.SETTLED_REPORTED_MEMBERS,
            len(self.members.list_members(later)),
        )
        self.members.apply_report(make_report("new"), later)
        self.assertEqual(
            membership.REPORTED_MEMBERS, len(self.members.list_members(later))
        )
