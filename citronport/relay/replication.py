"""Replication of changes of the store between instances.

In log events and metrics these changes are called news.
"""

import collections.abc
import random
import sys

from absl import logging
import gevent
from gevent import server as gevent_server
from gevent import socket
import msgpack

from citronport import byte_budget
from citronport import clock
from citronport import errors
from citronport import resources
from citronport import revisions
from citronport import tasks
from citronport.callers import connections
from citronport.platform import models
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import follower as follower_module
from citronport.relay import membership as membership_module
from citronport.relay import message_limits
from citronport.relay import messages
from citronport.relay import mirror as mirror_module
from citronport.relay import settings as settings_module

LOG = "news:"

LAG_SECONDS = 0.3
"""How long another instance may be ahead before its changes are fetched. This
instance's own watch normally returns them within a few milliseconds. An
instance on standby, which has no watch, fetches at once."""

POLL_SECONDS = 0.1
"""Interval between two checks whether another instance is ahead."""

IDLE_TIMEOUT_SECONDS = 1.0
"""How long another instance may send nothing during a fetch. A slow fetch is
not aborted, as the next one would send the same bytes over the same link."""

FETCH_TIMEOUT_SECONDS = 5.0
"""How long a fetch may take. Sending the largest value, compressed, to sixty
instances at once takes 4 s on a link of 10 Mbit/s."""

LARGE_VALUE_BYTES = 16384
"""Size from which a value is fetched separately from the others. Ten copies of
a smaller one occupy a link of 10 Mbit/s for an eighth of a second at most."""

FETCH_ERRORS = (OSError, ValueError, msgpack.UnpackException)
"""Errors of a connection, or of bytes over it that are no message."""

READ_BYTES = 65536

SEND_BYTES = 16384
"""Size of the pieces in which an answer is sent. Each piece has to be sent
within ``IDLE_TIMEOUT_SECONDS``; a link of 10 Mbit/s that sixty fetches share
can send one for each of them in a second."""


