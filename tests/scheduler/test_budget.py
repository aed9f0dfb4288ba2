"""Tests of the endpoint budget, with random interleavings of events."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from citronport import errors
from citronport.scheduler import budget
from citronport.scheduler import core
from citronport.scheduler import models

PROFILE = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
)
SPEC = models.Endpoint(
    name="engine-1",
    kind=models.Kind.ENGINE,
    models=("floor",),
    data_centre="dc-1",
    address="127.0.0.1:1",
    concurrency=6,
    cold_concurrency=2,
    cold_prompt_tokens=1000,
)
FLEET = models.Fleet(
    version=1,
    data_centres={"dc-1": models.Service.IN},
    endpoints={SPEC.name: SPEC},
    entries={},
)


class EndpointOwnersMachine(stateful.RuleBasedStateMachine):
    """Model of one endpoint and two instances that may own it.

    The endpoint restarts cold at any time, its reports are delayed, and its
    ownership moves between the instances, always after the earlier owner
    has lost it. The endpoint must never exceed its cold-start capacity or
    receive a request twice.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.schedulers = {n: core.Scheduler(n) for n in ("a", "b")}
        self.owner = "a"
        self.cold = True
        self.in_progress = {}
        self.tokens = {}
        self.reports = []
        self.received = set()
        self.refused = set()
        self.count = 0
        for name in self.schedulers:
            self.deliver(name, models.FleetChanged(fleet=FLEET))
            self.deliver(name, models.EndpointConnected(endpoint="engine-1"))
        self.assign("a")

    def deliver(self, name, event):
        """Pass an event to a scheduler and carry out its actions."""
        for action in self.schedulers[name].handle(event, self.now):
            match action:
                case models.Dispatch():
                    self.receive(name, action.request_id)
                case models.Refuse():
                    assert action.request_id not in self.refused
                    self.refused.add(action.request_id)

    def receive(self, name, request_id):
        """Receive a request at the endpoint and check its capacity."""
        assert name == self.owner, "only the owner sends"
        assert request_id not in self.received, "sent twice"
        assert request_id not in self.refused, "sent after its answer"
        self.received.add(request_id)
        self.in_progress[request_id] = (name, self.tokens[request_id])
        if self.cold:
            assert len(self.in_progress) <= SPEC.cold_concurrency
            total = sum(tokens for _, tokens in self.in_progress.values())
            assert total <= SPEC.cold_prompt_tokens

    def assign(self, owner):
        """Make an instance the owner of the endpoint."""
        self.owner = owner
        owners = {"engine-1": owner}
        for name in sorted(self.schedulers, key=lambda n: n == owner):
            owned = frozenset(owners) if name == owner else frozenset()
            self.deliver(
                name, models.OwnershipChanged(owned=owned, owners=owners)
            )

    @stateful.rule(tokens=strategies.integers(1, 1500))
    def send(self, tokens):
        """Send a new request to the owner."""
        self.count += 1
        name = f"r{self.count}"
        self.tokens[name] = tokens
        request = models.Request(
            request_id=name,
            entry="any",
            workspace="ws-1",
            tier=self.count % 4,
            model="floor",
            prompt_tokens=tokens,
            max_tokens=10,
            deadline=self.now + 1000.0,
        )
        self.deliver(
            self.owner, models.RequestArrived(request=request, forwarded=True)
        )

    @stateful.rule()
    def finish(self):
        """Finish the oldest request in progress and report it."""
        if self.in_progress:
            request_id = next(iter(self.in_progress))
            name, _ = self.in_progress.pop(request_id)
            self.deliver(name, models.FirstToken(request_id=request_id))
            self.deliver(name, models.AnswerFinished(request_id=request_id))

    @stateful.rule()
    def cut_connection(self):
        """Break a connection while the endpoint keeps working on it."""
        if self.in_progress:
            request_id, (name, _) = next(iter(self.in_progress.items()))
            code = errors.Code.ENDPOINT_LOST
            self.deliver(
                name,
                models.DispatchFailed(
                    request_id=request_id, sent=True, code=code
                ),
            )

    @stateful.rule()
    def end_abandoned_request(self):
        """Finish one request at the endpoint whose sender has given up."""
        for request_id in list(self.in_progress):
            if request_id in self.refused:
                del self.in_progress[request_id]
                return

    @stateful.rule()
    def restart(self):
        """Restart the endpoint, cold and empty; all connections break."""
        self.cold = True
        held, self.in_progress = self.in_progress, {}
        for name in self.schedulers:
            self.deliver(name, models.EndpointLost(endpoint="engine-1"))
        for request_id, (name, _) in held.items():
            if request_id not in self.refused:
                self.deliver(
                    name,
                    models.DispatchFailed(request_id=request_id, sent=True),
                )
        self.now += 0.1
        for name in self.schedulers:
            self.deliver(name, models.EndpointConnected(endpoint="engine-1"))

    @stateful.rule()
    def warm_up(self):
        """End the cold start."""
        self.cold = False

    @stateful.rule()
    def make_report(self):
        """Make a report that has not arrived yet."""
        self.now += 0.1
        self.reports.append((self.now, len(self.in_progress), self.cold))

    @stateful.rule(lag=strategies.floats(0.01, 5.0))
    def apply_oldest_report(self, lag):
        """Deliver the oldest report, with a delay."""
        if not self.reports:
            return
        made, running, cold = self.reports.pop(0)
        self.now = max(self.now, made + lag)
        report = models.LoadReport(
            running=running, queued=0, cold=cold, age=self.now - made
        )
        for name in self.schedulers:
            self.deliver(
                name,
                models.EndpointReported(endpoint="engine-1", report=report),
            )

    @stateful.rule()
    def change_owner(self):
        """Move the ownership to the other instance."""
        self.now += 0.1
        self.assign("b" if self.owner == "a" else "a")

    @stateful.rule(seconds=strategies.floats(0.01, 3.0))
    def pass_time(self, seconds):
        """Advance the time."""
        self.now += seconds
        for name in self.schedulers:
            self.deliver(name, models.TimePassed())


