"""Detects that a caller disconnects while it waits for a response."""

import collections.abc
import select
import socket

import gevent
from gevent import monkey
from gevent import socket as gevent_socket

from citronport.callers import const

_DISCONNECT_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallerDisconnected(gevent.GreenletExit):  # noqa: N818
    """The caller closed its connection; ends the task that serves it."""


class DisconnectWatcher:
    """Calls back once when the caller closes its connection.

    Otherwise the server would notice it only at its next write. For a
    queued or prefilling request this is the first token, and until then an
    abandoned request would occupy a slot that others wait for. A connection
    that is shut down only for writing looks the same and counts as closed
    too, as in other HTTP servers.

    Args:
        sock: the caller's connection; its body has been read.
        on_disconnect: called from the event loop; must not block.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        on_disconnect: collections.abc.Callable[[], None],
    ) -> None:
        self._sock = sock
        self._on_disconnect = on_disconnect
        loop = gevent.get_hub().loop
        self._timer = None
        self._watcher = loop.io(sock.fileno(), 1)
        self._watcher.start(self._handle_readable)

    def stop(self) -> None:
        """Stop watching."""
        for each in (self._watcher, self._timer):
            if each is not None:
                each.stop()
                each.close()
        self._watcher = None
        self._timer = None

    def _handle_readable(self) -> None:
        try:
            data = self._sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._start_polling()
            return
        self.stop()
        self._on_disconnect()

    def _start_polling(self) -> None:
        # The next request has already arrived and stays unread until the
        # current one is complete, so the socket is always readable.
        self.stop()
        pause = const.DISCONNECT_POLL_SECONDS
        self._timer = gevent.get_hub().loop.timer(pause, repeat=pause)
        self._timer.start(self._check_connection)

    def _check_connection(self) -> None:
        poll = monkey.get_original("select", "poll")()
        poll.register(self._sock.fileno(), select.POLLRDHUP)
        if any(events & _DISCONNECT_EVENTS for _, events in poll.poll(0)):
            self.stop()
            self._on_disconnect()
