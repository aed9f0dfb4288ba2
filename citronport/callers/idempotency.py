"""Records of the keyed requests that this incarnation has accepted.

Contains no I/O and no tasks; the time is passed in. ``deduplication``
carries out the decisions.
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
    """The request has a run; read its response from the start."""

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
    # Kept small, since there may be tens of thousands of records.
    body_hash: int
    issued: int | None
    run: runs.Run | None
    ended: float | None = None
    unread_since: float | None = None


class RequestRecords:
    """Keeps a record of each keyed request while repeats are possible.

    Args:
        instance: name of this instance.
        incarnation: incarnation of this process.
        started: clock time of the process start, seconds.
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
        """Return a ticket for requests whose home is this instance."""
        return tickets.Ticket(
            instance=self.instance,
            incarnation=self.incarnation,
            issued=int(now - self._started),
        )

    def decide(
        self, identity: tickets.Identity, now: float
    ) -> result.Result[Decision, errors.Refusal]:
        """Decide how to handle a keyed submission.

        Args:
            identity: identity of the submission.
            now: clock time, seconds.

        Returns:
            The decision, or a refusal if the request can neither start nor
            join a run.
        """
        ticket = identity.ticket
        if ticket is not None and ticket.instance != self.instance:
            return result.Ok(ForwardToHome(instance=ticket.instance))
        # The records of an earlier incarnation are lost. The request may
        # have run, so it must not be started again.
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
        # The limit bounds the memory under more keyed requests than the
        # process is sized for. Dropping a record early would allow a repeat
        # to run twice, so new requests are refused instead.
        if len(self._running) + len(self._ended) >= self._max_records:
            return result.Err(
                errors.Refusal(
                    code=errors.Code.TOO_MANY_KEYS,
                    retry_after=const.RECORDS_FULL_RETRY_SECONDS,
                )
            )
        return result.Ok(StartRun())

    def add(self, identity: tickets.Identity, run: runs.Run) -> None:
        """Add the record of a run that was started after ``StartRun``."""
        ticket = identity.ticket
        self._running[_make_key(identity)] = _Record(
            body_hash=identity.body_hash,
            issued=ticket.issued if ticket else None,
            run=run,
        )

    def record_end(self, run: runs.Run, now: float) -> None:
        """Record that a run has ended."""
        assert run.work.identity is not None
        key = _make_key(run.work.identity)
        record = self._running.get(key)
        if record is None or record.run is not run:
            return
        del self._running[key]
        # A request that was refused as "not run" may run again: the caller
        # was told that it may repeat it.
        if run.was_not_run:
            return
        run.release_body()
        record.ended = now
        self._ended[key] = record
        self._kept_answers.append(record)
        self._ended_bytes += _count_bytes(record)

    def remove_expired(self, now: float) -> list[runs.Run]:
        """Drop expired records and answers; return abandoned runs to stop.

        Meant to be called about once per second.
        """
        self._remove_expired_records(now)
        self._enforce_answer_budget()
        return [
            record.run
            for record in self._running.values()
            if record.run and _is_abandoned(record, now)
        ]

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._running) + len(self._ended)

    def _is_ticket_valid(self, issued: int, now: float) -> bool:
        # A ticket with a future time was not issued here; its record would
        # be dropped while the ticket could still start requests.
        age = now - self._started - issued
        return 0 <= age <= const.TICKET_LIFETIME_SECONDS

    def _remove_expired_records(self, now: float) -> None:
        # Records are ordered by the end of their run, so each call visits
        # only those that it drops.
        while self._ended:
            key = next(iter(self._ended))
            if not self._is_expired(self._ended[key], now):
                return
            self._drop_answer(self._ended.pop(key))

    def _is_expired(self, record: _Record, now: float) -> bool:
        assert record.ended is not None
        if now - record.ended <= const.RECORD_RETENTION_SECONDS:
            return False
        # A record must outlive its ticket, otherwise a request could start
        # twice. Both use the same validity check.
        issued = record.issued
        return issued is None or not self._is_ticket_valid(issued, now)

    def _enforce_answer_budget(self) -> None:
        # Answers that ended first are dropped first, since repeats mostly
        # arrive within seconds; answers in progress are dropped last.
        while self._kept_answers and self._kept_answers[0].run is None:
            self._kept_answers.popleft()
        running_bytes = sum(map(_count_bytes, self._running.values()))
        while self._kept_answers and self._is_over_budget(running_bytes):
            self._drop_answer(self._kept_answers.popleft())
        for record in self._running.values():
            if not self._is_over_budget(running_bytes) or record.run is None:
                return
            running_bytes -= _count_bytes(record)
            record.run.release_answer()

    def _is_over_budget(self, running_bytes: int) -> bool:
        return self._ended_bytes + running_bytes > self._answer_bytes

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
    # A caller that lost its connection repeats within seconds, so its run
    # continues for a grace period. A non-idempotent run is always finished,
    # since it could not be repeated after being stopped halfway.
    run = record.run
    if run is None or run.has_readers or not run.work.request.idempotent:
        record.unread_since = None
        return False
    if record.unread_since is None:
        record.unread_since = now
    return now - record.unread_since >= const.ABANDONED_RUN_GRACE_SECONDS


def _make_key(identity: tickets.Identity) -> bytes:
    # A cryptographic hash, so that callers cannot provoke collisions: a
    # collision would give one caller the response of another.
    names = (identity.entry, str(identity.ticket or ""), identity.key)
    text = "\n".join(names).encode()
    return hashlib.blake2b(text, digest_size=16).digest()
