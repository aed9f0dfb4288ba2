"""Converts HTTP requests into validated work."""

import secrets
import urllib.parse

import result
import xxhash

from citronport import errors
from citronport import runs
from citronport.callers import const
from citronport.callers import models
from citronport.callers import request_headers
from citronport.callers import tickets
from citronport.endpoints import client as endpoint_client
from citronport.scheduler import models as decisions


def parse(
    environ: request_headers.Environ,
    target: request_headers.Target,
    entry: decisions.Entry,
    now: float,
) -> result.Result[runs.Work, errors.Refusal]:
    """Read and validate a request for an endpoint.

    Args:
        environ: WSGI environment, from which the body is read.
        target: target of the request.
        entry: catalogue entry of the caller's key.
        now: clock time, seconds.
    """
    match request_headers.parse_headers(environ, target):
        case result.Err(refusal):
            return result.Err(refusal)
        case result.Ok(headers):
            pass
    match environ["wsgi.input"].read_all():
        case result.Err(refusal):
            return result.Err(refusal)
        case result.Ok(body):
            pass
    chat = None
    if target.name == const.PATH_CHAT:
        match models.parse_chat(body):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(chat):
                pass
    request = _make_request(target, entry, chat, headers, now)
    call = endpoint_client.Call(
        request_id=request.request_id,
        method=environ["REQUEST_METHOD"],
        path=target.path,
        body=body,
        headers={
            "Content-Type": environ["CONTENT_TYPE"] or "application/json"
        },
        stream=chat.stream if chat else False,
        timeout=headers.timeout,
    )
    identity = _make_identity(entry, call, headers)
    return result.Ok(runs.Work(request=request, call=call, identity=identity))


def get_service(target: request_headers.Target) -> str | None:
    """Return the service name in a target, None if it has none."""
    segments = urllib.parse.unquote(target.name).split("/")
    # A "." or ".." segment could lead out of the paths of the service.
    if any(segment in (".", "..") for segment in segments):
        return None
    if not target.name.startswith(const.PREFIX_SERVICES) or not segments[2]:
        return None
    return segments[2]


def _make_request(
    target: request_headers.Target,
    entry: decisions.Entry,
    chat: models.Chat | None,
    headers: request_headers.RequestHeaders,
    now: float,
) -> decisions.Request:
    return decisions.Request(
        request_id=secrets.token_hex(12),
        entry=entry.name,
        workspace=entry.workspace,
        tier=entry.tier,
        model=chat.model if chat else get_service(target) or "",
        kind=decisions.Kind.ENGINE if chat else decisions.Kind.SERVICE,
        prompt_tokens=chat.prompt_tokens if chat else 0,
        max_tokens=chat.max_tokens if chat else 0,
        prefix=chat.prefix if chat else (),
        deadline=now + headers.timeout,
        idempotent=headers.idempotent,
        streamed=chat.stream if chat else False,
    )


def _make_identity(
    entry: decisions.Entry,
    call: endpoint_client.Call,
    headers: request_headers.RequestHeaders,
) -> tickets.Identity | None:
    if not headers.key:
        return None
    content = f"{call.method} {call.path} ".encode() + call.body
    return tickets.Identity(
        entry=entry.name,
        key=headers.key,
        ticket=headers.ticket,
        body_hash=xxhash.xxh3_64_intdigest(content),
    )
