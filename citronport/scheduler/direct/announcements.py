"""Selects the changes that each report announces to other instances."""

import collections.abc

ANNOUNCE_SECONDS = 1.0
"""How long a change is repeated in reports, as several may be lost."""

MAX_CHANGES = 8
"""Changes in one report, which keeps reports small."""


class Announcements:
    """Schedules announcements of named items to other instances.

    A change is announced for a while. Items that are still active are
    repeated one per report, in rotation, for instances that have started
    since or missed reports.
    """

    def __init__(self) -> None:
        self._changes: dict[str, float] = {}
        self._rotation = 0

    def record_change(self, name: str, now: float) -> None:
        """Record that an item has changed."""
        self._changes[name] = now

    def drop(self, name: str) -> None:
        """Forget an item that is gone."""
        self._changes.pop(name, None)

    def select(
        self,
        active: collections.abc.Collection[str],
        now: float,
        max_changes: int = MAX_CHANGES,
    ) -> list[str]:
        """Return the items to announce now.

        Args:
            active: items that are still active; their changes come first.
            now: clock time, seconds.
            max_changes: most changes to return.
        """
        self._changes = {
            name: at
            for name, at in self._changes.items()
            if now - at <= ANNOUNCE_SECONDS
        }
        selected = sorted(self._changes, key=lambda name: name not in active)
        selected = selected[:max_changes]
        for name in selected:
            # Moves them to the end, so that those left out come first in
            # the next report.
            self._changes[name] = self._changes.pop(name)
        remaining = [name for name in active if name not in self._changes]
        if remaining:
            self._rotation = (self._rotation + 1) % len(remaining)
            selected.append(remaining[self._rotation])
        return selected
