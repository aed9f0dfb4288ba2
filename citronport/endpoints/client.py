"""Sends requests to endpoints and reads their responses."""

import collections.abc
import dataclasses
import re
import time
from typing import Annotated
from urllib import parse

import gevent
from geventhttpclient import response as http_response
import msgspec
import result

from citronport import const as common
from citronport import errors
from citronport import eventstream
from citronport.endpoints import connection as endpoint_connection
from citronport.endpoints import const
from citronport.endpoints import messages
from citronport.endpoints import pool

MAX_HEADERS = 100
"""Maximum number of headers of a call that another instance sends."""

_OUTPUT_TOKENS = re.compile(rb'"completion_tokens": ?(\d+)')
_CACHED_TOKENS = re.compile(rb'"cached_tokens": ?(\d+)')

_CONNECTION_ERRORS = (OSError, http_response.HTTPParseError)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """One HTTP request to an endpoint.

    Attributes:
        request_id: unique within the fleet.
        method: HTTP method.
        path: request path at the endpoint.
        body: request body, sent unchanged.
        headers: additional request headers.
        stream: whether the response is an event stream.
        timeout: seconds until the deadline.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    headers: Annotated[dict[str, str], msgspec.Meta(max_length=MAX_HEADERS)]
    stream: bool
    timeout: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerSummary:
    """Size and token usage of a complete response.

    Attributes:
        size: size of the body in bytes.
        output_tokens: number of generated tokens, 0 if the endpoint does
            not report it.
        cached_tokens: prompt tokens that the endpoint served from its cache.
    """

    size: int
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """Reason why a call produced no complete response.

    Attributes:
        sent: whether any byte of the request may have been sent.
        code: refusal code for the caller.
    """

    sent: bool
    code: errors.Code


# The code applies if there is no time left to schedule the call again. It
# must not say "outcome unknown", since nothing was sent.
_NOT_SENT = result.Err(
    Failure(sent=False, code=errors.Code.DEADLINE_PASSED_WAITING)
)


class _WrongStreamError(Exception):
    """The endpoint resumed a different stream than the interrupted one."""


class _EndpointFaultError(Exception):
    """The endpoint responded with a server error."""


class Client:
    """Sends calls over pooled connections, each call at most once."""

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
        """Send a call once and deliver its response in chunks.

        Args:
            address: "ip:port" of the endpoint.
            start: number of the endpoint's process start that the call was
                scheduled for.
            call: the request to send.
            may_send: checked immediately before the first byte is sent,
                after everything that may block.
            deliver: receives each part of the response.

        Returns:
            A summary of the response, or the failure. ``sent`` is False
            only if no byte of the request was sent.
        """
        end = time.monotonic() + call.timeout
        with gevent.Timeout(call.timeout, TimeoutError("deadline")):
            try:
                request = _make_request(address, call)
                # Connecting may block for long; nothing has been sent yet.
                opened = self._pool.acquire(address, start)
            except (*_CONNECTION_ERRORS, ValueError):
                return _NOT_SENT
            try:
                # A process that was paused and resumed acts on stale
                # state: it could send a request whose caller was already
                # told "not run", or one that was scheduled for a warm
                # endpoint that has restarted cold. Nothing between this
                # check and the send can block, so any earlier pause is
                # noticed, and a connection always belongs to one start
                # of the endpoint's process.
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
    # Without a cancel request the engine would go on generating a response
    # that nobody reads. A plain service has no cancel path: it would
    # process the request as a call.
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
        # At the deadline the endpoint has not failed, and no timer is left
        # for a request for the rest.
        if not reader.resumable or time.monotonic() >= end:
            raise
        opened.close()
        deliver(messages.Interrupted())
        _resume_stream(address, reader, end)
    return reader.check_complete()


class _AnswerReader:
    """Reads one response, over one or several connections.

    Args:
        call: the request.
        deliver: receives each part of the response.

    Attributes:
        resumable: whether the endpoint keeps the rest after an interruption.
        size: bytes of the body that were read.
        length: bytes of the whole body; None if its head doesn't say.
    """

    def __init__(
        self,
        call: Call,
        deliver: collections.abc.Callable[[messages.Message], None],
    ) -> None:
        self.call = call
        self.resumable = False
        self.size = 0
        self.length: int | None = None
        self._deliver = deliver
        self._tail = b""
        self._status = 0

    def read_head(self, opened: endpoint_connection.Connection) -> None:
        """Read status and headers of the response."""
        answer = opened.read_head()
        if answer.status_code >= 500:
            raise _EndpointFaultError
        self._status = answer.status_code
        self.resumable = const.HEADER_RESUMABLE in answer
        self.length = answer.content_length
        content_type = answer.get("content-type", "application/json")
        self._deliver(
            messages.Started(
                status=answer.status_code,
                content_type=str(content_type),
            )
        )

    def read_body(self, opened: endpoint_connection.Connection) -> None:
        """Read and deliver the body up to its end.

        Raises:
            OSError: the connection broke before the end of the body.
            HTTPParseError: the data is not valid HTTP.
        """
        pause = 0.0
        while data := opened.read():
            self._deliver(messages.Chunk(offset=self.size, data=data))
            self.size += len(data)
            self._tail = (self._tail + data)[-const.TAIL_BYTES :]
            if opened.is_complete():
                return
            # Coalesce tokens: a stream has hundreds of them, and each one
            # read alone costs an event loop iteration and a system call on
            # each side. Data that arrives during the pause is read in one
            # call after it. The pause grows with the stream so that short
            # responses are not delayed.
            pause = min(
                pause + const.COALESCE_STEP_SECONDS, const.MAX_COALESCE_SECONDS
            )
            gevent.sleep(pause)
        if self._is_stream() and not self._is_closed_at_end(opened):
            raise ConnectionResetError("stream closed before its end")

    def _is_stream(self) -> bool:
        return self.call.stream and self._status == 200

    def _is_closed_at_end(
        self, opened: endpoint_connection.Connection
    ) -> bool:
        # The kernel closes the connections of a crashed engine as if it had
        # ended its answers, so a stream without chunks needs its whole final
        # event. The engine may have kept the rest of a broken one.
        if opened.get_end() == endpoint_connection.BodyEnd.FRAMED:
            return True
        return eventstream.ends_with_line(self._tail, const.STREAM_END)

    def check_complete(self) -> AnswerSummary:
        """Check that the response is complete and return its summary.

        Raises:
            ConnectionResetError: the stream ended without its final event.
        """
        # A broken connection can look like a regular end of the body: a
        # stream is complete only if it ends with the final event.
        ended = self._tail.rstrip().endswith(const.STREAM_END)
        if self._is_stream() and not ended:
            raise ConnectionResetError("stream ended without its final event")
        return AnswerSummary(
            size=self.size,
            output_tokens=_find_number(_OUTPUT_TOKENS, self._tail),
            cached_tokens=_find_number(_CACHED_TOKENS, self._tail),
        )


def _resume_stream(address: str, reader: _AnswerReader, end: float) -> None:
    """Read the rest of an interrupted stream from the current offset.

    The request is not run again: the engine continues the stream that it
    has kept, or reports that it has none.
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
        # The response of another request or a different offset would
        # corrupt the stream that the caller receives.
        if (
            answer.status_code != 200
            or answer.get(common.HEADER_REQUEST_ID) != request_id
            or answer.get(const.HEADER_OFFSET) != str(reader.size)
        ):
            raise _WrongStreamError
        reader.read_body(opened)
        # The rest has a frame of its own, which says nothing of the whole.
        if reader.length not in (None, reader.size):
            raise _WrongStreamError
    finally:
        opened.close()


def cancel(address: str, request_id: str) -> None:
    """Ask an endpoint to stop a request and wait until it has answered."""
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
        # Closing the connection of the call also stops it, only later.
        return
    finally:
        opened.close()


def _make_request(address: str, call: Call) -> bytes:
    headers = {common.HEADER_REQUEST_ID: call.request_id, **call.headers}
    # The path may contain unquoted characters; a line break in it would
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
