"""One HTTP/1.1 connection to an endpoint, read piece by piece."""

import select
import time

from gevent import monkey
from gevent import select as gevent_select
from gevent import socket
import geventhttpclient
from geventhttpclient import response as http_response

from citronport.endpoints import const

# A poll with no timeout never waits, so that the cooperative one, which
# goes through the event loop, would only cost time.
_make_poll = monkey.get_original("select", "poll")


class _UnsolicitedAnswerError(Exception):
    """Another answer begins where none is awaited."""


class Answer(http_response.HTTPResponse):
    """The library's parser, fed by the owner of the socket.

    The library's own reader waits until as many bytes came as were asked
    for, which turns a stream into one late answer.

    Attributes:
        status: HTTP status, once the head is complete.
    """

    status = 0

    def feed(self, data: str | bytes) -> None:
        """Parse what came; what follows a whole answer is dropped."""
        # A faulty endpoint may send a second answer unasked. The parser
        # would start over and join its body to that of the first.
        if self.message_complete and self._is_final():
            self._trailing_data_dropped = True
            return
        try:
            super().feed(data)
        except _UnsolicitedAnswerError:
            self._trailing_data_dropped = True

    def _on_message_begin(self) -> None:
        if self.message_complete and self._is_final():
            raise _UnsolicitedAnswerError
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        self.status = self.get_code()
        return super()._on_headers_complete()

    def _is_final(self) -> bool:
        return self.headers_complete and self.status >= 200

    def take_body(self) -> bytes:
        """Return the part of the body that came since the last call."""
        data = bytes(self._body_buffer)
        self._body_buffer.clear()
        return data


class Connection:
    """A connection that sends what it is told, once.

    The library's client sends again by itself when a kept connection
    turns out to be stale, which would run a request twice; here a send
    that fails has failed. Nothing here ends by itself: the caller sets one
    timeout around all its steps, since one for each read costs more than
    the read.

    Args:
        sock: a connected socket.
        start: which start of the endpoint it was opened to.
    """

    def __init__(self, sock: socket.socket, start: int) -> None:
        self._sock = sock
        self._answer = Answer()
        self.start = start
        self.idle_since = time.monotonic()

    def send(self, request: bytes, method: str = "GET") -> None:
        """Send one request; an answer to HEAD has no body.

        Raises:
            OSError: the connection broke; the request may have arrived.
        """
        self._answer = Answer(method)
        self._sock.sendall(request)

    def send_until_answered(self, request: bytes) -> None:
        """Send a long request, but stop as soon as an answer comes.

        An endpoint may refuse a request before it has read the body, and
        read no further: a plain send would wait for ever.

        Raises:
            OSError: the connection broke and no answer is there.
        """
        self._answer = Answer()
        left = memoryview(request)
        while left:
            ready, _, _ = gevent_select.select([self._sock], [self._sock], [])
            if ready:
                return
            left = left[self._sock.send(left[: const.READ_BYTES]) :]

    def has_input(self) -> bool:
        """Return whether bytes came that were not read yet."""
        return bool(_poll(self._sock, select.POLLIN))

    def read_head(self) -> Answer:
        """Wait for the head of the answer.

        Raises:
            OSError: the connection broke.
            geventhttpclient.response.HTTPParseError: not HTTP.
        """
        answer = self._answer
        while not answer.headers_complete or answer.status_code < 200:
            if not self._receive():
                raise ConnectionResetError("closed before the answer")
        return answer

    def read(self) -> bytes:
        """Wait for the next piece of the body.

        Returns:
            What came, or nothing at the end of the body.

        Raises:
            OSError: the connection broke.
            geventhttpclient.response.HTTPParseError: not HTTP.
        """
        answer = self._answer
        while not (data := answer.take_body()) and not answer.message_complete:
            if not self._receive():
                # A body without a length ends with the connection; any
                # other one that ends here was cut.
                if "content-length" in answer or _is_chunked(answer):
                    raise ConnectionResetError("closed within the answer")
                return b""
        return data

    def wait_until_closed(self, seconds: float) -> bool:
        """Return True as soon as the endpoint closes, False after a time.

        Only between two answers: whatever comes then is an end.
        """
        try:
            socket.wait_read(self._sock.fileno(), timeout=seconds)
        except TimeoutError:
            return False
        return True

    def is_open(self) -> bool:
        """Return whether the endpoint has not closed its side yet."""
        return not _poll(self._sock, select.POLLRDHUP)

    def is_idle(self) -> bool:
        """Return whether it is open and nothing came unasked."""
        return not _poll(self._sock, select.POLLRDHUP | select.POLLIN)

    def is_complete(self) -> bool:
        """Return whether the body came to its end."""
        return self._answer.message_complete

    def is_reusable(self) -> bool:
        """Return whether another request may be sent on it."""
        answer = self._answer
        return answer.message_complete and not answer.should_close()

    def close(self) -> None:
        """Close it; the endpoint sees that nobody waits for an answer."""
        self._sock.close()

    def _receive(self) -> bool:
        data = self._sock.recv(const.READ_BYTES)
        self._answer.feed(data)
        return bool(data)


def connect(
    address: str,
    start: int = 0,
    timeout: float = const.CONNECT_TIMEOUT_SECONDS,
) -> Connection:
    """Open a connection within so many seconds.

    Raises:
        OSError: the endpoint cannot be reached.
    """
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.settimeout(None)
    # A small write would else wait for the acknowledgement of the one
    # before it, which the other side may hold back for 40 ms.
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock, start)


def _poll(sock: socket.socket, events: int) -> bool:
    poll = _make_poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def _is_chunked(answer: Answer) -> bool:
    return "chunked" in str(answer.get("transfer-encoding", "")).lower()


def encode_request(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Return the bytes of a request.

    Raises:
        ValueError: a part of it could smuggle a second request.
    """
    fields = {"Host": address, **(headers or {})}
    head = _HEAD_BUILDER._build_request(method, path, body, fields)
    return head.encode("latin-1") + body


_HEAD_BUILDER = geventhttpclient.HTTPClient("endpoint")
"""Only builds heads, checked against smuggling; it never connects."""
