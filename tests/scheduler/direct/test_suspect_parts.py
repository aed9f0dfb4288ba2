"""Tests of barring parts of prompts that crash endpoints."""

import itertools
import random

import msgpack
import testtools

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import crash_records
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import suspects
from tests.scheduler.direct import test_suspects

BAD = "bad"
REPORT_BYTES = 1200
"""Part of a report that updates on contents may take, as its datagram has to
fit into one packet beside the loads of endpoints."""

make_endpoint = test_suspects.make_endpoint
make_content = test_suspects.make_content


class Fleet:
    """Instances that exchange their updates.

    Args:
        size: number of instances.
    """

    def __init__(self, size):
        self.nodes = [suspects.Suspects() for _ in range(size)]

    def exchange(self, now, rounds=3):
        """Let each instance send some reports to all others."""
        for number in range(rounds):
            at = now + 0.1 * number
            for node in self.nodes:
                rows = node.list_updates(at)
                for other in self.nodes:
                    if other is not node:
                        other.apply_updates(rows, at)

    def count_barring(self, content, now):
        """Return how many instances bar a request."""
        return sum(node.is_barred(content, now) for node in self.nodes)


class SuspectPartsTest(testtools.TestCase):
    """One instance, and updates from other instances."""

    def setUp(self):
        """Create an instance that knows nothing."""
        super().setUp()
        self.suspects = suspects.Suspects()
        self.numbers = itertools.count()

    def make(self, *parts, **fields):
        """Return the content of a request that no other one equals."""
        return make_content(f"f{next(self.numbers)}", *parts, **fields)

    def crash(self, now, *contents, begun=()):
        """Record the crash of an endpoint that had some requests."""
        endpoint = make_endpoint(next(self.numbers))
        for content in contents:
            self.suspects.record_crash(content, endpoint, now)
        for content in begun:
            self.suspects.record_crash(content, endpoint, now, has_begun=True)

    def is_barred(self, now, *parts, **fields):
        """Return whether a new request with some parts is barred."""
        return self.suspects.is_barred(self.make(*parts, **fields), now)

    def test_part_that_unlike_requests_share_is_barred(self):
        """Guards against a part that crashes endpoint after endpoint."""
        for at in (1.0, 2.0):
            self.assertFalse(self.is_barred(at, BAD))
            self.crash(at, self.make("common", BAD))
            self.suspects.record_begun(self.make("common"), at)
        self.assertTrue(self.is_barred(3.0, "common", BAD))
        self.assertTrue(self.is_barred(3.0, BAD, "other"))
        self.assertFalse(self.is_barred(3.0, "common", "other"))
        self.assertEqual(1, self.suspects.count_barred_parts())
        self.assertEqual(0, self.suspects.count_barred())

    def test_last_part_is_no_suspect(self):
        """Guards against barring what belongs to one request or session."""
        self.assertEqual((), fingerprints.make_part_fingerprints(["own"]))

    def test_begun_answer_clears_a_part_before_and_after_it(self):
        """Guards against barring a part that was only there."""
        self.crash(1.0, self.make("common"))
        self.suspects.record_begun(self.make("common"), 2.0)
        for at in (1.5, 3.0, 4.0, 5.0):
            self.crash(at, self.make("common"))
        self.assertFalse(self.is_barred(6.0, "common"))

    def test_part_of_an_answer_that_had_begun_is_no_suspect(self):
        """Guards against blaming requests in the middle of their answers."""
        for at in (1.0, 2.0, 3.0):
            self.crash(at, self.make(BAD), begun=[self.make("sound")])
        self.assertFalse(self.is_barred(4.0, "sound"))
        self.assertTrue(self.is_barred(4.0, BAD))

    def test_unproved_end_clears_no_part(self):
        """Guards against a crash that looks like the end of an answer."""
        self.crash(1.0, self.make(BAD))
        self.suspects.record_completion(
            self.make(BAD), 1.5, clears_parts=False
        )
        self.crash(2.0, self.make(BAD))
        self.assertTrue(self.is_barred(3.0, BAD))

    def test_crashes_of_many_endpoints_at_one_moment_bar_nothing(self):
        """Guards against barring parts after a rack or a zone is lost."""
        for number in range(8):
            self.crash(1.0 + 0.005 * number, self.make("rare"))
        self.assertFalse(self.is_barred(2.0, "rare"))

    def test_crashes_in_quick_succession_bar_the_part(self):
        """Guards against a part that comes too often to be noticed."""
        for number in range(10):
            self.crash(1.0 + 0.02 * number, self.make(BAD))
        self.assertTrue(self.is_barred(2.0, BAD))

    def test_repeats_of_one_request_bar_that_request_only(self):
        """Guards against barring parts of which only one request was bad."""
        bad = self.make("document")
        for at in (1.0, 2.0, 3.0):
            self.crash(at, bad)
        self.assertTrue(self.suspects.is_barred(bad, 4.0))
        self.assertFalse(self.is_barred(4.0, "document"))

    def test_parts_that_always_come_together_are_barred_together(self):
        """Guards against barring a neighbour of the part at fault."""
        for at in (1.0, 2.0):
            self.crash(at, self.make(BAD, "neighbour"))
        self.assertTrue(self.is_barred(3.0, "neighbour", BAD))
        self.assertFalse(self.is_barred(3.0, "neighbour"))
        self.crash(3.0, self.make(BAD, "another"))
        self.assertTrue(self.is_barred(4.0, BAD))
        self.assertFalse(self.is_barred(4.0, "another", "neighbour"))

    def test_crash_with_a_known_cause_blames_no_other_content(self):
        """Guards against barring requests that met three known causes."""
        unlucky = self.make("rare")
        for at in (1.0, 2.0, 3.0):
            self.crash(at, self.make(BAD), unlucky)
        self.crash(4.0, self.make(BAD))
        self.assertTrue(self.is_barred(5.0, BAD))
        self.assertFalse(self.suspects.is_barred(unlucky, 5.0))
        self.assertFalse(self.is_barred(5.0, "rare"))

    def test_two_parts_at_fault_are_both_barred(self):
        """Guards against a cause that hides another one."""
        for at in (1.0, 2.0):
            self.crash(at, self.make(BAD))
            self.crash(at + 0.5, self.make("worse"))
        self.assertTrue(self.is_barred(3.0, BAD))
        self.assertTrue(self.is_barred(3.0, "worse"))

    def test_workspace_cannot_bar_the_parts_of_another(self):
        """Guards against a workspace that names the parts of others."""
        for number in range(4):
            content = self.make("victim", f"bad{number}", workspace="attacker")
            self.crash(1.0 + number, content)
        self.assertTrue(self.is_barred(6.0, "victim", workspace="attacker"))
        self.assertFalse(self.is_barred(6.0, "victim", workspace="other"))

    def test_part_at_fault_in_two_workspaces_is_barred_for_all(self):
        """Guards against crashes by each workspace in turn."""
        for number in range(3):
            content = self.make(BAD, workspace=f"w{number % 2}")
            self.crash(1.0 + number, content)
        self.assertTrue(self.is_barred(5.0, BAD, workspace="w9"))

    def test_bar_ends_some_time_after_the_last_crash(self):
        """Guards against refusing a part long after engines were mended."""
        for at in (1.0, 2.0):
            self.crash(at, self.make(BAD))
        now = 2.0
        while now < suspects.KEEP_SECONDS - 10.0:
            self.suspects.remove_expired(now)
            self.assertTrue(self.is_barred(now, BAD))
            now += 50.0
        now = suspects.KEEP_SECONDS + 3.0
        self.suspects.remove_expired(now)
        self.assertFalse(self.is_barred(now, BAD))

    def test_endpoint_that_answers_later_has_not_crashed(self):
        """Guards against barring requests that a live endpoint has reset."""
        unlucky = self.make("rare")
        endpoints = [make_endpoint(n) for n in range(3)]
        for number, endpoint in enumerate(endpoints):
            self.suspects.record_crash(unlucky, endpoint, 1.0 + number)
        self.assertTrue(self.suspects.is_barred(unlucky, 4.0))
        # A request sent before may have been answered before the crash.
        self.suspects.record_alive(endpoints[0], 0.9, 4.0)
        self.assertTrue(self.suspects.is_barred(unlucky, 4.0))
        for endpoint in endpoints[:2]:
            self.suspects.record_alive(endpoint, 4.0, 4.1)
        self.assertFalse(self.suspects.is_barred(unlucky, 5.0))
        self.assertFalse(self.is_barred(5.0, "rare"))
        self.suspects.record_crash(unlucky, endpoints[0], 6.0)
        self.suspects.record_crash(unlucky, endpoints[1], 7.0)
        self.assertTrue(self.suspects.is_barred(unlucky, 8.0))

    def test_random_crashes_bar_nothing(self):
        """Guards against barring sound requests for crashes of endpoints.

        Requests with shared and with rare parts run at nine endpoints, of
        which one crashes every half a second.
        """
        for seed in range(20):
            self.suspects = suspects.Suspects()
            chance = random.Random(seed)
            for step in range(400):
                now = 0.05 * step
                contents = [
                    self.make("common", f"subject{chance.randrange(200)}")
                    for _ in range(5)
                ]
                if step % 10 == 0:
                    self.crash(now, *contents[:2], begun=contents[2:])
                    continue
                for content in contents:
                    self.suspects.record_begun(content, now)
            self.assertEqual(0, self.suspects.count_barred_parts(), seed)