EndpointOwnersMachine.TestCase.settings = PROFILE


class BudgetMachineTest(EndpointOwnersMachine.TestCase):
    """Runs the state machine."""


class WarmEvidenceTest(testtools.TestCase):
    """Tests of which reports count as evidence of warmth."""

    def setUp(self):
        """Take over an endpoint and connect to it."""
        super().setUp()
        self.state = budget.make_state(SPEC, 0.0)
        budget.record_connection(self.state, 1.0)

    def report(self, now, age, *, cold=False, running=0):
        """Apply a load report."""
        report = models.LoadReport(
            running=running, queued=0, cold=cold, age=age
        )
        budget.apply_report(self.state, report, now)

    def test_report_made_before_start_is_ignored(self):
        """A delayed "warm" of an earlier start must not mark it warm."""
        self.report(2.0, age=1.5)
        self.assertFalse(self.state.warm)
        self.assertIsNone(self.state.foreign_count)
        self.report(2.0, age=0.5)
        self.assertTrue(self.state.warm)

    def test_work_of_an_earlier_owner_fills_the_budget(self):
        """Nothing is sent until a new report counts foreign requests."""
        request = models.Request(
            request_id="r",
            entry="e",
            workspace="w",
            tier=0,
            model="floor",
            prompt_tokens=10,
            deadline=100.0,
        )
        self.assertFalse(budget.may_start(self.state, request, 1.0))
        self.report(2.0, age=0.1, cold=True, running=2)
        self.assertFalse(budget.may_start(self.state, request, 2.0))
        self.report(3.0, age=0.1, cold=True, running=0)
        self.assertTrue(budget.may_start(self.state, request, 3.0))


class NonStreamedAnswerTest(testtools.TestCase):
    """Tests of answers that are not streamed and only arrive at their end."""

    def setUp(self):
        """Connect to an endpoint that reports itself warm."""
        super().setUp()
        self.state = budget.make_state(SPEC, 0.0)
        budget.record_connection(self.state, 0.0)
        self.report(1.0)

    def report(self, now):
        """Apply a report that says warm."""
        running = len(self.state.running)
        report = models.LoadReport(
            running=running, queued=0, cold=False, age=0.1
        )
        budget.apply_report(self.state, report, now)

    def send(self, number, now):
        """Send a request that is not streamed, if it may start."""
        request = models.Request(
            request_id=str(number),
            entry="entry",
            workspace="workspace",
            tier=0,
            model="floor",
            prompt_tokens=10,
            max_tokens=350,
            deadline=100.0,
            streamed=False,
        )
        if not budget.may_start(self.state, request, now):
            return False
        budget.record_send(self.state, request, 0.01, now)
        return True

    def test_long_answer_is_no_sign_of_a_cold_start(self):
        """A long answer must not make its endpoint count as cold or slow.

        An answer of 350 tokens takes ten seconds at the endpoint's usual
        speed. If it is not streamed, it arrives all at once, and would look
        overdue if it were expected like a first token.
        """
        self.assertTrue(self.send(1, 2.0))
        self.assertFalse(budget.has_overdue_first_token(self.state, 9.0))
        budget.record_first_token(self.state, "1", 12.0)
        budget.record_end(self.state, "1", 12.0, 350)
        self.assertEqual(1.0, self.state.slowdown)
        self.assertLess(self.state.decode_rate, 100.0)

    def test_reports_end_a_slow_start(self):
        """Reports raise the limit while long answers are in progress."""
        sent = 0
        for step in range(8):
            now = 5.0 + step * 0.5
            self.report(now)
            while self.send(sent, now):
                sent += 1
        self.assertEqual(SPEC.concurrency, len(self.state.running))
