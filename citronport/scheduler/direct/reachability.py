"""Whether this instance has a path to the endpoints."""

MIN_FAILED_ENDPOINTS = 2
"""Endpoints that must have failed, with none reached since, before the path
counts as lost. A single one may be down itself."""

NEVER = float("-inf")


class Reachability:
    """Tracks whether connections of this instance reach any endpoint.

    A failed connection does not say whether the endpoint is down or the path
    from this instance to it. If endpoints fail one after the other and none
    is reached any more, the path is the likelier cause. This is known to and
    valid for this instance only; others may reach all endpoints.
    """

    def __init__(self) -> None:
        self._failed: set[str] = set()
        self._reached_at = NEVER
        self._lost_at = NEVER
        self._regained_at = NEVER

    @property
    def is_lost(self) -> bool:
        """Whether this instance reaches no endpoint now."""
        return self._lost_at > self._regained_at

    @property
    def failed_endpoints(self) -> int:
        """Number of endpoints that failed since one was last reached."""
        return len(self._failed)

    def record_reached(self, now: float) -> bool:
        """Record a connection; return whether the path is regained by it."""
        was_lost = self.is_lost
        self._failed.clear()
        self._reached_at = now
        if was_lost:
            self._regained_at = now
        return was_lost

    def record_failed(self, endpoint: str, now: float) -> bool:
        """Record a failed connection; return whether the path is now lost."""
        self._failed.add(endpoint)
        if self.is_lost or len(self._failed) < MIN_FAILED_ENDPOINTS:
            return False
        self._lost_at = now
        return True

    def has_failed(self, endpoint: str) -> bool:
        """Return whether an endpoint failed since one was last reached."""
        return endpoint in self._failed

    def has_reached_since(self, at: float) -> bool:
        """Return whether an endpoint was reached at or after a time."""
        return self._reached_at >= at

    def was_lost_since(self, at: float) -> bool:
        """Return whether the path was lost at some time from then on."""
        return self.is_lost or self._regained_at >= at
