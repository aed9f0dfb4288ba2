"""Request rate limits that overloaded endpoints announce."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import announcements
from citronport.scheduler.direct import brittleness
from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

SENDER_SHARE = 0.8
"""Share of a limit that is used together by instances that find no owner of
the endpoint; the rest is for instances that do not know each other yet."""

BUCKET_SECONDS = 0.5
"""Size of a token bucket, as time at the limited rate. Kept small since two
consecutive owners have a bucket each."""

MIN_RATE = 0.25
"""Requests per second that each endpoint gets at least, as only an answer
shows that it has lifted its limit."""

NO_LIMIT = -1

Row = tuple[str, int, int]
"""Update on an endpoint's limit that instances send each other: its name, the
limit in requests per 1,000 seconds (``NO_LIMIT`` if there is none), and the
age of the answer that stated it, in milliseconds."""


@dataclasses.dataclass(slots=True)
class _Limit:
    """Latest limit of an endpoint, with this instance's token bucket.

    Attributes:
        rate: requests per second; None for no limit.
        tokens: requests that may be sent now.
        refilled_at: clock time of the last refill, seconds.
    """

    rate: float | None
    tokens: float
    refilled_at: float


class EndpointLimits:
    """Enforces the limits that endpoints announce, across all instances.

    An overloaded endpoint states in its answers how many requests per second
    it accepts from all instances together. The owner of the endpoint sends
    no more than that. Instances that find no owner have a fixed share each;
    otherwise each of them would use the full limit.

    Attributes:
        brittle: endpoints that must not have to turn requests away.

    Args:
        is_listed: returns whether an endpoint exists. Updates on others are
            left out, since anyone can name some.
    """

    def __init__(
        self,
        is_listed: collections.abc.Callable[[str], bool] = lambda name: True,
    ) -> None:
        self._is_listed = is_listed
        self.brittle = brittleness.BrittleEndpoints()
        self._limits: dict[str, _Limit] = {}
        self._limited: dict[str, None] = {}
        self._announcements = announcements.Announcements()

    def record_limit(
        self, endpoint: str, rate: float | None, now: float
    ) -> bool:
        """Record the limit stated in an answer; return whether it changed.

        Args:
            endpoint: name of the endpoint.
            rate: requests per second that it accepts; None for no limit.
            now: clock time, seconds.
        """
        self._announcements.record_observation(endpoint, now)
        return self._set(endpoint, rate, now)

    def get_rate(self, endpoint: str) -> float | None:
        """Return the requests per second for an endpoint; None if unlimited.

        The rate is never below ``MIN_RATE``.
        """
        limit = self._limits.get(endpoint)
        if limit is None or limit.rate is None:
            return None
        return max(MIN_RATE, limit.rate)

    def may_send(self, endpoint: str, role: roles.Role, now: float) -> bool:
        """Return whether an endpoint's limit allows one more request."""
        rate = self.get_rate(endpoint)
        if rate is None:
            return True
        own_rate = _compute_own_rate(endpoint, rate, role)
        limit = self._limits[endpoint]
        elapsed = max(0.0, now - limit.refilled_at)
        capacity = max(1.0, BUCKET_SECONDS * own_rate)
        limit.tokens = min(capacity, limit.tokens + own_rate * elapsed)
        limit.refilled_at = now
        return limit.tokens >= 1

    def record_send(self, endpoint: str) -> None:
        """Count a request that is sent to an endpoint."""
        limit = self._limits.get(endpoint)
        if limit is not None:
            limit.tokens = max(-1.0, limit.tokens - 1)

    def count_limited(self) -> int:
        """Return how many endpoints have a limit now."""
        return len(self._limited)

    def list_updates(
        self, now: float, max_changes: int = announcements.MAX_CHANGES
    ) -> list[Row]:
        """Return the updates to send to other instances now.

        Args:
            now: clock time, seconds.
            max_changes: most changes to return.
        """
        self.remove_expired(now)
        selected = self._announcements.select(self._limited, now, max_changes)
        return [self._make_row(name, now) for name in selected]

    def apply_updates(
        self, rows: collections.abc.Iterable[Row], now: float
    ) -> None:
        """Apply updates of another instance; the latest answer wins."""
        for name, rate_per_1000, age in rows:
            if not self._is_listed(name):
                continue
            rate = None if rate_per_1000 == NO_LIMIT else rate_per_1000 / 1000
            reported_at = now - age / 1000
            if announcements.is_expired(reported_at, now):
                continue
            known = self._limits.get(name)
            if known is not None and rate == known.rate:
                self._announcements.record_repeat(name, reported_at)
            elif reported_at > self._announcements.get_observed_at(name):
                self._announcements.record_observation(name, reported_at)
                self._set(name, rate, now)
            else:
                # The other instance has an older answer: repeat the update.
                self._announcements.record_change(name, now)

    def remove_expired(self, now: float) -> None:
        """Forget limits that no answer has stated for a long time.

        Some instances learn later than others that an endpoint is gone.
        Their updates restore its limit where it was forgotten already.
        """
        for name in self._announcements.list_expired(now):
            self.forget(name)

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self.brittle.forget(endpoint)
        self._limits.pop(endpoint, None)
        self._limited.pop(endpoint, None)
        self._announcements.drop(endpoint)

    def _make_row(self, endpoint: str, now: float) -> Row:
        rate = self._limits[endpoint].rate
        age = now - self._announcements.get_observed_at(endpoint)
        return (
            endpoint,
            NO_LIMIT if rate is None else round(rate * 1000),
            round(age * 1000),
        )

    def _set(self, endpoint: str, rate: float | None, now: float) -> bool:
        limit = self._limits.get(endpoint)
        if limit is None:
            limit = _Limit(None, 0.0, now)
            self._limits[endpoint] = limit
        if limit.rate == rate:
            return False
        if limit.rate is None:
            # The endpoint got requests without a limit until now, so that
            # the bucket starts empty.
            limit.tokens = 0.0
            limit.refilled_at = now
        limit.rate = rate
        if rate is None:
            self._limited.pop(endpoint, None)
        else:
            self._limited[endpoint] = None
        self._announcements.record_change(endpoint, now)
        return True


def _compute_own_rate(endpoint: str, rate: float, role: roles.Role) -> float:
    """Return how many requests per second an instance may send."""
    match role:
        case roles.Owner():
            return rate
        case roles.Sender(own=own, instances=instances):
            rate *= role.known_share
            # With hundreds of instances, even one request from each would be
            # too much: only some of them may send.
            senders = max(1, int(rate * SENDER_SHARE))
            chosen = rendezvous.choose(endpoint, instances, senders)
            if own not in chosen:
                return 0.0
            return rate * SENDER_SHARE / len(chosen)
