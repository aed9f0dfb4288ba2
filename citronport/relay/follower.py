"""The task that keeps the copy of the store in step with it."""

import collections.abc
import random

import result

from citronport import clock
from citronport.platform import client
from citronport.platform import const
from citronport.platform import models
from citronport.relay import eventlog
from citronport.relay import mirror as mirror_module
from citronport.scheduler.direct import cold

WATCH_SECONDS = 2.0
"""How long the store holds a watch. A connection that has gone silent shows
by an answer that stays out, so that a change is known three seconds after
it at the latest; each call is counted against the store's rate."""

LONG_WATCH_SECONDS = 20.0
"""How long it holds the watch of most instances of a large fleet. Changes
come as soon; only a connection that has gone silent shows later, and until
then neighbours that are ahead tell what it would have told. Sixty instances
then ask the store 7 times a second instead of 30."""

SHORT_WATCHERS = 8
"""Instances that hold short watches; in a fleet of up to so many, all."""

GATHER_SECONDS = 0.25
"""Pause after news before the next watch: changes come in groups, as when
all endpoints enter themselves, and each group then costs one call and not
one for each change. Bounds on news are two seconds and more."""

ANSWER_SECONDS = 0.8
"""How long an answer may take; a slow store takes a quarter of a second."""

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.8
"""Pauses between questions to a store that fails. The longest one bounds
how late its return is seen; 510 instances ask it 850 times a second then,
less than half of what it can give."""

OUTAGE_SECONDS = 0.7
"""A store that did not answer for longer counts as having been away."""


def choose_wait(own: str, instances: tuple[str, ...]) -> float:
    """Return how long the store may hold a watch of an instance.

    Args:
        own: its name.
        instances: all that are known, with itself.
    """
    short = cold.choose_senders("store", instances, SHORT_WATCHERS)
    return WATCH_SECONDS if own in short else LONG_WATCH_SECONDS


class Follower:
    """Reads the store once, then watches it.

    Args:
        store: the client; this task owns it.
        mirror: the copy.
        ticker: the clock.
        deliver: called with what changed.
        log: where losses of the store are told.
        choose_wait: returns how long the store may hold the next watch.
    """

    def __init__(
        self,
        store: client.Client,
        mirror: mirror_module.Mirror,
        ticker: clock.Clock,
        deliver: collections.abc.Callable[[list[models.Item]], None],
        log: eventlog.Log,
        choose_wait: collections.abc.Callable[[], float] = (
            lambda: WATCH_SECONDS
        ),
    ) -> None:
        self._choose_wait = choose_wait
        self._store = store
        self._mirror = mirror
        self._ticker = ticker
        self._deliver = deliver
        self._log = log
        self._stale = True
        self._pause = RETRY_SECONDS
        self._failing_since: float | None = None
        self.answered = ticker.now()
        self.returned = float("-inf")
        self.calls = 0

    def follow(self) -> None:
        """Follow the store for ever."""
        while True:
            if not self.step():
                # Spread by chance: all instances lose the store at once.
                self._ticker.sleep(random.uniform(0.5, 1.0) * self._pause)
                self._pause = min(2 * self._pause, MAX_RETRY_SECONDS)

    def step(self) -> bool:
        """Ask the store once; return whether it answered."""
        if self._stale:
            return self._read()
        self.calls += 1
        match self._store.watch(
            const.PREFIX_ALL, self._mirror.revision, self._choose_wait()
        ):
            case result.Ok(answer):
                self._note_answer()
                news = self._mirror.apply(answer.items, answer.revision)
                if news:
                    self._deliver(news)
                    self._ticker.sleep(GATHER_SECONDS)
                return True
            case result.Err(client.Compacted()):
                self._stale = True
                return True
            case result.Err(reason):
                self._note_failure(str(reason))
                return False

    def _read(self) -> bool:
        items: list[models.Item] = []
        revision = 0
        after = ""
        while True:
            self.calls += 1
            match self._store.read(const.PREFIX_ALL, after):
                case result.Ok(page):
                    items += page.items
                    revision = revision or page.revision
                case result.Err(reason):
                    self._note_failure(str(reason))
                    return False
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        self._note_answer()
        self._stale = False
        news = self._mirror.replace(items, revision)
        if news:
            self._deliver(news)
        return True

    def _note_answer(self) -> None:
        now = self._ticker.now()
        self._pause = RETRY_SECONDS
        if self._failing_since is not None:
            away = now - self.answered
            if away > OUTAGE_SECONDS + WATCH_SECONDS:
                self.returned = now
            self._log.write(
                eventlog.StoreBack(
                    away_seconds=away, revision=self._mirror.revision
                )
            )
            self._failing_since = None
        self.answered = now

    def _note_failure(self, reason: str) -> None:
        if self._failing_since is None:
            self._failing_since = self._ticker.now()
            self._log.write(
                eventlog.StoreLost(
                    reason=reason, revision=self._mirror.revision
                )
            )
