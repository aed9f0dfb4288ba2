"""Tests of the records of keyed requests: each starts at most once."""

import collections

import hypothesis
from hypothesis import strategies
import result
import testtools

from citronport import clock
from citronport import errors
from citronport import runs
from citronport.callers import const
from citronport.callers import idempotency
from citronport.callers import tickets
from citronport.endpoints import messages
from tests import samples

NAMES = ("entry-1", "entry-2")
KINDS = strategies.sampled_from(
    ("send", "repeat", "repeat", "arrive", "end", "wait", "restart")
)


def make_work(identity=None, *, idempotent=True):
    """Return work in which only the identity matters."""
    return samples.make_work(
        seconds=1e9, identity=identity, idempotent=idempotent
    )


def refuse(run, code):
    """End a run with a refusal."""
    run.deliver(messages.Refused(refusal=errors.Refusal(code=code)))


class Instance:
    """The records of one instance."""

    def __init__(self, name, ticker, **bounds):
        self.ticker = ticker
        incarnation = tickets.make_incarnation()
        self.records = idempotency.RequestRecords(
            name, incarnation, ticker.now(), **bounds
        )

    def submit(self, identity, **options):
        """Return the decision, or the run if one is started and added."""
        decision = self.records.decide(identity, self.ticker.now())
        if decision != result.Ok(idempotency.StartRun()):
            return decision
        run = runs.Run(
            make_work(identity, **options),
            lambda run: None,
            repeatable=True,
            on_ended=lambda run: self.records.record_end(
                run, self.ticker.now()
            ),
        )
        self.records.add(identity, run)
        return run


