"""One request to an endpoint, on a connection of its own."""

import dataclasses

from geventhttpclient import response as http_response

from citronport.endpoints import connection
from citronport.platform import requests

CONNECT_TIMEOUT_SECONDS = 0.3
"""How long a connection may take to come about. Endpoints are about two
milliseconds away; a lost first packet is sent again after a second, and
another endpoint has answered by then."""

SINGLE_WRITE_BYTES = 65536
"""Bodies up to this size are sent in one go."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """No connection came about: not one byte was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """No answer that can be used came; the request may have run.

    Attributes:
        reason: what came instead.
        cut: whether the connection broke.
    """

    reason: str
    cut: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The endpoint said that it did not run the request."""

    answer: requests.EndpointAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replaced:
    """Another endpoint answers at the address; it did not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The head of an answer came; its body can be read."""

    answer: requests.EndpointAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Barred:
    """The request was barred while its connection came about."""


Failure = Unreachable | Broken | NotRun | Replaced | Barred
Outcome = Answered | Failure


class Exchange:
    """A request on its way; ``close`` ends it at the endpoint too.

    Args:
        address: "ip:port" of the endpoint.
        request_id: id that the answer has to bear.
    """

    def __init__(self, address: str, request_id: str) -> None:
        self._address = address
        self._request_id = request_id
        self._connection: connection.Connection | None = None

    def open(self) -> Unreachable | None:
        """Connect to the endpoint."""
        try:
            self._connection = connection.connect(
                self._address, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except OSError as error:
            return Unreachable(reason=type(error).__name__)
        return None

    def send(self, request: bytes) -> Outcome:
        """Send the request and wait for the head of its answer."""
        conn = self._connection
        assert conn is not None
        try:
            self._write(conn, request)
            head = conn.read_head()
        except (OSError, http_response.HTTPParseError) as error:
            return Broken(reason=type(error).__name__, cut=True)
        answer = requests.parse_answer(head)
        if answer.request_id and answer.request_id != self._request_id:
            return Broken(reason="answer to another request")
        if answer.replaced:
            return Replaced()
        if not answer.ran:
            return NotRun(answer=answer)
        if 200 <= answer.status < 300 and not (
            answer.signature and answer.request_id
        ):
            return Broken(reason="success without a signature")
        return Answered(answer=answer)

    def read(self) -> bytes:
        """Wait for the next piece of the body; nothing at its end.

        Raises:
            OSError: the connection broke before the end.
            HTTPParseError: what came is no HTTP.
        """
        assert self._connection is not None
        return self._connection.read()

    def close(self) -> None:
        """Close the connection; the endpoint drops what it still does."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _write(self, conn: connection.Connection, request: bytes) -> None:
        if len(request) <= SINGLE_WRITE_BYTES:
            try:
                conn.send(request)
            except OSError:
                # An endpoint may have answered and closed before it read
                # all of the request; the answer can still be read.
                if not conn.has_input():
                    raise
            return
        conn.send_until_answered(request)
