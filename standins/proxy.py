"""TCP proxy that injects faults: cut, delay, hold, drip and reorder.

Each listener represents one target; a connection's source is identified by
its IP address. The fault of a (source, target) pair is evaluated for every
chunk of data, so that changes apply to open connections too.
"""

import collections.abc
import contextlib
import dataclasses
import enum
import random
import struct

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket

READ_BYTES = 65536
CONNECT_TIMEOUT_SECONDS = 5.0
REPLY_TIMEOUT_SECONDS = 1.0

_Address = tuple[str, int]
_Accept = collections.abc.Callable[[socket.socket, _Address], None]


LOAD_REQUEST_PREFIX = b"GET /load"


class How(enum.StrEnum):
    """Kind of a fault."""

    RESET = "reset"
    """Open connections are reset, new ones as soon as they are accepted."""
    CLOSE = "close"
    """Like RESET, but connections are closed without a reset."""
    HOLD = "hold"
    """Black hole: no data passes and no connection ends until healed."""
    HOLD_ANSWERS = "hold_answers"
    """Like HOLD, but only for data from the target to the source."""
    LOSE_ANSWERS = "lose_answers"
    """The request passes, but the connection is reset instead of passing the
    answer. Load reports are not affected."""
    CUT_ANSWERS = "cut_answers"
    """Connections are closed after ``size`` bytes of the answer."""
    HALF_OPEN = "half_open"
    """The target's side is reset, the source's side stays open."""
    DELAY = "delay"
    """Each chunk is delayed."""
    DRIP = "drip"
    """Data is passed on a few bytes at a time."""
    REORDER = "reorder"
    """New connections are delayed at random, so that they get reordered."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault on the connections from a source to a target.

    Attributes:
        how: kind of fault.
        seconds: delay of DELAY and DRIP; maximum delay of REORDER.
        size: chunk size of DRIP; bytes that CUT_ANSWERS lets pass.
        share: fraction of the connections that are affected.
    """

    how: How
    seconds: float = 0.05
    size: int = 64
    share: float = 1.0


class Proxy:
    """Listens in place of all targets and forwards data subject to faults.

    Args:
        seed: of the random choice of connections that a fault affects.
    """

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._sources: dict[str, str] = {}
        self._faults: dict[tuple[str, str], Fault] = {}
        self._changed = event.Event()
        self._listeners: dict[str, list[tuple[_Address, _Accept]]] = {}
        self._servers: dict[_Address, gevent_server.StreamServer] = {}
        self._connections: set[_Connection] = set()

    def register_source(self, address: str, name: str) -> None:
        """Set the node name of connections from an IP address."""
        self._sources[address] = name

    def listen(
        self,
        address: _Address,
        target: str,
        real_address: _Address,
        no_listener_reply: bytes = b"",
    ) -> None:
        """Listen in place of a target.

        Args:
            address: address of the proxy.
            target: name of the node.
            real_address: address that the node itself listens at.
            no_listener_reply: sent to the source if the node does not
                listen, since the kernel has accepted the connection to
                the proxy by then and it can't be refused any more.
        """

        def accept(sock: socket.socket, peer: _Address) -> None:
            source = self._sources.get(peer[0], "callers")
            self._serve(
                _Connection(sock, source, target, no_listener_reply),
                real_address,
            )

        self._listeners.setdefault(target, []).append((address, accept))
        self.start_listening(target)

    def stop_listening(self, target: str) -> None:
        """Refuse connections, as if the target's process were dead."""
        for address, _ in self._listeners.get(target, ()):
            if address in self._servers:
                self._servers.pop(address).stop(timeout=0)

    def start_listening(self, target: str) -> None:
        """Listen again in place of a target."""
        for address, accept in self._listeners.get(target, ()):
            if address not in self._servers:
                server = gevent_server.StreamServer(address, accept)
                server.start()
                self._servers[address] = server

    def inject_fault(self, source: str, target: str, fault: Fault) -> None:
        """Set the fault of a link and apply it to open connections."""
        self._faults[source, target] = fault
        for connection in list(self._connections):
            same = (connection.source, connection.target) == (source, target)
            if same and self._random.random() < fault.share:
                connection.apply_fault(fault)
        self._notify_changed()

    def heal(self, chosen: collections.abc.Callable[[str, str], bool]) -> None:
        """Remove the faults of the chosen (source, target) pairs."""
        for pair in [p for p in self._faults if chosen(*p)]:
            del self._faults[pair]
        for connection in list(self._connections):
            if chosen(connection.source, connection.target):
                connection.clear_fault()
        self._notify_changed()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        for target in self._listeners:
            self.stop_listening(target)
        for connection in list(self._connections):
            connection.reset()

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _serve(
        self, connection: "_Connection", real_address: _Address
    ) -> None:
        fault = self._faults.get((connection.source, connection.target))
        if fault and self._random.random() < fault.share:
            connection.fault = fault
        self._connections.add(connection)
        try:
            self._connect_upstream(connection, real_address)
            back = gevent.spawn(self._pump, connection, False)
            self._pump(connection, True)
            back.join()
        finally:
            self._connections.discard(connection)
            connection.close()

    def _connect_upstream(
        self, connection: "_Connection", real_address: _Address
    ) -> None:
        fault = connection.fault
        if fault and fault.how in (How.RESET, How.CLOSE):
            connection.apply_fault(fault)
            return
        if fault and fault.how == How.REORDER:
            gevent.sleep(self._random.uniform(0, fault.seconds))
        self._wait_while_held(connection, True)
        try:
            connection.upstream = socket.create_connection(
                real_address, CONNECT_TIMEOUT_SECONDS
            )
            connection.upstream.settimeout(None)
        except ConnectionRefusedError:
            connection.reply_no_listener()
        except OSError:
            connection.reset()

    def _pump(self, connection: "_Connection", to_target: bool) -> None:
        try:
            while True:
                data = connection.get_socket(to_target).recv(READ_BYTES)
                self._wait_while_held(connection, to_target)
                self._forward(connection, to_target, data)
                if not data:
                    return
        except (OSError, AttributeError):
            # A reset on one side is passed on to the other side, unless a
            # HALF_OPEN fault separates the two.
            if not connection.is_half_open:
                self._wait_while_held(connection, to_target)
                connection.reset()

    def _forward(
        self, connection: "_Connection", to_target: bool, data: bytes
    ) -> None:
        end = connection.get_socket(not to_target)
        if not data:
            end.shutdown(socket.SHUT_WR)
            return
        fault = connection.fault
        if to_target:
            connection.is_report = data.startswith(LOAD_REQUEST_PREFIX)
        elif connection.cut_answer(data, end):
            return
        if fault and fault.how == How.DELAY:
            gevent.sleep(fault.seconds)
        if fault and fault.how == How.DRIP:
            for start in range(0, len(data), fault.size):
                end.sendall(data[start : start + fault.size])
                gevent.sleep(fault.seconds)
            return
        end.sendall(data)

    def _wait_while_held(
        self, connection: "_Connection", to_target: bool
    ) -> None:
        while connection.is_held(to_target):
            self._changed.wait()


