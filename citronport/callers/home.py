"""Tickets and the record of requests that this incarnation has taken.

A ticket names the incarnation that issued it. Only that incarnation may
start requests under it, so that a repeat at any entry finds the first run
or learns that its outcome is unknown. Nothing is written outside the
process: a ticket dies with its incarnation.
"""

import dataclasses
import secrets

import result

from citronport import errors
from citronport import runs
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
        """Return the form that goes into a header."""
        return f"{self.instance}.{self.incarnation}.{self.issued}"


def parse_ticket(text: str) -> result.Result[Ticket, errors.Refusal]:
    """Return the ticket of a header value."""
    parts = text.rsplit(".", 2)
    if len(parts) != 3 or not all(parts) or not parts[2].isdecimal():
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
        ticket: ticket text, empty without one.
        body_hash: hash of method, path and body.
    """

    entry: str
    key: str
    ticket: str
    body_hash: int


@dataclasses.dataclass(kw_only=True)
class _Record:
    body_hash: int
    run: runs.Run
    expires: float


class Home:
    """Remembers each keyed request for as long as a repeat can be taken."""

    def __init__(self, instance: str, incarnation: str, now: float) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._started = now
        self._records: dict[tuple[str, str, str], _Record] = {}

    def issue(self, now: float) -> Ticket:
        """Return a ticket for requests that are to start here."""
        return Ticket(
            instance=self.instance,
            incarnation=self.incarnation,
            issued=int(now - self._started),
        )

    def check(self, ticket: Ticket, now: float) -> errors.Refusal | None:
        """Return why a request may not start under a ticket, if so."""
        if ticket.incarnation != self.incarnation:
            return errors.Refusal(code=errors.Code.HOME_GONE)
        age = now - self._started - ticket.issued
        # A record is kept for two lifetimes. Past the first one no
        # request starts under the ticket any more, so that a record can
        # be dropped without a repeat running a second time.
        if age > const.TICKET_LIFETIME_SECONDS:
            return errors.Refusal(code=errors.Code.TICKET_EXPIRED)
        return None

    def find(
        self, identity: Identity, now: float
    ) -> result.Result[runs.Run | None, errors.Refusal]:
        """Return the earlier run of a request, None if there is none."""
        self._expire(now)
        record = self._records.get(
            (identity.entry, identity.ticket, identity.key)
        )
        if record is None:
            return result.Ok(None)
        if record.body_hash != identity.body_hash:
            return result.Err(errors.Refusal(code=errors.Code.KEY_REUSED))
        return result.Ok(record.run)

    def add(self, identity: Identity, run: runs.Run, now: float) -> None:
        """Remember a run; it is found until no repeat can come."""
        key = (identity.entry, identity.ticket, identity.key)
        self._records[key] = _Record(
            body_hash=identity.body_hash,
            run=run,
            expires=now + 2 * const.TICKET_LIFETIME_SECONDS,
        )

    def _expire(self, now: float) -> None:
        # Records are in order of their expiry, so that each call looks
        # only at those it drops.
        while self._records:
            first = next(iter(self._records))
            if self._records[first].expires > now:
                return
            del self._records[first]
