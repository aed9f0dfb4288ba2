"""Reads the store on demand, so that the local copy is known to be current."""

import collections.abc

import gevent
import result

from citronport import clock
from citronport.platform import client
from citronport.platform import const
from citronport.platform import models
from citronport.relay import follower as follower_module
from citronport.relay import mirror as mirror_module

MAX_WAIT_SECONDS = 0.25
"""How long a request may wait for a read. A slow store takes as long."""

FAILING_WAIT_SECONDS = 0.05
"""The same while the store fails, so that streams go on by other proofs."""

READ_INTERVAL_SECONDS = 0.03
"""Time between the starts of two reads, which bounds the calls that streams
cause after the loss of many instances."""


class StoreCheck:
    """Proves that the local copy has all changes up to a moment.

    The time at which an answer was received proves nothing: it may have been
    held in a socket while this process did not run. An answer holds all
    changes that were made before its call was sent.

    Args:
        store: the client, used for these reads only.
        mirror: the local copy of the store.
        follower: follows the store; its calls are proofs, too.
        deliver: called with the items that changed.
        ticker: the clock.
        is_applied: returns whether all changes that were delivered, by
            whatever way, have been applied.

    Attributes:
        calls: calls to the store since the start.
        failures: calls without a usable answer.
    """

    def __init__(
        self,
        store: client.Client,
        mirror: mirror_module.Mirror,
        follower: follower_module.Follower,
        deliver: collections.abc.Callable[[list[models.Item]], None],
        ticker: clock.Clock,
        is_applied: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_applied = is_applied
        self._store = store
        self._mirror = mirror
        self._follower = follower
        self._deliver = deliver
        self._ticker = ticker
        self._reading: gevent.Greenlet | None = None
        self._read_at = float("-inf")
        self._failed_at = float("-inf")
        self._current_at = float("-inf")
        self.calls = 0
        self.failures = 0

    @property
    def revision(self) -> int:
        """Revision of the store up to which the copy has all changes."""
        return self._mirror.revision

    @property
    def current_at(self) -> float:
        """Clock time up to which all changes are in the copy, seconds."""
        return max(self._current_at, self._follower.current_at)

    def confirm(
        self, since: float, max_seconds: float = MAX_WAIT_SECONDS
    ) -> bool:
        """Return whether the copy has all changes made before a moment.

        Reads the store if necessary. All that wait share one read.

        Args:
            since: the moment, clock time in seconds.
            max_seconds: how long to wait.
        """
        if self._is_failing():
            max_seconds = min(max_seconds, FAILING_WAIT_SECONDS)
        until = self._ticker.now() + max_seconds
        while self.current_at < since or not self._is_applied():
            left = until - self._ticker.now()
            if left <= 0 or self._failed_at >= since:
                return False
            if not self._mirror.revision:
                return False
            if self._reading is None or self._reading.dead:
                self._reading = self._start_read()
            self._reading.join(timeout=left)
        return True

    def _is_failing(self) -> bool:
        return self._follower.is_failing or self._failed_at > self.current_at

    def _start_read(self) -> gevent.Greenlet:
        pause = self._read_at + READ_INTERVAL_SECONDS - self._ticker.now()
        return gevent.spawn_later(max(0.0, pause), self._read)

    def _read(self) -> None:
        self._read_at = self._ticker.now()
        started_at = self._read_at
        self.calls += 1
        match self._store.watch(const.PREFIX_ALL, self._mirror.revision, 0.0):
            case result.Ok(answer):
                changes = self._mirror.apply(answer.items, answer.revision)
                if changes:
                    self._deliver(changes)
                self._current_at = started_at
            case result.Err():
                # The follower reads anew what has been discarded.
                self.failures += 1
                self._failed_at = started_at
