"""Changes of the store that instances fetch from one another."""

import collections.abc
import random

from absl import logging
import gevent
from gevent import server as gevent_server
from gevent import socket
import msgpack

from citronport import clock
from citronport.platform import models
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import follower as follower_module
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import mirror as mirror_module
from citronport.relay import settings as settings_module

LOG = "news:"

LAG_SECONDS = 0.3
"""How long another instance may be ahead with the store's changes before
they are fetched from it: a watch brings them within a few milliseconds. One
that leaves the store to others fetches at once."""

POLL_SECONDS = 0.1
"""Pause between two looks at who is ahead."""

IDLE_TIMEOUT_SECONDS = 1.0
"""How long another instance may send nothing within a fetch. One that sends
slowly is not given up: what has come would come again, over the same link."""

FETCH_TIMEOUT_SECONDS = 5.0
"""How long a fetch may take: the largest value, compressed, for sixty at once
takes 4 s on a link of 10 Mbit/s."""

LARGE_VALUE_BYTES = 16384
"""Size from which a value is fetched apart from the others: below, ten copies
hold up a link of 10 Mbit/s for an eighth of a second at most."""

READ_BYTES = 65536

SEND_BYTES = 16384
"""Bytes that have to go out within the time for silence; on a slow link that
sixty others share each second has room for them."""


