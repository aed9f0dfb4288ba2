"""Bars requests that crash the endpoints on which they run."""

import collections.abc
import dataclasses
import zlib

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import models

BAR_THRESHOLD = 3
"""Number of endpoint crashes after which a request is barred. A crash counts
for all requests on the endpoint, so that a harmless request may well be
involved in one or two."""

KEEP_SECONDS = announcements.KEEP_SECONDS
"""How long a request is remembered if it is not repeated."""

MAX_SUSPECTS = 2048
"""Most requests remembered at once."""

NEVER = float("-inf")

Row = tuple[str, int, int, list[tuple[int, int]]]
"""Update on one request that instances send each other: its fingerprint; the
ages of its last occurrence and of its last complete answer (-1: never); and
the endpoint starts that crashed under it since, each with the age of the
crash. Ages are in milliseconds."""


@dataclasses.dataclass(slots=True)
class _Suspect:
    """State of one request; clock times in seconds.

    Attributes:
        crashes: time of the crash of each endpoint start.
        completed_at: time of its last complete answer.
    """

    crashes: dict[int, float] = dataclasses.field(default_factory=dict)
    completed_at: float = NEVER

    @property
    def is_barred(self) -> bool:
        return len(self.crashes) >= BAR_THRESHOLD

    def add_crash(self, start: int, at: float) -> bool:
        """Add a crash; return whether it is new and counts."""
        if self.is_barred or at <= self.completed_at or start in self.crashes:
            return False
        self.crashes[start] = at
        return True

    def clear_crashes(self, at: float) -> bool:
        """Drop crashes up to a complete answer; return whether any were."""
        crashes = {
            start: crashed_at
            for start, crashed_at in self.crashes.items()
            if crashed_at > at
        }
        self.completed_at = max(self.completed_at, at)
        changed = len(crashes) < len(self.crashes)
        self.crashes = crashes
        return changed


class SuspectRequests:
    """Tracks requests that are suspected of crashing endpoints.

    If a caller repeats such a request at any instance, it takes down all
    endpoints of its service again and again, with all requests that run
    there. Instances therefore exchange which requests were running when
    endpoints crashed. After the third crash without a complete answer, no
    instance sends the request any more.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._barred: dict[str, None] = {}
        self._announcements = announcements.Announcements()

    def record_crash(
        self, fingerprint: str, endpoint: models.Endpoint, now: float
    ) -> bool:
        """Record that an endpoint crashed while it was running a request.

        Returns:
            Whether the request has become barred by that.
        """
        suspect = self._find(fingerprint)
        was_barred = suspect.is_barred
        self._announcements.record_observation(fingerprint, now)
        if suspect.add_crash(_compute_start_hash(endpoint), now):
            self._record_change(fingerprint, suspect, now)
        self._trim()
        return suspect.is_barred and not was_barred

    def record_completion(self, fingerprint: str, now: float) -> None:
        """Record a complete answer, which clears the request of suspicion."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.clear_crashes(now):
            self._record_change(fingerprint, suspect, now)

    def is_barred(self, fingerprint: str, now: float) -> bool:
        """Return whether an incoming request must not be sent."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_barred:
            return False
        self._announcements.record_observation(fingerprint, now)
        return True

    def count_barred(self) -> int:
        """Return the number of barred requests."""
        return len(self._barred)

    def list_updates(
        self, now: float, max_changes: int = announcements.MAX_CHANGES
    ) -> list[Row]:
        """Return the updates to send to other instances now.

        Args:
            now: clock time, seconds.
            max_changes: most changes to return.
        """
        self.remove_expired(now)
        selected = self._announcements.select(self._barred, now, max_changes)
        return [self._make_row(f, now) for f in selected]

    def apply_updates(
        self, rows: collections.abc.Iterable[Row], now: float
    ) -> None:
        """Apply updates of another instance."""
        for fingerprint, seen_age, completed_age, crashes in rows:
            last_seen = now - seen_age / 1000
            if announcements.is_expired(last_seen, now):
                continue
            self._announcements.record_repeat(fingerprint, last_seen)
            suspect = self._find(fingerprint)
            changed = completed_age >= 0 and suspect.clear_crashes(
                now - completed_age / 1000
            )
            for start, age in crashes:
                changed |= suspect.add_crash(start, now - age / 1000)
            if changed:
                self._record_change(fingerprint, suspect, now)
        self._trim()

    def remove_expired(self, now: float) -> None:
        """Forget requests that have not occurred for a while."""
        for fingerprint in self._announcements.list_expired(now):
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
        self._suspects.pop(fingerprint, None)
        self._barred.pop(fingerprint, None)
        self._announcements.drop(fingerprint)

    def _make_row(self, fingerprint: str, now: float) -> Row:
        suspect = self._suspects[fingerprint]
        last_seen = self._announcements.get_observed_at(fingerprint)
        return (
            fingerprint,
            _compute_age_ms(last_seen, now),
            _compute_age_ms(suspect.completed_at, now),
            [
                (start, _compute_age_ms(at, now))
                for start, at in suspect.crashes.items()
            ],
        )

    def _trim(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        # Removes several at once, so that a crash of many endpoints does not
        # sort all entries again for each request involved.
        ranked = sorted(
            self._suspects,
            key=lambda f: (
                self._suspects[f].is_barred,
                self._announcements.get_observed_at(f),
            ),
        )
        for fingerprint in ranked[: MAX_SUSPECTS // 8]:
            self._forget(fingerprint)


def _compute_start_hash(endpoint: models.Endpoint) -> int:
    name, started = endpoint.start_id
    return zlib.crc32(f"{name} {started}".encode())


def _compute_age_ms(at: float, now: float) -> int:
    return -1 if at == NEVER else max(0, round((now - at) * 1000))