class Simulation:
    """Two entries, their callers and the copies forwarded between them."""

    def __init__(self):
        self.ticker = clock.ManualClock()
        self.instances = {}
        self.in_transit = []
        self.sent = []
        self.started = collections.defaultdict(list)
        for name in NAMES:
            self.restart(name)

    def step(self, kind, number):
        """Run one step; the number selects its parameters."""
        name = NAMES[number % 2]
        match kind:
            case "send":
                ticket = self.instances[name].records.issue_ticket(
                    self.ticker.now()
                )
                identity = tickets.Identity(
                    entry="entry", key="key", ticket=ticket, body_hash=1
                )
                self.sent.append(identity)
                self.submit(NAMES[number // 2 % 2], identity)
            case "repeat" if self.sent:
                identity = self.sent[-1 - number // 2 % len(self.sent)]
                self.submit(name, identity)
            case "arrive" if self.in_transit:
                self.submit(
                    *self.in_transit.pop(number % len(self.in_transit))
                )
            case "end":
                self.end(number)
            case "restart":
                self.restart(name)
            case "wait":
                self.ticker.advance((1, 99, 200, 301)[number % 4])
                for each in self.instances.values():
                    each.records.remove_expired(self.ticker.now())

    def submit(self, name, identity):
        """Submit a copy to an entry; record a run that it starts."""
        outcome = self.instances[name].submit(identity)
        match outcome:
            case runs.Run():
                self.started[identity].append(outcome)
            case result.Ok(idempotency.ForwardToHome(instance=instance)):
                self.in_transit.append((instance, identity))

    def end(self, number):
        """End a run as complete, not run or with an unknown outcome."""
        live = [r for rs in self.started.values() for r in rs if not r.ended]
        if not live:
            return
        run = live[number % len(live)]
        match number % 3:
            case 0:
                run.deliver(messages.Finished(size=0))
            case 1:
                refuse(run, errors.Code.OVERLOADED)
            case 2:
                refuse(run, errors.Code.ENDPOINT_LOST)

    def restart(self, name):
        """Replace an entry with a new process."""
        self.instances[name] = Instance(name, self.ticker)


class InterleavingTest(testtools.TestCase):
    """At most one run per entry, ticket and key, in any order of events."""

    @hypothesis.settings(
        max_examples=400, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        steps=strategies.lists(
            strategies.tuples(KINDS, strategies.integers(0, 11)),
            min_size=10,
            max_size=40,
        )
    )
    def test_request_starts_once(self, steps):
        """A repeat never starts a request that may have run.

        Sends, repeats at either entry, restarts, ends and the passage of
        time occur in any order. A copy that is forwarded to its home may
        arrive at any later time, as if a process had been suspended. A
        request that was refused as "not run" may start again; otherwise the
        caller gets one response or "outcome unknown".
        """
        simulation = Simulation()
        for kind, number in steps:
            simulation.step(kind, number)
            for started in simulation.started.values():
                ran = sum(not run.was_not_run for run in started)
                self.assertLessEqual(ran, 1)


class RequestRecordsTest(testtools.TestCase):
    """Individual rules of the records."""

    def setUp(self):
        """Create an instance with small limits."""
        super().setUp()
        self.ticker = clock.ManualClock()
        self.instance = Instance(
            "e", self.ticker, max_records=2, answer_bytes=3000
        )

    def make_identity(self, key="key-1", *, ticket=True, body_hash=1):
        """Return an identity with a new ticket, or without one."""
        issued = self.instance.records.issue_ticket(self.ticker.now())
        return tickets.Identity(
            entry="entry",
            key=key,
            ticket=issued if ticket else None,
            body_hash=body_hash,
        )

    def assert_code(self, code, outcome):
        """Check that a submission was refused."""
        self.assertEqual(code, outcome.unwrap_err().code)

    def test_other_body_under_a_used_key(self):
        """A reused key with another body is refused."""
        self.instance.submit(self.make_identity())
        outcome = self.instance.submit(self.make_identity(body_hash=2))
        self.assert_code(errors.Code.KEY_REUSED, outcome)

    def test_ticket_from_the_future(self):
        """A ticket with a future time was never issued and starts nothing."""
        ticket = self.instance.records.issue_ticket(self.ticker.now() + 5)
        identity = tickets.Identity(
            entry="entry", key="key", ticket=ticket, body_hash=1
        )
        outcome = self.instance.submit(identity)
        self.assert_code(errors.Code.TICKET_EXPIRED, outcome)

    def test_long_run_is_joined_after_its_ticket_expired(self):
        """A repeat joins a run of 600 s until its record expires."""
        identity = self.make_identity()
        run = self.instance.submit(identity)
        self.ticker.advance(600)
        self.instance.records.remove_expired(self.ticker.now())
        joined = result.Ok(idempotency.JoinRun(run=run))
        self.assertEqual(joined, self.instance.submit(identity))
        run.deliver(messages.Finished(size=0))
        self.ticker.advance(const.RECORD_RETENTION_SECONDS)
        self.instance.records.remove_expired(self.ticker.now())
        self.assertEqual(joined, self.instance.submit(identity))
        self.ticker.advance(1)
        self.instance.records.remove_expired(self.ticker.now())
        outcome = self.instance.submit(identity)
        self.assert_code(errors.Code.TICKET_EXPIRED, outcome)

    def test_memory_is_bounded(self):
        """Old answers are dropped first; further keys are refused."""
        first = self.make_identity("key-1")
        second = self.make_identity("key-2")
        for identity in (first, second):
            run = self.instance.submit(identity)
            run.deliver(messages.Chunk(offset=0, data=b"12345678"))
            run.deliver(messages.Finished(size=8))
        self.instance.records.remove_expired(self.ticker.now())
        outcome = self.instance.submit(first)
        self.assert_code(errors.Code.ANSWER_NOT_KEPT, outcome)
        self.assertTrue(self.instance.submit(second).is_ok())
        outcome = self.instance.submit(self.make_identity("key-3"))
        self.assert_code(errors.Code.TOO_MANY_KEYS, outcome)
        self.ticker.advance(const.RECORD_RETENTION_SECONDS + 1)
        self.instance.records.remove_expired(self.ticker.now())
        self.assertEqual(0, len(self.instance.records))

    def test_abandoned_run_is_stopped_after_grace_period(self):
        """A run without readers continues for the grace period only.

        A caller that lost its connection repeats within seconds; after that
        nobody reads the response. A non-idempotent run is always finished.
        """
        run = self.instance.submit(self.make_identity())
        self.instance.submit(self.make_identity("key-2"), idempotent=False)
        inbox = run.attach()
        for _ in range(2):
            self.assertEqual(
                [], self.instance.records.remove_expired(self.ticker.now())
            )
            self.ticker.advance(const.ABANDONED_RUN_GRACE_SECONDS)
        run.detach(inbox)
        self.assertEqual(
            [], self.instance.records.remove_expired(self.ticker.now())
        )
        self.ticker.advance(const.ABANDONED_RUN_GRACE_SECONDS)
        self.assertEqual(
            [run], self.instance.records.remove_expired(self.ticker.now())
        )
