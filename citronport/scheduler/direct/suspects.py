"""Bars requests whose content crashes the endpoints on which they run."""

import collections.abc
import dataclasses
import zlib

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import causes
from citronport.scheduler.direct import crash_records
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import models

KEEP_SECONDS = announcements.KEEP_SECONDS
"""How long a content is remembered if it does not recur. A part counts as
the cause for as long after its latest crash, even if it recurs: endpoints may
have been mended since, which only another request with it can show."""

BEGUN_EVENTS = 8
"""Events after which an answer has begun. An endpoint that crashes at the
beginning of an answer may still send a few."""

MAX_SUSPECTS = 2048
"""Most contents remembered at once."""

MAX_CRASHED = 256
"""Most endpoint starts watched for an answer after their crash."""

_START_MARK = "start-"
"""Begins the key of an endpoint start that answered after a broken
connection. Instances announce it like a content that a good answer clears."""

Row = tuple[str, int, int, list[tuple[int, int]], list[int]]
"""Update on one content that instances send each other: its key; the ages of
its last occurrence and of its last good answer (-1: never); the endpoint
starts that crashed under it since, each with the age of the crash; and the
hashes of the workspaces whose requests these were. Ages are in
milliseconds. For an endpoint start that has not crashed, the age of its last
answer is that of the request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Content:
    """What a request holds that may crash endpoints.

    Attributes:
        fingerprint: hash that is equal for requests with equal content.
        parts: hashes of the parts of its prompt that others may share.
        workspace: name of its workspace; empty where no keys are used.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    workspace: str = ""


