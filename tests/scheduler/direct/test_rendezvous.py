"""Tests of rendezvous hashing."""

import collections

import testtools

from citronport.scheduler.direct import rendezvous


class ChooseTest(testtools.TestCase):
    """Instances of unequal sizes, of which each caller gets a few."""

    def setUp(self):
        """Create a fleet with four times the capacity on every tenth."""
        super().setUp()
        self.weights = {
            f"i{n}": 2.0 if n % 10 == 0 else 0.5 for n in range(195)
        }

    def test_names_are_chosen_in_proportion_to_weight(self):
        """Guards against a few instances that get the load of all callers."""
        draws = collections.Counter()
        for caller in range(400):
            draws.update(
                rendezvous.choose_by_weight(
                    f"10.9.0.{caller}", self.weights, 64
                )
            )
        each = 400 * 64 / sum(self.weights.values())
        for name, weight in self.weights.items():
            self.assertLess(draws[name], 1.5 * each * weight)

    def test_choice_changes_little_when_a_name_is_removed(self):
        """Guards against callers that can't keep connections open.

        They would have to reconnect if they got other instances each time.
        """
        chosen = set(rendezvous.choose_by_weight("c", self.weights, 64))
        self.assertEqual(64, len(chosen))
        gone = min(chosen)
        del self.weights[gone]
        again = set(rendezvous.choose_by_weight("c", self.weights, 64))
        self.assertEqual({gone}, chosen - again)
        self.assertEqual(1, len(again - chosen))

    def test_small_fleet_is_chosen_completely(self):
        """All names are returned if there are fewer than requested."""
        self.assertEqual(
            ("a", "b"),
            rendezvous.choose_by_weight("c", {"a": 1.0, "b": 2.0}, 64),
        )
