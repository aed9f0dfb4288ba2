"""Sends requests to endpoints and reads their answers."""

import collections.abc
import dataclasses
import re
import time
from urllib import parse

import gevent
from geventhttpclient import response as http_response
import result

from citronport import const as common
from citronport import errors
from citronport.endpoints import connection as endpoint_connection
from citronport.endpoints import const
from citronport.endpoints import messages
from citronport.endpoints import pool

_OUTPUT_TOKENS = re.compile(rb'"completion_tokens": ?(\d+)')
_CACHED_TOKENS = re.compile(rb'"cached_tokens": ?(\d+)')
_CONNECTION_ERRORS = (OSError, http_response.HTTPParseError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """The bytes of one request to an endpoint.

    Attributes:
        request_id: unique in the fleet.
        method: HTTP method.
        path: path at the endpoint.
        body: the body, as it is sent.
        headers: further headers.
        stream: whether the answer is a stream of events.
        timeout: seconds until the deadline.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: dict[str, str]
    stream: bool
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerSummary:
    """What a whole answer came to.

    Attributes:
        size: bytes.
        output_tokens: length of the answer, 0 if the endpoint does not
            tell.
        cached_tokens: prompt tokens that the endpoint had in its cache.
    """

    size: int
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """Why a dispatch gave no whole answer."""

    sent: bool
    code: errors.Code


# The code is for a call that has no time left to be decided again; one
# that says "outcome unknown" would be wrong for what was never sent.
_NOT_SENT = result.Err(
    Failure(sent=False, code=errors.Code.DEADLINE_PASSED_WAITING)
)


class _WrongStreamError(Exception):
    """The endpoint offers another stream than the one that was cut."""


class _EndpointFaultError(Exception):
    """The endpoint answered with an error."""


class Client:
    """Sends calls on kept connections, each call once."""

    def __init__(self) -> None:
        self._pool = pool.Pool()

    def run_call(
        self,
        address: str,
        start: int,
        call: Call,
        may_send: collections.abc.Callable[[], bool],
        deliver: collections.abc.Callable[[messages.Message], None],
    ) -> result.Result[AnswerSummary, Failure]:
        """Send a call once and deliver its answer piece by piece.

        Args:
            address: "ip:port" of the endpoint.
            start: the endpoint's start that the call was decided for.
            call: what to send.
            may_send: asked after the last wait before the first byte is
                sent.
            deliver: takes each piece of the answer.

        Returns:
            What the answer came to, or the failure. ``sent`` is False
            only if not one byte of the request has left.
        """
        end = time.monotonic() + call.timeout
        with gevent.Timeout(call.timeout, TimeoutError("deadline")):
            try:
                request = _make_request(address, call)
                # Connecting can wait for long; nothing has been sent.
                opened = self._pool.acquire(address, start)
            except (*_CONNECTION_ERRORS, ValueError):
                return _NOT_SENT
            try:
                # A process that was stopped and woken acts on an old
                # view: it would send a request whose caller was already
                # told "not run", or one that was decided for a warm start
                # of an endpoint that is cold again. The check sits
                # between the last wait and the send, so that no pause
                # before it can pass unnoticed, and the connection belongs
                # to one start for ever.
                if not may_send():
                    return _NOT_SENT
                opened.send(request, call.method)
                return result.Ok(
                    _read_answer(address, opened, call, deliver, end)
                )
            except _EndpointFaultError:
                return _make_failure(errors.Code.ENDPOINT_FAULT)
            except (*_CONNECTION_ERRORS, _WrongStreamError):
                return _handle_connection_loss(address, call, end)
            finally:
                self._pool.release(address, opened)


def _handle_connection_loss(
    address: str, call: Call, end: float
) -> result.Err[Failure]:
    if time.monotonic() < end:
        return _make_failure(errors.Code.ENDPOINT_LOST)
    # Without the order the engine would go on for an answer that nobody
    # gets. A plain service knows no orders: it would run one as a call.
    if call.path == const.PATH_CHAT:
        gevent.spawn(cancel, address, call.request_id)
    return _make_failure(errors.Code.DEADLINE_PASSED_RUNNING)


def _read_answer(
    address: str,
    opened: endpoint_connection.Connection,
    call: Call,
    deliver: collections.abc.Callable[[messages.Message], None],
    end: float,
) -> AnswerSummary:
    reader = _AnswerReader(call, deliver)
    try:
        reader.read_head(opened)
        reader.read_body(opened)
    except _CONNECTION_ERRORS:
        if not reader.resumable:
            raise
        opened.close()
        deliver(messages.Interrupted())
        _resume_stream(address, reader, end)
    return reader.check_complete()


class _AnswerReader:
    """Reads one answer, over one connection or several."""

    def __init__(
        self,
        call: Call,
        deliver: collections.abc.Callable[[messages.Message], None],
    ) -> None:
        self.call = call
        self.resumable = False
        self.size = 0
        self._deliver = deliver
        self._tail = b""
        self._status = 0

    def read_head(self, opened: endpoint_connection.Connection) -> None:
        """Read the head of the answer."""
        answer = opened.read_head()
        if answer.status_code >= 500:
            raise _EndpointFaultError
        self._status = answer.status_code
        self.resumable = const.HEADER_RESUMABLE in answer
        content_type = answer.get("content-type", "application/json")
        self._deliver(
            messages.Started(
                status=answer.status_code,
                content_type=str(content_type),
            )
        )

    def read_body(self, opened: endpoint_connection.Connection) -> None:
        """Read pieces to the end of the body."""
        pause = 0.0
        while data := opened.read():
            self._deliver(messages.Chunk(offset=self.size, data=data))
            self.size += len(data)
            self._tail = (self._tail + data)[-const.TAIL_BYTES :]
            if opened.is_complete():
                return
            # Load: streams of hundreds of tokens, each of which would
            # cost a turn of the loop and a system call on each side.
            # What comes during the pause is read at once after it. The
            # pause grows with the stream: a short answer must not wait
            # for tokens that it does not have.
            pause = min(
                pause + const.COALESCE_STEP_SECONDS, const.MAX_COALESCE_SECONDS
            )
            gevent.sleep(pause)

    def check_complete(self) -> AnswerSummary:
        """Check that the answer is whole.

        Raises:
            ConnectionResetError: it is not.
        """
        # A cut connection can look like a clean end of the body: a stream
        # is whole only with its closing event.
        ended = self._tail.rstrip().endswith(const.STREAM_END)
        if self.call.stream and self._status == 200 and not ended:
            raise ConnectionResetError("closed within the stream")
        return AnswerSummary(
            size=self.size,
            output_tokens=_find_number(_OUTPUT_TOKENS, self._tail),
            cached_tokens=_find_number(_CACHED_TOKENS, self._tail),
        )


def _resume_stream(address: str, reader: _AnswerReader, end: float) -> None:
    """Read the rest of a cut stream, from where it was cut.

    Nothing is run again: the engine goes on with the stream that it has,
    or says that it has none.
    """
    until = min(end, time.monotonic() + const.RESUME_TIMEOUT_SECONDS)
    while True:
        try:
            _request_rest(address, reader)
            return
        except _CONNECTION_ERRORS:
            if time.monotonic() + const.RESUME_RETRY_DELAY_SECONDS > until:
                raise
        gevent.sleep(const.RESUME_RETRY_DELAY_SECONDS)


def _request_rest(address: str, reader: _AnswerReader) -> None:
    request_id = reader.call.request_id
    path = f"{const.PATH_RESUME}?id={request_id}&offset={reader.size}"
    opened = endpoint_connection.connect(address)
    try:
        opened.send(endpoint_connection.encode_request(address, "GET", path))
        answer = opened.read_head()
        # An answer of another request, or one that starts elsewhere,
        # would give the caller a stream with a seam in it.
        if (
            answer.status_code != 200
            or answer.get(common.HEADER_REQUEST_ID) != request_id
            or answer.get(const.HEADER_OFFSET) != str(reader.size)
        ):
            raise _WrongStreamError
        reader.read_body(opened)
    finally:
        opened.close()


def cancel(address: str, request_id: str) -> None:
    """Have an endpoint stop a request; return when it says it has."""
    path = f"{const.PATH_CANCEL}?id={request_id}"
    try:
        opened = endpoint_connection.connect(address)
    except OSError:
        return
    try:
        opened.send(endpoint_connection.encode_request(address, "GET", path))
        with gevent.Timeout(
            const.CONNECT_TIMEOUT_SECONDS, TimeoutError("cancel")
        ):
            opened.read_head()
    except _CONNECTION_ERRORS:
        # The closed connection of the call stops it as well, only later.
        return
    finally:
        opened.close()


def _make_request(address: str, call: Call) -> bytes:
    headers = {common.HEADER_REQUEST_ID: call.request_id, **call.headers}
    # The path has been unquoted on its way in; a line end in it would
    # smuggle a second request to the endpoint.
    path = parse.quote(call.path, safe="/:@!$&'()*+,;=~", encoding="latin-1")
    return endpoint_connection.encode_request(
        address, call.method, path, call.body, headers
    )


def _make_failure(code: errors.Code) -> result.Err[Failure]:
    return result.Err(Failure(sent=True, code=code))


def _find_number(pattern: re.Pattern[bytes], tail: bytes) -> int:
    found = pattern.findall(tail)
    return int(found[-1]) if found else 0
