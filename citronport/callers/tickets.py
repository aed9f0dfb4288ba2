"""Tickets and what makes two submissions the same request.

A ticket names the incarnation that issued it. Only that incarnation may
start requests under it, so that a repeat at any entry finds the first run
or learns that its outcome is unknown. Nothing is written outside the
process: a ticket dies with its incarnation. docs/design/identity.md weighs
the other ways.
"""

import dataclasses
import secrets

import result

from citronport import errors
from citronport.callers import const


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """Names the home of the requests that a caller sends under it.

    Attributes:
        instance: name of the home.
        incarnation: unique for each start of the home's process.
        issued: seconds after the home's start.
    """

    instance: str
    incarnation: str
    issued: int

    def __str__(self) -> str:
        """Return the form that goes into a header or a path."""
        return f"{self.instance}.{self.incarnation}.{self.issued}"


def parse_ticket(text: str) -> result.Result[Ticket, errors.Refusal]:
    """Return the ticket of a header value."""
    parts = text.rsplit(".", 2)
    if (
        len(text) > const.MAX_TICKET_CHARS
        or len(parts) != 3
        or not all(parts)
        or not (parts[2].isascii() and parts[2].isdecimal())
    ):
        return result.Err(
            errors.Refusal(code=errors.Code.BAD_HEADER, detail="ticket")
        )
    return result.Ok(
        Ticket(instance=parts[0], incarnation=parts[1], issued=int(parts[2]))
    )


def make_incarnation() -> str:
    """Return a name that no other start of a process gets."""
    return secrets.token_hex(8)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """What makes two submissions the same request.

    Attributes:
        entry: catalogue entry that the key belongs to.
        key: the caller's idempotency key.
        ticket: None without one; the key then counts at one instance only.
        body_hash: hash of method, path and body.
    """

    entry: str
    key: str
    ticket: Ticket | None
    body_hash: int
