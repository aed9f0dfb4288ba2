"""Circuit breakers of endpoints, driven by the outcomes of sends."""

import dataclasses

FIRST_PAUSE_SECONDS = 0.5
"""First pause after a failed connection, about the time of a restart."""

MAX_PAUSE_SECONDS = 3.0
"""Longest pause. Each probe of an unreachable endpoint delays a request."""

FAILURE_WEIGHT = 0.2
"""Weight of the newest answer in the failure share. About the last five
answers count, so that a fault of a few seconds is detected while it lasts."""

FAILURE_HALF_LIFE_SECONDS = 5.0
"""Half-life of a failure share without new answers, so that an endpoint that
is no longer chosen is tried again."""


@dataclasses.dataclass(slots=True)
class _Record:
    failure_share: float = 0.0
    updated_at: float = 0.0
    pause: float = 0.0
    paused_until: float = 0.0
    probing: bool = False
    silent: bool = False
    reached_at: float = float("-inf")

    def end_pause(self) -> None:
        """Let the endpoint be used again."""
        self.pause = 0.0
        self.paused_until = 0.0
        self.probing = False
        self.silent = False


class Health:
    """Tracks the health of endpoints as this instance sees it."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_unreachable(
        self, endpoint: str, now: float, since: float | None = None
    ) -> bool:
        """Record that a connection failed, or broke before an answer.

        Args:
            endpoint: name of the endpoint.
            now: clock time, seconds.
            since: clock time at which the attempt began at the earliest;
                None if not known.

        Returns:
            False if the endpoint has answered another request meanwhile, so
            that the path of the one that failed is at fault.
        """
        record = self._records.setdefault(endpoint, _Record())
        record.probing = False
        if since is not None and record.reached_at > since:
            return False
        if now < record.paused_until:
            # Concurrent requests fail together, which counts as one failure
            # and does not double the pause several times.
            return True
        pause = 2 * record.pause or FIRST_PAUSE_SECONDS
        record.pause = min(pause, MAX_PAUSE_SECONDS)
        record.paused_until = now + record.pause
        return True

    def record_silent(self, endpoint: str, now: float) -> None:
        """Record that an endpoint begins no request.

        It is skipped for a while. Failed requests do not end that, as these
        may be requests that waited there until their deadlines.
        """
        self.record_unreachable(endpoint, now)
        self._records[endpoint].silent = True

    def record_reached(self, endpoint: str, now: float) -> None:
        """Record that an endpoint has begun to answer, which ends a pause."""
        record = self._records.setdefault(endpoint, _Record())
        record.reached_at = now
        record.end_pause()

    def record_answer(self, endpoint: str, success: bool, now: float) -> bool:
        """Record an answer; return whether an outage has ended with it."""
        record = self._records.setdefault(endpoint, _Record())
        self._decay(record, now)
        target = 0.0 if success else 1.0
        record.failure_share += FAILURE_WEIGHT * (
            target - record.failure_share
        )
        if record.silent and not success:
            record.probing = False
            return False
        recovered = record.pause > 0
        if success:
            record.reached_at = now
        record.end_pause()
        return recovered

    def may_use(self, endpoint: str, now: float) -> bool:
        """Return whether a request may be sent to an endpoint.

        Requests to a crashed endpoint that is still listed would wait for a
        connection in vain. After a pause, one request at a time probes it.
        """
        record = self._records.get(endpoint)
        if record is None or not record.pause:
            return True
        return now >= record.paused_until and not record.probing

    def record_send(self, endpoint: str) -> None:
        """Record that a request is sent, as the probe of a paused endpoint."""
        record = self._records.get(endpoint)
        if record is not None and record.pause:
            record.probing = True

    def record_no_result(self, endpoint: str) -> None:
        """Record that a request ended neither with an answer nor a failure."""
        record = self._records.get(endpoint)
        if record is not None:
            record.probing = False

    def get_failure_share(self, endpoint: str, now: float) -> float:
        """Return the share of recent requests that failed, from 0 to 1."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        self._decay(record, now)
        return record.failure_share

    def clear_pauses(self) -> None:
        """End all pauses, of which none may be the fault of an endpoint."""
        for record in self._records.values():
            record.end_pause()

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self._records.pop(endpoint, None)

    def _decay(self, record: _Record, now: float) -> None:
        elapsed = max(0.0, now - record.updated_at)
        record.failure_share *= 0.5 ** (elapsed / FAILURE_HALF_LIFE_SECONDS)
        record.updated_at = now
