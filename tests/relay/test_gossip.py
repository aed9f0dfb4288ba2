"""Sending reports to other instances."""

import gevent
import testtools

from citronport import clock
from citronport.relay import gossip
from tests import addresses
from tests.relay import nodes
from tests.relay import test_membership


class SendGroupsTest(testtools.TestCase):
    """Groups of reports, for sixty instances on links of 10 Mbit/s."""

    def test_reports_are_sent_in_small_groups(self):
        """Guards against refusals far below a limit.

        If an instance sends its report to all others at once and in the
        same order, its link drops the last ones each time, as they do not
        fit into its queue. Their receivers get reports of a quarter of the
        fleet, consider themselves a minority, and use a small part of each
        limit. Groups must be small and together contain all targets.
        """
        targets = [f"10.0.0.{n}:1" for n in range(59)]
        groups = gossip.split_targets(targets)
        self.assertEqual(sorted(targets), sorted(sum(groups, [])))
        self.assertLessEqual(max(map(len, groups)), gossip.GROUP_SIZE)
        self.assertGreater(len(groups), 4)

    def test_last_target_varies(self):
        """If reports are lost nevertheless, their receivers vary."""
        targets = [f"10.0.0.{n}:1" for n in range(59)]
        last = {gossip.split_targets(targets)[-1][-1] for _ in range(20)}
        self.assertGreater(len(last), 3)

    def test_no_targets(self):
        """An instance that knows no others has nothing to send."""
        self.assertEqual([], gossip.split_targets([]))


class DiscoveryTest(testtools.TestCase):
    """An instance that has just started, in a small fleet."""

    def test_new_instance_is_known_at_once(self):
        """Guards against an instance that serves callers on its own.

        Callers connect as soon as an instance has started. It only knows a
        seed, which answers its first report at once and names the third
        instance. The new instance reports to that one, which answers too:
        all know each other before the next regular report.
        """
        subnet = addresses.choose_subnet(8)
        new, seed, third = (nodes.Node(self, n, subnet) for n in (1, 2, 3))
        ticker = clock.RuntimeClock()
        for one, other in ((seed, third), (third, seed)):
            one.members.apply_report(other.make_report(), ticker.now())
        members = [(third.name, "1", third.address, "a")]
        seed.gossip._make_report = lambda: test_membership.make_report(
            seed.name, number=9, peer_address=seed.address, members=members
        )
        new.members.add_members(
            [(seed.name, "1", seed.address, "a")], ticker.now()
        )
        new.gossip.send_report(new.make_report())
        gevent.sleep(0.1)
        fresh = new.members.list_fresh(ticker.now())
        self.assertEqual({"i2", "i3"}, {r.instance for r in fresh})
        fresh = third.members.list_fresh(ticker.now())
        self.assertEqual({"i1", "i2"}, {r.instance for r in fresh})
