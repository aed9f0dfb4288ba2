"""Which endpoints answer, from what sends to them met."""

import dataclasses

SUSPECT_SECONDS = 0.5
"""First pause after a failed connection; a restart takes about as long."""

MAX_SUSPECT_SECONDS = 3.0
"""Longest pause: each probe of a dark endpoint costs one request a wait."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the share of failures: about the last
five answers count, so that a fault of a few seconds is seen within it."""

FORGET_SECONDS = 5.0
"""Time in which half of a share of failures is forgotten without new
answers, so that an endpoint that nobody chooses any more gets a chance."""


@dataclasses.dataclass(slots=True)
class _Record:
    failures: float = 0.0
    at: float = 0.0
    pause: float = 0.0
    suspect_until: float = 0.0
    probing: bool = False


class Health:
    """What this instance knows of the health of endpoints."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def note_unreachable(self, endpoint: str, now: float) -> None:
        """Note that no connection came about, or one broke unanswered."""
        record = self._records.setdefault(endpoint, _Record())
        self._age(record, now)
        record.failures += FAILURE_WEIGHT * (1 - record.failures)
        record.probing = False
        if now < record.suspect_until:
            # Requests that were on their way together fail together: that
            # is one failure, and not a row of them.
            return
        pause = 2 * record.pause or SUSPECT_SECONDS
        record.pause = min(pause, MAX_SUSPECT_SECONDS)
        record.suspect_until = now + record.pause

    def note_answer(self, endpoint: str, good: bool, now: float) -> bool:
        """Note an answer; return whether it ended a time out of reach."""
        record = self._records.setdefault(endpoint, _Record())
        self._age(record, now)
        target = 0.0 if good else 1.0
        record.failures += FAILURE_WEIGHT * (target - record.failures)
        returned = record.pause > 0
        record.pause = 0.0
        record.suspect_until = 0.0
        record.probing = False
        return returned

    def may_use(self, endpoint: str, now: float) -> bool:
        """Return whether a request may be risked there.

        Load: an endpoint that crashed while it stands in the list. Harm:
        each request sent there waits for a connection that never comes.
        After a pause one request at a time tries it.
        """
        record = self._records.get(endpoint)
        if record is None or not record.pause:
            return True
        return now >= record.suspect_until and not record.probing

    def note_send(self, endpoint: str) -> None:
        """Note that a request goes there now."""
        record = self._records.get(endpoint)
        if record is not None and record.pause:
            record.probing = True

    def note_unsent(self, endpoint: str) -> None:
        """Note that a request ended without an answer of either kind."""
        record = self._records.get(endpoint)
        if record is not None:
            record.probing = False

    def get_failures(self, endpoint: str, now: float) -> float:
        """Return the share of recent requests that failed, 0 to 1."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        self._age(record, now)
        return record.failures

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._records.pop(endpoint, None)

    def _age(self, record: _Record, now: float) -> None:
        passed = max(0.0, now - record.at)
        record.failures *= 0.5 ** (passed / FORGET_SECONDS)
        record.at = now
