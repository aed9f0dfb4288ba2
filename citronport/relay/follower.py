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

READER_COUNT = 8
"""Instances of a large fleet that watch the store; the others hear of its
changes from them. If all of them watched, each change would end hundreds
of watches, which all count against the store's rate."""

MIN_READERS = 3
"""Readers whose store answers, without which an instance asks the store
itself: fewer may all be cut off before it is seen."""

READER_FRESH_SECONDS = 3.0
"""Age of the store's newest answer up to which a reader counts as one: a
watch and its answer take 2.8 s."""

STANDBY_POLL_SECONDS = 0.2
"""Pause between two looks of an instance that need not ask the store."""

BATCH_SECONDS = 0.25
"""Pause after news before the next watch: changes come in groups, as when
all endpoints enter themselves, and each group then costs one call and not
one for each change. Bounds on news are two seconds and more."""

START_PHASE_SECONDS = 5.0
"""Age up to which an instance counts as one that has just started."""

START_BATCH_SECONDS = 0.8
"""The same pause for one that has just started. Until it knows who reads
the store for it, every instance of a large fleet watches by itself, and
would ask again with each of many changes."""

ANSWER_TIMEOUT_SECONDS = 0.8
"""How long the store may be silent beyond a watch's wait, and within an
answer; a slow store takes a quarter of a second."""

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.8
"""Pauses between questions to a store that fails. The longest one bounds
how late its return is seen."""

STANDBY_MAX_RETRY_SECONDS = 1.6
"""The longest one of an instance that leaves the store to others. It only
has to see a store that comes back for it and for none of the readers."""

OUTAGE_SECONDS = 0.7
"""A store that did not answer for longer counts as having been away."""


def choose_readers(instances: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances that watch the store."""
    if len(instances) < membership.LARGE_FLEET:
        return instances
    return rendezvous.choose("store", instances, READER_COUNT)


def compute_standby_age(
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
    reader_ages = [age for age in ages if 0 <= age <= READER_FRESH_SECONDS]
    if len(reader_ages) < MIN_READERS or own in choose_readers(instances):
        return None
    return min(reader_ages)


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
        compute_standby_age: collections.abc.Callable[
            [], float | None
        ] = lambda: None,
        is_reader: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._compute_standby_age = compute_standby_age
        self._is_reader = is_reader
        self._store = store
        self._mirror = mirror
        self._ticker = ticker
        self._deliver = deliver
        self._log = log
        self._started = ticker.now()
        self._needs_full_read = True
        self._retry_seconds = RETRY_SECONDS
        self._failing_since: float | None = None
        self.on_standby = False
        self.answered_at = ticker.now()
        self.recovered_at = float("-inf")
        self.calls = 0
        self.failures = 0

    def follow(self) -> None:
        """Follow the store for ever."""
        while True:
            if self.check_standby():
                self._ticker.sleep(STANDBY_POLL_SECONDS)
            elif not self.poll():
                self.back_off()

    def back_off(self) -> None:
        """Wait before the next question to a store that fails."""
        # Spread by chance: all instances lose the store at once.
        self._ticker.sleep(random.uniform(0.5, 1.0) * self._retry_seconds)
        longest = (
            MAX_RETRY_SECONDS
            if self._is_reader()
            else STANDBY_MAX_RETRY_SECONDS
        )
        self._retry_seconds = min(2 * self._retry_seconds, longest)

    def check_standby(self) -> bool:
        """Return whether nothing is to be asked of the store now."""
        age = None if self._needs_full_read else self._compute_standby_age()
        self.on_standby = age is not None
        if age is not None:
            self.answered_at = self._ticker.now() - age
            self._failing_since = None
        return self.on_standby

    def poll(self) -> bool:
        """Ask the store once; return whether it answered."""
        if self._needs_full_read:
            return self._read_all()
        asked = self._start_call()
        match self._store.watch(
            const.PREFIX_ALL,
            self._mirror.revision,
            self._choose_watch_seconds(),
        ):
            case result.Ok(answer):
                self._note_answer()
                changes = self._mirror.apply(answer.items, answer.revision)
                if changes:
                    self._deliver(changes)
                    self._wait_for_batch()
                return True
            case result.Err(client.Compacted()):
                self._needs_full_read = True
                return True
            case result.Err(reason):
                self._note_failure(str(reason), asked)
                return False

    def _read_all(self) -> bool:
        items: list[models.Item] = []
        revision = 0
        after = ""
        while True:
            asked = self._start_call()
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
        self._needs_full_read = False
        changes = self._mirror.replace(items, revision)
        if changes:
            self._deliver(changes)
        return True

    def _wait_for_batch(self) -> None:
        age = self._ticker.now() - self._started
        is_starting = age < START_PHASE_SECONDS
        self._ticker.sleep(
            START_BATCH_SECONDS if is_starting else BATCH_SECONDS
        )

    def _choose_watch_seconds(self) -> float:
        """Return how long the store may hold the next watch, seconds."""
        # A question that is out when a silent store comes back stays
        # without an answer, and hides the return until it is given up.
        # All instances ask in step, so that no neighbour knows more, and
        # callers got 404 for routes that the store had confirmed. One that
        # waits for nothing is given up after ANSWER_SECONDS.
        return 0.0 if self._failing_since is not None else WATCH_SECONDS

    def _start_call(self) -> float:
        self.calls += 1
        return self._ticker.now()

    def _note_answer(self) -> None:
        now = self._ticker.now()
        self._retry_seconds = RETRY_SECONDS
        if self._failing_since is not None:
            away = now - self.answered_at
            if away > OUTAGE_SECONDS + WATCH_SECONDS:
                self.recovered_at = now
            self._log.write(
                events.StoreBack(
                    away_seconds=away, revision=self._mirror.revision
                )
            )
            self._failing_since = None
        self.answered_at = now

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