class PartsInAFleetTest(testtools.TestCase):
    """Several instances, each of which sees a part of the crashes."""

    def crash(self, node, number, now, *parts):
        """Record a crash at one instance."""
        content = make_content(f"f{number}", *parts)
        node.record_crash(content, make_endpoint(number), now)

    def test_crashes_at_different_instances_add_up(self):
        """Guards against two crashes at each instance."""
        fleet = Fleet(7)
        for number, node in enumerate(fleet.nodes[:2]):
            self.crash(node, number, 1.0 + number, "common", BAD)
        for node in fleet.nodes:
            node.record_begun(make_content("s", "common"), 2.5)
        fleet.exchange(3.0)
        self.assertEqual(7, fleet.count_barring(make_content("x", BAD), 4.0))
        sound = make_content("x", "common")
        self.assertEqual(0, fleet.count_barring(sound, 4.0))

    def test_answer_at_another_instance_clears_a_part(self):
        """Guards against a bar by instances that have not seen an answer."""
        fleet = Fleet(7)
        sound = make_content("x", "rare")
        fleet.nodes[6].record_begun(sound, 1.0)
        for number in (0, 1):
            node = fleet.nodes[number]
            self.crash(node, number, 2.0 + number, "rare")
        fleet.exchange(3.0)
        self.assertEqual(0, fleet.count_barring(sound, 3.5))

    def test_answer_of_an_endpoint_takes_back_its_crash_everywhere(self):
        """Guards against a bar by instances that don't use the endpoint."""
        fleet = Fleet(7)
        for number in (0, 1):
            self.crash(fleet.nodes[number], number, 1.0 + number, BAD)
        fleet.exchange(3.0)
        content = make_content("x", BAD)
        self.assertEqual(7, fleet.count_barring(content, 3.3))
        fleet.nodes[6].record_alive(make_endpoint(0), 3.3, 3.4)
        fleet.exchange(3.5)
        self.assertEqual(0, fleet.count_barring(content, 4.0))
        fleet.nodes[5] = suspects.Suspects()
        fleet.exchange(60.0)
        self.assertEqual(0, fleet.count_barring(content, 61.0))

    def test_instance_that_starts_later_knows_the_part(self):
        """Guards against a restarted instance that admits a barred part."""
        fleet = Fleet(7)
        for number in (0, 1):
            self.crash(fleet.nodes[number], number, 1.0 + number, BAD)
        fleet.exchange(3.0)
        fleet.nodes[0] = suspects.Suspects()
        fleet.exchange(60.0, rounds=1)
        self.assertEqual(7, fleet.count_barring(make_content("x", BAD), 61.0))

    def test_thousands_of_parts_take_little_room(self):
        """Guards against reports and state that grow with parts in use."""
        node = suspects.Suspects()
        now = 0.0
        for number in range(3 * crash_records.MAX_CLEARED):
            now += 0.01
            content = make_content(f"f{number}", f"a{number}", f"b{number}")
            node.record_begun(content, now)
        self.assertEqual([], node.list_updates(now))
        self.assertLessEqual(len(node._cleared), crash_records.MAX_CLEARED)
        for number in range(2 * suspects.MAX_SUSPECTS):
            now += 0.01
            self.crash(node, number, now, f"c{number}", f"d{number}")
        self.assertLessEqual(len(node._suspects), suspects.MAX_SUSPECTS)
        rows = node.list_updates(now)
        self.assertLessEqual(len(rows), announcements.MAX_CHANGES + 1)
        size = len(msgpack.packb(rows))
        self.assertLessEqual(size, REPORT_BYTES)
