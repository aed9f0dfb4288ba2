"""Local copy of the items in the platform's store."""

import collections.abc
import dataclasses

from citronport import revisions
from citronport.platform import models

MAX_TOMBSTONES = 1000
"""Number of deleted keys whose revision is remembered, so that an outdated
item from another instance does not bring a deleted one back."""

MAX_LOST_ITEMS = 1000
"""Number of items that are remembered after the store has lost them."""


class Mirror:
    """Items of the store, each at its latest known revision.

    Attributes:
        revision: all changes of the store up to this revision are known.
        lost_era: the latest era for which another instance has said what the
            store has lost at its beginning.

    Args:
        is_used: returns whether the value of a key is of use; others are not
            kept, whatever else is written to the store.
    """

    def __init__(
        self,
        is_used: collections.abc.Callable[[str], bool] = lambda key: True,
    ) -> None:
        self._is_used = is_used
        self.revision = 0
        self.lost_era = 0
        self._items: dict[str, models.Item] = {}
        self._deleted: dict[str, int] = {}
        self._lost: dict[str, models.Item] = {}
        # Revision at which the current era became known.
        self._era_revision = 0

    def apply(
        self, items: collections.abc.Iterable[models.Item], revision: int
    ) -> list[models.Item]:
        """Apply changes; return those that were not known yet.

        Args:
            items: changes later than the known revision, in any order.
            revision: revision up to which all changes are known now.
        """
        changed = []
        for item in self.strip(items):
            change = self._apply_item(item)
            if change is not None:
                changed.append(change)
        if revisions.get_era(revision) > revisions.get_era(self.revision):
            self._era_revision = revision
        self.revision = max(self.revision, revision)
        return changed

    def strip(
        self, items: collections.abc.Iterable[models.Item]
    ) -> list[models.Item]:
        """Return items without the values that are of no use."""
        return [
            dataclasses.replace(item, value=b"")
            if item.value and not self._is_used(item.key)
            else item
            for item in items
        ]

    def replace(
        self, items: collections.abc.Sequence[models.Item], revision: int
    ) -> list[models.Item]:
        """Replace all items by a full read of the store; return the changes.

        Args:
            items: all items of the store, read at the revision or later.
            revision: revision of the store when the read began.
        """
        if revision < self.revision:
            # This read began before one that has already been applied.
            return []
        listed = {item.key for item in items}
        missing = [
            models.Item(key=key, value=None, revision=revision)
            for key, item in self._items.items()
            if key not in listed and item.revision <= revision
        ]
        return self.apply((*missing, *items), revision)

    def list_items(self, since: int = 0) -> list[models.Item]:
        """Return the items changed later than a revision."""
        return [i for i in self._items.values() if i.revision > since]

    def list_keys(self) -> list[str]:
        """Return the keys of all items."""
        return list(self._items)

    def list_lost(self) -> list[models.Item]:
        """Return what the store has lost and has not been written again."""
        return list(self._lost.values())

    def merge_lost(
        self, items: collections.abc.Iterable[models.Item]
    ) -> list[models.Item]:
        """Merge what another instance knows the store to have lost.

        Returns:
            The changes that were not seen: each lost item, followed by what
            the restored store has in its place.
        """
        changes = []
        for item in items:
            known = self._items.get(item.key)
            revision = known.revision if known else self._deleted.get(item.key)
            is_written_again = (revision or 0) > self._era_revision
            if item.key in self._lost or is_written_again:
                continue
            self._remember_lost(item)
            restored = known or models.Item(
                key=item.key, value=None, revision=self.revision
            )
            changes += [
                dataclasses.replace(item, is_lost=True),
                dataclasses.replace(restored, is_restored=True),
            ]
        self.lost_era = revisions.get_era(self.revision)
        return changes

    def merge_peer_items(
        self,
        items: collections.abc.Iterable[models.Item],
        keys: collections.abc.Collection[str],
        revision: int,
        *,
        complete: bool = True,
    ) -> list[models.Item]:
        """Merge the items of another instance; return the changes.

        Args:
            items: its items later than the revision of this copy.
            keys: keys of all its items.
            revision: revision up to which it knows all changes.
            complete: whether no item was left out. Otherwise the revision
                of this copy does not advance.
        """
        if revision <= self.revision:
            return []
        missing = [
            models.Item(key=key, value=None, revision=revision)
            for key, item in self._items.items()
            if key not in keys and item.revision <= revision
        ]
        known = revision if complete else self.revision
        return self.apply((*missing, *items), known)

    def _apply_item(self, item: models.Item) -> models.Item | None:
        """Apply an item; return the change, if it is one."""
        known = self._items.get(item.key)
        newest = known.revision if known else self._deleted.get(item.key, 0)
        if item.revision <= newest:
            return None
        if item.value is None:
            self._items.pop(item.key, None)
            self._deleted[item.key] = item.revision
            if len(self._deleted) > MAX_TOMBSTONES:
                del self._deleted[next(iter(self._deleted))]
        else:
            self._deleted.pop(item.key, None)
            self._items[item.key] = item
        if known is None and item.value is None:
            return None
        # Only what the first read of a restored store returns may be older
        # than what is known. Later changes are made after the restoration.
        era = revisions.get_era(item.revision)
        is_restored = newest > 0 and era > revisions.get_era(self.revision)
        if not is_restored:
            self._lost.pop(item.key, None)
        elif known is not None and known.value == item.value:
            return None
        else:
            self._remember_lost(
                known or models.Item(key=item.key, value=None, revision=newest)
            )
        return dataclasses.replace(item, is_restored=is_restored)

    def _remember_lost(self, item: models.Item) -> None:
        # What an earlier restoration has lost is later than its copy.
        self._lost.setdefault(item.key, item)
        if len(self._lost) > MAX_LOST_ITEMS:
            del self._lost[next(iter(self._lost))]
