"""Callers of a scenario and the records of their requests."""

import collections.abc
import dataclasses
import itertools
import json
import time
from typing import Any

import gevent

from standins import answers
from standins import caller
from standins import engine
from standins import scenario_fleet
from standins import scenario_models as models

LOOKUP_TIMEOUT_SECONDS = 20.0
"""How long a caller retries its lookup if no instance answers."""

SLOW_LOOKUP_SECONDS = 1.0
"""Time from which on a lookup is written to the trace."""

PROBE_SECONDS = 0.1
DONE = "done"
CODE_ACCEPTED = 0
CODE_UNKNOWN_KEY = 1002


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt to send a request.

    Attributes:
        began: wall clock time at which the request was sent.
        ended: wall clock time at which the outcome was known.
        outcome: result of the attempt.
    """

    began: float
    ended: float
    outcome: caller.Outcome


@dataclasses.dataclass(kw_only=True)
class Record:
    """One request of a caller.

    Attributes:
        by: group of the request.
        tag: unique; identifies the request in the endpoints' journals.
        tier: tier of the catalogue entry.
        send: the step that the request belongs to.
        expected: text of the complete answer.
        attempts: in order of sending.
        doing: what its caller does now, for the trace.
    """

    by: str
    tag: str
    tier: int
    send: models.Send
    expected: str
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    doing: str = "nothing yet"

    @property
    def last(self) -> caller.Outcome:
        """The outcome of the last attempt."""
        return self.attempts[-1].outcome


@dataclasses.dataclass(frozen=True, kw_only=True)
class Probe:
    """Whether an instance accepted an entry's key at some time."""

    time: float
    instance: str
    accepted: bool


