"""How many requests a second endpoints in need have said they take."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

SENDER_SHARE = 0.8
"""Part of a limit that instances use which find no owner of the endpoint;
the rest is for those that do not know each other yet."""

BUCKET_SECONDS = 0.5
"""Requests that may go at once, as a time at the limit: two owners in a row
have a bucket each."""

MIN_RATE = 0.25
"""Requests a second that any endpoint gets: only an answer tells that it
names a limit no longer."""

NO_LIMIT = -1

Row = tuple[str, int, int]
"""What instances tell each other of an endpoint: its name, its limit in
requests per 1,000 seconds (``NOT_LIMITED`` if it names none), and how long
ago it answered so, in milliseconds."""


@dataclasses.dataclass(slots=True)
class _Limit:
    """What an endpoint said last, and what of it is left here.

    Attributes:
        rate: requests a second; None if it named none.
        heard: clock time of that answer, seconds.
        tokens: requests that may be sent now.
        filled: clock time at which these were counted, seconds.
    """

    rate: float | None
    reported_at: float
    tokens: float
    refilled_at: float


class EndpointLimits:
    """Keeps the limits that endpoints name, together with other instances.

    Load: an endpoint in need that says how many requests a second it takes
    from all. Harm: it looks like any other, and each instance sends as much
    as before. The owner of the endpoint hands out no more than the limit;
    instances that find no owner have a fixed part of it each.
    """

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}
        self._limited: dict[str, None] = {}
        self._announcements = announcements.Announcements()

    def record_limit(
        self, endpoint: str, rate: float | None, now: float
    ) -> bool:
        """Note what an answer says; return whether that is a change.

        Args:
            endpoint: which answered.
            rate: requests a second that it takes; None if it names none.
            now: clock time, seconds.
        """
        return self._set(endpoint, rate, now, now)

    def get_rate(self, endpoint: str) -> float | None:
        """Return what an endpoint takes a second; None without a limit."""
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return None
        return max(MIN_RATE, limit.rate)

    def may_send(self, endpoint: str, role: roles.Role, now: float) -> bool:
        """Return whether one more request fits into an endpoint's limit."""
        rate = self.get_rate(endpoint)
        if rate is None:
            return True
        sender_rate = _compute_sender_rate(endpoint, rate, role)
        limit = self._limits[endpoint]
        elapsed = max(0.0, now - limit.refilled_at)
        capacity = max(1.0, BUCKET_SECONDS * sender_rate)
        limit.tokens = min(capacity, limit.tokens + sender_rate * elapsed)
        limit.refilled_at = now
        return limit.tokens >= 1

    def record_send(self, endpoint: str) -> None:
        """Count a request that goes there."""
        limit = self._limits.get(endpoint)
        if limit is not None:
            limit.tokens = max(-1.0, limit.tokens - 1)

    def count_limited(self) -> int:
        """Return how many endpoints name a limit now."""
        return len(self._limited)

    def list_updates(
        self, now: float, max_changes: int = announcements.MAX_CHANGES
    ) -> list[Row]:
        """Return what to tell other instances now.

        Args:
            now: clock time, seconds.
            max_changes: changes to tell at once.
        """
        rows = []
        for name in self._announcements.select(
            self._limited, now, max_changes
        ):
            limit = self._limits[name]
            rate = limit.rate
            rate_per_1000 = NO_LIMIT if rate is None else round(rate * 1000)
            rows.append(
                (name, rate_per_1000, round((now - limit.reported_at) * 1000))
            )
        return rows

    def apply_updates(
        self, rows: collections.abc.Iterable[Row], now: float
    ) -> None:
        """Take what another instance tells; the newest answer counts."""
        for name, rate_per_1000, age in rows:
            rate = None if rate_per_1000 == NO_LIMIT else rate_per_1000 / 1000
            reported_at = now - age / 1000
            known = self._limits.get(name)
            if known is None or reported_at > known.reported_at:
                self._set(name, rate, reported_at, now)
            elif rate != known.rate:
                # The other one has an older answer than this instance.
                self._announcements.record_change(name, now)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._limits.pop(endpoint, None)
        self._limited.pop(endpoint, None)
        self._announcements.drop(endpoint)

    def _set(
        self, endpoint: str, rate: float | None, reported_at: float, now: float
    ) -> bool:
        limit = self._limits.get(endpoint)
        if limit is None:
            limit = _Limit(None, reported_at, 0.0, now)
            self._limits[endpoint] = limit
        limit.reported_at = reported_at
        if limit.rate == rate:
            return False
        if limit.rate is None:
            # It has as much in work as it could get without a limit.
            limit.tokens = 0.0
            limit.refilled_at = now
        limit.rate = rate
        if rate is None:
            self._limited.pop(endpoint, None)
        else:
            self._limited[endpoint] = None
        self._announcements.record_change(endpoint, now)
        return True


def _compute_sender_rate(
    endpoint: str, rate: float, role: roles.Role
) -> float:
    """Return the requests a second that an instance may send."""
    match role:
        case roles.Owner():
            return rate
        case roles.Sender(own=own, instances=instances):
            # One request at a time of each of hundreds of instances would
            # already be too much: only some may send there.
            senders = max(1, int(rate * SENDER_SHARE))
            chosen = rendezvous.choose(endpoint, instances, senders)
            if own not in chosen:
                return 0.0
            return rate * SENDER_SHARE / len(chosen)
