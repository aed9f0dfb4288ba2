"""How many requests a second endpoints in need have said they take."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import ranking
from citronport.scheduler.direct import shares
from citronport.scheduler.direct import telling

SENDER_SHARE = 0.8
"""Part of a limit that instances use which find no owner of the endpoint;
the rest is for those that do not know each other yet."""

BUCKET_SECONDS = 0.5
"""Requests that may go at once, as a time at the limit: two owners in a row
have a bucket each."""

MIN_RATE = 0.25
"""Requests a second that any endpoint gets: only an answer tells that it
names a limit no longer."""

NOT_LIMITED = -1

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
    heard: float
    tokens: float
    filled: float


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
        self._telling = telling.Telling()

    def note_answer(
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

    def may_send(self, endpoint: str, share: shares.Share, now: float) -> bool:
        """Return whether one more request fits into an endpoint's limit."""
        rate = self.get_rate(endpoint)
        if rate is None:
            return True
        part = _divide(endpoint, rate, share)
        limit = self._limits[endpoint]
        passed = max(0.0, now - limit.filled)
        most = max(1.0, BUCKET_SECONDS * part)
        limit.tokens = min(most, limit.tokens + part * passed)
        limit.filled = now
        return limit.tokens >= 1

    def note_send(self, endpoint: str) -> None:
        """Count a request that goes there."""
        limit = self._limits.get(endpoint)
        if limit is not None:
            limit.tokens = max(-1.0, limit.tokens - 1)

    def count(self) -> int:
        """Return how many endpoints name a limit now."""
        return len(self._limited)

    def list_told(self, now: float, most: int = telling.MAX_NEWS) -> list[Row]:
        """Return what to tell other instances now.

        Args:
            now: clock time, seconds.
            most: changes to tell at once.
        """
        rows = []
        for name in self._telling.choose(self._limited, now, most):
            limit = self._limits[name]
            rate = limit.rate
            told = NOT_LIMITED if rate is None else round(rate * 1000)
            rows.append((name, told, round((now - limit.heard) * 1000)))
        return rows

    def hear(self, rows: collections.abc.Iterable[Row], now: float) -> None:
        """Take what another instance tells; the newest answer counts."""
        for name, told, age in rows:
            rate = None if told == NOT_LIMITED else told / 1000
            heard = now - age / 1000
            known = self._limits.get(name)
            if known is None or heard > known.heard:
                self._set(name, rate, heard, now)
            elif rate != known.rate:
                # The other one has an older answer than this instance.
                self._telling.note_change(name, now)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._limits.pop(endpoint, None)
        self._limited.pop(endpoint, None)
        self._telling.drop(endpoint)

    def _set(
        self, endpoint: str, rate: float | None, heard: float, now: float
    ) -> bool:
        limit = self._limits.get(endpoint)
        if limit is None:
            limit = _Limit(None, heard, 0.0, now)
            self._limits[endpoint] = limit
        limit.heard = heard
        if limit.rate == rate:
            return False
        if limit.rate is None:
            # It has as much in work as it could get without a limit.
            limit.tokens = 0.0
            limit.filled = now
        limit.rate = rate
        if rate is None:
            self._limited.pop(endpoint, None)
        else:
            self._limited[endpoint] = None
        self._telling.note_change(endpoint, now)
        return True


def _divide(endpoint: str, rate: float, share: shares.Share) -> float:
    """Return the requests a second that an instance may send."""
    match share:
        case shares.Owner():
            return rate
        case shares.Sender(own=own, instances=instances):
            # One request at a time of each of hundreds of instances would
            # already be too much: only some may send there.
            senders = max(1, int(rate * SENDER_SHARE))
            chosen = ranking.choose(endpoint, instances, senders)
            if own not in chosen:
                return 0.0
            return rate * SENDER_SHARE / len(chosen)
