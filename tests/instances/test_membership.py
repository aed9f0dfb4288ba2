"""Tests of neighbour selection and failure detection."""

import testtools

from citronport.instances import const
from citronport.instances import membership


def make_names(count):
    """Return a number of instance names."""
    return {f"entry-{number}" for number in range(count)}


class NeighboursTest(testtools.TestCase):
    """Few links per instance, and a change reaches all instances."""

    def test_small_fleet_is_full_mesh(self):
        """All instances are neighbours of each other."""
        names = make_names(7)
        chosen = membership.choose_neighbours("entry-3", names)
        self.assertEqual(names - {"entry-3"}, chosen)

    def test_large_fleet_has_few_links_and_reaches_all(self):
        """510 instances have nine links each and are all reached."""
        names = make_names(510)
        chosen = {n: membership.choose_neighbours(n, names) for n in names}
        self.assertEqual({9}, {len(found) for found in chosen.values()})
        reached = {"entry-0"}
        frontier = {"entry-0"}
        for _ in range(9):
            frontier = {n for name in frontier for n in chosen[name]} - reached
            reached |= frontier
        self.assertEqual(names, reached)

    def test_one_more_instance_moves_few_links(self):
        """Adding an instance must not replace most links of the fleet."""
        before = make_names(200)
        after = before | {"entry-new"}
        moved = sum(
            len(
                membership.choose_neighbours(name, after)
                - membership.choose_neighbours(name, before)
            )
            for name in before
        )
        every = sum(
            len(membership.choose_neighbours(name, before)) for name in before
        )
        self.assertLess(moved, every * 0.6)


class FailureDetectorTest(testtools.TestCase):
    """Direct contacts and relayed silence."""

    def setUp(self):
        """Create a detector with one neighbour."""
        super().setUp()
        self.detector = membership.FailureDetector()
        self.detector.set_neighbours({"near"}, 0.0)

    def test_silent_neighbour_is_out_of_reach_until_heard(self):
        """The silence of a neighbour counts from its last message."""
        self.detector.record_contact("near", 1.0)
        late = 1.1 + const.SILENCE_TIMEOUT_SECONDS
        self.assertEqual({}, self.detector.find_silent(late - 0.2))
        self.assertEqual({"near": 0.0}, self.detector.find_silent(late))
        self.detector.record_contact("near", late)
        self.assertEqual({}, self.detector.find_silent(late))

    def test_relayed_silence_ages_and_expires(self):
        """Instances that are not its neighbours notice a replacement.

        A remote instance dies and is replaced, so no neighbour states its
        silence any more. Statements that are relayed from one instance to
        the next must not keep each other alive.
        """
        self.detector.record_relayed_silence({"far": 1.0}, 10.0)
        self.assertAlmostEqual(3.0, self.detector.find_silent(12.0)["far"])
        other = membership.FailureDetector()
        other.record_relayed_silence(self.detector.find_silent(12.0), 12.0)
        gone = 9.1 + const.RELAYED_SILENCE_SECONDS
        self.assertNotIn("far", self.detector.find_silent(gone))
        self.assertNotIn("far", other.find_silent(gone))

    def test_report_interval_of_large_fleet_is_no_silence(self):
        """An interval of 2 s between reports must not count as silence.

        Otherwise neighbours are considered unreachable before each of their
        reports, and this is relayed to all others.
        """
        interval = const.RING_REPORT_INTERVAL_SECONDS
        self.detector.record_contact("near", 0.0)
        self.assertEqual({}, self.detector.find_silent(2.2, interval))
        late = 2.6 * interval
        self.assertEqual(
            {"near": 0.0}, self.detector.find_silent(late, interval)
        )

    def test_contact_from_non_neighbour_is_not_monitored(self):
        """Regular messages are expected from neighbours only."""
        self.detector.record_contact("stranger", 0.0)
        self.assertNotIn("stranger", self.detector.find_silent(60.0))

    def test_direct_contact_overrides_relayed_silence(self):
        """A neighbour with direct contact stays reachable."""
        self.detector.record_relayed_silence({"near": 0.0}, 1.0)
        self.assertEqual({}, self.detector.find_silent(1.0))