class Suspects:
    """Tracks contents of requests that are suspected of crashing endpoints.

    If a caller repeats such a request at any instance, it takes down all
    endpoints of its service again and again, with all requests that run
    there; so do requests that have nothing in common but one part of their
    prompts. Instances therefore exchange which contents endpoints had when
    they crashed, and bar requests with the cause.

    A part is suspected only if its request waited for its answer to begin
    when the endpoint crashed, and cleared by any answer that has begun.

    A broken connection counts as a crash until the endpoint answers a request
    that was sent later: some endpoints only reset a connection.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, crash_records.CrashRecord] = {}
        self._cleared = crash_records.ClearedParts()
        self._crashed: dict[int, float] = {}
        self._causes: list[causes.Keys] = []
        self._barred: dict[str, None] = {}
        self._is_outdated = False
        self._announcements = announcements.Announcements()

    def record_crash(
        self,
        content: Content,
        endpoint: models.Endpoint,
        now: float,
        *,
        has_begun: bool = False,
    ) -> causes.Keys | None:
        """Record that an endpoint crashed while it had a request.

        Args:
            content: content of the request.
            endpoint: the endpoint.
            now: clock time, seconds.
            has_begun: whether the answer to the request had begun.

        Returns:
            The cause by which the request has become barred, if it has.
        """
        was_barred = self._find_cause(content) is not None
        start = _compute_start_hash(endpoint)
        keys = [content.fingerprint]
        if not has_begun:
            keys += [
                k for k in content.parts if not self._cleared.covers(k, now)
            ]
        for key in keys:
            suspect = self._get_suspect(key)
            self._announcements.record_observation(key, now)
            self._drop_expired_crashes(key, suspect, now)
            changed = self._add_crash(suspect, start, now)
            changed |= suspect.add_workspaces(
                [_compute_hash(content.workspace)]
            )
            if changed:
                self._record_change(key, now)
        self._trim()
        return None if was_barred else self._find_cause(content)

    def record_alive(
        self, endpoint: models.Endpoint, sent_at: float, now: float
    ) -> None:
        """Record an answer of an endpoint, which takes back its crash.

        Args:
            endpoint: the endpoint.
            sent_at: clock time at which its request was sent, seconds.
            now: clock time, seconds.
        """
        if not self._crashed:
            return
        start = _compute_start_hash(endpoint)
        if sent_at <= self._crashed.get(start, float("inf")):
            return
        self._take_back_crash(start, sent_at)
        key = f"{_START_MARK}{start}"
        self._get_suspect(key).cleared_at = sent_at
        self._announcements.record_observation(key, now)
        self._record_change(key, now)

    def record_begun(self, content: Content, now: float) -> None:
        """Record that an answer has begun, which clears the parts."""
        for key in content.parts:
            self._clear(key, now, now)

    def record_completion(
        self, content: Content, now: float, *, clears_parts: bool
    ) -> None:
        """Record a complete answer, which clears the request of suspicion.

        Args:
            content: content of the request.
            now: clock time, seconds.
            clears_parts: whether the end of the answer is proved. A crash
                may look like the end of an answer without a length.
        """
        self._clear(content.fingerprint, now, now)
        if clears_parts:
            self.record_begun(content, now)

    def is_barred(self, content: Content, now: float) -> bool:
        """Return whether a request must not be sent."""
        cause = self._find_cause(content)
        if cause is None:
            return False
        for key in cause:
            self._announcements.record_observation(key, now)
        return True

    def count_barred(self) -> int:
        """Return the number of requests that are barred as a whole."""
        return len(self._get_causes()) - self.count_barred_parts()

    def count_barred_parts(self) -> int:
        """Return the number of parts, or sets of them, that are barred."""
        return sum(map(_has_parts_only, self._get_causes()))

    def list_updates(
        self, now: float, max_changes: int = announcements.MAX_CHANGES
    ) -> list[Row]:
        """Return the updates to send to other instances now.

        Args:
            now: clock time, seconds.
            max_changes: most changes to return.
        """
        self.remove_expired(now)
        self._get_causes()
        selected = self._announcements.select(self._barred, now, max_changes)
        return [self._make_row(key, now) for key in selected]

    def apply_updates(
        self, rows: collections.abc.Iterable[Row], now: float
    ) -> None:
        """Apply updates of another instance."""
        for key, seen_age, cleared_age, crashes, workspaces in rows:
            last_seen = now - seen_age / 1000
            if announcements.is_expired(last_seen, now):
                continue
            self._announcements.record_repeat(key, last_seen)
            suspect = self._get_suspect(key)
            if cleared_age >= 0:
                cleared_at = now - cleared_age / 1000
                self._apply_answer(key, suspect, cleared_at, now)
            times = {start: now - age / 1000 for start, age in crashes}
            self._apply_crashes(key, suspect, times, workspaces, now)
        self._trim()

    def remove_expired(self, now: float) -> None:
        """Forget contents that have not occurred for a while."""
        for key in self._announcements.list_expired(now):
            self._forget(key)
        for key in list(self._barred):
            self._drop_expired_crashes(key, self._suspects[key], now)

    def _apply_answer(
        self,
        key: str,
        suspect: crash_records.CrashRecord,
        cleared_at: float,
        now: float,
    ) -> None:
        known_at = max(suspect.cleared_at, self._cleared.get_time(key))
        # The time under way is not part of an age, so that each time an
        # answer is passed on, it seems a little newer.
        if cleared_at - known_at <= announcements.REPEAT_TOLERANCE_SECONDS:
            return
        if not key.startswith(_START_MARK):
            self._clear(key, cleared_at, now)
            return
        suspect.cleared_at = cleared_at
        start = int(key.removeprefix(_START_MARK))
        self._take_back_crash(start, cleared_at)
        self._record_change(key, now)

    def _apply_crashes(
        self,
        key: str,
        suspect: crash_records.CrashRecord,
        crashes: causes.Crashes,
        workspaces: list[int],
        now: float,
    ) -> None:
        changed = False
        for start, at in crashes.items():
            if self._cleared.covers(key, at):
                # The other instance has not seen the answer.
                self._announcements.record_change(key, now)
                suspect.cleared_at = max(
                    suspect.cleared_at, self._cleared.get_time(key)
                )
            elif not self._has_expired(key, at, now):
                changed |= self._add_crash(suspect, start, at)
        changed |= suspect.add_workspaces(workspaces)
        if changed:
            self._record_change(key, now)

    def _add_crash(
        self, suspect: crash_records.CrashRecord, start: int, at: float
    ) -> bool:
        answered = self._suspects.get(f"{_START_MARK}{start}")
        if answered is not None and at < answered.cleared_at:
            return False
        self._crashed.pop(start, None)
        self._crashed[start] = at
        if len(self._crashed) > MAX_CRASHED:
            del self._crashed[next(iter(self._crashed))]
        return suspect.add_crash(start, at)

    def _take_back_crash(self, start: int, answered_at: float) -> None:
        """Remove a crash before a request that the endpoint has answered."""
        for suspect in self._suspects.values():
            if suspect.crashes.get(start, answered_at) < answered_at:
                del suspect.crashes[start]
                self._is_outdated = True
        self._crashed.pop(start, None)

    def _clear(self, key: str, at: float, now: float) -> None:
        """Drop the crashes for which a good answer at a clock time stands."""
        if fingerprints.is_part(key):
            at = self._cleared.add(key, at)
        suspect = self._suspects.get(key)
        if suspect is None:
            return
        is_part = fingerprints.is_part(key)
        until = at + crash_records.CLEARED_SECONDS if is_part else at
        suspect.cleared_at = max(suspect.cleared_at, at)
        if suspect.drop_crashes(until):
            self._record_change(key, now)

    def _has_expired(self, key: str, at: float, now: float) -> bool:
        return fingerprints.is_part(key) and announcements.is_expired(at, now)

    def _drop_expired_crashes(
        self, key: str, suspect: crash_records.CrashRecord, now: float
    ) -> None:
        if not fingerprints.is_part(key):
            return
        if suspect.drop_crashes(now - KEEP_SECONDS):
            self._is_outdated = True

    def _get_suspect(self, key: str) -> crash_records.CrashRecord:
        return self._suspects.setdefault(key, crash_records.CrashRecord())

    def _record_change(self, key: str, now: float) -> None:
        self._announcements.record_change(key, now)
        self._is_outdated = True

    def _get_causes(self) -> list[causes.Keys]:
        if self._is_outdated:
            self._is_outdated = False
            self._causes = causes.find_causes(
                {key: s.crashes for key, s in self._suspects.items()}
            )
            self._barred = dict.fromkeys(
                key for cause in self._causes for key in sorted(cause)
            )
        return self._causes

    def _find_cause(self, content: Content) -> causes.Keys | None:
        """Return the cause by which a request is barred, if there is one."""
        found = self._get_causes()
        if not found:
            return None
        keys = {content.fingerprint, *content.parts}
        workspace = _compute_hash(content.workspace)
        for cause in found:
            if cause <= keys and self._applies(cause, workspace):
                return cause
        return None

    def _applies(self, cause: causes.Keys, workspace: int) -> bool:
        # A workspace can name any part in its crashing requests, also one
        # of another workspace, which must not be refused for that. The
        # fingerprint of a request is one of its workspace anyway.
        if not _has_parts_only(cause):
            return True
        workspaces = self._suspects[min(cause)].workspaces
        return (
            workspace in workspaces
            or len(workspaces) >= crash_records.MIN_WORKSPACES
        )

    def _forget(self, key: str) -> None:
        self._suspects.pop(key, None)
        self._announcements.drop(key)
        if key in self._barred:
            del self._barred[key]
            self._is_outdated = True

    def _make_row(self, key: str, now: float) -> Row:
        suspect = self._suspects[key]
        last_seen = self._announcements.get_observed_at(key)
        return (
            key,
            _compute_age_ms(last_seen, now),
            _compute_age_ms(suspect.cleared_at, now),
            [
                (start, _compute_age_ms(at, now))
                for start, at in suspect.crashes.items()
            ],
            sorted(suspect.workspaces),
        )

    def _trim(self) -> None:
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        # Removes several at once, so that a crash of many endpoints does not
        # sort all entries again for each request involved.
        self._get_causes()
        ranked = sorted(
            self._suspects,
            key=lambda key: (
                key in self._barred,
                self._announcements.get_observed_at(key),
            ),
        )
        for key in ranked[: MAX_SUSPECTS // 8]:
            self._forget(key)


def _has_parts_only(cause: causes.Keys) -> bool:
    return all(map(fingerprints.is_part, cause))


def _compute_start_hash(endpoint: models.Endpoint) -> int:
    name, started = endpoint.start_id
    return _compute_hash(f"{name} {started}")


def _compute_hash(text: str) -> int:
    return zlib.crc32(text.encode())


def _compute_age_ms(at: float, now: float) -> int:
    return (
        -1 if at == crash_records.NEVER else max(0, round((now - at) * 1000))
    )
