"""The record of keyed requests that this incarnation has taken.

Pure: no socket, no task; the time is handed in. ``deduplication`` acts on
what is decided here.
"""

import collections
import dataclasses
import hashlib

import result

from citronport import errors
from citronport import runs
from citronport.callers import const
from citronport.callers import tickets


@dataclasses.dataclass(frozen=True, kw_only=True)
class JoinRun:
    """The request has a run; read that run's answer from its start."""

    run: runs.Run


@dataclasses.dataclass(frozen=True, kw_only=True)
class StartRun:
    """The request has no run; start one here and add it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardToHome:
    """Another instance holds the record of this request."""

    instance: str


Decision = JoinRun | StartRun | ForwardToHome


@dataclasses.dataclass(kw_only=True, slots=True)
class _Record:
    # Kept small: there may be tens of thousands.
    body_hash: int
    issued: int | None
    run: runs.Run | None
    ended: float | None = None
    unread_since: float | None = None


class RequestRecords:
    """Remembers each keyed request for as long as a repeat can be taken.

    Args:
        instance: name of this instance.
        incarnation: of this process.
        started: clock time of its start, seconds.
        max_records: see ``const.MAX_RECORDS``.
        answer_bytes: see ``const.ANSWER_BUDGET_BYTES``.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        started: float,
        *,
        max_records: int = const.MAX_RECORDS,
        answer_bytes: int = const.ANSWER_BUDGET_BYTES,
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self._started = started
        self._max_records = max_records
        self._answer_bytes = answer_bytes
        self._running: dict[bytes, _Record] = {}
        self._ended: dict[bytes, _Record] = {}
        self._kept_answers: collections.deque[_Record] = collections.deque()
        self._ended_bytes = 0

    def issue_ticket(self, now: float) -> tickets.Ticket:
        """Return a ticket for requests that are to start here."""
        return tickets.Ticket(
            instance=self.instance,
            incarnation=self.incarnation,
            issued=int(now - self._started),
        )

    def decide(
        self, identity: tickets.Identity, now: float
    ) -> result.Result[Decision, errors.Refusal]:
        """Decide what becomes of a keyed submission.

        Args:
            identity: of the submission.
            now: clock time, seconds.

        Returns:
            What to do, or why the request can neither start nor be joined.
        """
        ticket = identity.ticket
        if ticket is not None and ticket.instance != self.instance:
            return result.Ok(ForwardToHome(instance=ticket.instance))
        # The records of an earlier incarnation died with it: the request
        # may have run, so that it may not start again here.
        if ticket is not None and ticket.incarnation != self.incarnation:
            return result.Err(errors.Refusal(code=errors.Code.HOME_GONE))
        key = _make_key(identity)
        record = self._running.get(key) or self._ended.get(key)
        if record is not None:
            return _join_run(record, identity)
        if ticket is not None and not self._is_ticket_valid(
            ticket.issued, now
        ):
            return result.Err(errors.Refusal(code=errors.Code.TICKET_EXPIRED))
        # Load: more keyed requests than the sizes this is made for. Harm:
        # memory without bound; dropping a record early would let a repeat
        # run twice, so that new requests wait instead.
        if len(self._running) + len(self._ended) >= self._max_records:
            return result.Err(
                errors.Refusal(
                    code=errors.Code.TOO_MANY_KEYS,
                    retry_after=const.RECORDS_FULL_RETRY_SECONDS,
                )
            )
        return result.Ok(StartRun())

    def add(self, identity: tickets.Identity, run: runs.Run) -> None:
        """Remember a run that was started after ``Start``."""
        ticket = identity.ticket
        self._running[_make_key(identity)] = _Record(
            body_hash=identity.body_hash,
            issued=ticket.issued if ticket else None,
            run=run,
        )

    def record_end(self, run: runs.Run, now: float) -> None:
        """Note that a run has come to its end."""
        assert run.work.identity is not None
        key = _make_key(run.work.identity)
        record = self._running.get(key)
        if record is None or record.run is not run:
            return
        del self._running[key]
        # A run that was refused as "not run" is no obstacle to the next
        # one: the caller was told that it may send the request again.
        if run.was_not_run:
            return
        run.forget_body()
        record.ended = now
        self._ended[key] = record
        self._kept_answers.append(record)
        self._ended_bytes += _count_bytes(record)

    def remove_expired(self, now: float) -> list[runs.Run]:
        """Drop what no repeat can need; return runs to give up.

        Meant to be called about once a second.
        """
        self._expire(now)
        self._trim_answers()
        return [
            record.run
            for record in self._running.values()
            if record.run and _is_abandoned(record, now)
        ]

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._running) + len(self._ended)

    def _is_ticket_valid(self, issued: int, now: float) -> bool:
        # A ticket from the future was not issued here; its record would
        # be dropped while it could still start requests.
        age = now - self._started - issued
        return 0 <= age <= const.TICKET_LIFETIME_SECONDS

    def _expire(self, now: float) -> None:
        # Records stand in the order of their end, so that each call looks
        # only at those it drops.
        while self._ended:
            key = next(iter(self._ended))
            if not self._is_expired(self._ended[key], now):
                return
            self._drop_answer(self._ended.pop(key))

    def _is_expired(self, record: _Record, now: float) -> bool:
        assert record.ended is not None
        if now - record.ended <= const.RECORD_RETENTION_SECONDS:
            return False
        # The rule that keeps a request from starting twice: a record
        # outlives its ticket, by the same test that lets one start.
        issued = record.issued
        return issued is None or not self._is_ticket_valid(issued, now)

    def _trim_answers(self) -> None:
        # Oldest ends go first, since a repeat mostly comes within seconds;
        # answers in progress only if nothing else is left.
        while self._kept_answers and self._kept_answers[0].run is None:
            self._kept_answers.popleft()
        growing = sum(map(_count_bytes, self._running.values()))
        while self._kept_answers and self._is_over_budget(growing):
            self._drop_answer(self._kept_answers.popleft())
        for record in self._running.values():
            if not self._is_over_budget(growing) or record.run is None:
                return
            growing -= _count_bytes(record)
            record.run.forget_answer()

    def _is_over_budget(self, growing: int) -> bool:
        return self._ended_bytes + growing > self._answer_bytes

    def _drop_answer(self, record: _Record) -> None:
        self._ended_bytes -= _count_bytes(record)
        record.run = None


