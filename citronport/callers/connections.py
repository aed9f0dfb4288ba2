"""Open connections of callers and the limits on their resources."""

import collections
import contextlib
import dataclasses
import resource
import socket

from citronport.callers import const


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the resources of one caller and of all callers.

    ``const`` gives the reason for each value; tests use smaller ones.
    """

    connections: int = const.MAX_CONNECTIONS
    idle_seconds: float = const.IDLE_TIMEOUT_SECONDS
    head_seconds: float = const.HEAD_TIMEOUT_SECONDS
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


class ConnectionTracker:
    """Tracks connections and evicts idle ones to make room.

    Args:
        limits: the limits to enforce.
    """

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._open: dict[socket.socket, str] = {}
        self._count_by_address: collections.Counter[str] = (
            collections.Counter()
        )
        self._idle: dict[
            str, collections.OrderedDict[socket.socket, None]
        ] = {}

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def is_idle(self) -> bool:
        """Return whether no open connection carries a request."""
        return len(self._open) == sum(map(len, self._idle.values()))

    def add(self, sock: socket.socket, address: str) -> bool:
        """Add a new connection; return False if there is no room."""
        # One address may keep its connections busy by sending request
        # heads byte by byte; none is idle then, and no room can be made
        # for others. So an address gets at most half of all connections,
        # which is far more than the callers behind one NAT address need.
        if self._count_by_address[address] >= self._get_address_limit():
            self._close_idle(address)
        if len(self._open) >= self.limits.connections:
            self._close_idle(self._find_address_to_close())
        if (
            self._count_by_address[address] >= self._get_address_limit()
            or len(self._open) >= self.limits.connections
        ):
            return False
        self._open[sock] = address
        self._count_by_address[address] += 1
        return True

    def remove(self, sock: socket.socket) -> None:
        """Remove a closed connection."""
        address = self._open.pop(sock, None)
        if address is None:
            return
        self.set_busy(sock, address)
        self._count_by_address[address] -= 1
        if not self._count_by_address[address]:
            del self._count_by_address[address]

    def set_idle(self, sock: socket.socket, address: str) -> None:
        """Mark a connection as waiting for a request."""
        if sock not in self._open:
            # It was evicted, and its task has not ended yet.
            return
        idle = self._idle.setdefault(address, collections.OrderedDict())
        idle[sock] = None

    def set_busy(self, sock: socket.socket, address: str) -> None:
        """Mark a connection as carrying a request."""
        idle = self._idle.get(address)
        if idle is None:
            return
        idle.pop(sock, None)
        if not idle:
            del self._idle[address]

    def _get_address_limit(self) -> int:
        return max(1, self.limits.connections // 2)

    def _find_address_to_close(self) -> str:
        # A caller that opens connections and sends nothing must not lock
        # out others. Closing the oldest idle connection of the address with
        # the most of them hits that caller first; any other caller only has
        # to connect again.
        return max(self._idle, key=lambda a: len(self._idle[a]), default="")

    def _close_idle(self, address: str) -> None:
        idle = self._idle.get(address)
        if not idle:
            return
        sock = next(iter(idle))
        self.remove(sock)
        with contextlib.suppress(OSError):
            # Wakes the task that reads from the socket, which closes it.
            sock.shutdown(socket.SHUT_RDWR)
