"""What instances agree on without a message."""

import collections

import testtools

from citronport.scheduler.direct import rendezvous


class ChooseTest(testtools.TestCase):
    """Load: instances of unlike sizes, callers that may name a few."""

    def setUp(self):
        """Make a fleet of which a tenth is four times as large."""
        super().setUp()
        self.weights = {
            f"i{n}": 2.0 if n % 10 == 0 else 0.5 for n in range(195)
        }

    def test_callers_spread_by_capacity(self):
        """The same few instances would carry the work of all callers."""
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

    def test_a_caller_keeps_its_instances(self):
        """A caller that gets other ones each time keeps no connection."""
        chosen = set(rendezvous.choose_by_weight("c", self.weights, 64))
        self.assertEqual(64, len(chosen))
        gone = min(chosen)
        del self.weights[gone]
        again = set(rendezvous.choose_by_weight("c", self.weights, 64))
        self.assertEqual({gone}, chosen - again)
        self.assertEqual(1, len(again - chosen))

    def test_all_of_a_few(self):
        """A small fleet is named whole."""
        self.assertEqual(
            ("a", "b"),
            rendezvous.choose_by_weight("c", {"a": 1.0, "b": 2.0}, 64),
        )