class Replication:
    """Fetches changes from other instances and serves them.

    Args:
        settings: where this instance listens.
        members: what is known of the others.
        mirror: the copy of the store, also served to others.
        ticker: the clock.
        take: called with changes that another instance told, and the time
            at which it saw the store return from an outage.
        follower: reads the store, or leaves it to others.
        log: where changes are told.

    Attributes:
        taken: fetches that brought changes.
        failed: fetches that broke or took too long.
        received: bytes that came by them.
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
    ) -> None:
        self._settings = settings
        self._members = members
        self._mirror = mirror
        self._ticker = ticker
        self._handle_changes = handle_changes
        self._follower = follower
        self._log = log
        self._server: gevent_server.StreamServer | None = None
        self._behind_since: float | None = None
        self._fetched_revision = 0
        self._full_fetch: gevent.Greenlet | None = None
        self.taken = 0
        self.failed = 0
        self.received = 0

    def open(self) -> None:
        """Listen for questions of other instances."""
        peers = self._settings.peers
        self._server = gevent_server.StreamServer(
            (str(peers.address), peers.port), self._serve
        )
        self._server.start()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def get_behind_seconds(self) -> float:
        """Return how long this instance has lacked what others know."""
        if self._behind_since is None:
            return 0.0
        return self._ticker.now() - self._behind_since

    def catch_up(self) -> None:
        """Fetch from others what the store does not tell, for ever."""
        while True:
            self._ticker.sleep(POLL_SECONDS)
            self.fetch_if_behind()

    def fetch_if_behind(self) -> None:
        """Fetch the changes of an instance that has been ahead for long.

        Load: a store that turns some instances away and serves others.
        Harm: those would act on an old configuration, and send to
        endpoints that have left, for as long as that lasts.
        """
        now = self._ticker.now()
        is_full_fetch_running = (
            self._full_fetch is not None and not self._full_fetch.dead
        )
        known = (
            self._fetched_revision
            if is_full_fetch_running
            else self._mirror.revision
        )
        ahead = [
            r for r in self._members.list_fresh(now) if r.revision > known
        ]
        if not ahead:
            if not is_full_fetch_running:
                self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        # One that has just started knows nothing that it could serve with.
        follows_store = (
            self._mirror.revision > 0 and not self._follower.on_standby
        )
        lag = LAG_SECONDS if follows_store else 0.0
        if now - self._behind_since < lag:
            return
        newest = self._choose_source(ahead)
        held = self._fetch(newest, include_large=False)
        if held is None:
            return
        self._fetched_revision = held.revision
        if held.is_complete:
            self._behind_since = None
        elif not is_full_fetch_running:
            # Large values come beside this task. Within it, what changes
            # meanwhile would wait for them: requests went to endpoints
            # that had left while a configuration was on its way.
            self._full_fetch = gevent.spawn(
                self._fetch, newest, include_large=True
            )

    def _choose_source(self, ahead: list[messages.Report]) -> messages.Report:
        """Return the neighbour to fetch from, a near one if there is one."""
        revision = max(r.revision for r in ahead)
        newest = [r for r in ahead if r.revision == revision]
        local = [
            r for r in newest if r.data_centre == self._settings.data_centre
        ]
        return random.choice(local or newest)

    def _fetch(
        self, source: messages.Report, *, include_large: bool
    ) -> messages.Held | None:
        began = self._ticker.now()
        reader = _MessageReader()
        try:
            held = self._request(source.peer_address, include_large, reader)
        except (OSError, ValueError, msgpack.UnpackException) as error:
            self.failed += 1
            self._log.write(
                events.NewsFailed(
                    peer=source.instance,
                    reason=type(error).__name__,
                    seconds=self._ticker.now() - began,
                    received=reader.received,
                    behind_seconds=self.get_behind_seconds(),
                )
            )
            return None
        finally:
            self.received += reader.received
        changes = self._mirror.merge_peer_items(
            [
                models.Item(key=key, value=value, revision=revision)
                for key, value, revision in held.items
            ],
            set(held.keys),
            held.revision,
            complete=held.is_complete,
        )
        now = self._ticker.now()
        self.taken += 1
        self._log.write(
            events.NewsFromPeer(
                peer=source.instance,
                revision=held.revision,
                items=len(changes),
                seconds=now - began,
                received=reader.received,
            )
        )
        if changes:
            self._handle_changes(changes, now - held.recovered_seconds)
        return held

    def _request(
        self, address: str, include_large: bool, reader: "_MessageReader"
    ) -> messages.Held:
        want = messages.Want(
            protocol=messages.PROTOCOL,
            revision=self._mirror.revision,
            include_large=include_large,
        )
        host, _, port = address.rpartition(":")
        with (
            gevent.Timeout(FETCH_TIMEOUT_SECONDS, TimeoutError),
            socket.create_connection(
                (host, int(port)), timeout=IDLE_TIMEOUT_SECONDS
            ) as sock,
        ):
            sock.sendall(messages.CODEC.encode(want))
            held = messages.unpack(reader.read(sock))
        if not isinstance(held, messages.Held):
            raise ValueError("not an answer")
        return held

    def _serve(self, sock: socket.socket, sender: tuple[str, int]) -> None:
        try:
            with gevent.Timeout(FETCH_TIMEOUT_SECONDS, TimeoutError), sock:
                sock.settimeout(IDLE_TIMEOUT_SECONDS)
                want = _MessageReader().read(sock)
                if isinstance(want, messages.Want):
                    _send_in_pieces(
                        sock, messages.pack(self._make_answer(want))
                    )
        except (OSError, ValueError, msgpack.UnpackException) as error:
            logging.warning(
                "%s a question of %s failed: %s.",
                LOG,
                sender[0],
                type(error).__name__,
            )

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
            keys=self._mirror.list_keys(),
            items=[
                (item.key, item.value or b"", item.revision) for item in items
            ],
            is_complete=len(items) == len(changed),
        )


class _MessageReader:
    """Reads one message from a stream.

    Attributes:
        received: bytes that have come.
    """

    def __init__(self) -> None:
        self.received = 0

    def read(self, sock: socket.socket) -> messages.Message:
        """Wait for a message.

        Raises:
            OSError: the connection broke, or fell silent.
            ValueError: what came is no message.
        """
        unpacker = messages.CODEC.make_unpacker()
        while data := sock.recv(READ_BYTES):
            self.received += len(data)
            unpacker.feed(data)
            for raw in unpacker:
                return messages.CODEC.decode(raw)
        raise ValueError("the connection ended within a message")


def _send_in_pieces(sock: socket.socket, data: bytes) -> None:
    for start in range(0, len(data), SEND_BYTES):
        sock.sendall(data[start : start + SEND_BYTES])
