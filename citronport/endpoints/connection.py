"""HTTP/1.1 connection to an endpoint with incremental reads."""

import dataclasses
import enum
import select
import time

import gevent
from gevent import monkey
from gevent import select as gevent_select
from gevent import socket
import geventhttpclient
from geventhttpclient import response as http_response

from citronport import resources
from citronport.endpoints import const

MAX_FRAMING_BYTES = 65536
"""Most bytes in a row that hold no part of a body: heads of responses, interim
ones included, chunk sizes and trailers."""

MAX_ANSWER_BYTES = 64_000_000
"""Most bytes of one response, by default."""

YIELD_BYTES = 262_144
"""Bytes after which other tasks get a turn. Reading from a peer that sends
faster than its data is used never waits, and so never yields by itself."""

_KNOWN_CODING = "chunked"
_MIN_STATUS = 100

# A poll with timeout 0 never blocks, so the original is used: the gevent
# version would only add the cost of going through the event loop.
_make_poll = monkey.get_original("select", "poll")


class BodyEnd(enum.StrEnum):
    """What proves that a response body is complete."""

    FRAMED = "framed"
    """Its length, its last chunk, or a head that allows no body."""
    CLOSED = "closed"
    """Only the end of the connection, as it has no length and no chunks."""


class _UnsolicitedAnswerError(Exception):
    """A further response begins after a complete one."""


class OversizedAnswerError(http_response.HTTPParseError):
    """A response, or what frames it, is too long; it may have no end."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OutgoingRequest:
    """An encoded request in parts, so that a long body is not copied.

    Attributes:
        head: its head, and what precedes the body.
        body: its body.
        tail: what follows the body.
    """

    head: bytes
    body: bytes | bytearray = b""
    tail: bytes = b""

    def __len__(self) -> int:
        """Return the number of its bytes."""
        return len(self.head) + len(self.body) + len(self.tail)

    def join(self) -> bytes:
        """Return it as a whole."""
        return b"".join((self.head, self.body, self.tail))


class Answer(http_response.HTTPResponse):
    """The library's response parser, fed by the owner of the socket.

    The library's own reader blocks until it has the requested number of
    bytes, which would deliver a stream only at its end.

    Args:
        method: HTTP method of the request.
        max_bytes: most bytes of the response.

    Attributes:
        status: HTTP status, 0 until the headers are complete.
    """

    status = 0

    def __init__(
        self, method: str = "GET", max_bytes: int = MAX_ANSWER_BYTES
    ) -> None:
        super().__init__(method)
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self._framing_bytes = 0

    def feed(self, data: str | bytes) -> None:
        """Parse received data; drop what follows a complete response.

        Raises:
            OversizedAnswerError: the response is too long.
            HTTPParseError: the data is not valid HTTP.
        """
        # A faulty endpoint may send a second, unsolicited response. The
        # parser would start over and append its body to the first one.
        if self.message_complete and self.is_final():
            self._trailing_data_dropped = True
            return
        body_bytes = len(self._body_buffer)
        try:
            super().feed(data)
        except _UnsolicitedAnswerError:
            self._trailing_data_dropped = True
        self._check_size(
            len(data), has_body=len(self._body_buffer) > body_bytes
        )

    def _check_size(self, size: int, *, has_body: bool) -> None:
        # The parser keeps header lines, and reads on without end through
        # what it does not keep.
        self._received_bytes += size
        self._framing_bytes = 0 if has_body else self._framing_bytes + size
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise OversizedAnswerError("too many bytes without a body")
        if self._received_bytes > self._max_bytes:
            raise OversizedAnswerError("response is too long")

    def _on_message_begin(self) -> None:
        if self.message_complete and self.is_final():
            raise _UnsolicitedAnswerError
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        result = super()._on_headers_complete()
        self.status = self.get_code()
        if self.status < _MIN_STATUS:
            raise http_response.HTTPParseError("invalid status")
        self._check_coding()
        return result

    def _check_coding(self) -> None:
        # The parser takes what is coded in another way for the body itself,
        # up to the end of the connection.
        coding = self.get("transfer-encoding", _KNOWN_CODING)
        if (
            not isinstance(coding, str)
            or coding.strip().lower() != _KNOWN_CODING
        ):
            raise http_response.HTTPParseError("unknown transfer coding")

    def is_final(self) -> bool:
        """Return whether the head of a response is complete, not interim."""
        return self.headers_complete and self.status >= 200

    def take_body(self) -> bytes:
        """Return the part of the body received since the last call."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data


