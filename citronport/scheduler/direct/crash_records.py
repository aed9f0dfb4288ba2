"""Crashes under one content, and parts for which no crash counts."""

import collections.abc
import dataclasses

MAX_CRASHES = 16
"""Most crashes remembered for one content, which keeps updates small."""

MIN_WORKSPACES = 2
"""Workspaces whose requests must have crashed endpoints before a part is
barred for all others as well."""

CLEARED_SECONDS = 60.0
"""How long no crash counts for a part after an answer to a request with it has
begun. Many endpoints may crash between two such answers."""

MAX_CLEARED = 4096
"""Most cleared parts remembered at once, in half a megabyte."""

NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """Crashes under one content; clock times in seconds.

    Attributes:
        crashes: time of the crash of each endpoint start.
        cleared_at: time of the content's last good answer.
        workspaces: hashes of workspaces whose requests crashed endpoints.
    """

    crashes: dict[int, float] = dataclasses.field(default_factory=dict)
    cleared_at: float = NEVER
    workspaces: set[int] = dataclasses.field(default_factory=set)

    def add_crash(self, start: int, at: float) -> bool:
        """Add a crash; return whether it is new and counts."""
        if at <= self.cleared_at or start in self.crashes:
            return False
        if len(self.crashes) >= MAX_CRASHES:
            return False
        self.crashes[start] = at
        return True

    def add_workspaces(self, hashes: collections.abc.Iterable[int]) -> bool:
        """Add workspaces; return whether one of them is new and counts."""
        if not self.crashes:
            return False
        new = set(hashes) - self.workspaces
        new = set(sorted(new)[: MIN_WORKSPACES - len(self.workspaces)])
        self.workspaces |= new
        return bool(new)

    def drop_crashes(self, until: float) -> bool:
        """Drop crashes up to a clock time; return whether any were."""
        count = len(self.crashes)
        self.crashes = {s: at for s, at in self.crashes.items() if at > until}
        if not self.crashes:
            self.workspaces.clear()
        return len(self.crashes) < count


class ClearedParts:
    """Parts of prompts with which answers have begun."""

    def __init__(self) -> None:
        self._cleared: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of remembered parts."""
        return len(self._cleared)

    def add(self, key: str, at: float) -> float:
        """Record an answer with a part; return the time of the latest one.

        Args:
            key: hash of the part.
            at: clock time at which the answer had begun, seconds.
        """
        at = max(at, self._cleared.pop(key, NEVER))
        self._cleared[key] = at
        if len(self._cleared) > MAX_CLEARED:
            del self._cleared[next(iter(self._cleared))]
        return at

    def get_time(self, key: str) -> float:
        """Return when the latest answer with a part had begun."""
        return self._cleared.get(key, NEVER)

    def covers(self, key: str, at: float) -> bool:
        """Return whether a crash at a clock time doesn't count for a part."""
        return at <= self.get_time(key) + CLEARED_SECONDS
