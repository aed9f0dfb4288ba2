"""One request to an endpoint over a dedicated connection."""

import collections.abc
import dataclasses

from geventhttpclient import response as http_response

from citronport.endpoints import connection
from citronport.platform import requests

CONNECT_TIMEOUT_SECONDS = 0.3
"""Connect timeout. Endpoints are about two milliseconds away. A lost first
packet is retransmitted after a second, by which time another endpoint would
have answered."""

SINGLE_WRITE_BYTES = 65536
"""Requests up to this size are sent in one write. While a larger one is sent,
the connection is watched for an early response."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unreachable:
    """No connection was established and no byte was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Broken:
    """No usable response arrived; the request may have run.

    Attributes:
        reason: what happened instead.
        cut: whether the connection broke.
    """

    reason: str
    cut: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NotRun:
    """The endpoint reported that it did not run the request."""

    answer: requests.EndpointAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Replaced:
    """Another endpoint has the address now; it did not run the request."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answered:
    """The head of a response arrived; its body can be read."""

    answer: requests.EndpointAnswer


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Barred:
    """The request was barred while its connection was established."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Paused:
    """The endpoint asked for a pause while a connection was established."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Overdue:
    """Nothing arrived in time, and the connection is closed.

    The request may have run.
    """


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeadTimeout:
    """How long to wait for the first byte of a response.

    Attributes:
        seconds: time after which ``should_stop`` is called once.
        should_stop: returns whether to close the connection; does not block.
    """

    seconds: float
    should_stop: collections.abc.Callable[[], bool]


Failure = Unreachable | Broken | NotRun | Replaced | Barred | Paused | Overdue
Outcome = Answered | Failure


class Exchange:
    """A request in progress; ``close`` also aborts it at the endpoint.

    Args:
        address: "ip:port" of the endpoint.
        request_id: id that the response must carry.

    Attributes:
        received_bytes: bytes of the response body that were read.
    """

    def __init__(self, address: str, request_id: str) -> None:
        self._address = address
        self._request_id = request_id
        self._connection: connection.Connection | None = None
        self.received_bytes = 0

    def open(self) -> Unreachable | None:
        """Connect to the endpoint."""
        try:
            self._connection = connection.connect(
                self._address, timeout=CONNECT_TIMEOUT_SECONDS
            )
        except OSError as error:
            return Unreachable(reason=type(error).__name__)
        return None

    def send(
        self,
        request: connection.OutgoingRequest,
        head_timeout: HeadTimeout | None = None,
    ) -> Outcome:
        """Send the request and wait for the head of its response.

        Args:
            request: the encoded request.
            head_timeout: how long to wait; None to wait indefinitely.
        """
        conn = self._connection
        assert conn is not None
        try:
            self._write(conn, request)
            if (
                head_timeout is not None
                and not conn.wait_for_input(head_timeout.seconds)
                and head_timeout.should_stop()
            ):
                self.close()
                return Overdue()
            head = conn.read_head()
        except connection.OversizedAnswerError as error:
            return Broken(reason=type(error).__name__)
        except (OSError, http_response.HTTPParseError) as error:
            return Broken(reason=type(error).__name__, cut=True)
        answer = requests.parse_answer(head)
        if answer.request_id and answer.request_id != self._request_id:
            return Broken(reason="answer to another request")
        if answer.misdirected:
            return Replaced()
        if not answer.ran:
            return NotRun(answer=answer)
        if answer.is_success and not (answer.signature and answer.request_id):
            return Broken(reason="success without a signature")
        return Answered(answer=answer)

    def read(self) -> bytes:
        """Wait for the next piece of the body; empty at its end.

        Raises:
            OSError: the connection broke before the end of the body.
            HTTPParseError: the data is not valid HTTP.
        """
        assert self._connection is not None
        data = self._connection.read()
        self.received_bytes += len(data)
        return data

    def get_end(self) -> connection.BodyEnd:
        """Return what proved the end of the body, once it was read."""
        assert self._connection is not None
        return self._connection.get_end()

    def close(self) -> None:
        """Close the connection; the endpoint aborts the request."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _write(
        self, conn: connection.Connection, request: connection.OutgoingRequest
    ) -> None:
        if len(request) <= SINGLE_WRITE_BYTES:
            try:
                conn.send(request.join())
            except OSError:
                # The endpoint may have answered and closed the connection
                # before it read the whole request. The response can still
                # be read.
                if not conn.has_input():
                    raise
            return
        conn.send_until_answered(request)
