"""Tickets and the identity of requests.

A ticket names the incarnation that issued it. Only that incarnation may
start requests under it, so a repeat at any entry either joins the first run
or is told that its outcome is unknown. No state is stored outside of the
process: a ticket is invalid once its incarnation ends.
docs/design/identity.md discusses the alternatives.
"""

import dataclasses
import secrets

import result

from citronport import errors
from citronport.callers import const


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ticket:
    """Names the home instance of requests that a caller sends with it.

    Attributes:
        instance: name of the home.
        incarnation: unique for each start of the home's process.
        issued: seconds after the home's start.
    """

    instance: str
    incarnation: str
    issued: int

    def __str__(self) -> str:
        """Return the form for a header or a path."""
        return f"{self.instance}.{self.incarnation}.{self.issued}"


def parse_ticket(text: str) -> result.Result[Ticket, errors.Refusal]:
    """Parse a ticket from a header or a path."""
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
    """Return a unique identifier for this start of the process."""
    return secrets.token_hex(8)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """The fields by which two submissions are the same request.

    Attributes:
        entry: catalogue entry that the key belongs to.
        key: the caller's idempotency key.
        ticket: None without one; the key then applies to one instance only.
        body_hash: hash of method, path and body.
    """

    entry: str
    key: str
    ticket: Ticket | None
    body_hash: int
