"""The local copy of the store under changes that arrive out of order."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.platform import models
from citronport.relay import mirror as mirror_module

PROFILE = hypothesis.settings(derandomize=True, deadline=None)


def make_item(key, revision, value=b"v"):
    """Return an item."""
    return models.Item(key=key, value=value, revision=revision)


class MirrorTest(testtools.TestCase):
    """Changes from full reads, watches and other instances."""

    def test_full_read_detects_deletions(self):
        """An item that a later full read lacks was deleted."""
        mirror = mirror_module.Mirror()
        mirror.replace([make_item("a", 1), make_item("b", 2)], 2)
        changes = mirror.replace([make_item("a", 1)], 5)
        self.assertEqual([("b", None)], [(i.key, i.value) for i in changes])

    def test_outdated_read_is_ignored(self):
        """A full read that began before a later one changes nothing."""
        mirror = mirror_module.Mirror()
        mirror.replace([make_item("a", 4)], 4)
        self.assertEqual([], mirror.replace([make_item("b", 1)], 1))
        self.assertEqual(["a"], mirror.list_keys())

    def test_deleted_item_does_not_reappear(self):
        """An outdated item of a deleted key is ignored."""
        mirror = mirror_module.Mirror()
        mirror.apply([make_item("a", 1)], 1)
        mirror.apply([make_item("a", 3, None)], 3)
        self.assertEqual([], mirror.apply([make_item("a", 2)], 3))
        self.assertEqual([], mirror.list_keys())

    def test_items_from_a_peer(self):
        """Changes and deletions are merged; an older copy is ignored."""
        mirror = mirror_module.Mirror()
        mirror.apply([make_item("a", 1), make_item("b", 2)], 2)
        changes = mirror.merge_peer_items([make_item("c", 4)], {"a", "c"}, 4)
        self.assertEqual(
            {"b": None, "c": b"v"}, {i.key: i.value for i in changes}
        )
        self.assertEqual([], mirror.merge_peer_items([], set(), 3))

    @PROFILE
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from("abc"), strategies.booleans()
            ),
            max_size=12,
        ),
        strategies.randoms(use_true_random=False),
    )
    def test_order_of_changes_does_not_matter(self, changes, random):
        """Changes in any order, some repeated, lead to the same copy."""
        items = [
            make_item(key, revision, b"v" if live else None)
            for revision, (key, live) in enumerate(changes, 1)
        ]
        ordered = mirror_module.Mirror()
        ordered.apply(items, len(items))
        shuffled = mirror_module.Mirror()
        mixed = items + items[:3]
        random.shuffle(mixed)
        shuffled.apply(mixed, len(items))
        self.assertEqual(
            sorted(ordered.list_keys()), sorted(shuffled.list_keys())
        )