class Replication:
    """Fetches changes from other instances and serves them.

    Args:
        settings: settings of this instance.
        members: the other instances.
        mirror: the local copy of the store, also served to others.
        ticker: the clock.
        handle_changes: called with the changes of a fetch and the clock
            time at which the other instance saw the latest outage of the
            store end.
        follower: reads the store, or is on standby.
        log: receives events on fetches.
        record_gap: called before changes are merged, which may not be all
            that there were, with the time since the copy was known to be
            current, seconds.

    Attributes:
        taken: successful fetches.
        failed: fetches that failed or timed out.
        received: bytes received by all fetches.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        members: membership_module.Membership,
        mirror: mirror_module.Mirror,
        ticker: clock.Clock,
        handle_changes: collections.abc.Callable[
            [list[models.Item], float], None
        ],
        follower: follower_module.Follower,
        log: eventlog.Log,
        record_gap: collections.abc.Callable[[float], None] = lambda seconds: (
            None
        ),
    ) -> None:
        self._record_gap = record_gap
        self._settings = settings
        self._members = members
        self._mirror = mirror
        self._ticker = ticker
        self._handle_changes = handle_changes
        self._follower = follower
        self._log = log
        self._server: gevent_server.StreamServer | None = None
        shares = settings.shares
        self._connections = connections.ConnectionTracker(
            connections.Limits(connections=shares.fetches)
        )
        self._answers = byte_budget.ByteBudget(
            shares.answer_bytes, small=0, largest=sys.maxsize, beginning=0
        )
        # Size of the latest answer, as an estimate of the next one.
        self._answer_bytes = SEND_BYTES
        self._behind_since: float | None = None
        # Latest time at which no instance that reads the store was ahead.
        self._level_at = ticker.now()
        self._fetched_revision = 0
        self._full_fetch: gevent.Greenlet | None = None
        self._lost_fetch: gevent.Greenlet | None = None
        self.taken = 0
        self.failed = 0
        self.received = 0

    def open(self) -> None:
        """Listen for fetches of other instances."""
        peers = self._settings.peers
        self._server = gevent_server.StreamServer(
            (str(peers.address), peers.port), self._serve
        )
        self._server.max_accept = resources.MAX_ACCEPTED
        self._server.init_socket()
        resources.limit_unread(
            self._server.socket, resources.RECEIVE_BUFFER_BYTES
        )
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def get_behind_seconds(self) -> float:
        """Return for how long other instances have been ahead, seconds."""
        if self._behind_since is None:
            return 0.0
        return self._ticker.now() - self._behind_since

    def catch_up(self) -> None:
        """Fetch changes from other instances until the task is killed."""
        while True:
            self._ticker.sleep(POLL_SECONDS)
            self.fetch_if_behind()
            self.fetch_lost_items()

    def fetch_if_behind(self) -> None:
        """Fetch changes if another instance has been ahead for too long.

        The store may fail for some instances and answer others. Without a
        fetch, the former would use an outdated configuration and send
        requests to endpoints that have left, for as long as that lasts.
        """
        now = self._ticker.now()
        is_full_fetch_running = _is_running(self._full_fetch)
        known = (
            self._fetched_revision
            if is_full_fetch_running
            else self._mirror.revision
        )
        fresh = self._members.list_fresh(now)
        ahead = [r for r in fresh if r.revision > known]
        if not ahead:
            if any(
                0 <= r.store_seconds <= follower_module.READER_FRESH_SECONDS
                for r in fresh
            ):
                self._level_at = now
            if not is_full_fetch_running:
                self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        # An instance without a copy of the store can't serve callers yet, so
        # it fetches at once as well.
        follows_store = (
            self._mirror.revision > 0 and not self._follower.on_standby
        )
        lag = LAG_SECONDS if follows_store else 0.0
        if now - self._behind_since < lag:
            return
        source = self._choose_source(ahead)
        held = self._fetch(source, include_large=False)
        if held is None:
            return
        self._fetched_revision = held.revision
        if held.is_complete:
            self._behind_since = None
        elif not is_full_fetch_running:
            # A separate greenlet fetches large values. When this task
            # fetched them, later changes waited, and requests were sent to
            # endpoints that had left while a configuration was transferred.
            self._full_fetch = gevent.spawn(
                self._fetch, source, include_large=True
            )

    def fetch_lost_items(self) -> None:
        """Fetch once what other instances know a restored store to have lost.

        An instance that starts after the restoration, or was frozen before it,
        finds the older content only. It would refuse routes that all others
        serve, and use endpoints that are leaving, until all is written again.
        """
        sources = self._list_sources_of_lost()
        if sources and not _is_running(self._lost_fetch):
            self._lost_fetch = gevent.spawn(
                self._fetch,
                self._choose_local(sources),
                include_large=True,
                include_lost=True,
            )

    def misses_lost_items(self) -> bool:
        """Return whether others know lost items that were not fetched yet."""
        return bool(self._list_sources_of_lost())

    def _list_sources_of_lost(self) -> list[messages.Report]:
        era = revisions.get_era(self._mirror.revision)
        if self._mirror.lost_era == era:
            return []
        return [
            r
            for r in self._members.list_fresh(self._ticker.now())
            if r.knows_lost and revisions.get_era(r.revision) == era
        ]

    def _choose_source(self, ahead: list[messages.Report]) -> messages.Report:
        """Return the instance to fetch from, a local one if possible."""
        revision = max(r.revision for r in ahead)
        return self._choose_local([r for r in ahead if r.revision == revision])

    def _choose_local(self, sources: list[messages.Report]) -> messages.Report:
        local = [
            r for r in sources if r.data_centre == self._settings.data_centre
        ]
        return random.choice(local or sources)

    def _fetch(
        self,
        source: messages.Report,
        *,
        include_large: bool,
        include_lost: bool = False,
    ) -> messages.Held | None:
        started_at = self._ticker.now()
        reader = _MessageReader()
        want = messages.Want(
            protocol=messages.PROTOCOL,
            revision=self._mirror.revision,
            include_large=include_large,
            include_lost=include_lost,
        )
        try:
            held = self._request(source.peer_address, want, reader)
        except Exception as error:
            # What an instance sends decides what its decoding raises.
            self.failed += 1
            self._log.write(
                events.NewsFailed(
                    peer=source.instance,
                    reason=type(error).__name__,
                    seconds=self._ticker.now() - started_at,
                    received=reader.received,
                    behind_seconds=self.get_behind_seconds(),
                )
            )
            return None
        finally:
            self.received += reader.received
        now = self._ticker.now()
        if held.revision > self._mirror.revision > 0:
            followed_at = self._follower.answered_at
            if self._follower.on_standby:
                # The answers are those of the readers.
                followed_at = min(followed_at, self._level_at)
            self._record_gap(max(now - followed_at, self.get_behind_seconds()))
        changes = self._mirror.merge_peer_items(
            [
                models.Item(key=key, value=value, revision=revision)
                for key, value, revision in held.items
            ],
            set(held.keys),
            held.revision,
            complete=held.is_complete,
        )
        if include_lost:
            changes += self._mirror.merge_lost(
                models.Item(key=key, value=value, revision=revision)
                for key, value, revision in held.lost
            )
        self.taken += 1
        self._log.write(
            events.NewsFromPeer(
                peer=source.instance,
                revision=held.revision,
                items=len(changes),
                lost=len(held.lost),
                seconds=now - started_at,
                received=reader.received,
            )
        )
        if changes:
            self._handle_changes(changes, now - held.recovered_seconds)
        return held

    def _request(
        self, address: str, want: messages.Want, reader: "_MessageReader"
    ) -> messages.Held:
        host, _, port = address.rpartition(":")
        with (
            gevent.Timeout(FETCH_TIMEOUT_SECONDS, TimeoutError),
            resources.connect(
                (host, int(port)),
                IDLE_TIMEOUT_SECONDS,
                resources.FETCH_BUFFER_BYTES,
            ) as sock,
        ):
            sock.sendall(messages.CODEC.encode(want))
            held = messages.unpack(reader.read(sock))
        if not isinstance(held, messages.Held):
            raise ValueError(f"expected Held, got {type(held).__name__}")
        return held

    def _serve(self, sock: socket.socket, sender: tuple[str, int]) -> None:
        """Answer a fetch, if there is room for another connection."""
        if not self._connections.add(sock, sender[0]):
            sock.close()
            return
        try:
            self._answer_fetch(sock, sender[0])
        except FETCH_ERRORS as error:
            logging.warning(
                "%s failed to serve a fetch of %s: %s.",
                LOG,
                sender[0],
                type(error).__name__,
            )
        except Exception as error:
            self._log.reject(
                errors.InputFault.BAD_MESSAGE,
                sender[0],
                tasks.describe_error(error),
            )
        finally:
            self._connections.remove(sock)

    def _answer_fetch(self, sock: socket.socket, address: str) -> None:
        with gevent.Timeout(FETCH_TIMEOUT_SECONDS, TimeoutError), sock:
            sock.settimeout(IDLE_TIMEOUT_SECONDS)
            want = _MessageReader(message_limits.MAX_WANT_BYTES).read(sock)
            self._connections.set_busy(sock)
            if isinstance(want, messages.Want):
                self._send_answer(sock, address, want)

    def _send_answer(
        self, sock: socket.socket, address: str, want: messages.Want
    ) -> None:
        """Send an answer; wait while those being sent take all the room."""
        holding = self._answers.open(address, sock.close)
        try:
            while not holding.reserve(self._answer_bytes):
                self._ticker.sleep(POLL_SECONDS)
            holding.keep()
            data = messages.pack(self._make_answer(want))
            self._answer_bytes = max(SEND_BYTES, len(data))
            _send_in_pieces(sock, data)
        finally:
            holding.release()

    def _make_answer(self, want: messages.Want) -> messages.Held:
        changed = self._mirror.list_items(want.revision)
        items = [
            item
            for item in changed
            if want.include_large or len(item.value or b"") < LARGE_VALUE_BYTES
        ]
        return messages.Held(
            revision=self._mirror.revision,
            recovered_seconds=self._ticker.now() - self._follower.recovered_at,
            keys=(
                self._mirror.list_keys()
                if want.revision < self._mirror.revision
                else []
            ),
            items=[
                (item.key, item.value or b"", item.revision) for item in items
            ],
            is_complete=len(items) == len(changed),
            lost=[
                (item.key, item.value, item.revision)
                for item in self._mirror.list_lost()
                if want.include_lost
            ],
        )


class _MessageReader:
    """Reads one message from a stream.

    Args:
        max_bytes: most bytes of the message.

    Attributes:
        received: bytes received so far.
    """

    def __init__(
        self, max_bytes: int = message_limits.MAX_MESSAGE_BYTES
    ) -> None:
        self._max_bytes = max_bytes
        self.received = 0

    def read(self, sock: socket.socket) -> messages.Message:
        """Wait for a message and return it.

        Raises:
            OSError: the connection failed or timed out.
            ValueError: the bytes received are not a valid message.
        """
        reader = messages.CODEC.make_reader(self._max_bytes)
        while data := sock.recv(min(READ_BYTES, self._max_bytes)):
            self.received += len(data)
            for message in reader.feed(data):
                return message
        raise ValueError(
            f"connection closed after {self.received} bytes of a message"
        )


def _is_running(greenlet: gevent.Greenlet | None) -> bool:
    return greenlet is not None and not greenlet.dead


def _send_in_pieces(sock: socket.socket, data: bytes) -> None:
    for start in range(0, len(data), SEND_BYTES):
        sock.sendall(data[start : start + SEND_BYTES])
