"""A copy of what the platform's store holds, kept in step."""

import collections.abc

from citronport.platform import models

MAX_TOMBSTONES = 1000
"""Deleted keys whose revision is remembered, so that an older copy of one
that comes from a neighbour does not bring it back."""


class Mirror:
    """Items of the store, each at its newest known revision.

    Attributes:
        revision: all changes of the store up to this one are known.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, models.Item] = {}
        self._deleted: dict[str, int] = {}

    def apply(
        self, items: collections.abc.Iterable[models.Item], revision: int
    ) -> list[models.Item]:
        """Take changes; return those that were news.

        Args:
            items: changes later than the known revision, in any order.
            revision: all changes up to this one are known now.
        """
        changed = [item for item in items if self._apply_item(item)]
        self.revision = max(self.revision, revision)
        return changed

    def replace(
        self, items: collections.abc.Sequence[models.Item], revision: int
    ) -> list[models.Item]:
        """Take a whole copy; return what changed.

        Args:
            items: all items of the store, none older than the revision.
            revision: the store's when the copy was begun.
        """
        if revision < self.revision:
            # A copy that was asked for before a later one arrived.
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

    def merge_peer_items(
        self,
        items: collections.abc.Iterable[models.Item],
        keys: collections.abc.Collection[str],
        revision: int,
        *,
        complete: bool = True,
    ) -> list[models.Item]:
        """Take what a neighbour knows; return what changed.

        Args:
            items: the neighbour's items later than this copy's revision.
            keys: all keys that the neighbour has.
            revision: up to which the neighbour knows all changes.
            complete: whether no item was left out; else this copy still does
                not know all changes up to that revision.
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

    def _apply_item(self, item: models.Item) -> bool:
        known = self._items.get(item.key)
        newest = known.revision if known else self._deleted.get(item.key, 0)
        if item.revision <= newest:
            return False
        if item.value is None:
            self._items.pop(item.key, None)
            self._deleted[item.key] = item.revision
            if len(self._deleted) > MAX_TOMBSTONES:
                del self._deleted[next(iter(self._deleted))]
            return known is not None
        self._deleted.pop(item.key, None)
        self._items[item.key] = item
        return True
