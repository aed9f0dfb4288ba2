"""Shares of a process's memory and file descriptors, for all its ports.

What clients can make a process hold is one sum over all ports: a fixed
amount for each connection, with the bytes that lie unread in its socket, and
the bytes of requests. ``docs/CAPACITY.md`` adds it up.
"""

import ctypes
import dataclasses
import resource
import socket

from gevent import socket as gevent_socket

DEFAULT_MEMORY_MB = 150.0
"""Memory of a process whose settings name none."""

MAX_FILES = 65_536
"""Descriptors that are made use of at most."""

PROCESS_BYTES = 48_000_000
"""Memory of a process that holds nothing of clients."""

MIN_FREE_SHARE = 0.25
"""Share of a very small memory that clients may nevertheless use."""

CONNECTION_BYTES = 48_000
"""Memory of one connection: task, buffers, the first 4 KB of a head, and up to
24 KB that lie unread in the socket."""

RECEIVE_BUFFER_BYTES = 16_384
"""Receive buffer of a client's and of an endpoint's connection. The kernel
doubles it and lets 24 KB lie unread; by default it would let megabytes."""

STORE_BUFFER_BYTES = 262_144
"""Receive buffer of a connection to the store, of which there are two."""

FETCH_BUFFER_BYTES = 65_536
"""Receive buffer of a fetch from another instance; few run at once."""

CONNECTIONS_SHARE = 0.30
"""Share of the free memory for connections."""

REQUESTS_SHARE = 0.25
"""Share of the free memory for the bytes of large requests. They may take an
eighth more, the room in which a growing body is not copied."""

SMALL_REQUESTS_SHARE = 0.06
"""Share of the free memory that large requests can't take from small ones."""

LARGEST_REQUEST_SHARE = 0.4
"""Share of the free memory that one request may take while no other large one
is held."""

ANSWERS_SHARE = 0.04
"""Share of the free memory for answers that other instances fetch."""

PEER_ROWS_SHARE = 0.05
"""Share of the free memory for what other instances report: loads, usage,
leases and requests for these."""

STREAMS_SHARE = 0.03
"""Share of the free memory for streams whose beginning is remembered."""

STREAM_BYTES = 400
"""Memory of one remembered stream."""

RESERVED_DESCRIPTORS = 200
"""File descriptors that the platform keeps for files."""

PORTS_SHARE = 0.515
"""Share of the sockets that clients may take at all ports. Each connection
that carries a request may need a further one, to an endpoint; an eighth as
many are being refused, and a few are for the store and other instances."""

REFUSALS_DIVISOR = 8
"""Connections that a port refuses at the same time, as a divisor of those
that it serves."""

MAX_ACCEPTED = 16
"""Connections that a port accepts before others get a turn: those beyond its
limit hold descriptors until then."""

_CALLERS = 20 / 32
_FORWARDS = 4 / 32
_LOOKUPS = 3 / 32
_FETCHES = 3 / 32
_OPERATIONS = 1 / 32

MAPPED_BLOCK_BYTES = 131_072
"""Size from which a block of memory gets its own mapping."""

_M_MMAP_THRESHOLD = -3
"""Number of the C library's option for that size."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shares:
    """What the clients of each port may use.

    Attributes:
        callers: connections of callers.
        forwards: connections over which instances forward requests.
        lookups: connections for lookups.
        fetches: connections over which instances fetch changes.
        readiness: connections for readiness checks.
        metrics: connections for metrics.
        links: connections of instances where they have one port for all, and
            lookups have none of their own.
        operators: connections of operators, where they have one port.
        request_bytes: bytes of all large requests together.
        small_request_bytes: bytes kept for the beginnings of requests.
        largest_request_bytes: bytes of one request.
        answer_bytes: bytes of answers to other instances.
        peer_row_bytes: bytes of the rows that other instances report.
        streams: streams whose beginning is remembered.
    """

    callers: int
    forwards: int
    lookups: int
    fetches: int
    readiness: int
    metrics: int
    links: int
    operators: int
    request_bytes: int
    small_request_bytes: int
    largest_request_bytes: int
    answer_bytes: int
    peer_row_bytes: int
    streams: int


def limit_unread(sock: socket.socket, size: int) -> None:
    """Limit the bytes that may lie unread in a socket.

    The platform counts them as memory of the process. Sockets that a listener
    accepts have its limit.

    Args:
        sock: a listener or a connection.
        size: size of the receive buffer, bytes; the kernel doubles it.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def connect(
    address: tuple[str, int], timeout: float, unread_bytes: int
) -> gevent_socket.socket:
    """Return a connected socket in which a limited number of bytes may lie.

    The limit is set before the other side learns of a larger window: it would
    wait for half of that one before it sends on.

    Args:
        address: IP address and port.
        timeout: time-out of the connect and of later calls, seconds.
        unread_bytes: size of the receive buffer, bytes.

    Raises:
        OSError: the address cannot be reached.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = gevent_socket.socket(family, socket.SOCK_STREAM)
    try:
        limit_unread(sock, unread_bytes)
        sock.settimeout(timeout)
        sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return sock


def return_freed_memory() -> None:
    """Let the C library return the memory of long bodies as it is freed.

    By default it keeps more and more of it, as it raises the size from which
    a block gets its own mapping to that of the largest one freed so far. The
    bodies of a crowd, which grow side by side, then leave gaps that hold
    twice as much as the bodies themselves.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)


def make_shares(memory_bytes: float, files: int) -> Shares:
    """Return the shares of a process.

    Args:
        memory_bytes: memory beyond which the process is killed.
        files: maximum number of its file descriptors.
    """
    free = max(memory_bytes - PROCESS_BYTES, memory_bytes * MIN_FREE_SHARE)
    sockets = max(files - RESERVED_DESCRIPTORS, files // 2)
    connections = min(
        sockets * PORTS_SHARE, free * CONNECTIONS_SHARE / CONNECTION_BYTES
    )
    return Shares(
        callers=max(1, int(connections * _CALLERS)),
        forwards=max(1, int(connections * _FORWARDS)),
        lookups=max(1, int(connections * _LOOKUPS)),
        fetches=max(1, int(connections * _FETCHES)),
        readiness=max(1, int(connections * _OPERATIONS)),
        metrics=max(1, int(connections * _OPERATIONS)),
        operators=max(4, int(connections * 2 * _OPERATIONS)),
        links=max(1, int(connections * (_FORWARDS + _LOOKUPS + _FETCHES))),
        request_bytes=int(free * REQUESTS_SHARE),
        small_request_bytes=int(free * SMALL_REQUESTS_SHARE),
        largest_request_bytes=int(free * LARGEST_REQUEST_SHARE),
        answer_bytes=int(free * ANSWERS_SHARE),
        peer_row_bytes=int(free * PEER_ROWS_SHARE),
        streams=int(free * STREAMS_SHARE / STREAM_BYTES),
    )


def make_default_shares(memory_mb: float = DEFAULT_MEMORY_MB) -> Shares:
    """Return the shares by the process's own limit on descriptors."""
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return make_shares(memory_mb * 1e6, min(files, MAX_FILES))
