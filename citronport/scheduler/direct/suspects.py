"""Requests under which endpoints ended."""

import collections.abc
import dataclasses
import zlib

from citronport.scheduler.direct import models
from citronport.scheduler.direct import telling

MAX_ENDS = 3
"""Endpoints that may end under a request before it is barred. Each of them
ends under all that it runs, and one or two of those are there by chance."""

KEEP_SECONDS = 600.0
"""How long a request is remembered that nobody repeats."""

MAX_KEPT = 2048
"""Requests remembered at once."""

NEVER = float("-inf")

Row = tuple[str, int, int, list[tuple[int, int]]]
"""What instances tell each other of one request: its fingerprint; how long
ago it was last asked for, and last answered whole (-1: never); the starts of
endpoints that ended under it since, each with how long ago. Times are in
milliseconds."""


@dataclasses.dataclass(slots=True)
class _Suspect:
    """What is known of one request; clock times in seconds.

    Attributes:
        ends: when each endpoint ended under it.
        whole: when it was last answered whole.
        seen: when an endpoint last ended under it or a barred one came.
    """

    ends: dict[int, float] = dataclasses.field(default_factory=dict)
    whole: float = NEVER
    seen: float = NEVER

    @property
    def is_barred(self) -> bool:
        return len(self.ends) >= MAX_ENDS

    def add(self, start: int, at: float) -> bool:
        """Add an end; return whether that is news."""
        if self.is_barred or at <= self.whole or start in self.ends:
            return False
        self.ends[start] = at
        return True

    def clear(self, at: float) -> bool:
        """Take a whole answer; return whether it excuses an end."""
        ends = {start: end for start, end in self.ends.items() if end > at}
        self.whole = max(self.whole, at)
        is_news = len(ends) < len(self.ends)
        self.ends = ends
        return is_news


class Suspects:
    """Which requests end the endpoints that run them.

    Load: a request that crashes each endpoint which begins to run it, and
    whose caller repeats it at any instance. Harm: it takes all endpoints of
    its service with it, again and again, and everybody's requests there.
    Instances tell each other under which requests endpoints ended. After
    the third end without a whole answer no instance sends it any more.
    """

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._barred: dict[str, None] = {}
        self._telling = telling.Telling()

    def note_end(
        self, fingerprint: str, endpoint: models.Endpoint, now: float
    ) -> bool:
        """Note that an endpoint ended while it had a request.

        Returns:
            Whether the request is barred from now on.
        """
        suspect = self._find(fingerprint)
        was_barred = suspect.is_barred
        suspect.seen = now
        if suspect.add(_digest(endpoint), now):
            self._note_change(fingerprint, suspect, now)
        self._trim()
        return suspect.is_barred and not was_barred

    def note_whole(self, fingerprint: str, now: float) -> None:
        """Note that a request was answered whole: it ends no endpoint."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.clear(now):
            self._note_change(fingerprint, suspect, now)

    def is_barred(self, fingerprint: str, now: float) -> bool:
        """Return whether a request that came must not be sent."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_barred:
            return False
        suspect.seen = now
        return True

    def count_barred(self) -> int:
        """Return how many requests are barred."""
        return len(self._barred)

    def list_told(self, now: float, most: int = telling.MAX_NEWS) -> list[Row]:
        """Return what to tell other instances now.

        Args:
            now: clock time, seconds.
            most: changes to tell at once.
        """
        told = self._telling.choose(self._barred, now, most)
        return [_make_row(f, self._suspects[f], now) for f in told]

    def hear(self, rows: collections.abc.Iterable[Row], now: float) -> None:
        """Take what another instance tells."""
        for fingerprint, seen, whole, ends in rows:
            suspect = self._find(fingerprint)
            suspect.seen = max(suspect.seen, now - seen / 1000)
            is_news = whole >= 0 and suspect.clear(now - whole / 1000)
            for start, age in ends:
                is_news |= suspect.add(start, now - age / 1000)
            if is_news:
                self._note_change(fingerprint, suspect, now)
        self._trim()

    def sweep(self, now: float) -> None:
        """Forget what nobody has asked for in a while."""
        over = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if now - suspect.seen > KEEP_SECONDS
        ]
        for fingerprint in over:
            self._forget(fingerprint)

    def _find(self, fingerprint: str) -> _Suspect:
        return self._suspects.setdefault(fingerprint, _Suspect())

    def _note_change(
        self, fingerprint: str, suspect: _Suspect, now: float
    ) -> None:
        self._telling.note_change(fingerprint, now)
        if suspect.is_barred:
            self._barred[fingerprint] = None
        else:
            self._barred.pop(fingerprint, None)

    def _forget(self, fingerprint: str) -> None:
        del self._suspects[fingerprint]
        self._barred.pop(fingerprint, None)
        self._telling.drop(fingerprint)

    def _trim(self) -> None:
        if len(self._suspects) <= MAX_KEPT:
            return
        # Several at once, so that a crash of many endpoints does not sort
        # all of them for each request that was there.
        ranked = sorted(
            self._suspects,
            key=lambda f: (
                self._suspects[f].is_barred,
                self._suspects[f].seen,
            ),
        )
        for fingerprint in ranked[: MAX_KEPT // 8]:
            self._forget(fingerprint)


def _digest(endpoint: models.Endpoint) -> int:
    name, started = endpoint.start
    return zlib.crc32(f"{name} {started}".encode())


def _make_row(fingerprint: str, suspect: _Suspect, now: float) -> Row:
    def count_age(at: float) -> int:
        return -1 if at == NEVER else max(0, round((now - at) * 1000))

    return (
        fingerprint,
        count_age(suspect.seen),
        count_age(suspect.whole),
        [(start, count_age(at)) for start, at in suspect.ends.items()],
    )
