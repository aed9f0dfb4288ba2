"""Tests of the executor: checks before a send, failures of tasks."""

import gevent
from gevent import event as gevent_event
import testtools

from citronport import clock
from citronport import errors
from citronport import executor
from citronport import runs
from citronport import telemetry
from citronport.endpoints import messages
from citronport.scheduler import models
from tests import samples

SECRET = "content-of-a-caller"
FLEET = models.Fleet(version=1, data_centres={}, endpoints={}, entries={})


class WarmScheduler:
    """A scheduler to which every endpoint is warm."""

    fleet = None

    def handle(self, event, now):
        """Return no actions."""
        return []

    def has_warm_evidence(self, endpoint, now):
        """Return that the endpoint is warm."""
        return True


class ResumedProcessTest(testtools.TestCase):
    """A process that was suspended must not send based on outdated state."""

    def setUp(self):
        """Create an executor without leases."""
        super().setUp()
        self.ticker = clock.ManualClock(100.0)
        self.leased = False
        self.executor = executor.Executor(
            WarmScheduler(),
            self.ticker,
            lambda run, instance: None,
            lambda endpoint, now: self.leased,
            lambda event, actions: None,
            lambda endpoint, start: True,
        )

    def may_send(self):
        """Return the check that the dispatch task makes before sending."""
        return self.executor._may_send("engine", self.ticker.now())

    def step(self, seconds):
        """Advance the clock and run one step of the executor."""
        self.ticker.advance(seconds)
        self.executor._step(models.TimePassed())

    def test_warm_endpoint_needs_no_lease(self):
        """A platform outage alone does not stop sends to warm endpoints."""
        self.step(0.05)
        self.assertTrue(self.may_send())

    def test_no_send_between_resume_and_first_step(self):
        """Nothing is sent if the dispatch task resumes before the executor.

        The process is suspended after a decision. Meanwhile the endpoint gets
        another owner and turns cold, so that the send would exceed its cold
        start limit.
        """
        self.ticker.advance(4.0)
        self.assertFalse(self.may_send())

    def test_no_send_without_lease_after_a_pause(self):
        """After a pause a send needs a lease for a limited time.

        The process resumes and its event loop runs at once, but the instance
        list and the other instances answer only milliseconds later.
        """
        self.step(4.0)
        self.step(0.05)
        self.assertFalse(self.may_send())
        self.leased = True
        self.assertTrue(self.may_send())
        self.leased = False
        for _ in range(45):
            self.step(0.05)
        self.assertTrue(self.may_send())


class ScriptedScheduler:
    """A scheduler that returns a given action and records its events."""

    def __init__(self, action):
        self.fleet = FLEET
        self.events = []
        self.ended = gevent_event.Event()
        self._action = action

    def handle(self, event, now):
        """Return the given action for a new request."""
        self.events.append(event)
        match event:
            case models.RequestArrived():
                return [self._action]
            case models.DispatchFailed():
                refusal = errors.Refusal(code=event.code)
                return [
                    models.Refuse(
                        request_id=samples.REQUEST_ID, refusal=refusal
                    )
                ]
            case models.AnswerFinished():
                self.ended.set()
        return []


class ExecutorTest(testtools.TestCase):
    """Runs a request with a scripted scheduler."""

    def run_request(self, action, forward):
        """Run a request; return its scheduler, counts and last message."""
        scheduler = ScriptedScheduler(action)
        ticker = clock.ManualClock()
        observed = telemetry.Telemetry(ticker)
        subject = executor.Executor(
            scheduler,
            ticker,
            forward,
            lambda endpoint, now: True,
            lambda event, actions: None,
            lambda endpoint, start: True,
            observed,
        )
        task = gevent.spawn(subject.serve)
        self.addCleanup(task.kill)
        run = runs.Run(samples.make_work(tier=2), lambda run: None)
        subject.submit(run)
        with gevent.Timeout(10):
            (message,) = run.read()
        return scheduler, observed.counts, message

    def test_failure_of_a_request_task(self):
        """An internal error ends the task that waits for an answer.

        Unhandled, the caller would wait until its own timeout and the slot at
        the endpoint would stay occupied. The caller must get "outcome unknown"
        at once, the slot must be released, and no content may be logged.
        """

        def forward(run, instance):
            raise KeyError(SECRET)

        with self.assertLogs("absl", "ERROR") as logs:
            scheduler, counts, message = self.run_request(
                models.Forward(
                    request_id=samples.REQUEST_ID, instance="entry-2"
                ),
                forward,
            )
        self.assertIsInstance(message, messages.Refused)
        self.assertEqual(errors.Code.INTERNAL, message.refusal.code)
        with gevent.Timeout(10):
            scheduler.ended.wait()
        self.assertEqual({(2, "9001"): 1}, counts.outcomes)
        self.assertEqual({"request": 1}, counts.task_deaths)
        self.assertNotIn(SECRET, "".join(logs.output))

    def test_endpoint_leaves_the_catalogue_before_the_send(self):
        """A catalogue without the endpoint arrives after the decision.

        Nothing was sent, so the caller is told "not run".
        """
        scheduler, counts, message = self.run_request(
            models.Dispatch(
                request_id=samples.REQUEST_ID, endpoint="engine-1"
            ),
            None,
        )
        failed = scheduler.events[-1]
        self.assertIsInstance(failed, models.DispatchFailed)
        self.assertFalse(failed.sent)
        self.assertEqual(errors.Ran.NOT_RUN, message.refusal.meaning.ran)
        self.assertEqual({}, counts.task_deaths)
