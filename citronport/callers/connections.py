"""Open connections of callers and the limits on their resources."""

import collections
import contextlib
import dataclasses
import enum
import resource
import socket

from citronport import byte_budget
from citronport import clock
from citronport.callers import const


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the resources of one caller and of all callers.

    ``const`` gives the reason for each value; tests use smaller ones.
    """

    connections: int = const.MAX_CONNECTIONS
    idle_seconds: float = const.IDLE_TIMEOUT_SECONDS
    head_seconds: float = const.HEAD_TIMEOUT_SECONDS
    head_bytes: int = const.MAX_HEAD_BYTES
    line_bytes: int = const.MAX_LINE_BYTES
    body_bytes: int = const.MAX_BODY_BYTES
    body_seconds: float = const.BODY_TIMEOUT_SECONDS
    total_body_bytes: int = const.BODY_BUDGET_BYTES
    send_seconds: float = const.SEND_TIMEOUT_SECONDS


def make_limits() -> Limits:
    """Return limits that fit the process's file descriptor limit.

    Half of the descriptors stay free for endpoints and instances.
    """
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return Limits(connections=min(const.MAX_CONNECTIONS, files // 2))


class Phase(enum.Enum):
    """What a connection does."""

    READING = enum.auto()
    """Its first request, or the rest of a request, is awaited."""
    IDLE = enum.auto()
    """A further request is awaited."""
    BUSY = enum.auto()
    """A complete request is being answered."""


@dataclasses.dataclass(slots=True)
class _Connection:
    """An open connection.

    Attributes:
        address: address of the caller.
        phase: what it does.
        progressed_at: clock time of its latest progress, seconds.
        received: bytes received since then.
        carries_request: whether the head of a request is complete.
    """

    address: str
    phase: Phase
    progressed_at: float
    received: int = 0
    carries_request: bool = False


class _Waiting:
    """Connections of one phase by address, those without progress first."""

    def __init__(self) -> None:
        self._by_address: dict[
            str, collections.OrderedDict[socket.socket, None]
        ] = {}

    def add(self, sock: socket.socket, address: str) -> None:
        """Add a connection as the one with the latest progress."""
        waiting = self._by_address.setdefault(
            address, collections.OrderedDict()
        )
        waiting[sock] = None
        waiting.move_to_end(sock)

    def remove(self, sock: socket.socket, address: str) -> None:
        """Remove a connection."""
        waiting = self._by_address.get(address)
        if waiting is None:
            return
        waiting.pop(sock, None)
        if not waiting:
            del self._by_address[address]

    def find(self, address: str | None) -> socket.socket | None:
        """Return the one without progress for longest, if there is one.

        Args:
            address: its address; None for the one with the most of them.
        """
        if address is None:
            address = max(
                self._by_address,
                key=lambda a: len(self._by_address[a]),
                default="",
            )
        return next(iter(self._by_address.get(address, ())), None)


class ConnectionTracker:
    """Tracks connections and evicts some to make room.

    A caller that sends no request, or a part of one, must not lock out
    others. A new connection takes the place of one whose request makes no
    progress, else of an idle one, else of one whose request is incomplete;
    each time of the address with the most of them. Any other caller only has
    to connect again. A complete request is never evicted.

    Args:
        limits: the limits to enforce.
        ticker: the clock.
    """

    def __init__(
        self, limits: Limits, ticker: clock.Clock | None = None
    ) -> None:
        self.limits = limits
        self._ticker = ticker or clock.RuntimeClock()
        self._open: dict[socket.socket, _Connection] = {}
        self._count_by_address: collections.Counter[str] = (
            collections.Counter()
        )
        self._waiting = {Phase.READING: _Waiting(), Phase.IDLE: _Waiting()}
        self._carrying = 0

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def is_idle(self) -> bool:
        """Return whether no open connection carries a request.

        A head that is not complete is none, so that one sent byte by byte
        doesn't delay the shutdown of a leaving instance.
        """
        return not self._carrying

    def add(self, sock: socket.socket, address: str) -> bool:
        """Add a new connection; return False if there is no room."""
        # One address may have a complete request on each connection; none
        # can be evicted then. So an address gets at most half of all
        # connections, which is far more than the callers behind one NAT
        # address need.
        if self._count_by_address[address] >= self._get_address_limit():
            self._evict(address)
        if len(self._open) >= self.limits.connections:
            self._evict(None)
        if (
            self._count_by_address[address] >= self._get_address_limit()
            or len(self._open) >= self.limits.connections
        ):
            return False
        self._open[sock] = _Connection(
            address, Phase.READING, self._ticker.now()
        )
        self._waiting[Phase.READING].add(sock, address)
        self._count_by_address[address] += 1
        return True

    def remove(self, sock: socket.socket) -> None:
        """Remove a closed connection."""
        self._enter(sock, Phase.BUSY, carries_request=False)
        connection = self._open.pop(sock, None)
        if connection is None:
            # It was evicted, and its task has just ended.
            return
        address = connection.address
        self._count_by_address[address] -= 1
        if not self._count_by_address[address]:
            del self._count_by_address[address]

    def set_idle(self, sock: socket.socket) -> None:
        """Mark a connection as waiting for a further request."""
        self._enter(sock, Phase.IDLE, carries_request=False)

    def set_reading(
        self, sock: socket.socket, *, carries_request: bool
    ) -> None:
        """Mark a connection as one whose request is incomplete.

        Args:
            sock: the connection.
            carries_request: whether the head of the request is complete.
        """
        self._enter(sock, Phase.READING, carries_request=carries_request)

    def set_busy(self, sock: socket.socket) -> None:
        """Mark a connection as carrying a complete request."""
        self._enter(sock, Phase.BUSY, carries_request=True)

    def set_discarding(self, sock: socket.socket) -> None:
        """Mark a connection as one whose further bytes are of no use."""
        connection = self._open.get(sock)
        if connection is not None:
            self._enter(sock, Phase.READING, connection.carries_request)

    def record_received(self, sock: socket.socket, size: int) -> None:
        """Record that more of an incomplete request has arrived."""
        connection = self._open.get(sock)
        if connection is None:
            return
        connection.received += size
        if connection.received >= byte_budget.PROGRESS_BYTES:
            self._enter(sock, connection.phase, connection.carries_request)

    def _enter(
        self, sock: socket.socket, phase: Phase, carries_request: bool
    ) -> None:
        connection = self._open.get(sock)
        if connection is None:
            # It was evicted, and its task has not ended yet.
            return
        if connection.phase in self._waiting:
            self._waiting[connection.phase].remove(sock, connection.address)
        if phase in self._waiting:
            self._waiting[phase].add(sock, connection.address)
        self._carrying += carries_request - connection.carries_request
        connection.phase = phase
        connection.carries_request = carries_request
        connection.progressed_at = self._ticker.now()
        connection.received = 0

    def _get_address_limit(self) -> int:
        return max(1, self.limits.connections // 2)

    def _evict(self, address: str | None) -> None:
        reading = self._waiting[Phase.READING].find(address)
        idle = self._waiting[Phase.IDLE].find(address)
        if reading is not None and (idle is None or self._is_stalled(reading)):
            victim = reading
        elif idle is not None:
            victim = idle
        else:
            return
        self.remove(victim)
        with contextlib.suppress(OSError):
            # Wakes the task that reads from the socket, which closes it.
            victim.shutdown(socket.SHUT_RDWR)

    def _is_stalled(self, sock: socket.socket) -> bool:
        silence = self._ticker.now() - self._open[sock].progressed_at
        return silence >= byte_budget.STALL_SECONDS
