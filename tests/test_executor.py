"""Runs get their answer also when their task dies."""

import gevent
from gevent import event as gevent_event
import testtools

from citronport import clock
from citronport import errors
from citronport import executor
from citronport import runs
from citronport import telemetry
from citronport.endpoints import client
from citronport.endpoints import messages
from citronport.scheduler import models

SECRET = "content-of-a-caller"
FLEET = models.Fleet(version=1, data_centres={}, endpoints={}, entries={})


class Scheduler:
    """Decides what it was told to, and keeps what it heard."""

    def __init__(self, action):
        self.fleet = FLEET
        self.heard = []
        self.ended = gevent_event.Event()
        self._action = action

    def handle(self, event, now):
        """Answer a new request with the action."""
        self.heard.append(event)
        match event:
            case models.RequestArrived():
                return [self._action]
            case models.DispatchFailed():
                refusal = errors.Refusal(code=event.code)
                return [models.Refuse(request_id="r", refusal=refusal)]
            case models.AnswerFinished():
                self.ended.set()
        return []


class ExecutorTest(testtools.TestCase):
    """One request, decided by a script."""

    def run_request(self, action, forward):
        """Run a request; return its scheduler, counts and last message."""
        scheduler = Scheduler(action)
        ticker = clock.ManualClock()
        watched = telemetry.Telemetry(ticker)
        made = executor.Executor(
            scheduler,
            ticker,
            forward,
            lambda endpoint, now: True,
            lambda event, actions: None,
            lambda endpoint, start: True,
            watched,
        )
        task = gevent.spawn(made.serve)
        self.addCleanup(task.kill)
        work = runs.Work(
            request=models.Request(
                request_id="r",
                entry="e",
                workspace="w",
                tier=2,
                model="small",
                deadline=60.0,
            ),
            call=client.Call(
                request_id="r",
                method="POST",
                path="/",
                body=b"",
                headers={},
                stream=False,
                timeout=60.0,
            ),
        )
        run = runs.Run(work, lambda run: None)
        made.submit(run)
        with gevent.Timeout(10):
            (message,) = run.read()
        return scheduler, watched.counts, message

    def test_task_of_a_request_dies(self):
        """A fault of ours ends the task that waits for an answer.

        The caller would wait until its own timeout, and the endpoint's
        place would stay taken. It is told "outcome unknown" at once, the
        place is given back, and the log holds no content.
        """

        def forward(run, instance):
            raise KeyError(SECRET)

        with self.assertLogs("absl", "ERROR") as logs:
            scheduler, counts, message = self.run_request(
                models.Forward(request_id="r", instance="entry-2"), forward
            )
        self.assertIsInstance(message, messages.Refused)
        self.assertEqual(errors.Code.INTERNAL, message.refusal.code)
        with gevent.Timeout(10):
            scheduler.ended.wait()
        self.assertEqual({(2, "9001"): 1}, counts.outcomes)
        self.assertEqual({"request": 1}, counts.task_deaths)
        self.assertNotIn(SECRET, "".join(logs.output))

    def test_endpoint_leaves_the_catalogue_before_the_send(self):
        """A catalogue without the endpoint comes in after the decision.

        Nothing was sent, so that the caller may be told "not run".
        """
        scheduler, counts, message = self.run_request(
            models.Dispatch(request_id="r", endpoint="engine-1"), None
        )
        failed = scheduler.heard[-1]
        self.assertIsInstance(failed, models.DispatchFailed)
        self.assertFalse(failed.sent)
        self.assertEqual(errors.Ran.NOT_RUN, message.refusal.meaning.ran)
        self.assertEqual({}, counts.task_deaths)