class Connection:
    """A connection that never sends a request twice.

    The library's client retries by itself if a pooled connection turns out
    to be closed, which could run a request twice; here a failed send is an
    error. The methods have no timeouts: the caller sets a single one around
    all steps, since a timeout for each read costs more than the read.

    Args:
        sock: a connected socket.
        start: number of the endpoint's process start that it belongs to.
        max_bytes: most bytes of a response.
    """

    def __init__(
        self,
        sock: socket.socket,
        start: int,
        max_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._sock = sock
        self._max_bytes = max_bytes
        self._answer = Answer(max_bytes=max_bytes)
        self._was_closed_in_body = False
        self._bytes_without_yield = 0
        self.start = start
        self.idle_since = time.monotonic()

    def send(self, request: bytes, method: str = "GET") -> None:
        """Send one request.

        Args:
            request: the encoded request.
            method: its HTTP method; a response to HEAD has no body.

        Raises:
            OSError: the connection failed; the request may have arrived.
        """
        self._answer = Answer(method, self._max_bytes)
        self._sock.sendall(request)

    def send_until_answered(self, request: OutgoingRequest) -> None:
        """Send a large request, but stop as soon as a response arrives.

        An endpoint may reject a request before it has read the body and
        then stop reading: a plain send would block indefinitely. After
        interim responses it still waits for the rest of the body.

        Raises:
            OSError: the connection failed and no response has arrived.
            geventhttpclient.response.HTTPParseError: not valid HTTP, or too
                long.
        """
        self._answer = Answer(max_bytes=self._max_bytes)
        for part in (request.head, request.body, request.tail):
            if not self._send_part(part):
                return

    def _send_part(self, part: bytes | bytearray) -> bool:
        """Send bytes; return False if a response arrived meanwhile."""
        remaining = memoryview(part)
        while remaining:
            ready, _, _ = gevent_select.select([self._sock], [self._sock], [])
            if not ready:
                size = self._sock.send(remaining[: const.READ_BYTES])
                remaining = remaining[size:]
            elif not self._receive() or self._answer.is_final():
                return False
        return True

    def has_input(self) -> bool:
        """Return whether unread data has been received."""
        return bool(_poll(self._sock, select.POLLIN))

    def wait_for_input(self, seconds: float) -> bool:
        """Wait until data is received or the connection ends.

        Data that arrives as the timeout ends counts as well, and so does a
        response that began while the request was sent.

        Args:
            seconds: longest time to wait, seconds.

        Returns:
            Whether there is data to read, or the connection has ended.
        """
        if self._answer.message_begun:
            return True
        try:
            socket.wait_read(self._sock.fileno(), timeout=max(0.0, seconds))
        except TimeoutError:
            return self.has_input()
        return True

    def read_head(self) -> Answer:
        """Wait for status and headers of the response.

        Raises:
            OSError: the connection failed.
            geventhttpclient.response.HTTPParseError: not valid HTTP, or too
                long.
        """
        answer = self._answer
        while not answer.is_final():
            if not self._receive():
                raise ConnectionResetError(
                    "connection closed before the response headers"
                )
        return answer

    def read(self) -> bytes:
        """Wait for the next part of the body.

        Returns:
            The received data, empty at the end of the body.

        Raises:
            OSError: the connection failed.
            geventhttpclient.response.HTTPParseError: not valid HTTP.
        """
        answer = self._answer
        while not (data := answer.take_body()) and not answer.message_complete:
            # The parser takes a close for the end of a body that has neither
            # a length nor chunks, and rejects it within any other one.
            if not self._receive() and not answer.message_complete:
                raise ConnectionResetError(
                    "connection closed within the response body"
                )
        return data

    def wait_until_closed(self, seconds: float) -> bool:
        """Return True once the endpoint closes, False after a timeout.

        Only valid between two responses, when any readable event means the
        end of the connection.
        """
        try:
            socket.wait_read(self._sock.fileno(), timeout=seconds)
        except TimeoutError:
            return False
        return True

    def is_open(self) -> bool:
        """Return whether the endpoint has not closed its side."""
        return not _poll(self._sock, select.POLLRDHUP)

    def is_idle(self) -> bool:
        """Return whether it is open and has no unsolicited input."""
        return not _poll(self._sock, select.POLLRDHUP | select.POLLIN)

    def is_complete(self) -> bool:
        """Return whether the body has been received completely."""
        return self._answer.message_complete

    def get_end(self) -> BodyEnd:
        """Return what proved the end of the body, once it was read."""
        if self._was_closed_in_body:
            return BodyEnd.CLOSED
        return BodyEnd.FRAMED

    def is_reusable(self) -> bool:
        """Return whether another request may be sent over it."""
        answer = self._answer
        return answer.message_complete and not answer.should_close()

    def close(self) -> None:
        """Close it; an endpoint takes this as a cancelled request."""
        self._sock.close()

    def _receive(self) -> bool:
        data = self._sock.recv(const.READ_BYTES)
        self._was_closed_in_body = not data
        self._answer.feed(data)
        self._bytes_without_yield += len(data)
        if self._bytes_without_yield >= YIELD_BYTES:
            self._bytes_without_yield = 0
            gevent.sleep(0)
        return bool(data)


def connect(
    address: str,
    start: int = 0,
    timeout: float = const.CONNECT_TIMEOUT_SECONDS,
    max_bytes: int = MAX_ANSWER_BYTES,
    unread_bytes: int = resources.RECEIVE_BUFFER_BYTES,
) -> Connection:
    """Open a connection to an endpoint.

    Args:
        address: "ip:port" of the endpoint.
        start: number of the endpoint's process start.
        timeout: seconds.
        max_bytes: most bytes of a response.
        unread_bytes: size of the receive buffer.

    Raises:
        OSError: the endpoint cannot be reached.
    """
    host, port = address.rsplit(":", 1)
    sock = resources.connect((host, int(port)), timeout, unread_bytes)
    sock.settimeout(None)
    # Otherwise a small write waits for the acknowledgement of the previous
    # one, which the peer may delay by 40 ms.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock, start, max_bytes)


def _poll(sock: socket.socket, events: int) -> bool:
    poll = _make_poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def encode_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the encoded request.

    Raises:
        ValueError: the request contains characters that would allow request
            smuggling.
    """
    return encode_head(address, method, path, body, headers) + body


def encode_head(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the encoded head of a request; see ``encode_request``."""
    fields = {"Host": address, **(headers or {})}
    head = _HEAD_BUILDER._build_request(method, path, body, fields)
    return head.encode("latin-1")


_HEAD_BUILDER = geventhttpclient.HTTPClient("endpoint")
"""Builds request heads and rejects smuggled ones; it never connects."""
