"""Takes requests from callers over HTTP and gives them their answers."""

import collections.abc
import dataclasses
import json
import math
import secrets
from typing import Any

from absl import logging
from gevent import pywsgi
from gevent import socket
import result
import xxhash

from citronport import clock
from citronport import const as common
from citronport import errors
from citronport import runs
from citronport.callers import const
from citronport.callers import home
from citronport.callers import lookup
from citronport.callers import models
from citronport.endpoints import client as endpoint_client
from citronport.endpoints import messages
from citronport.platform import models as platform_models
from citronport.platform import store
from citronport.scheduler import models as decisions

LOG = "callers:"

StartResponse = collections.abc.Callable[..., Any]
Environ = dict[str, Any]


class StreamCutError(Exception):
    """The answer ended early; the connection must end uncleanly."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submission:
    """A request as it came, checked.

    Attributes:
        work: the request.
        identity: None without an idempotency key.
        ticket: None without one.
    """

    work: runs.Work
    identity: home.Identity | None
    ticket: home.Ticket | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Marks:
    """What the headers say of a request.

    Attributes:
        seconds: time until the deadline.
        key: the caller's idempotency key, empty without one.
        ticket: None without one.
        idempotent: False if it may run at most once.
    """

    seconds: float
    key: str
    ticket: home.Ticket | None
    idempotent: bool


class Application:
    """The WSGI application for callers.

    Args:
        published: catalogue and instance list.
        records: the home of keyed requests.
        ticker: the clock.
        submit: starts a run here.
        forward: hands a run to the instance of its ticket; see
            ``instances.peers.Peers.forward``.
    """

    def __init__(
        self,
        published: store.Store,
        records: home.Home,
        ticker: clock.Clock,
        submit: collections.abc.Callable[[runs.Run], None],
        leave: collections.abc.Callable[[runs.Run], None],
        dead: collections.abc.Callable[[], frozenset[str]],
    ) -> None:
        self._published = published
        self._records = records
        self._ticker = ticker
        self._submit = submit
        self._leave = leave
        self._dead = dead

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer one HTTP request."""
        path = environ["PATH_INFO"]
        match self._find_entry(environ):
            case result.Err(refusal):
                return _answer_refusal(start_response, refusal)
            case result.Ok(entry):
                pass
        if path == const.PATH_LOOKUP:
            return self._answer_lookup(start_response, entry)
        if path == const.PATH_MODELS:
            return self._answer_models(start_response)
        if path == const.PATH_CHAT or path.startswith(const.PREFIX_SERVICES):
            return self._answer_request(environ, start_response, entry)
        return _answer_refusal(
            start_response, errors.Refusal(code=errors.Code.UNKNOWN_PATH)
        )

    def _find_entry(
        self, environ: Environ
    ) -> result.Result[decisions.Entry, errors.Refusal]:
        fleet = self._published.fleet
        if fleet is None:
            return result.Err(
                errors.Refusal(code=errors.Code.NO_CATALOGUE, retry_after=1)
            )
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        accounts = self._published.accounts
        hashed = platform_models.hash_key(accounts.salt, key.strip())
        name = accounts.entries.get(hashed)
        if scheme.lower() != "bearer" or name is None:
            return result.Err(errors.Refusal(code=errors.Code.UNKNOWN_KEY))
        return result.Ok(fleet.entries[name])

    def _answer_lookup(
        self, start_response: StartResponse, entry: decisions.Entry
    ) -> list[bytes]:
        fleet = self._published.fleet
        ordered = lookup.order_instances(
            entry.workspace,
            self._published.instances,
            fleet.data_centres if fleet else {},
            self._dead(),
        )
        ticket = self._records.issue(self._ticker.now())
        body = {
            "entries": [f"{i.address}:{i.caller_port}" for i in ordered],
            "keep_seconds": const.LOOKUP_KEEP_SECONDS,
            "ticket": str(ticket),
            "ticket_seconds": const.TICKET_LIFETIME_SECONDS,
        }
        return _answer_json(start_response, "200 OK", body)

    def _answer_models(self, start_response: StartResponse) -> list[bytes]:
        fleet = self._published.fleet
        names = {
            model
            for endpoint in (fleet.endpoints.values() if fleet else ())
            if endpoint.kind == decisions.Kind.ENGINE
            for model in endpoint.models
        }
        listed = [
            {
                "id": n,
                "object": "model",
                "created": 0,
                "owned_by": "citronport",
            }
            for n in sorted(names)
        ]
        return _answer_json(
            start_response, "200 OK", {"object": "list", "data": listed}
        )

    def _answer_request(
        self,
        environ: Environ,
        start_response: StartResponse,
        entry: decisions.Entry,
    ) -> collections.abc.Iterable[bytes]:
        match self._parse(environ, entry):
            case result.Err(refusal):
                return _answer_refusal(start_response, refusal)
            case result.Ok(submission):
                pass
        match self._find_run(submission):
            case result.Err(refusal):
                return _answer_refusal(start_response, refusal)
            case result.Ok(run):
                return _answer_run(start_response, run)

    def _find_run(
        self, submission: Submission
    ) -> result.Result[runs.Run, errors.Refusal]:
        now = self._ticker.now()
        identity = submission.identity
        if identity is None:
            return result.Ok(self._start(submission.work, keep=False))
        match self._records.find(identity, now):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(known) if known is not None:
                return result.Ok(known)
        if submission.ticket is not None:
            refusal = self._records.check(submission.ticket, now)
            if refusal is not None:
                return result.Err(refusal)
        run = self._start(submission.work, keep=True)
        self._records.add(identity, run, now)
        return result.Ok(run)

    def _start(self, work: runs.Work, *, keep: bool) -> runs.Run:
        run = runs.Run(work, self._leave, keep=keep)
        self._submit(run)
        return run

    def _parse(
        self, environ: Environ, entry: decisions.Entry
    ) -> result.Result[Submission, errors.Refusal]:
        match _read_marks(environ):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(marks):
                pass
        match _read_body(environ):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(body):
                pass
        match self._make_work(environ, entry, body, marks):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(work):
                identity = _make_identity(entry, work, marks)
                return result.Ok(
                    Submission(
                        work=work, identity=identity, ticket=marks.ticket
                    )
                )

    def _make_work(
        self,
        environ: Environ,
        entry: decisions.Entry,
        body: bytes,
        marks: Marks,
    ) -> result.Result[runs.Work, errors.Refusal]:
        path = environ["PATH_INFO"]
        request_id = secrets.token_hex(12)
        chat = None
        if path == const.PATH_CHAT:
            match models.parse_chat(body):
                case result.Err(refusal):
                    return result.Err(refusal)
                case result.Ok(chat):
                    pass
        model = chat.model if chat else path.split("/")[2]
        request = decisions.Request(
            request_id=request_id,
            entry=entry.name,
            workspace=entry.workspace,
            tier=entry.tier,
            model=model,
            kind=decisions.Kind.ENGINE if chat else decisions.Kind.SERVICE,
            prompt_tokens=chat.prompt_tokens if chat else 0,
            max_tokens=chat.max_tokens if chat else 0,
            prefix=chat.prefix if chat else (),
            deadline=self._ticker.now() + marks.seconds,
            idempotent=marks.idempotent,
        )
        call = endpoint_client.Call(
            request_id=request_id,
            method=environ["REQUEST_METHOD"],
            path=path,
            body=body,
            headers={
                "Content-Type": environ.get("CONTENT_TYPE", "application/json")
            },
            stream=chat.stream if chat else False,
            timeout=marks.seconds,
        )
        return result.Ok(runs.Work(request=request, call=call))


