"""Chooses what a report tells of things that change now and then."""

import collections.abc

ANNOUNCE_SECONDS = 1.0
"""How long a change is told with each report: several may be lost."""

MAX_CHANGES = 8
"""Changes told in one report, so that it stays small."""


class Announcements:
    """Names the things to tell next.

    Changes are told for a while. What still holds is told one by one in
    turn, for instances that have started since or lost reports.
    """

    def __init__(self) -> None:
        self._changes: dict[str, float] = {}
        self._rotation = 0

    def record_change(self, name: str, now: float) -> None:
        """Note that there is something new to tell."""
        self._changes[name] = now

    def drop(self, name: str) -> None:
        """Forget a thing that is gone."""
        self._changes.pop(name, None)

    def select(
        self,
        active: collections.abc.Collection[str],
        now: float,
        max_changes: int = MAX_CHANGES,
    ) -> list[str]:
        """Return what to tell now.

        Args:
            active: what holds until it changes; told first if it is new.
            now: clock time, seconds.
            max_changes: changes to tell at once.
        """
        self._changes = {
            name: at
            for name, at in self._changes.items()
            if now - at <= ANNOUNCE_SECONDS
        }
        selected = sorted(self._changes, key=lambda name: name not in active)
        selected = selected[:max_changes]
        for name in selected:
            # Those that were left out come first the next time.
            self._changes[name] = self._changes.pop(name)
        remaining = [name for name in active if name not in self._changes]
        if remaining:
            self._rotation = (self._rotation + 1) % len(remaining)
            selected.append(remaining[self._rotation])
        return selected
