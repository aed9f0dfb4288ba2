"""Reads the target and the headers of a request."""

import dataclasses
from typing import Any

import result

from citronport import const as common
from citronport import errors
from citronport.callers import const
from citronport.callers import tickets

Environ = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """The target of a request.

    Attributes:
        path: path and query as received, without a ticket prefix.
        ticket: the ticket from the path prefix, empty without one.
    """

    path: str
    ticket: str

    @property
    def name(self) -> str:
        """The path without its query."""
        return self.path.partition("?")[0]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestHeaders:
    """The headers that control how a request is run.

    Attributes:
        timeout: seconds until the deadline.
        key: the caller's idempotency key, empty without one.
        ticket: None without one.
        idempotent: False if it may run at most once.
    """

    timeout: float
    key: str
    ticket: tickets.Ticket | None
    idempotent: bool


def read_target(environ: Environ) -> Target:
    """Return the target of a request as received in the request line.

    The decoded path of WSGI may contain line breaks, which would end up in
    the request to the endpoint.
    """
    raw = environ[const.ENVIRON_TARGET]
    if not raw.startswith(const.PREFIX_TICKET):
        return Target(path=raw, ticket="")
    ticket, _, rest = raw.removeprefix(const.PREFIX_TICKET).partition("/")
    return Target(path=f"/{rest}", ticket=ticket)


def parse_headers(
    environ: Environ, target: Target
) -> result.Result[RequestHeaders, errors.Refusal]:
    """Parse the headers of a request; the refusal names an invalid one."""
    seconds = _read_deadline(environ)
    if seconds is None:
        return result.Err(_refuse_header(common.HEADER_DEADLINE))
    key = get_header(environ, common.HEADER_IDEMPOTENCY_KEY)
    if len(key) > const.MAX_KEY_CHARS:
        return result.Err(_refuse_header(common.HEADER_IDEMPOTENCY_KEY))
    match _read_ticket(environ, target):
        case result.Err(refusal):
            return result.Err(refusal)
        case result.Ok(ticket):
            pass
    flag = get_header(environ, common.HEADER_NON_IDEMPOTENT)
    if flag.lower() not in const.FLAG_VALUES:
        return result.Err(_refuse_header(common.HEADER_NON_IDEMPOTENT))
    idempotent = not const.FLAG_VALUES[flag.lower()]
    # Without a ticket, a repeat at another entry or at the next incarnation
    # of this one could not be distinguished from a new request.
    if not idempotent and not (key and ticket):
        return result.Err(errors.Refusal(code=errors.Code.TICKET_NEEDED))
    return result.Ok(
        RequestHeaders(
            timeout=seconds, key=key, ticket=ticket, idempotent=idempotent
        )
    )


def get_header(environ: Environ, name: str) -> str:
    """Return the value of a header, empty if it is missing."""
    return environ.get("HTTP_" + name.upper().replace("-", "_"), "").strip()


def _read_ticket(
    environ: Environ, target: Target
) -> result.Result[tickets.Ticket | None, errors.Refusal]:
    text = get_header(environ, common.HEADER_TICKET)
    if text and target.ticket and text != target.ticket:
        return result.Err(_refuse_header(common.HEADER_TICKET))
    text = text or target.ticket
    if not text:
        return result.Ok(None)
    return tickets.parse_ticket(text)


def _read_deadline(environ: Environ) -> float | None:
    text = get_header(environ, common.HEADER_DEADLINE)
    if not text:
        return common.DEFAULT_DEADLINE_SECONDS
    try:
        seconds = float(text)
    except ValueError:
        return None
    if not 0 < seconds <= common.MAX_DEADLINE_SECONDS:
        return None
    return seconds


def _refuse_header(name: str) -> errors.Refusal:
    return errors.Refusal(code=errors.Code.BAD_HEADER, detail=name)
