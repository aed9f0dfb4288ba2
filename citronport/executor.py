"""The task that owns the scheduler and carries out its actions."""

import collections.abc

from absl import logging
import gevent
from gevent import queue
import result

from citronport import clock
from citronport import errors
from citronport import runs
from citronport.endpoints import client
from citronport.endpoints import messages
from citronport.scheduler import core
from citronport.scheduler import models

LOG = "executor:"
TICK_SECONDS = 0.05
"""Longest time between two looks at deadlines."""

FORWARD_GRACE_SECONDS = 0.25
"""How long past a deadline the owner's own refusal, which can say "not
run", may take to come."""


class Executor:
    """Feeds events to the scheduler, one at a time, and acts on them.

    Args:
        scheduler: the decisions.
        ticker: the clock.
        forward: hands a run to another instance; it delivers to the run
            and returns the code if the other instance did not run it.
        record: takes each event and its actions, for the event trace.
    """

    def __init__(
        self,
        scheduler: core.Scheduler,
        ticker: clock.Clock,
        forward: collections.abc.Callable[
            [runs.Run, str], errors.Refusal | None
        ],
        record: collections.abc.Callable[
            [models.Event, list[models.Action]], None
        ],
    ) -> None:
        self._scheduler = scheduler
        self._ticker = ticker
        self._forward = forward
        self._record = record
        self._inbox: queue.Queue[models.Event] = queue.Queue()
        self._runs: dict[str, runs.Run] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._refused_by: dict[str, tuple[str, ...]] = {}

    def submit(self, run: runs.Run, *, forwarded: bool = False) -> None:
        """Take a run on; its answer comes through the run."""
        self._runs[run.request_id] = run
        self.post(
            models.RequestArrived(
                request=run.work.request, forwarded=forwarded
            )
        )

    def post(self, event: models.Event) -> None:
        """Queue an event for the scheduler."""
        self._inbox.put(event)

    def leave(self, run: runs.Run) -> None:
        """Tell the scheduler that nobody waits for a run any more."""
        self.post(models.RequestLeft(request_id=run.request_id))

    def is_idle(self) -> bool:
        """Return whether no run is in progress."""
        return not self._runs and self._inbox.empty()

    def serve(self) -> None:
        """Handle events for ever."""
        while True:
            try:
                event = self._inbox.get(timeout=TICK_SECONDS)
            except queue.Empty:
                event = models.TimePassed()
            self._step(event)

    def _step(self, event: models.Event) -> None:
        actions = self._scheduler.handle(event, self._ticker.now())
        self._record(event, actions)
        if isinstance(event, models.AnswerFinished):
            self._forget(event.request_id)
        for action in actions:
            self._act(action)

    def _act(self, action: models.Action) -> None:
        match action:
            case models.Dispatch():
                self._spawn(action.request_id, self._dispatch, action)
            case models.Forward():
                self._spawn(action.request_id, self._hand_over, action)
            case models.Refuse():
                self._refuse(action)
            case models.Cancel():
                self._cancel(action)

    def _spawn(
        self,
        request_id: str,
        act: collections.abc.Callable,
        action: models.Action,
    ) -> None:
        run = self._runs.get(request_id)
        if run is not None:
            self._tasks[request_id] = gevent.spawn(act, run, action)

    def _dispatch(self, run: runs.Run, action: models.Dispatch) -> None:
        request = run.work.request
        first = True

        def deliver(message: messages.Message) -> None:
            nonlocal first
            run.deliver(message)
            if first and isinstance(message, messages.Chunk):
                first = False
                self.post(models.FirstToken(request_id=run.request_id))

        def may_send() -> bool:
            return not run.ended and self._ticker.now() < request.deadline

        fleet = self._scheduler.fleet
        if fleet is None:
            return
        address = fleet.endpoints[action.endpoint].address
        match client.run_call(address, run.work.call, may_send, deliver):
            case result.Ok(size):
                run.deliver(messages.Finished(size=size))
                self.post(models.AnswerFinished(request_id=run.request_id))
            case result.Err(failure):
                logging.warning(
                    "%s dispatch to %s failed: %s.",
                    LOG,
                    action.endpoint,
                    failure.code.name,
                )
                self.post(
                    models.DispatchFailed(
                        request_id=run.request_id,
                        sent=failure.sent,
                        code=failure.code,
                    )
                )

    def _hand_over(self, run: runs.Run, action: models.Forward) -> None:
        refusal = self._forward_in_time(run, action.instance)
        if refusal is None:
            self.post(models.AnswerFinished(request_id=run.request_id))
            return
        if refusal.meaning.ran == errors.Ran.OUTCOME_UNKNOWN:
            self._finish(run, refusal)
            return
        # The other instance said in so many words that it did not run the
        # request, so that it may be decided again here.
        tried = self._refused_by.get(run.request_id, ())
        self._refused_by[run.request_id] = (*tried, action.instance)
        self.post(
            models.RequestArrived(
                request=run.work.request,
                refused_by=self._refused_by[run.request_id],
            )
        )

    def _forward_in_time(
        self, run: runs.Run, instance: str
    ) -> errors.Refusal | None:
        # A link can go dead without a word: the caller would wait for as
        # long as the link stays silent. Past the deadline it gets its
        # final answer here. The request may have run, so that it says
        # "outcome unknown" and is never sent a second time.
        left = run.work.request.deadline - self._ticker.now()
        refusal = errors.Refusal(code=errors.Code.DEADLINE_PASSED_RUNNING)
        with gevent.Timeout(max(0.0, left) + FORWARD_GRACE_SECONDS, False):
            refusal = self._forward(run, instance)
        return refusal

    def _refuse(self, action: models.Refuse) -> None:
        run = self._runs.get(action.request_id)
        if run is not None:
            self._finish(run, action.refusal)

    def _finish(self, run: runs.Run, refusal: errors.Refusal) -> None:
        run.deliver(messages.Refused(refusal=refusal))
        self._forget(run.request_id)

    def _cancel(self, action: models.Cancel) -> None:
        task = self._tasks.get(action.request_id)
        if task is not None:
            # Closing the connection is what stops the endpoint's work.
            task.kill(block=False)
        self._forget(action.request_id)
        self.post(models.AnswerFinished(request_id=action.request_id))

    def _forget(self, request_id: str) -> None:
        self._runs.pop(request_id, None)
        self._tasks.pop(request_id, None)
        self._refused_by.pop(request_id, None)
