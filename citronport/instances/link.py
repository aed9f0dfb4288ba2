"""Connection to another instance that carries msgpack messages."""

import collections.abc
import contextlib
import dataclasses

import gevent
from gevent import queue
from gevent import socket
import msgpack

from citronport.instances import const
from citronport.instances import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Closed:
    """The connection is closed; no more messages follow."""


class Link:
    """Sends and receives messages over one connected socket.

    Two tasks own the socket: one writes queued messages, one reads.

    Args:
        sock: a connected socket; the link closes it.
        deliver: receives each message, then ``Closed`` once.
    """

    def __init__(
        self,
        sock: socket.socket,
        deliver: collections.abc.Callable[
            ["Link", messages.Message | Closed], None
        ],
    ) -> None:
        # Otherwise a small write waits for the acknowledgement of the
        # previous one, which the peer may delay by 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._deliver = deliver
        self._outbox: queue.Queue[bytes | None] = queue.Queue()
        self.peer: messages.Hello | None = None
        self._tasks = [gevent.spawn(self._write), gevent.spawn(self._read)]

    def send(self, message: messages.Message) -> None:
        """Queue a message; it is lost if the connection is closed."""
        self._outbox.put(messages.encode(message))

    def close(self) -> None:
        """Close the connection after all queued messages are written."""
        self._outbox.put(None)

    def wait(self, timeout: float | None = None) -> None:
        """Wait until the connection is closed, or for timeout seconds."""
        gevent.joinall(self._tasks, timeout=timeout)

    def _write(self) -> None:
        while True:
            parts = [self._outbox.get()]
            # Write all queued messages in one system call: many response
            # streams share this socket, and a call for each chunk would
            # cost more than the chunk itself.
            while not self._outbox.empty():
                parts.append(self._outbox.get())
            data = b"".join(part for part in parts if part is not None)
            try:
                self._sock.sendall(data)
            except OSError:
                break
            if None in parts:
                break
        self._close_socket()

    def _read(self) -> None:
        unpacker = messages.make_unpacker()
        try:
            while True:
                data = self._sock.recv(const.READ_BYTES)
                if not data:
                    break
                unpacker.feed(data)
                for raw in unpacker:
                    self._handle_message(messages.decode(raw))
        except (OSError, ValueError, msgpack.exceptions.UnpackException):
            pass
        finally:
            self._close_socket()
            self._deliver(self, Closed())

    def _handle_message(self, message: messages.Message) -> None:
        if isinstance(message, messages.Hello):
            if message.protocol != const.PROTOCOL:
                raise ValueError("peer uses another protocol version")
            self.peer = message
        elif self.peer is None:
            raise ValueError("first message is not Hello")
        self._deliver(self, message)

    def _close_socket(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
