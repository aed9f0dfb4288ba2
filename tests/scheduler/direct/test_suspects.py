"""Requests that end endpoints are told from those that were only there."""

import testtools

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import suspects
from tests.relay import samples

FINGERPRINT = "f1"


def make_endpoint(number):
    """Return an endpoint, one for each number."""
    return samples.make_endpoint(f"e{number}")


class SuspectsTest(testtools.TestCase):
    """One instance, and what others tell it."""

    def setUp(self):
        """Make an instance that knows nothing."""
        super().setUp()
        self.suspects = suspects.SuspectRequests()

    def end(self, *numbers, own=None, now=0.0):
        """Let endpoints end under the request; return whether it is new."""
        own = own or self.suspects
        found = [
            own.record_crash(FINGERPRINT, make_endpoint(n), now)
            for n in numbers
        ]
        return found[-1]

    def is_barred(self, now=0.0):
        """Return whether the request is barred."""
        return self.suspects.is_barred(FINGERPRINT, now)

    def test_third_end_bars_it_and_is_told_once(self):
        """Guards against a request that ends one endpoint after another."""
        self.assertFalse(self.end(1, 2))
        self.assertFalse(self.is_barred())
        self.assertTrue(self.end(3))
        self.assertTrue(self.is_barred())
        self.assertFalse(self.end(4))
        self.assertEqual(1, self.suspects.count_barred())
        self.assertFalse(self.suspects.is_barred("other", 0.0))

    def test_endpoint_that_breaks_off_often_counts_once(self):
        """Guards against a bar for one endpoint's resets."""
        self.end(1, 1, 1, 1)
        self.assertFalse(self.is_barred())

    def test_whole_answer_excuses_all_ends_before_it(self):
        """Guards against a bar for a request that was only there."""
        self.end(1, 2)
        self.suspects.record_completion(FINGERPRINT, 1.0)
        self.end(3, 4, now=2.0)
        self.assertFalse(self.is_barred(2.0))
        self.end(5, now=3.0)
        self.assertTrue(self.is_barred(3.0))

    def test_ends_at_several_instances_add_up(self):
        """Guards against three ends for each instance."""
        others = [suspects.SuspectRequests() for _ in range(3)]
        for number, other in enumerate(others):
            self.end(number, own=other)
            self.suspects.apply_updates(other.list_updates(0.1), 0.1)
        self.assertTrue(self.is_barred(0.1))
        for other in others:
            other.apply_updates(self.suspects.list_updates(0.2), 0.2)
            self.assertTrue(other.is_barred(FINGERPRINT, 0.2))

    def test_whole_answer_elsewhere_excuses_here(self):
        """Guards against a bar that outlives a whole answer elsewhere."""
        other = suspects.SuspectRequests()
        self.end(1, 2, 3)
        other.apply_updates(self.suspects.list_updates(0.1), 0.1)
        other.record_completion(FINGERPRINT, 0.5)
        self.suspects.apply_updates(other.list_updates(0.6), 0.6)
        self.assertFalse(self.is_barred(0.6))
        # What was told before the answer arrives late, or once more.
        self.suspects.apply_updates([(FINGERPRINT, 600, -1, [(9, 600)])], 0.7)
        self.assertFalse(self.is_barred(0.7))

    def test_instance_that_starts_later_hears_of_it(self):
        """Guards against a restart that lets barred requests through."""
        for number in range(5):
            for end in range(3):
                endpoint = make_endpoint(end)
                self.suspects.record_crash(f"f{number}", endpoint, 0.0)
        newcomer = suspects.SuspectRequests()
        for report in range(5):
            now = 100.0 + report
            newcomer.apply_updates(self.suspects.list_updates(now), now)
        self.assertEqual(5, newcomer.count_barred())

    def test_ends_among_many_victims_add_up(self):
        """Guards against the cause of a crash hidden among its victims.

        Each instance sees one end of it and those of forty others.
        """
        others = [suspects.SuspectRequests() for _ in range(3)]
        for number, other in enumerate(others):
            for victim in range(40):
                other.record_crash(
                    f"{number}-{victim}", make_endpoint(number), 0
                )
            self.end(number, own=other)
        for report in range(8):
            now = 0.1 * report
            for other in others:
                self.suspects.apply_updates(other.list_updates(now), now)
        self.assertTrue(self.is_barred(0.8))

    def test_forgotten_everywhere_once_nobody_asks(self):
        """Guards against instances that remind each other for ever."""
        other = suspects.SuspectRequests()
        self.end(1, 2, 3)
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

    def test_kept_while_it_is_repeated(self):
        """Guards against one more try every ten minutes."""
        self.end(1, 2, 3)
        for step in range(1, 20):
            now = step * 100.0
            self.suspects.remove_expired(now)
            self.assertTrue(self.is_barred(now))

    def test_crash_of_many_endpoints_drops_no_barred_request(self):
        """Guards against a bar that is lost among thousands of victims."""
        self.end(1, 2, 3)
        for number in range(2 * suspects.MAX_SUSPECTS):
            self.suspects.record_crash(
                f"v{number}", make_endpoint(number), 1.0 + number
            )
        self.assertTrue(self.is_barred(1.0))
        rows = self.suspects.list_updates(number + 1.0)
        self.assertLessEqual(len(rows), announcements.MAX_CHANGES + 1)
