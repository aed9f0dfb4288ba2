"""Notices that a caller leaves while its answer is awaited."""

import collections.abc
import select
import socket

import gevent
from gevent import monkey
from gevent import socket as gevent_socket

from citronport.callers import const

_GONE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallerGone(gevent.GreenletExit):  # noqa: N818
    """The caller closed its connection; ends the task that serves it."""


class Watch:
    """Calls back, once, when the other side of a connection has ended it.

    The server would see it only at its next write, which for a request
    that waits or prefills is its first token: work for nobody, in a place
    that others wait for. A connection closed for writing only looks the
    same and counts as gone too, as in other HTTP servers.

    Args:
        sock: the caller's connection; its body has been read.
        on_gone: called from the event loop; must not block.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        on_gone: collections.abc.Callable[[], None],
    ) -> None:
        self._sock = sock
        self._on_gone = on_gone
        loop = gevent.get_hub().loop
        self._timer = None
        self._watcher = loop.io(sock.fileno(), 1)
        self._watcher.start(self._look)

    def stop(self) -> None:
        """Stop watching."""
        for each in (self._watcher, self._timer):
            if each is not None:
                each.stop()
                each.close()
        self._watcher = None
        self._timer = None

    def _look(self) -> None:
        try:
            data = self._sock._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._look_by_timer()
            return
        self.stop()
        self._on_gone()

    def _look_by_timer(self) -> None:
        # The next request is already here and stays unread until this one
        # is answered, so that the socket is readable all the time.
        self.stop()
        pause = const.HANG_UP_CHECK_SECONDS
        self._timer = gevent.get_hub().loop.timer(pause, repeat=pause)
        self._timer.start(self._look_for_end)

    def _look_for_end(self) -> None:
        poll = monkey.get_original("select", "poll")()
        poll.register(self._sock.fileno(), select.POLLRDHUP)
        if any(events & _GONE_EVENTS for _, events in poll.poll(0)):
            self.stop()
            self._on_gone()
