"""What an endpoint in cold start gets, over random interleavings."""

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


class OwnersMachine(stateful.RuleBasedStateMachine):
    """Two instances and one endpoint, whose true state is kept here.

    The endpoint starts over, cold, at any moment; reports come late; the
    right to send moves from one instance to the other, after the earlier
    owner has lost it. The endpoint must never hold more than its cold
    start bears, and must get no request twice.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.schedulers = {n: core.Scheduler(n) for n in ("a", "b")}
        self.owner = "a"
        self.cold = True
        self.inside = {}
        self.tokens = {}
        self.reports = []
        self.received = set()
        self.settled = set()
        self.count = 0
        for name in self.schedulers:
            self.tell(name, models.FleetChanged(fleet=FLEET))
            self.tell(name, models.EndpointConnected(endpoint="engine-1"))
        self.assign("a")

    def tell(self, name, event):
        """Hand an event over and let the endpoint get what is sent."""
        for action in self.schedulers[name].handle(event, self.now):
            match action:
                case models.Dispatch():
                    self.receive(name, action.request_id)
                case models.Refuse():
                    assert action.request_id not in self.settled
                    self.settled.add(action.request_id)

    def receive(self, name, request_id):
        """The endpoint gets a request and must bear it."""
        assert name == self.owner, "only the owner sends"
        assert request_id not in self.received, "sent twice"
        assert request_id not in self.settled, "sent after its answer"
        self.received.add(request_id)
        self.inside[request_id] = (name, self.tokens[request_id])
        if self.cold:
            assert len(self.inside) <= SPEC.cold_concurrency
            total = sum(tokens for _, tokens in self.inside.values())
            assert total <= SPEC.cold_prompt_tokens

    def assign(self, owner):
        """The right to send goes to an instance."""
        self.owner = owner
        owners = {"engine-1": owner}
        for name in sorted(self.schedulers, key=lambda n: n == owner):
            owned = frozenset(owners) if name == owner else frozenset()
            self.tell(
                name, models.OwnershipChanged(owned=owned, owners=owners)
            )

    @stateful.rule(tokens=strategies.integers(1, 1500))
    def send(self, tokens):
        """A caller sends to the owner."""
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
        self.tell(
            self.owner, models.RequestArrived(request=request, forwarded=True)
        )

    @stateful.rule()
    def finish(self):
        """The oldest request inside ends; its sender is told."""
        if self.inside:
            request_id = next(iter(self.inside))
            name, _ = self.inside.pop(request_id)
            self.tell(name, models.FirstToken(request_id=request_id))
            self.tell(name, models.AnswerFinished(request_id=request_id))

    @stateful.rule()
    def cut(self):
        """A connection breaks, but the endpoint still works at it."""
        if self.inside:
            request_id, (name, _) = next(iter(self.inside.items()))
            code = errors.Code.ENDPOINT_LOST
            self.tell(
                name,
                models.DispatchFailed(
                    request_id=request_id, sent=True, code=code
                ),
            )

    @stateful.rule()
    def end_inside(self):
        """The endpoint ends one whose sender is gone."""
        for request_id in list(self.inside):
            if request_id in self.settled:
                del self.inside[request_id]
                return

    @stateful.rule()
    def restart(self):
        """All connections break; it comes back cold and empty."""
        self.cold = True
        held, self.inside = self.inside, {}
        for name in self.schedulers:
            self.tell(name, models.EndpointLost(endpoint="engine-1"))
        for request_id, (name, _) in held.items():
            if request_id not in self.settled:
                self.tell(
                    name,
                    models.DispatchFailed(request_id=request_id, sent=True),
                )
        self.now += 0.1
        for name in self.schedulers:
            self.tell(name, models.EndpointConnected(endpoint="engine-1"))

    @stateful.rule()
    def warm_up(self):
        """The cold start is over."""
        self.cold = False

    @stateful.rule()
    def make_report(self):
        """The endpoint writes a report, which is not there yet."""
        self.now += 0.1
        self.reports.append((self.now, len(self.inside), self.cold))

    @stateful.rule(lag=strategies.floats(0.01, 5.0))
    def bring_report(self, lag):
        """The oldest report comes, late."""
        if not self.reports:
            return
        made, running, cold = self.reports.pop(0)
        self.now = max(self.now, made + lag)
        report = models.LoadReport(
            running=running, queued=0, cold=cold, age=self.now - made
        )
        for name in self.schedulers:
            self.tell(
                name,
                models.EndpointReported(endpoint="engine-1", report=report),
            )

    @stateful.rule()
    def change_owner(self):
        """The other instance takes the endpoint over."""
        self.now += 0.1
        self.assign("b" if self.owner == "a" else "a")

    @stateful.rule(seconds=strategies.floats(0.01, 3.0))
    def pass_time(self, seconds):
        """Time goes on."""
        self.now += seconds
        for name in self.schedulers:
            self.tell(name, models.TimePassed())


OwnersMachine.TestCase.settings = PROFILE


class BudgetMachineTest(OwnersMachine.TestCase):
    """Runs the machine."""


class EvidenceTest(testtools.TestCase):
    """Which reports count as evidence of warmth."""

    def setUp(self):
        """Take an endpoint over and connect."""
        super().setUp()
        self.state = budget.make_state(SPEC, 0.0)
        budget.record_connection(self.state, 1.0)

    def report(self, now, age, *, cold=False, running=0):
        """Bring a report."""
        report = models.LoadReport(
            running=running, queued=0, cold=cold, age=age
        )
        budget.apply_report(self.state, report, now)

    def test_report_from_before_the_start_says_nothing(self):
        """A late "warm" of the earlier start must not fill the new one."""
        self.report(2.0, age=1.5)
        self.assertFalse(self.state.warm)
        self.assertIsNone(self.state.foreign_count)
        self.report(2.0, age=0.5)
        self.assertTrue(self.state.warm)

    def test_work_of_an_earlier_owner_fills_the_budget(self):
        """Nothing is sent until a young report counts what was left."""
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


class WholeAnswerTest(testtools.TestCase):
    """An answer in one piece tells of its speed only at its end."""

    def setUp(self):
        """Take an endpoint that was shown warm."""
        super().setUp()
        self.state = budget.make_state(SPEC, 0.0)
        budget.record_connection(self.state, 0.0)
        self.report(1.0)

    def report(self, now):
        """Let a report come that says warm."""
        running = len(self.state.running)
        report = models.LoadReport(
            running=running, queued=0, cold=False, age=0.1
        )
        budget.apply_report(self.state, report, now)

    def send(self, number, now):
        """Send a request for an answer in one piece, if it may start."""
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
        """Seen as an endpoint fed as if cold, and taken for slow.

        A caller that does not stream waits ten seconds for 350 tokens at
        the endpoint's usual speed. Its first piece is its last.
        """
        self.assertTrue(self.send(1, 2.0))
        self.assertFalse(budget.has_overdue_first_token(self.state, 9.0))
        budget.record_first_token(self.state, "1", 12.0)
        budget.record_end(self.state, "1", 12.0, 350)
        self.assertEqual(1.0, self.state.slowdown)
        self.assertLess(self.state.decode_rate, 100.0)

    def test_reports_end_a_slow_start(self):
        """Long answers alone do not keep an idle endpoint nearly idle."""
        sent = 0
        for step in range(8):
            now = 5.0 + step * 0.5
            self.report(now)
            while self.send(sent, now):
                sent += 1
        self.assertEqual(SPEC.concurrency, len(self.state.running))
