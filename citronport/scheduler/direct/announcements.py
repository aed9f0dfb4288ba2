"""Ages of the items that instances announce to each other, and what to send.

An item is for example an endpoint with its limit, or a request that is
suspected of crashing endpoints.
"""

import collections.abc

ANNOUNCE_SECONDS = 1.0
"""How long a change is repeated in reports, as several may be lost."""

MAX_CHANGES = 8
"""Changes in one report, which keeps reports small."""

KEEP_SECONDS = 600.0
"""How long an item is kept after it was last observed."""

REPEAT_TOLERANCE_SECONDS = 1.0
"""Smallest difference by which an announced observation must be newer than
the known one to count as another one. Longer than a report is under way."""


class Announcements:
    """Keeps the age of named items and schedules their announcements.

    A change is announced for a while. Items that are still active are
    repeated one per report, in rotation, for instances that have started
    since or missed reports.

    Each item has the time of its latest observation: an answer of the
    endpoint, an occurrence of the request. An announcement carries the age
    of that observation and does not count as one itself. Otherwise instances
    would keep an item alive by repeating it to each other.
    """

    def __init__(self) -> None:
        self._observed: dict[str, float] = {}
        self._changes: dict[str, float] = {}
        self._rotation = 0

    def record_observation(self, name: str, at: float) -> None:
        """Record when an item was last observed, clock time in seconds."""
        self._observed[name] = at

    def record_repeat(self, name: str, at: float) -> None:
        """Record an observation that says nothing new of an item.

        The time under way is not part of an announced age, so that each time
        an announcement is passed on, its observation seems a little newer.

        Args:
            name: the item.
            at: clock time of the observation, from its announced age.
        """
        if at - self.get_observed_at(name) > REPEAT_TOLERANCE_SECONDS:
            self._observed[name] = at

    def get_observed_at(self, name: str) -> float:
        """Return when an item was last observed; minus infinity if never."""
        return self._observed.get(name, float("-inf"))

    def record_change(self, name: str, now: float) -> None:
        """Record that an item has changed."""
        self._changes[name] = now

    def list_expired(self, now: float) -> list[str]:
        """Return the items that were last observed too long ago."""
        return [
            name for name, at in self._observed.items() if is_expired(at, now)
        ]

    def drop(self, name: str) -> None:
        """Forget an item that is gone."""
        self._observed.pop(name, None)
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


def is_expired(at: float, now: float) -> bool:
    """Return whether an item that was last observed then is forgotten."""
    return now - at > KEEP_SECONDS
