"""Limits the memory of what other instances report, over all tables."""

import collections.abc
import sys

DEFAULT_MAX_BYTES = 8_000_000
"""Bytes of all rows where the settings of a process name no memory."""

SENDER_DIVISOR = 4
"""The rows of one sender take at most this part of all bytes."""

ROW_BYTES = 160
"""Memory of one row without its name: an entry of a dictionary with a number
or a small tuple."""

SENDER_BYTES = 500
"""Memory of a sender that has rows."""


class RowBudget:
    """Bytes of the rows that are kept for each sender.

    Anyone can send messages in the name of many instances. Those known for
    longer go first: a new one gets no room that they use, and makes room for
    them, so that a crowd displaces no instance that was there before.

    Args:
        max_bytes: bytes of all rows.

    Attributes:
        total: bytes of all rows now.
        refused: how often there was no room.
    """

    def __init__(self, max_bytes: float = DEFAULT_MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        # Bytes by table, of each sender; the one known for longest first.
        self._sizes: dict[str, dict[str, int]] = {}
        self._tables: dict[str, collections.abc.Callable[[str], None]] = {}
        self.total = 0
        self.refused = 0

    def add_table(
        self, table: str, drop: collections.abc.Callable[[str], None]
    ) -> None:
        """Add a table of rows.

        Args:
            table: its name.
            drop: called with a sender whose rows have to make room.
        """
        self._tables[table] = drop

    def hold(self, table: str, sender: str, size: int) -> bool:
        """Change the bytes that a table keeps for a sender.

        Returns:
            Whether there is room; otherwise nothing is changed.
        """
        growth = size - self._sizes.get(sender, {}).get(table, 0)
        if growth > 0 and not self._make_room(sender, growth):
            self.refused += 1
            return False
        sizes = self._sizes.setdefault(sender, {})
        sizes[table] = size
        self.total += growth
        if not any(sizes.values()):
            del self._sizes[sender]
        return True

    def _make_room(self, sender: str, growth: int) -> bool:
        own = sum(self._sizes.get(sender, {}).values())
        if own + growth > self._max_bytes / SENDER_DIVISOR:
            return False
        while self.total + growth > self._max_bytes:
            latest = next(reversed(self._sizes))
            if sender not in self._sizes or latest == sender:
                return False
            self._drop(latest)
        return True

    def _drop(self, sender: str) -> None:
        sizes = self._sizes.pop(sender)
        self.total -= sum(sizes.values())
        for table in sizes:
            self._tables[table](sender)


def count_bytes(names: collections.abc.Iterable[str]) -> int:
    """Return the memory of rows with these names."""
    return sum(ROW_BYTES + sys.getsizeof(name) for name in names)