def _get_header(environ: Environ, name: str) -> str:
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "").strip()


def _bad_header(name: str) -> errors.Refusal:
    return errors.Refusal(code=errors.Code.BAD_HEADER, detail=name)


def _read_deadline(environ: Environ) -> float | None:
    text = _get_header(environ, common.HEADER_DEADLINE)
    if not text:
        return common.DEFAULT_DEADLINE
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not 0 < seconds <= common.MAX_DEADLINE:
        return None
    return seconds


def _read_marks(environ: Environ) -> result.Result[Marks, errors.Refusal]:
    seconds = _read_deadline(environ)
    if seconds is None:
        return result.Err(_bad_header(common.HEADER_DEADLINE))
    ticket = None
    text = _get_header(environ, common.HEADER_TICKET)
    if text:
        match home.parse_ticket(text):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(ticket):
                pass
    key = _get_header(environ, common.HEADER_IDEMPOTENCY_KEY)
    marked = _get_header(environ, common.HEADER_NON_IDEMPOTENT)
    idempotent = marked.lower() not in ("1", "true", "yes")
    # Without a ticket a repeat at another entry, or at the next
    # incarnation of this one, could not be told from a new request.
    if not idempotent and not (key and ticket):
        return result.Err(errors.Refusal(code=errors.Code.TICKET_NEEDED))
    return result.Ok(
        Marks(seconds=seconds, key=key, ticket=ticket, idempotent=idempotent)
    )


