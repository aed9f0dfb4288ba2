"""Fault-injecting TCP proxy: cut, delay, hold, drip and reorder links.

Each listener stands for one target; a connection's source is told by its
IP number. A rule on a (source, target) pair is looked at again for every
piece of data, so that a change takes hold of open connections as well.
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
    """What a fault does to a link."""

    RESET = "reset"
    """Connections end by a reset, new ones at once."""
    CLOSE = "close"
    """As reset, but by a clean end."""
    HOLD = "hold"
    """A black hole: nothing passes and nothing ends, until healed."""
    HOLD_ANSWERS = "hold_answers"
    """Half a black hole: only what goes to the source is held."""
    LOSE_ANSWERS = "lose_answers"
    """The request passes; a reset takes the place of the answer. Load
    reports are spared."""
    CUT_ANSWERS = "cut_answers"
    """A clean end after so many bytes of answer."""
    HALF_OPEN = "half_open"
    """The target sees a reset, the source sees nothing."""
    DELAY = "delay"
    """Each piece waits."""
    DRIP = "drip"
    """A few bytes at a time."""
    REORDER = "reorder"
    """New connections wait for an uneven time, so that they overtake."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault of a link.

    Attributes:
        how: its kind.
        seconds: wait of delay, drip and (at most) reorder.
        size: bytes of drip, or bytes that pass before an answer is cut.
        share: share of the connections that it strikes.
    """

    how: How
    seconds: float = 0.05
    size: int = 64
    share: float = 1.0


class Proxy:
    """Listens for all targets and passes data on as the rules say.

    Args:
        seed: decides which connections a partial fault strikes.
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
        """Tell which node's connections come from an IP number."""
        self._sources[address] = name

    def listen(
        self,
        address: _Address,
        target: str,
        real_address: _Address,
        no_listener_reply: bytes = b"",
    ) -> None:
        """Stand for a target's address.

        Args:
            address: where to listen.
            target: name of the node.
            real_address: where the node listens.
            no_listener_reply: sent when the node does not listen. The
                kernel has taken the connection by then and can refuse it
                no more.
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
        """Refuse connections, as the address of a dead process does."""
        for address, _ in self._listeners.get(target, ()):
            if address in self._servers:
                self._servers.pop(address).stop(timeout=0)

    def start_listening(self, target: str) -> None:
        """Listen for a target."""
        for address, accept in self._listeners.get(target, ()):
            if address not in self._servers:
                server = gevent_server.StreamServer(address, accept)
                server.start()
                self._servers[address] = server

    def inject_fault(self, source: str, target: str, fault: Fault) -> None:
        """Put a fault on the connections from a source to a target."""
        self._faults[source, target] = fault
        for connection in list(self._connections):
            same = (connection.source, connection.target) == (source, target)
            if same and self._random.random() < fault.share:
                connection.apply_fault(fault)
        self._notify_changed()

    def heal(self, chosen: collections.abc.Callable[[str, str], bool]) -> None:
        """Take the faults off the chosen (source, target) pairs."""
        for pair in [p for p in self._faults if chosen(*p)]:
            del self._faults[pair]
        for connection in list(self._connections):
            if chosen(connection.source, connection.target):
                connection.clear_fault()
        self._notify_changed()

    def stop(self) -> None:
        """Close everything."""
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
            # A reset of one side reaches the other one, but for the pair
            # whose halves were parted on purpose.
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
        """Return the side that data comes from."""
        end = self.downstream if downstream else self.upstream
        if end is None:
            raise OSError("not connected")
        return end

    def is_held(self, to_target: bool) -> bool:
        """Return whether data of a direction must wait."""
        if self.is_half_open:
            return True
        how = self.fault.how if self.fault else None
        return how == How.HOLD or (how == How.HOLD_ANSWERS and not to_target)

    def cut_answer(self, data: bytes, end: socket.socket) -> bool:
        """End the connection if its answer is to be cut in this piece."""
        how = self.fault.how if self.fault else None
        # A report that is lost ends the endpoint's service: whether a call
        # got as far as its answer would hang on which came first.
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
        """Let a fault strike while the connection is open."""
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
        """Let data pass again; a parted pair is dead and says so."""
        self.fault = None
        if self.is_half_open:
            self.is_half_open = False
            self.reset()

    def reply_no_listener(self) -> None:
        """Tell the source that nobody listens."""
        if not self.no_listener_reply:
            self.reset()
            return
        with contextlib.suppress(OSError):
            self.downstream.settimeout(REPLY_TIMEOUT_SECONDS)
            self.downstream.sendall(self.no_listener_reply)
            self.downstream.shutdown(socket.SHUT_WR)
            # Closed with the request unread, the socket would answer with
            # a reset that overtakes what was sent.
            while self.downstream.recv(READ_BYTES):
                pass
        self.close()

    def reset(self) -> None:
        """End both sides by a reset."""
        _reset(self.downstream)
        _reset(self.upstream)

    def close(self) -> None:
        """End both sides."""
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
