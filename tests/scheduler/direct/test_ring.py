"""Which instances keep what belongs to a key."""

import collections

import testtools

from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import ring

NAMES = tuple(f"i{n}" for n in range(195))
KEYS = [rendezvous.compute_hash(f"k{n}") for n in range(4000)]


class RingTest(testtools.TestCase):
    """A ring with the names of a large fleet."""

    def test_few_names(self):
        """Guards against a search that never ends."""
        self.assertEqual((), ring.Ring(()).choose(1, 3))
        self.assertEqual(("a", "b"), ring.Ring(("a", "b")).choose(1, 3))

    def test_names_differ(self):
        """Guards against one instance that keeps all copies."""
        whole = ring.Ring(NAMES)
        for key in KEYS:
            self.assertEqual(3, len(set(whole.choose(key, 3))))

    def test_one_name_less(self):
        """Guards against copies that nobody finds once one is gone."""
        whole = ring.Ring(NAMES)
        for gone in NAMES[:5]:
            rest = ring.Ring(tuple(n for n in NAMES if n != gone))
            for key in KEYS[:500]:
                kept = set(whole.choose(key, 3)) - {gone}
                self.assertTrue(kept <= set(rest.choose(key, 3)))

    def test_shares(self):
        """Guards against an instance that keeps most of the streams."""
        whole = ring.Ring(NAMES)
        kept = collections.Counter(
            name for key in KEYS for name in whole.choose(key, 3)
        )
        mean = 3 * len(KEYS) / len(NAMES)
        self.assertLess(max(kept.values()), 4 * mean)
