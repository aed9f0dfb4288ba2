"""Tests of who is a neighbour and who is out of reach."""

import testtools

from citronport.instances import const
from citronport.instances import membership


def make_names(count):
    """Return so many instance names."""
    return {f"entry-{number}" for number in range(count)}


class NeighboursTest(testtools.TestCase):
    """Few links, and a change reaches all."""

    def test_small_fleet_is_full_mesh(self):
        """Each hears each at first hand."""
        names = make_names(7)
        chosen = membership.choose_neighbours("entry-3", names)
        self.assertEqual(names - {"entry-3"}, chosen)

    def test_large_fleet_has_few_links_and_reaches_all(self):
        """Nine links each at 510, and no instance that nobody tells."""
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
        """A replacement must not open the links of the whole fleet anew."""
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
    """Signs of life at first and at second hand."""

    def setUp(self):
        """Expect signs of life of one neighbour."""
        super().setUp()
        self.detector = membership.FailureDetector()
        self.detector.set_neighbours({"near"}, 0.0)

    def test_silent_neighbour_is_out_of_reach_until_heard(self):
        """First-hand silence counts from the last sign of life."""
        self.detector.record_contact("near", 1.0)
        late = 1.1 + const.SILENCE_TIMEOUT_SECONDS
        self.assertEqual({}, self.detector.find_silent(late - 0.2))
        self.assertEqual({"near": 0.0}, self.detector.find_silent(late))
        self.detector.record_contact("near", late)
        self.assertEqual({}, self.detector.find_silent(late))

    def test_relayed_silence_ages_and_expires(self):
        """Those who are not its neighbours notice a return.

        A far instance dies and is replaced. Nobody says so any more; what
        was told, and is told on from one to the next, must run out.
        """
        self.detector.record_relayed_silence({"far": 1.0}, 10.0)
        self.assertAlmostEqual(3.0, self.detector.find_silent(12.0)["far"])
        other = membership.FailureDetector()
        other.record_relayed_silence(self.detector.find_silent(12.0), 12.0)
        gone = 9.1 + const.RELAYED_SILENCE_SECONDS
        self.assertNotIn("far", self.detector.find_silent(gone))
        self.assertNotIn("far", other.find_silent(gone))

    def test_report_interval_of_large_fleet_is_no_silence(self):
        """A report each 2 s must not look like a death in between.

        Seen as neighbours that are out of reach before each report, and
        are told to be so to all others.
        """
        interval = const.RING_REPORT_INTERVAL_SECONDS
        self.detector.record_contact("near", 0.0)
        self.assertEqual({}, self.detector.find_silent(2.2, interval))
        late = 2.6 * interval
        self.assertEqual(
            {"near": 0.0}, self.detector.find_silent(late, interval)
        )

    def test_contact_from_non_neighbour_is_not_monitored(self):
        """Only a neighbour owes signs of life."""
        self.detector.record_contact("stranger", 0.0)
        self.assertNotIn("stranger", self.detector.find_silent(60.0))

    def test_direct_contact_overrides_relayed_silence(self):
        """A neighbour that answers is not out of reach, whoever says so."""
        self.detector.record_relayed_silence({"near": 0.0}, 1.0)
        self.assertEqual({}, self.detector.find_silent(1.0))