class Callers:
    """Sends the requests of a scenario and records all outcomes.

    Args:
        fleet: the fleet to send to.
        write_trace: called with a line for each outcome other than a
            complete answer in time, and for each slow lookup.
    """

    def __init__(
        self,
        fleet: scenario_fleet.ProxiedFleet,
        write_trace: collections.abc.Callable[[str], None],
    ) -> None:
        self.records: list[Record] = []
        self.probes: dict[str, list[Probe]] = {}
        self._fleet = fleet
        self._write_trace = write_trace
        self._tasks: dict[str, list[gevent.Greenlet]] = {}
        self._numbers = itertools.count(1)

    def send(self, send: models.Send) -> None:
        """Start sending a group of requests."""
        name = send.entry or self._fleet.layout.entries[0]["name"]
        entry = next(e for e in self._fleet.entries if e["name"] == name)
        tasks = self._tasks.setdefault(send.by, [])
        for number in range(send.count):
            record = self._make_record(send, entry)
            self.records.append(record)
            tasks.append(
                gevent.spawn_later(
                    number * send.every,
                    self._run,
                    record,
                    entry["key"],
                    number,
                )
            )
        if send.wait:
            self.wait(send.by, send.deadline + LOOKUP_TIMEOUT_SECONDS)

    def wait(self, by: str, seconds: float) -> bool:
        """Wait for all outcomes of a group; return whether all are there."""
        tasks = self._tasks.get(by, [])
        gevent.joinall(tasks, timeout=seconds)
        return all(task.ready() for task in tasks)

    def describe_pending(self, by: str) -> str:
        """Return what the callers of a group do that are not done yet."""
        return "; ".join(
            f"{record.tag.lstrip('.')}: {record.doing}"
            for record in self.records
            if record.by == by and record.doing != DONE
        )

    def get_records(self, by: str) -> list[Record]:
        """Return the requests of a group with at least one outcome."""
        return [r for r in self.records if r.by == by and r.attempts]

    def probe(self, entry: str) -> None:
        """Look up with an entry's key at each instance repeatedly."""
        self.probes[entry] = []
        self._tasks[f"probe {entry}"] = [
            gevent.spawn(self._probe, entry, instance["name"])
            for instance in self._fleet.instances
        ]

    def _probe(self, entry: str, instance: str) -> None:
        address = self._fleet.get_address(instance)
        while True:
            gevent.sleep(PROBE_SECONDS)
            known = [e for e in self._fleet.entries if e["name"] == entry]
            if not known:
                continue
            began = time.time()
            code = caller.look_up_code(address, known[0]["key"])
            if code in (CODE_ACCEPTED, CODE_UNKNOWN_KEY):
                probe = Probe(
                    time=began,
                    instance=instance,
                    accepted=code == CODE_ACCEPTED,
                )
                self.probes[entry].append(probe)

    def accepts_key(self, entry: str, instance: str) -> bool:
        """Return whether an instance accepts an entry's key."""
        key = next(e["key"] for e in self._fleet.entries if e["name"] == entry)
        try:
            caller.look_up(self._fleet.get_address(instance), key)
        except OSError:
            return False
        return True

    def stop(self) -> None:
        """Kill the tasks of all callers."""
        for tasks in self._tasks.values():
            gevent.killall(tasks, block=False)

    def _make_record(self, send: models.Send, entry: dict[str, Any]) -> Record:
        tag = f"{send.by[:16]}-{next(self._numbers):05d}".rjust(
            engine.PROMPT_TAG_CHARS, "."
        )
        if send.service:
            body = json.dumps({"tag": tag}).encode()
            expected = answers.make_receipt(body)
        else:
            expected = caller.make_expected(_make_body(send, tag))
        return Record(
            by=send.by,
            tag=tag,
            tier=entry["class"],
            send=send,
            expected=expected,
        )

    def _run(self, record: Record, key: str, number: int) -> None:
        send = record.send
        began = time.time()
        record.doing = f"looking up since {began:.3f}"
        addresses, ticket = self._find_entries(send, key)
        if time.time() - began > SLOW_LOOKUP_SECONDS:
            self._write_trace(
                f"lookup of {record.tag.lstrip('.')} began at {began:.3f}"
            )
        headers = _make_headers(record, ticket)
        first = 0 if send.at else number
        for attempt in range(send.repeats + 1):
            address = addresses[(first + attempt) % len(addresses)]
            outcome = self._send_once(record, key, address, headers)
            if attempt == send.repeats or not _should_repeat(send, outcome):
                break
            record.doing = f"waiting to repeat after {outcome.code}"
            gevent.sleep(outcome.retry_after or 0.1)
        record.doing = DONE

    def _send_once(
        self, record: Record, key: str, address: str, headers: dict[str, str]
    ) -> caller.Outcome:
        send = record.send
        path = "/v1/chat/completions"
        body = _make_body(send, record.tag)
        if send.service:
            path = f"/services/{send.to}/call"
            body = {"tag": record.tag}
        began = time.time()
        record.doing = f"sent to {address} at {began:.3f}"
        outcome = caller.send(
            address,
            key,
            path,
            body,
            deadline=send.deadline,
            headers=headers,
            method=send.method,
        )
        record.attempts.append(
            Attempt(began=began, ended=time.time(), outcome=outcome)
        )
        if not outcome.whole or outcome.seconds > send.deadline:
            self._write_trace(
                f"outcome {record.tag.lstrip('.')} at {address}: "
                f"status {outcome.status} code {outcome.code} "
                f"{outcome.ran or 'no refusal'}, "
                f"{len(outcome.text)} of {len(record.expected)} characters, "
                f"{outcome.seconds:.3f} s"
            )
        return outcome

    def _find_entries(
        self, send: models.Send, key: str
    ) -> tuple[list[str], str]:
        names = [i["name"] for i in self._fleet.instances]
        asked = [send.at] if send.at else names
        end = time.monotonic() + LOOKUP_TIMEOUT_SECONDS
        for name in itertools.cycle(asked):
            address = self._fleet.get_address(name)
            try:
                found = caller.look_up(address, key)
            except OSError:
                if time.monotonic() > end:
                    return [address], ""
                gevent.sleep(0.05)
                continue
            others = [a for a in found.addresses if a != address]
            if send.at:
                return [address, *others], found.ticket
            return list(found.addresses) or [address], found.ticket
        raise AssertionError("unreachable: the instances are cycled for ever")


def _make_body(send: models.Send, tag: str) -> dict[str, Any]:
    filler = "die history " * (send.prompt_chars // 12 + 1)
    prompt = filler[: max(0, send.prompt_chars - len(tag))] + tag
    return caller.make_chat(send.to, prompt, send.tokens, stream=send.stream)


def _make_headers(record: Record, ticket: str) -> dict[str, str]:
    headers = {}
    if record.send.keyed:
        headers["Idempotency-Key"] = record.tag.lstrip(".")
        headers["X-Citronport-Ticket"] = ticket
    if not record.send.idempotent:
        headers["X-Non-Idempotent"] = "true"
    return headers


def _should_repeat(send: models.Send, outcome: caller.Outcome) -> bool:
    if outcome.whole:
        return False
    return send.keyed or outcome.ran in ("not run", "not sent")
