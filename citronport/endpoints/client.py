"""Sends requests to endpoints and reads their answers and reports."""

import collections.abc
import dataclasses
import json
from urllib import parse

from gevent import socket
import geventhttpclient
from geventhttpclient import response as http_response
import result

from citronport import const as common
from citronport import errors
from citronport.endpoints import const
from citronport.endpoints import messages
from citronport.scheduler import models


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
class Failure:
    """Why a dispatch gave no whole answer."""

    sent: bool
    code: errors.Code


def run_call(
    address: str,
    call: Call,
    may_send: collections.abc.Callable[[], bool],
    deliver: collections.abc.Callable[[messages.Message], None],
) -> result.Result[int, Failure]:
    """Send a call once and deliver its answer piece by piece.

    Args:
        address: "ip:port" of the endpoint.
        call: what to send.
        may_send: asked after the last wait before the first byte is sent.
        deliver: takes each piece of the answer.

    Returns:
        The size of the answer in bytes, or the failure. ``sent`` is False
        only if not one byte of the request has left.
    """
    sent = False
    sock = None
    try:
        # Connecting can wait for long; nothing has been sent by then.
        sock = _connect(address, call.timeout)
        # A process that was stopped and woken acts on an old view: it
        # would send a request whose caller was already told "not run".
        # The check sits between the last wait and the send, so that no
        # pause before it can pass unnoticed.
        if not may_send():
            return result.Err(
                Failure(sent=False, code=errors.Code.DEADLINE_PASSED_WAITING)
            )
        sent = True
        sock.sendall(_make_head(address, call) + call.body)
        answer = http_response.HTTPSocketResponse(sock, method=call.method)
        return _read_answer(answer, call, deliver)
    except Exception:
        # The library raises socket, parser and timeout errors of several
        # families; all that counts is whether the request had been sent.
        return result.Err(Failure(sent=sent, code=errors.Code.ENDPOINT_LOST))
    finally:
        if sock is not None:
            sock.close()


def _connect(address: str, timeout: float) -> socket.socket:
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection(
        (host, int(port)), timeout=const.CONNECT_SECONDS
    )
    sock.settimeout(timeout)
    return sock


def _make_head(address: str, call: Call) -> bytes:
    # The library's client sends a call of an idempotent method again, up
    # to six times, when the connection ends before an answer: a service
    # that is called by PUT would run it each time. Its response class
    # only reads, so that what is written here is written once.
    headers = {
        "Host": address,
        common.HEADER_REQUEST_ID: call.request_id,
        **call.headers,
        "Content-Length": str(len(call.body)),
        "Connection": "close",
    }
    # The path has been unquoted on its way in; a line end in it would
    # smuggle a second request to the endpoint.
    path = parse.quote(call.path, safe="/:@!$&'()*+,;=~", encoding="latin-1")
    lines = [f"{call.method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def _read_answer(
    answer: http_response.HTTPSocketResponse,
    call: Call,
    deliver: collections.abc.Callable[[messages.Message], None],
) -> result.Result[int, Failure]:
    if answer.status_code >= 500:
        return result.Err(Failure(sent=True, code=errors.Code.ENDPOINT_FAULT))
    deliver(
        messages.Started(
            status=answer.status_code,
            content_type=answer.get("content-type", "application/json"),
        )
    )
    size = 0
    tail = b""
    while True:
        data = answer.read(const.READ_BYTES)
        if not data:
            break
        deliver(messages.Chunk(offset=size, data=bytes(data)))
        size += len(data)
        tail = (tail + data)[-64:]
    if not _is_whole(answer, call, size, tail):
        return result.Err(Failure(sent=True, code=errors.Code.ENDPOINT_LOST))
    return result.Ok(size)


def _is_whole(
    answer: http_response.HTTPSocketResponse,
    call: Call,
    size: int,
    tail: bytes,
) -> bool:
    # A cut connection can look like a clean end of the body: a stream is
    # whole only with its closing event, any other answer only with all
    # the bytes that its head announced.
    if call.stream and answer.status_code == 200:
        return tail.rstrip().endswith(const.STREAM_END)
    announced = answer.get("content-length")
    return announced is None or int(announced) == size


def read_load(address: str) -> result.Result[models.LoadReport, str]:
    """Ask an endpoint for its load report."""
    match _get_json(address, const.PATH_LOAD):
        case result.Ok(raw):
            return result.Ok(
                models.LoadReport(
                    running=int(raw.get("running", 0)),
                    queued=int(raw.get("queued", 0)),
                    cold=bool(raw.get("cold", False)),
                    age=float(raw.get("age", 0.0)),
                    received=int(raw.get("received", 0)),
                )
            )
        case result.Err(reason):
            return result.Err(reason)


def cancel(address: str, request_id: str) -> None:
    """Tell an endpoint to stop a request; a lost order does no harm."""
    _get_json(address, f"{const.PATH_CANCEL}?id={request_id}")


def _get_json(address: str, path: str) -> result.Result[dict, str]:
    host, port = address.rsplit(":", 1)
    client = geventhttpclient.HTTPClient(
        host,
        int(port),
        connection_timeout=const.CONNECT_SECONDS,
        network_timeout=const.CONNECT_SECONDS,
    )
    try:
        answer = client.get(path)
        body = answer.read()
        if answer.status_code != 200:
            return result.Err(f"status {answer.status_code}")
        return result.Ok(json.loads(body))
    except Exception as error:
        return result.Err(type(error).__name__)
    finally:
        client.close()
