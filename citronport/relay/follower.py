"""Task that keeps the local copy of the platform's store up to date."""

import collections.abc
import random

import result

from citronport import clock
from citronport import errors
from citronport import revisions
from citronport.platform import client
from citronport.platform import const
from citronport.platform import models
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import membership
from citronport.relay import mirror as mirror_module
from citronport.scheduler.direct import rendezvous

WATCH_SECONDS = 2.0
"""How long the store may hold a watch. A dead connection is detected by a
missing answer, so this bounds the delay of a change to three seconds. It is
not shorter because each call counts against the store's rate limit."""

READER_COUNT = 8
"""Number of instances of a large fleet (readers) that watch the store; the
others fetch changes from them. If all watched it, each change would end
hundreds of watches, and all of these count against the store's rate limit."""

MIN_READERS = 3
"""Number of readers with recent answers below which an instance reads the
store itself: fewer ones might all lose the store before this is detected."""

READER_FRESH_SECONDS = 3.0
"""Maximum age of a reader's latest answer from the store for the reader to
count: a watch and its answer take up to 2.8 s."""

STANDBY_POLL_SECONDS = 0.2
"""Interval at which an instance on standby checks whether it has to read the
store itself."""

BATCH_SECONDS = 0.25
"""Pause after a change before the next watch. Changes come in groups, for
example when all endpoints register, and a group then costs one call instead
of one for each change. Bounds on the delay of a change start at two
seconds."""

START_PHASE_SECONDS = 5.0
"""Time after its start during which an instance counts as starting."""

START_BATCH_SECONDS = 0.8
"""Pause after a change of a starting instance. Until the instances of a large
fleet know the readers, all of them watch the store, and each would call it
again after each of many changes."""

ANSWER_TIMEOUT_SECONDS = 0.8
"""How long the store may send nothing, beyond the time of a watch and within
an answer. A slow store takes a quarter of a second."""

RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 0.8
"""Initial and maximum pause between calls to a failing store. The maximum
bounds how late its recovery is detected."""

STANDBY_MAX_RETRY_SECONDS = 1.6
"""Maximum pause of an instance that is not a reader. It matters only if the
store recovers for this instance and for none of the readers."""

MANY_REFUSED = 10
"""Number of watches refused in a row that is logged once more, as full reads
did not help."""

PAST_ATTEMPTS = 2
"""How often the store's history is asked for after a start. Each call counts
against the store's rate limit."""

NO_KEY = "(unknown)"
"""Logged in place of the key of an item whose key can't be read."""

OUTAGE_SECONDS = 0.7
"""Time without an answer, beyond that of a watch, that counts as an outage."""


def make_client(address: str) -> client.Client:
    """Return a client of the store at an address."""
    return client.Client(address, ANSWER_TIMEOUT_SECONDS)


def choose_readers(instances: tuple[str, ...]) -> tuple[str, ...]:
    """Return the instances that watch the store."""
    if len(instances) < membership.LARGE_FLEET:
        return instances
    return rendezvous.choose("store", instances, READER_COUNT)


def compute_standby_age(
    own: str, instances: tuple[str, ...], ages: list[float]
) -> float | None:
    """Return how recent the readers' copies are, for an instance on standby.

    Args:
        own: name of the instance.
        instances: names of all known instances, including itself.
        ages: age of the store's latest answer to each instance in reach,
            seconds; -1 for an instance on standby.

    Returns:
        The age of the store's latest answer to any reader, seconds; None if
        the instance has to read the store itself.
    """
    reader_ages = [age for age in ages if 0 <= age <= READER_FRESH_SECONDS]
    if len(reader_ages) < MIN_READERS or own in choose_readers(instances):
        return None
    return min(reader_ages)


