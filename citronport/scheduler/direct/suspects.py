"""Requests under which endpoints ended."""

import collections.abc
import dataclasses
import zlib

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import models

BAR_THRESHOLD = 3
"""Endpoints that may end under a request before it is barred. Each of them
ends under all that it runs, and one or two of those are there by chance."""

KEEP_SECONDS = 600.0
"""How long a request is remembered that nobody repeats."""

MAX_SUSPECTS = 2048
"""Requests remembered at once."""

NEVER = float("-inf")

Row = tuple[str, int, int, list[tuple[int, int]]]
"""What instances tell each other of one request: its fingerprint; how long
ago it was last asked for, and last answered whole (-1: never); the starts of
endpoints that ended under it since, each with how long ago. Times are in
milliseconds."""


@dataclasses.dataclass(slots=True)
class _Suspect:
    """What is known of one request; clock times in seconds.

    Attributes:
        ends: when each endpoint ended under it.
        whole: when it was last answered whole.
        seen: when an endpoint last ended under it or a barred one came.
    """

    crashes: dict[int, float] = dataclasses.field(default_factory=dict)
    completed_at: float = NEVER
    last_seen: float = NEVER

    @property
    def is_barred(self) -> bool:
        return len(self.crashes) >= BAR_THRESHOLD

    def add_crash(self, start: int, at: float) -> bool:
        """Add an end; return whether that is news."""
        if self.is_barred or at <= self.completed_at or start in self.crashes:
            return False
        self.crashes[start] = at
        return True

    def clear_crashes(self, at: float) -> bool:
        """Take a whole answer; return whether it excuses an end."""
        crashes = {
            start: end for start, end in self.crashes.items() if end > at
        }
        self.completed_at = max(self.completed_at, at)
        changed = len(crashes) < len(self.crashes)
        self.crashes = crashes
        return changed


class SuspectRequests:
    """Which requests end the endpoints that run them.

    Load: a request that crashes each endpoint which begins to run it, and
    whose caller repeats it at any instance. Harm: it takes all endpoints of
    its service with it, again and again, and everybody's requests there.
    Instances tell each other under which requests endpoints ended. After
    the third end without a whole answer no instance sends it any more.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._barred: dict[str, None] = {}
        self._announcements = announcements.Announcements()

    def record_crash(
        self, fingerprint: str, endpoint: models.Endpoint, now: float
    ) -> bool:
        """Note that an endpoint ended while it had a request.

        Returns:
            Whether the request is barred from now on.
        """
        suspect = self._find(fingerprint)
        was_barred = suspect.is_barred
        suspect.last_seen = now
        if suspect.add_crash(_compute_start_hash(endpoint), now):
            self._record_change(fingerprint, suspect, now)
        self._trim()
        return suspect.is_barred and not was_barred

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Note that a request was answered whole: it ends no endpoint."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.clear_crashes(now):
            self._record_change(fingerprint, suspect, now)

    def is_barred(self, fingerprint: str, now: float) -> bool:
        """Return whether a request that came must not be sent."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_barred:
            return False
        suspect.last_seen = now
        return True

    def count_barred(self) -> int:
        """Return how many requests are barred."""
        return len(self._barred)

    def list_updates(
        self, now: float, max_changes: int = announcements.MAX_CHANGES
    ) -> list[Row]:
        """Return what to tell other instances now.

        Args:
            now: clock time, seconds.
            max_changes: changes to tell at once.
        """
        selected = self._announcements.select(self._barred, now, max_changes)
        return [_make_row(f, self._suspects[f], now) for f in selected]

    def apply_updates(
        self, rows: collections.abc.Iterable[Row], now: float
    ) -> None:
        """Take what another instance tells."""
        for fingerprint, seen_age, completed_age, crashes in rows:
            suspect = self._find(fingerprint)
            suspect.last_seen = max(suspect.last_seen, now - seen_age / 1000)
            changed = completed_age >= 0 and suspect.clear_crashes(
                now - completed_age / 1000
            )
            for start, age in crashes:
                changed |= suspect.add_crash(start, now - age / 1000)
            if changed:
                self._record_change(fingerprint, suspect, now)
        self._trim()

    def remove_expired(self, now: float) -> None:
        """Forget what nobody has asked for in a while."""
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.last_seen > KEEP_SECONDS
        ]
        for fingerprint in expired:
            self._forget(fingerprint)

    def _find(self, fingerprint: str) -> _Suspect:
        return self._suspects.setdefault(fingerprint, _Suspect())

    def _record_change(
        self, fingerprint: str, suspect: _Suspect, now: float
    ) -> None:
        self._announcements.record_change(fingerprint, now)
        if suspect.is_barred:
            self._barred[fingerprint] = None
        else:
            self._barred.pop(fingerprint, None)

    def _forget(self, fingerprint: str) -> None:
        del self._suspects[fingerprint]
        self._barred.pop(fingerprint, None)
        self._announcements.drop(fingerprint)

    def _trim(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        # Several at once, so that a crash of many endpoints does not sort
        # all of them for each request that was there.
        ranked = sorted(
            self._suspects,
            key=lambda f: (
                self._suspects[f].is_barred,
                self._suspects[f].last_seen,
            ),
        )
        for fingerprint in ranked[: MAX_SUSPECTS // 8]:
            self._forget(fingerprint)


def _compute_start_hash(endpoint: models.Endpoint) -> int:
    name, started = endpoint.start_id
    return zlib.crc32(f"{name} {started}".encode())


def _make_row(fingerprint: str, suspect: _Suspect, now: float) -> Row:
    def compute_age(at: float) -> int:
        return -1 if at == NEVER else max(0, round((now - at) * 1000))

    return (
        fingerprint,
        compute_age(suspect.last_seen),
        compute_age(suspect.completed_at),
        [(start, compute_age(at)) for start, at in suspect.crashes.items()],
    )