def _make_identity(
    entry: decisions.Entry, work: runs.Work, marks: Marks
) -> home.Identity | None:
    if not marks.key:
        return None
    call = work.call
    content = f"{call.method} {call.path} ".encode() + call.body
    return home.Identity(
        entry=entry.name,
        key=marks.key,
        ticket=str(marks.ticket or ""),
        body_hash=xxhash.xxh3_64_intdigest(content),
    )


def _read_body(environ: Environ) -> result.Result[bytes, errors.Refusal]:
    announced = environ.get("CONTENT_LENGTH") or "0"
    if int(announced) > const.MAX_BODY_BYTES:
        return result.Err(errors.Refusal(code=errors.Code.BODY_TOO_LARGE))
    body = environ["wsgi.input"].read(const.MAX_BODY_BYTES + 1)
    if len(body) > const.MAX_BODY_BYTES:
        return result.Err(errors.Refusal(code=errors.Code.BODY_TOO_LARGE))
    return result.Ok(body)


def _answer_json(
    start_response: StartResponse, status: str, body: dict[str, Any]
) -> list[bytes]:
    data = json.dumps(body).encode()
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]


def describe_refusal(refusal: errors.Refusal) -> dict[str, Any]:
    """Return a refusal in the form that OpenAI-style clients read."""
    meaning = refusal.meaning
    text = meaning.text
    if refusal.detail:
        text = f"{text}: {refusal.detail}"
    return {
        "error": {
            "message": text,
            "type": "citronport_refusal",
            "code": int(refusal.code),
            "name": refusal.code.name.lower(),
            "ran": str(meaning.ran),
            "retry_after": refusal.retry_after,
            "go_to": list(refusal.go_to),
        }
    }


def _answer_refusal(
    start_response: StartResponse, refusal: errors.Refusal
) -> list[bytes]:
    meaning = refusal.meaning
    data = json.dumps(describe_refusal(refusal)).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
        (common.HEADER_CODE, str(int(refusal.code))),
        (common.HEADER_RAN, str(meaning.ran)),
        (common.HEADER_SHOULD_RETRY, "true" if meaning.may_retry else "false"),
    ]
    if refusal.retry_after is not None:
        # The header takes whole seconds; the exact time is in the body.
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after))))
    if refusal.go_to:
        headers.append((common.HEADER_GO_TO, ", ".join(refusal.go_to)))
    start_response(f"{meaning.status} Refused", headers)
    return [data]


def _answer_run(
    start_response: StartResponse, run: runs.Run
) -> collections.abc.Iterator[bytes]:
    started = False
    for message in run.read():
        match message:
            case messages.Started():
                started = True
                start_response(
                    f"{message.status} OK",
                    [
                        ("Content-Type", message.content_type),
                        (common.HEADER_REQUEST_ID, run.request_id),
                    ],
                )
            case messages.Chunk():
                yield message.data
            case messages.Refused() if not started:
                yield from _answer_refusal(start_response, message.refusal)
            case messages.Refused():
                yield from _cut_stream(run, message.refusal)
            case messages.Finished():
                return


def _cut_stream(
    run: runs.Run, refusal: errors.Refusal
) -> collections.abc.Iterator[bytes]:
    # A truncated answer with a clean end looks whole to the caller. A
    # stream of events gets an error event first; then the connection ends
    # without the closing chunk, which every HTTP client reports.
    if run.work.call.stream:
        event = json.dumps(describe_refusal(refusal))
        yield f"data: {event}\n\n".encode()
    logging.warning("%s answer cut: %s.", LOG, refusal.code.name)
    raise StreamCutError(refusal.code.name)


def make_server(
    address: str, port: int, application: Application
) -> pywsgi.WSGIServer:
    """Return a server for callers; ``start`` makes it listen."""
    server = pywsgi.WSGIServer((address, port), application, log=None)
    server.init_socket()
    # Accepted sockets take this over from the listening one. Without it a
    # small write waits for the acknowledgement of the one before, which a
    # caller may hold back for 40 ms: each token would come that late.
    server.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return server