class Follower:
    """Reads the store once, then watches it.

    Args:
        store: the client, used by this task only.
        mirror: the local copy of the store.
        ticker: the clock.
        deliver: called with the items that changed.
        log: receives events on outages of the store.
        compute_standby_age: returns the age of the store's latest answer to
            the readers, seconds; None if this instance has to read the
            store itself.
        is_reader: returns whether this instance is one of the readers.
        record_gap: called before changes are delivered that may not be all
            that there were, with the time since the copy was known to be
            current, seconds.
        record_past: called once with all changes of endpoints' entries since
            the store's beginning, if the store still has them, and the
            revision of the store.

    Attributes:
        on_standby: whether this instance fetches changes from other instances
            instead of calling the store.
        answered_at: clock time of the store's latest answer to this
            instance or, on standby, to a reader.
        current_at: clock time up to which all changes are in the copy: the
            start of the latest call whose answer was applied.
        recovered_at: clock time at which the latest outage ended; minus
            infinity before the first one.
        calls: calls to the store since the start.
        failures: calls without a usable answer.
        refused: watches that the store refused for lack of history.
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
        record_gap: collections.abc.Callable[[float], None] = lambda seconds: (
            None
        ),
        record_past: collections.abc.Callable[
            [tuple[models.Item, ...], int], None
        ] = lambda changes, revision: None,
    ) -> None:
        self._record_gap = record_gap
        self._record_past = record_past
        self._past_attempts = PAST_ATTEMPTS
        self._compute_standby_age = compute_standby_age
        self._is_reader = is_reader
        self._store = store
        self._mirror = mirror
        self._ticker = ticker
        self._deliver = deliver
        self._log = log
        self._started_at = ticker.now()
        self._needs_full_read = True
        self._retry_seconds = RETRY_SECONDS
        self._failing_since: float | None = None
        self.on_standby = False
        self.answered_at = ticker.now()
        self.current_at = float("-inf")
        self.recovered_at = float("-inf")
        self.calls = 0
        self.failures = 0
        self.refused = 0
        self._refused_in_a_row = 0

    @property
    def is_failing(self) -> bool:
        """Whether the latest call of the store had no usable answer."""
        return self._failing_since is not None

    def follow(self) -> None:
        """Follow the store until the task is killed."""
        while True:
            if self.check_standby():
                self._ticker.sleep(STANDBY_POLL_SECONDS)
            elif not self.poll():
                self.back_off()

    def back_off(self) -> None:
        """Wait before the next call to a failing store."""
        # The jitter spreads the calls of instances that lose the store at
        # the same time.
        self._ticker.sleep(random.uniform(0.5, 1.0) * self._retry_seconds)
        longest = (
            MAX_RETRY_SECONDS
            if self._is_reader()
            else STANDBY_MAX_RETRY_SECONDS
        )
        self._retry_seconds = min(2 * self._retry_seconds, longest)

    def check_standby(self) -> bool:
        """Update and return whether this instance is on standby."""
        age = None if self._needs_full_read else self._compute_standby_age()
        self.on_standby = age is not None
        if age is not None:
            self.answered_at = self._ticker.now() - age
            self._failing_since = None
        return self.on_standby

    def poll(self) -> bool:
        """Call the store once; return whether it answered."""
        if self._needs_full_read:
            return self._read_all()
        if self._past_attempts:
            return self._read_past()
        started_at = self._start_call()
        watch_seconds = self._choose_watch_seconds()
        match self._store.watch(
            const.PREFIX_ALL, self._mirror.revision, watch_seconds
        ):
            case result.Ok(answer):
                self._note_answer(started_at, watch_seconds)
                self._refused_in_a_row = 0
                self._log_rejected(answer)
                changes = self._mirror.apply(answer.items, answer.revision)
                if changes:
                    self._deliver(changes)
                self.current_at = started_at
                if changes:
                    self._wait_for_batch()
                return True
            case result.Err(client.Compacted()):
                self._note_refused()
                self._needs_full_read = True
                # A full read that did not help is not repeated at once. A
                # hundred instances would use up the store's rate limit.
                return self._refused_in_a_row == 1
            case result.Err(reason):
                self._note_failure(str(reason), started_at)
                return False

    def _read_all(self) -> bool:
        items: list[models.Item] = []
        keys: set[str] = set()
        revision = 0
        after = ""
        is_complete = True
        begun_at = self._ticker.now()
        while True:
            started_at = self._start_call()
            match self._store.read(const.PREFIX_ALL, after):
                case result.Ok(page):
                    revision = revision or page.revision
                    if revisions.get_era(page.revision) != revisions.get_era(
                        revision
                    ):
                        # The store was restored between two pages.
                        return True
                    items += self._mirror.strip(page.items)
                    self._log_rejected(page)
                case result.Err(reason):
                    self._note_failure(str(reason), started_at)
                    return False
            if not page.more:
                break
            known = len(keys)
            keys.update(item.key for item in page.items)
            if len(keys) == known:
                # No key from which the next page begins. What follows stays
                # as it is known, until it changes.
                is_complete = False
                self._log.reject(
                    errors.InputFault.BAD_ITEM,
                    after or NO_KEY,
                    "no new key on the page behind this one",
                    page.revision,
                )
                break
            after = page.items[-1].key
        if self._mirror.revision:
            gap = self._ticker.now() - self.answered_at
            self._record_gap(gap if is_complete else float("inf"))
        self._note_answer(started_at)
        self._check_restored(revision)
        merge = self._mirror.replace if is_complete else self._mirror.apply
        changes = merge(items, revision)
        if changes:
            self._deliver(changes)
        if is_complete:
            self.current_at = begun_at
        self._needs_full_read = False
        return True

    def read_history(self, prefix: str) -> tuple[models.Item, ...] | None:
        """Return all changes of some keys since the store's beginning.

        Args:
            prefix: prefix of the keys.

        Returns:
            The changes; None if the store does not have them, or fails.
        """
        self._start_call()
        match self._store.watch(prefix, 0, 0.0):
            case result.Ok(answer) if not answer.rejected:
                return answer.items
        return None

    def _read_past(self) -> bool:
        """Read which endpoints were listed before; return whether it answered.

        A store that has discarded its history, or was restored from a copy,
        refuses this, which says nothing about the endpoints.
        """
        self._past_attempts -= 1
        if revisions.get_era(self._mirror.revision):
            self._past_attempts = 0
            return True
        started_at = self._start_call()
        match self._store.watch(const.PREFIX_ENDPOINTS, 0, 0.0):
            case result.Ok(answer):
                self._note_answer(started_at)
                self._past_attempts = 0
                if not answer.rejected:
                    self._record_past(answer.items, answer.revision)
            case result.Err(client.Compacted()):
                self._note_answer(started_at)
                self._past_attempts = 0
            case result.Err(reason):
                self._note_failure(str(reason), started_at)
                return False
        return True

    def _wait_for_batch(self) -> None:
        age = self._ticker.now() - self._started_at
        is_starting = age < START_PHASE_SECONDS
        self._ticker.sleep(
            START_BATCH_SECONDS if is_starting else BATCH_SECONDS
        )

    def _choose_watch_seconds(self) -> float:
        """Return how long the store may hold the next watch, seconds."""
        # A watch that is pending when an unresponsive store recovers is
        # never answered and hides the recovery until it times out. All
        # instances watch in step, so no other instance would have newer
        # data, and callers got status 404 for routes that the store had
        # confirmed. A watch that the store must answer at once times out
        # after ANSWER_TIMEOUT_SECONDS.
        return 0.0 if self._failing_since is not None else WATCH_SECONDS

    def _start_call(self) -> float:
        self.calls += 1
        return self._ticker.now()

    def _note_refused(self) -> None:
        self.refused += 1
        self._refused_in_a_row += 1
        if self._refused_in_a_row in (1, MANY_REFUSED):
            self._log.write(
                events.StoreCompacted(
                    revision=self._mirror.revision,
                    refused=self._refused_in_a_row,
                )
            )

    def _log_rejected(self, answer: models.StoreResponse) -> None:
        for reason in answer.rejected:
            self._log.reject(
                errors.InputFault.BAD_ITEM,
                NO_KEY,
                reason,
                answer.revision,
            )

    def _check_restored(self, revision: int) -> None:
        known = self._mirror.revision
        if not known or revisions.get_era(revision) <= revisions.get_era(
            known
        ):
            return
        # Leases of endpoints may have expired in the copy.
        self.recovered_at = self._ticker.now()
        self._log.write(
            events.StoreRestored(
                era=revisions.get_era(revision), revision=known
            )
        )

    def _note_answer(
        self, started_at: float, held_seconds: float = 0.0
    ) -> None:
        """Record an answer of the store.

        Args:
            started_at: clock time at which its call was sent.
            held_seconds: how long the store may have held the call.
        """
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
        # An answer that took longer than the store may take was waiting in
        # the socket while this process did not run.
        latest = started_at + held_seconds + ANSWER_TIMEOUT_SECONDS
        self.answered_at = now if now <= latest else started_at

    def _note_failure(self, reason: str, started_at: float) -> None:
        now = self._ticker.now()
        self.failures += 1
        self._log.write(
            events.StoreSilent(
                reason=reason,
                seconds=now - started_at,
                received=self._store.received,
            )
        )
        if self._failing_since is None:
            self._failing_since = now
            self._log.write(
                events.StoreLost(reason=reason, revision=self._mirror.revision)
            )
