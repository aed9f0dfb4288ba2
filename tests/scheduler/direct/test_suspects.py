"""Tests of barring requests that crash endpoints."""

import testtools

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import suspects
from tests.relay import samples

FINGERPRINT = "f1"


def make_content(fingerprint=FINGERPRINT, *parts, workspace="shop"):
    """Return the content of a request; the last part is its own."""
    return suspects.Content(
        fingerprint=fingerprint,
        parts=fingerprints.make_part_fingerprints((*parts, "own")),
        workspace=workspace,
    )


def make_endpoint(number):
    """Return an endpoint that is unique for a number."""
    return samples.make_endpoint(f"e{number}")


class SuspectsTest(testtools.TestCase):
    """One instance, and updates from other instances."""

    def setUp(self):
        """Create an instance without suspects."""
        super().setUp()
        self.suspects = suspects.Suspects()

    def record_crashes(self, *numbers, own=None, now=0.0):
        """Record crashes; return whether the last one bars the request."""
        own = own or self.suspects
        results = [
            own.record_crash(make_content(), make_endpoint(n), now)
            for n in numbers
        ]
        return results[-1] is not None

    def is_barred(self, now=0.0):
        """Return whether the request is barred."""
        return self.suspects.is_barred(make_content(), now)

    def test_third_crash_bars_a_request(self):
        """Guards against a request that crashes one endpoint after another.

        Only the crash that bars the request is reported as such.
        """
        self.assertFalse(self.record_crashes(1, 2))
        self.assertFalse(self.is_barred())
        self.assertTrue(self.record_crashes(3))
        self.assertTrue(self.is_barred())
        self.assertFalse(self.record_crashes(4))
        self.assertEqual(1, self.suspects.count_barred())
        self.assertFalse(self.suspects.is_barred(make_content("other"), 0.0))

    def test_repeated_crashes_of_one_endpoint_count_once(self):
        """Guards against barring a request for resets of one endpoint."""
        self.record_crashes(1, 1, 1, 1)
        self.assertFalse(self.is_barred())

    def test_complete_answer_clears_earlier_crashes(self):
        """Guards against barring a request that was involved by chance."""
        self.record_crashes(1, 2)
        self.suspects.record_completion(make_content(), 1.0, clears_parts=True)
        self.record_crashes(3, 4, now=2.0)
        self.assertFalse(self.is_barred(2.0))
        self.record_crashes(5, now=3.0)
        self.assertTrue(self.is_barred(3.0))

    def test_crashes_seen_by_several_instances_add_up(self):
        """Guards against three crashes on each instance."""
        others = [suspects.Suspects() for _ in range(3)]
        for number, other in enumerate(others):
            self.record_crashes(number, own=other)
            self.suspects.apply_updates(other.list_updates(0.1), 0.1)
        self.assertTrue(self.is_barred(0.1))
        for other in others:
            other.apply_updates(self.suspects.list_updates(0.2), 0.2)
            self.assertTrue(other.is_barred(make_content(), 0.2))

    def test_complete_answer_on_another_instance_clears_crashes(self):
        """Guards against barring a request that another instance completed."""
        other = suspects.Suspects()
        self.record_crashes(1, 2, 3)
        other.apply_updates(self.suspects.list_updates(0.1), 0.1)
        other.record_completion(make_content(), 0.5, clears_parts=True)
        self.suspects.apply_updates(other.list_updates(0.6), 0.6)
        self.assertFalse(self.is_barred(0.6))
        # An update from before the answer arrives late or repeatedly.
        self.suspects.apply_updates(
            [(FINGERPRINT, 600, -1, [(9, 600)], [1])], 0.7
        )
        self.assertFalse(self.is_barred(0.7))

    def test_new_instance_receives_barred_requests(self):
        """Guards against a restarted instance that admits barred requests."""
        for number in range(5):
            for end in range(3):
                endpoint = make_endpoint(end)
                self.suspects.record_crash(
                    make_content(f"f{number}"), endpoint, 0.0
                )
        newcomer = suspects.Suspects()
        for report in range(5):
            now = 100.0 + report
            newcomer.apply_updates(self.suspects.list_updates(now), now)
        self.assertEqual(5, newcomer.count_barred())

    def test_crashes_among_many_innocent_requests_add_up(self):
        """Guards against missing the request that causes the crashes.

        Each of three instances sees one crash, which involves the request
        and forty others.
        """
        others = [suspects.Suspects() for _ in range(3)]
        for number, other in enumerate(others):
            for victim in range(40):
                other.record_crash(
                    make_content(f"{number}-{victim}"),
                    make_endpoint(number),
                    0,
                )
            self.record_crashes(number, own=other)
        for report in range(8):
            now = 0.1 * report
            for other in others:
                self.suspects.apply_updates(other.list_updates(now), now)
        self.assertTrue(self.is_barred(0.8))

    def test_requests_that_do_not_recur_are_forgotten(self):
        """Guards against instances that keep each other's entries alive."""
        other = suspects.Suspects()
        self.record_crashes(1, 2, 3)
        now = 0.0
        while now < 2 * suspects.KEEP_SECONDS:
            now += 60.0
            for each, source in (
                (other, self.suspects),
                (self.suspects, other),
            ):
                each.apply_updates(source.list_updates(now), now)
                each.remove_expired(now)
        self.assertFalse(self.is_barred(now))
        self.assertEqual(0, other.count_barred())

    def test_barred_request_is_kept_while_it_recurs(self):
        """Guards against admitting a barred request every ten minutes."""
        self.record_crashes(1, 2, 3)
        for step in range(1, 20):
            now = step * 100.0
            self.suspects.remove_expired(now)
            self.assertTrue(self.is_barred(now))

    def test_crash_of_many_endpoints_drops_no_barred_request(self):
        """Guards against evicting a barred request after a mass crash."""
        self.record_crashes(1, 2, 3)
        for number in range(2 * suspects.MAX_SUSPECTS):
            self.suspects.record_crash(
                make_content(f"v{number}"), make_endpoint(number), 1.0 + number
            )
        self.assertTrue(self.is_barred(1.0))
        rows = self.suspects.list_updates(number + 1.0)
        self.assertLessEqual(len(rows), announcements.MAX_CHANGES + 1)
