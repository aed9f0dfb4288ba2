"""The task that keeps the copy of the store in step with it."""

import collections.abc
import random

import result

from citronport import clock
from citronport.platform import client
from citronport.platform import const
from citronport.platform import models
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import membership
from citronport.relay import mirror as mirror_module
from citronport.scheduler.direct import rendezvous

WATCH_SECONDS = 2.0
"""How long the store holds a watch. A connection that has gone silent shows
by an answer that stays out, so that a change is known three seconds after
it at the latest; each call is counted against the store's rate."""

READERS = 8
"""Instances of a large fleet that watch the store; the others hear of its
changes from them. If all of them watched, each change would end hundreds
of watches, which all count against the store's rate."""

MIN_SOURCES = 3
"""Readers whose store answers, without which an instance asks the store
itself: fewer may all be cut off before it is seen."""

SOURCE_SECONDS = 3.0
"""Age of the store's newest answer up to which a reader counts as one: a
watch and its answer take 2.8 s."""

REST_SECONDS = 0.2
"""Pause between two looks of an instance that need not ask the store."""

GATHER_SECONDS = 0.25
"""Pause after news before the next watch: changes come in groups, as when
all endpoints enter themselves, and each group then costs one call and not
one for each change. Bounds on news are two seconds and more."""

START_SECONDS = 5.0
"""Age up to which an instance counts as one that has just started."""

START_GATHER_SECONDS = 0.8
"""The same pause for one that has just started. Until it knows who reads
the store for it, every instance of a large fleet watches by itself, and
would ask again with each of many changes."""

ANSWER_SECONDS = 0.8
"""How long the store may be silent beyond a watch's wait, and within an
answer; a slow store takes a quarter of a second."""

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.8
"""Pauses between questions to a store that fails. The longest one bounds
how late its return is seen."""

SPARE_RETRY_SECONDS = 1.6
"""The longest one of an instance that leaves the store to others. It only
has to see a store that comes back for it and for none of the readers."""

OUTAGE_SECONDS = 0.7
"""A store that did not answer for longer counts as having been away."""


def choose_readers(instances: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances that watch the store."""
    if len(instances) < membership.LARGE_FLEET:
        return instances
    return rendezvous.choose("store", instances, READERS)


def rest(
    own: str, instances: tuple[str, ...], ages: list[float]
) -> float | None:
    """Return whether an instance can leave the store to others.

    Args:
        own: its name.
        instances: all that are known, with itself.
        ages: of the store's newest answers to those in reach, seconds; -1
            of one that leaves the store to others.

    Returns:
        The age of the newest answer to others, seconds; None if the
        instance has to ask by itself.
    """
    sources = [age for age in ages if 0 <= age <= SOURCE_SECONDS]
    if len(sources) < MIN_SOURCES or own in choose_readers(instances):
        return None
    return min(sources)


class Follower:
    """Reads the store once, then watches it.

    Args:
        store: the client; this task owns it.
        mirror: the copy.
        ticker: the clock.
        deliver: called with what changed.
        log: where losses of the store are told.
        find_age: returns the age of the store's newest answer to others
            that read it for this instance; None if it has to ask itself.
        is_reader: returns whether others leave the store to this instance.
    """

    def __init__(
        self,
        store: client.Client,
        mirror: mirror_module.Mirror,
        ticker: clock.Clock,
        deliver: collections.abc.Callable[[list[models.Item]], None],
        log: eventlog.Log,
        find_age: collections.abc.Callable[[], float | None] = lambda: None,
        is_reader: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._find_age = find_age
        self._is_reader = is_reader
        self._store = store
        self._mirror = mirror
        self._ticker = ticker
        self._deliver = deliver
        self._log = log
        self._started = ticker.now()
        self._stale = True
        self._pause = RETRY_SECONDS
        self._failing_since: float | None = None
        self.resting = False
        self.answered = ticker.now()
        self.returned = float("-inf")
        self.calls = 0
        self.failures = 0

    def follow(self) -> None:
        """Follow the store for ever."""
        while True:
            if self.rest():
                self._ticker.sleep(REST_SECONDS)
            elif not self.step():
                self.pause()

    def pause(self) -> None:
        """Wait before the next question to a store that fails."""
        # Spread by chance: all instances lose the store at once.
        self._ticker.sleep(random.uniform(0.5, 1.0) * self._pause)
        longest = (
            MAX_RETRY_SECONDS if self._is_reader() else SPARE_RETRY_SECONDS
        )
        self._pause = min(2 * self._pause, longest)

    def rest(self) -> bool:
        """Return whether nothing is to be asked of the store now."""
        age = None if self._stale else self._find_age()
        self.resting = age is not None
        if age is not None:
            self.answered = self._ticker.now() - age
            self._failing_since = None
        return self.resting

    def step(self) -> bool:
        """Ask the store once; return whether it answered."""
        if self._stale:
            return self._read()
        asked = self._begin()
        match self._store.watch(
            const.PREFIX_ALL, self._mirror.revision, self._choose_wait()
        ):
            case result.Ok(answer):
                self._note_answer()
                news = self._mirror.apply(answer.items, answer.revision)
                if news:
                    self._deliver(news)
                    self._gather()
                return True
            case result.Err(client.Compacted()):
                self._stale = True
                return True
            case result.Err(reason):
                self._note_failure(str(reason), asked)
                return False

    def _read(self) -> bool:
        items: list[models.Item] = []
        revision = 0
        after = ""
        while True:
            asked = self._begin()
            match self._store.read(const.PREFIX_ALL, after):
                case result.Ok(page):
                    items += page.items
                    revision = revision or page.revision
                case result.Err(reason):
                    self._note_failure(str(reason), asked)
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

    def _gather(self) -> None:
        age = self._ticker.now() - self._started
        new = age < START_SECONDS
        self._ticker.sleep(START_GATHER_SECONDS if new else GATHER_SECONDS)

    def _choose_wait(self) -> float:
        """Return how long the store may hold the next watch, seconds."""
        # A question that is out when a silent store comes back stays
        # without an answer, and hides the return until it is given up.
        # All instances ask in step, so that no neighbour knows more, and
        # callers got 404 for routes that the store had confirmed. One that
        # waits for nothing is given up after ANSWER_SECONDS.
        return 0.0 if self._failing_since is not None else WATCH_SECONDS

    def _begin(self) -> float:
        self.calls += 1
        return self._ticker.now()

    def _note_answer(self) -> None:
        now = self._ticker.now()
        self._pause = RETRY_SECONDS
        if self._failing_since is not None:
            away = now - self.answered
            if away > OUTAGE_SECONDS + WATCH_SECONDS:
                self.returned = now
            self._log.write(
                events.StoreBack(
                    away_seconds=away, revision=self._mirror.revision
                )
            )
            self._failing_since = None
        self.answered = now

    def _note_failure(self, reason: str, asked: float) -> None:
        now = self._ticker.now()
        self.failures += 1
        self._log.write(
            events.StoreSilent(
                reason=reason,
                seconds=now - asked,
                received=self._store.received,
            )
        )
        if self._failing_since is None:
            self._failing_since = now
            self._log.write(
                events.StoreLost(reason=reason, revision=self._mirror.revision)
            )
