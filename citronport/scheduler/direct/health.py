"""Which endpoints answer, from what sends to them met."""

import dataclasses

FIRST_PAUSE_SECONDS = 0.5
"""First pause after a failed connection; a restart takes about as long."""

MAX_PAUSE_SECONDS = 3.0
"""Longest pause: each probe of a dark endpoint costs one request a wait."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the share of failures: about the last
five answers count, so that a fault of a few seconds is seen within it."""

FAILURE_HALF_LIFE_SECONDS = 5.0
"""Time in which half of a share of failures is forgotten without new
answers, so that an endpoint that nobody chooses any more gets a chance."""


@dataclasses.dataclass(slots=True)
class _Record:
    failure_share: float = 0.0
    updated_at: float = 0.0
    pause: float = 0.0
    paused_until: float = 0.0
    probing: bool = False


class Health:
    """What this instance knows of the health of endpoints."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_unreachable(self, endpoint: str, now: float) -> None:
        """Note that no connection came about, or one broke unanswered."""
        record = self._records.setdefault(endpoint, _Record())
        self._decay(record, now)
        record.failure_share += FAILURE_WEIGHT * (1 - record.failure_share)
        record.probing = False
        if now < record.paused_until:
            # Requests that were on their way together fail together: that
            # is one failure, and not a row of them.
            return
        pause = 2 * record.pause or FIRST_PAUSE_SECONDS
        record.pause = min(pause, MAX_PAUSE_SECONDS)
        record.paused_until = now + record.pause

    def record_answer(self, endpoint: str, success: bool, now: float) -> bool:
        """Note an answer; return whether it ended a time out of reach."""
        record = self._records.setdefault(endpoint, _Record())
        self._decay(record, now)
        target = 0.0 if success else 1.0
        record.failure_share += FAILURE_WEIGHT * (
            target - record.failure_share
        )
        recovered = record.pause > 0
        record.pause = 0.0
        record.paused_until = 0.0
        record.probing = False
        return recovered

    def may_use(self, endpoint: str, now: float) -> bool:
        """Return whether a request may be risked there.

        Load: an endpoint that crashed while it stands in the list. Harm:
        each request sent there waits for a connection that never comes.
        After a pause one request at a time tries it.
        """
        record = self._records.get(endpoint)
        if record is None or not record.pause:
            return True
        return now >= record.paused_until and not record.probing

    def record_send(self, endpoint: str) -> None:
        """Note that a request goes there now."""
        record = self._records.get(endpoint)
        if record is not None and record.pause:
            record.probing = True

    def record_no_result(self, endpoint: str) -> None:
        """Note that a request ended without an answer of either kind."""
        record = self._records.get(endpoint)
        if record is not None:
            record.probing = False

    def get_failure_share(self, endpoint: str, now: float) -> float:
        """Return the share of recent requests that failed, 0 to 1."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        self._decay(record, now)
        return record.failure_share

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._records.pop(endpoint, None)

    def _decay(self, record: _Record, now: float) -> None:
        elapsed = max(0.0, now - record.updated_at)
        record.failure_share *= 0.5 ** (elapsed / FAILURE_HALF_LIFE_SECONDS)
        record.updated_at = now