def _count_bytes(record: _Record) -> int:
    if record.run is None:
        return 0
    return const.RUN_OVERHEAD_BYTES + record.run.kept_bytes


def _join_run(
    record: _Record, identity: tickets.Identity
) -> result.Result[Decision, errors.Refusal]:
    if record.body_hash != identity.body_hash:
        return result.Err(errors.Refusal(code=errors.Code.KEY_REUSED))
    if record.run is None or not record.run.answer_kept:
        return result.Err(errors.Refusal(code=errors.Code.ANSWER_NOT_KEPT))
    return result.Ok(JoinRun(run=record.run))


def _is_abandoned(record: _Record, now: float) -> bool:
    # A caller whose link broke repeats within seconds, so that its run
    # goes on for a while; after that the work is for nobody. What may run
    # only once is finished: stopped half-way it could not be repeated.
    run = record.run
    if run is None or run.has_readers or not run.work.request.idempotent:
        record.unread_since = None
        return False
    if record.unread_since is None:
        record.unread_since = now
    return now - record.unread_since >= const.ABANDONED_RUN_GRACE_SECONDS


def _make_key(identity: tickets.Identity) -> bytes:
    # A hash that callers can't make collide: a collision would give one
    # owner the answer of another.
    names = (identity.entry, str(identity.ticket or ""), identity.key)
    text = "\n".join(names).encode()
    return hashlib.blake2b(text, digest_size=16).digest()