class _Connection:
    def __init__(
        self,
        downstream: socket.socket,
        source: str,
        target: str,
        no_listener_reply: bytes,
    ) -> None:
        self.downstream = downstream
        self.no_listener_reply = no_listener_reply
        self.upstream: socket.socket | None = None
        self.source = source
        self.target = target
        self.fault: Fault | None = None
        self.is_half_open = False
        self.is_report = False
        self._answer_bytes = 0

    def get_socket(self, downstream: bool) -> socket.socket:
        """Return the source's socket (downstream) or the target's."""
        end = self.downstream if downstream else self.upstream
        if end is None:
            raise OSError("not connected")
        return end

    def is_held(self, to_target: bool) -> bool:
        """Return whether a fault holds data of a direction back."""
        if self.is_half_open:
            return True
        how = self.fault.how if self.fault else None
        return how == How.HOLD or (how == How.HOLD_ANSWERS and not to_target)

    def cut_answer(self, data: bytes, end: socket.socket) -> bool:
        """End the connection if the answer is to be cut in this chunk.

        Returns:
            Whether the connection was ended.
        """
        how = self.fault.how if self.fault else None
        # Load reports are passed, because an endpoint whose report is lost
        # is taken out of service. Whether a request then got to the point
        # of an answer would depend on the order of the two.
        if how == How.LOSE_ANSWERS and not self.is_report:
            self.reset()
            return True
        self._answer_bytes += len(data)
        if how != How.CUT_ANSWERS or self._answer_bytes <= self.fault.size:
            return False
        end.sendall(data[: len(data) - (self._answer_bytes - self.fault.size)])
        self.close()
        return True

    def apply_fault(self, fault: Fault) -> None:
        """Apply a fault to the open connection."""
        self.fault = fault
        match fault.how:
            case How.RESET:
                self.reset()
            case How.CLOSE:
                self.close()
            case How.HALF_OPEN:
                self.is_half_open = True
                _reset(self.upstream)

    def clear_fault(self) -> None:
        """Remove the fault; reset the connection if it was half open."""
        self.fault = None
        if self.is_half_open:
            self.is_half_open = False
            self.reset()

    def reply_no_listener(self) -> None:
        """Tell the source that the target does not listen, then close."""
        if not self.no_listener_reply:
            self.reset()
            return
        with contextlib.suppress(OSError):
            self.downstream.settimeout(REPLY_TIMEOUT_SECONDS)
            self.downstream.sendall(self.no_listener_reply)
            self.downstream.shutdown(socket.SHUT_WR)
            # If the socket were closed with the request unread, the kernel
            # would send a reset, which may overtake the reply.
            while self.downstream.recv(READ_BYTES):
                pass
        self.close()

    def reset(self) -> None:
        """Reset the connections to the source and to the target."""
        _reset(self.downstream)
        _reset(self.upstream)

    def close(self) -> None:
        """Close the connections to the source and to the target."""
        for end in (self.downstream, self.upstream):
            if end is None:
                continue
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


def _reset(end: socket.socket | None) -> None:
    if end is None:
        return
    try:
        end.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except OSError:
        return
    end.close()
