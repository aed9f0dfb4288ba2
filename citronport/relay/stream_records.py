"""Streams whose beginning is known."""

import collections
import collections.abc
import dataclasses

from citronport import clock
from citronport.scheduler.direct import software_history

REPORTED_SHARE = 0.75
"""Share of the streams that other instances may report; their number can't
displace what this instance knows by itself."""

DEFAULT_MAX_STREAMS = 10_000
"""Most streams to remember where the settings name no memory."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StreamVersion:
    """Where a stream may go on.

    Attributes:
        service: the service that began it.
        software: the software version that began it; None if any may go on.
    """

    service: str
    software: str | None


@dataclasses.dataclass(slots=True)
class _Record:
    """A known stream.

    Attributes:
        version: where it began.
        until: clock time until which it is remembered, seconds.
    """

    version: StreamVersion
    until: float


class StreamRecords:
    """Remembers where streams began, for as long as that matters.

    Args:
        ticker: the clock.
        max_streams: most streams to remember; the oldest are dropped.
    """

    def __init__(
        self, ticker: clock.Clock, max_streams: int = DEFAULT_MAX_STREAMS
    ) -> None:
        self._ticker = ticker
        max_reported = int(max_streams * REPORTED_SHARE)
        self._own = _Table(max_streams - max_reported)
        self._reported = _Table(max_reported)

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._own.records) + len(self._reported.records)

    def __contains__(self, key: int) -> bool:
        """Return whether a stream is known."""
        return self.get(key) is not None

    def get(self, key: int) -> StreamVersion | None:
        """Return where a stream began; None if it is not known."""
        record = self._own.records.get(key) or self._reported.records.get(key)
        return record.version if record else None

    def list_items(self) -> list[tuple[int, StreamVersion]]:
        """Return all known streams with where they began."""
        return [
            (key, record.version)
            for table in (self._reported, self._own)
            for key, record in table.records.items()
        ]

    def store(
        self, key: int, version: StreamVersion, *, is_reported: bool
    ) -> None:
        """Remember where a stream began.

        Args:
            key: key of the stream.
            version: where it began.
            is_reported: whether another instance says so.
        """
        until = self._ticker.now() + software_history.KEEP_SECONDS
        is_own = not is_reported or key in self._own.records
        self.forget(key)
        table = self._own if is_own else self._reported
        table.add(key, _Record(version, until))

    def forget(self, key: int) -> None:
        """Forget a stream, if it is known."""
        self._own.records.pop(key, None)
        self._reported.records.pop(key, None)

    def drop_expired(self) -> None:
        """Forget the streams that are not taken up again any more."""
        now = self._ticker.now()
        self._own.drop_expired(now)
        self._reported.drop_expired(now)


class _Table:
    """A bounded number of streams, the oldest first."""

    def __init__(self, max_records: int) -> None:
        self._max_records = max_records
        self.records: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )

    def add(self, key: int, record: _Record) -> None:
        self.records[key] = record
        if len(self.records) > self._max_records:
            self.records.popitem(last=False)

    def drop_expired(self, now: float) -> None:
        while self.records:
            oldest = next(iter(self.records.values()))
            if now < oldest.until:
                break
            self.records.popitem(last=False)
