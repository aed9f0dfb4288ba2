"""Tests of how long instances keep what they announce to each other."""

import testtools

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import causes
from citronport.scheduler.direct import crash_records
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import suspects
from tests.relay import samples

INSTANCES = 8
TRANSIT_SECONDS = 0.12
"""Time that an update is under way, which its age does not include."""

REPORT_SECONDS = 2.0


class Fleet:
    """Instances that forward each other's updates, each a moment later."""

    def __init__(self, make):
        self.nodes = [make() for _ in range(INSTANCES)]

    def run(self, start, end):
        """Have every instance send one update a second, one after another.

        Each sends as soon as it has received that of the one before.
        """
        now = start
        while now < end:
            for number, node in enumerate(self.nodes):
                sent_at = now + number * TRANSIT_SECONDS
                rows = node.list_updates(sent_at)
                for other in self.nodes:
                    if other is not node:
                        other.apply_updates(rows, sent_at + TRANSIT_SECONDS)
            now += REPORT_SECONDS
        return now


class ExpiryTest(testtools.TestCase):
    """Items that no instance observes any more."""

    def test_forwarding_does_not_renew_a_limit(self):
        """Guards against a limit that stays young since it is forwarded."""
        fleet = Fleet(endpoint_limits.EndpointLimits)
        fleet.nodes[0].record_limit("e", 2.0, 0.0)
        now = fleet.run(0.0, 0.5 * announcements.KEEP_SECONDS)
        self.assertEqual(
            [1] * INSTANCES, [n.count_limited() for n in fleet.nodes]
        )
        fleet.run(now, announcements.KEEP_SECONDS + 10 * REPORT_SECONDS)
        self.assertEqual(
            [0] * INSTANCES, [n.count_limited() for n in fleet.nodes]
        )

    def test_forwarding_does_not_renew_a_suspect(self):
        """Guards against a bar that outlives its request by forwarding."""
        fleet = Fleet(suspects.Suspects)
        for number in range(causes.REQUEST_THRESHOLD):
            endpoint = samples.make_endpoint(f"e{number}")
            content = suspects.Content(fingerprint="f")
            fleet.nodes[0].record_crash(content, endpoint, 0.0)
        fleet.run(0.0, announcements.KEEP_SECONDS + 10 * REPORT_SECONDS)
        self.assertEqual(
            [0] * INSTANCES, [n.count_barred() for n in fleet.nodes]
        )

    def test_forwarding_does_not_renew_a_good_answer(self):
        """Guards against a bar that is lifted since an answer is forwarded."""
        fleet = Fleet(suspects.Suspects)
        part = fingerprints.make_part_fingerprint("part")
        content = suspects.Content(fingerprint="f", parts=(part,))
        fleet.nodes[0].record_crash(content, samples.make_endpoint("e"), 0.0)
        now = fleet.run(0.0, 2 * REPORT_SECONDS)
        fleet.nodes[0].record_begun(content, now)
        now = fleet.run(
            now, now + crash_records.CLEARED_SECONDS + REPORT_SECONDS
        )
        for number in range(causes.PART_THRESHOLD):
            endpoint = samples.make_endpoint(f"e{number}")
            other = suspects.Content(fingerprint=f"f{number}", parts=(part,))
            fleet.nodes[0].record_crash(other, endpoint, now + number)
        now = fleet.run(now + 2.0, now + 0.5 * announcements.KEEP_SECONDS)
        self.assertEqual(
            [1] * INSTANCES, [n.count_barred_parts() for n in fleet.nodes]
        )

    def test_answers_keep_a_limit(self):
        """Guards against exceeding a limit that an endpoint still states."""
        fleet = Fleet(endpoint_limits.EndpointLimits)
        now = 0.0
        while now < 2 * announcements.KEEP_SECONDS:
            fleet.nodes[0].record_limit("e", 2.0, now)
            now = fleet.run(now, now + 5 * REPORT_SECONDS)
            now += 0.4 * announcements.KEEP_SECONDS
        self.assertEqual(
            [2.0] * INSTANCES, [n.get_rate("e") for n in fleet.nodes]
        )

    def test_limit_after_an_expired_one_is_announced(self):
        """Guards against a limit that only one instance knows."""
        fleet = Fleet(endpoint_limits.EndpointLimits)
        fleet.nodes[0].record_limit("e", 2.0, 0.0)
        fleet.run(0.0, 3 * REPORT_SECONDS)
        now = 2 * announcements.KEEP_SECONDS
        for node in fleet.nodes:
            node.remove_expired(now)
        fleet.nodes[1].record_limit("e", 2.0, now)
        fleet.run(now, now + 3 * REPORT_SECONDS)
        self.assertEqual(
            [2.0] * INSTANCES, [n.get_rate("e") for n in fleet.nodes]
        )
