"""Connection to another instance that carries msgpack messages."""

import collections.abc
import contextlib
import dataclasses

import gevent
from gevent import queue
from gevent import socket
import msgpack

from citronport import byte_budget
from citronport import clock
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
        holding: the part of a byte budget that received bytes count in until
            their message is complete; None to count them nowhere.

    Attributes:
        sock: the socket.
        peer: the first message of the other side; None before it.
    """

    def __init__(
        self,
        sock: socket.socket,
        deliver: collections.abc.Callable[
            ["Link", messages.Message | Closed], None
        ],
        holding: byte_budget.Holding | None = None,
    ) -> None:
        # Otherwise a small write waits for the acknowledgement of the
        # previous one, which the peer may delay by 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self._deliver = deliver
        self._holding = holding
        self._outbox: queue.Queue[bytes | None] = queue.Queue()
        self._queued_bytes = 0
        self._ticker = clock.RuntimeClock()
        self._written_at = self._ticker.now()
        self.peer: messages.Hello | None = None
        self._tasks = [gevent.spawn(self._write), gevent.spawn(self._read)]
        gevent.spawn_later(const.HELLO_TIMEOUT_SECONDS, self._close_unknown)

    def send(self, message: messages.Message) -> None:
        """Queue a message; it is lost if the connection is closed."""
        data = messages.encode(message)
        self._queued_bytes += len(data)
        if self._is_stalled():
            # The peer doesn't read, and its messages would pile up here.
            self._close_socket()
            return
        if self._outbox.empty():
            self._written_at = self._ticker.now()
        self._outbox.put(data)

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
                self._send_in_pieces(data)
            except OSError:
                break
            if None in parts:
                break
        self._close_socket()

    def _send_in_pieces(self, data: bytes) -> None:
        view = memoryview(data)
        for start in range(0, len(data), const.READ_BYTES):
            piece = view[start : start + const.READ_BYTES]
            self.sock.sendall(piece)
            self._queued_bytes -= len(piece)
            self._written_at = self._ticker.now()

    def _is_stalled(self) -> bool:
        """Return whether much is queued and nothing was sent for a while."""
        silence = self._ticker.now() - self._written_at
        return (
            self._queued_bytes > const.MAX_QUEUED_BYTES
            and silence > const.WRITE_STALL_SECONDS
        )

    def _read(self) -> None:
        reader = messages.make_reader()
        try:
            while data := self.sock.recv(const.READ_BYTES):
                for message in reader.feed(data):
                    self._handle_message(message)
                if not self._may_hold(reader.pending):
                    break
        except (OSError, ValueError, msgpack.exceptions.UnpackException):
            pass
        finally:
            if self._holding is not None:
                self._holding.release()
            self._close_socket()
            self._deliver(self, Closed())

    def _may_hold(self, size: int) -> bool:
        """Return whether the bytes of an incomplete message may be kept."""
        if self.peer is None and size > const.MAX_HELLO_BYTES:
            return False
        if self._holding is None:
            return True
        self._holding.release()
        return not size or self._holding.reserve(size)

    def _close_unknown(self) -> None:
        """Close the connection if the other side did not say who it is."""
        if self.peer is None:
            self._close_socket()

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
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
