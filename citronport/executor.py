"""Feeds events to the scheduler and executes its actions."""

import collections
import collections.abc
import dataclasses
from typing import Any

from absl import logging
import gevent
from gevent import queue
import result

from citronport import clock
from citronport import errors
from citronport import runs
from citronport import tasks
from citronport import telemetry as telemetry_module
from citronport.endpoints import client
from citronport.endpoints import messages
from citronport.scheduler import core
from citronport.scheduler import models

LOG = "executor:"
TICK_INTERVAL_SECONDS = 0.05
"""Longest interval between two checks of the deadlines."""

FORWARD_GRACE_SECONDS = 0.25
"""How long after a deadline the refusal of the owner is awaited; unlike the
refusal made here, it can say "not run"."""

PAUSE_THRESHOLD_SECONDS = 1.0
"""Interval between two steps above which the process counts as paused and its
state as outdated: twenty times the interval of the ticks."""

LEASE_REQUIRED_SECONDS = 2.0
"""How long after a pause every send needs a lease. Within this time the
platform's instance list and the other instances answer, if reachable."""


class Executor:
    """Passes events to the scheduler one at a time and executes its actions.

    Args:
        scheduler: makes the decisions.
        ticker: the clock.
        forward: forwards a run to another instance and delivers the answer
            to the run; returns the refusal if the other instance refused it.
        may_send_cold: returns whether one more request may be sent to an
            endpoint in cold start; called directly before the send.
        record: writes each event and its actions to the event trace.
        is_current: returns whether a start of an endpoint is its latest.
        telemetry: counts and traces the runs.
    """

    def __init__(
        self,
        scheduler: core.Scheduler,
        ticker: clock.Clock,
        forward: collections.abc.Callable[
            [runs.Run, str], errors.Refusal | None
        ],
        may_send_cold: collections.abc.Callable[[str, float], bool],
        record: collections.abc.Callable[
            [models.Event, list[models.Action]], None
        ],
        is_current: collections.abc.Callable[[str, int], bool],
        telemetry: telemetry_module.Telemetry | None = None,
    ) -> None:
        self._scheduler = scheduler
        self._ticker = ticker
        self._forward = forward
        self._may_send_cold = may_send_cold
        self._record = record
        self._telemetry = telemetry or telemetry_module.Telemetry(ticker)
        self._is_current = is_current
        self._client = client.Client()
        self._starts: dict[str, int] = {}
        self._last_step_at = ticker.now()
        self._resumed_at = float("-inf")
        self._inbox: queue.Queue[models.Event] = queue.Queue()
        self._runs: dict[str, runs.Run] = {}
        self._tasks: dict[str, gevent.Greenlet] = {}
        self._running_at_endpoint: collections.Counter[str] = (
            collections.Counter()
        )
        self._refused_by: dict[str, tuple[str, ...]] = {}
        self._refusals: dict[str, errors.Refusal] = {}

    def submit(self, run: runs.Run, *, forwarded: bool = False) -> None:
        """Start a run; its answer is delivered to the run."""
        self._runs[run.request_id] = run
        run.observer = self._telemetry.make_observer(
            run.work, forwarded=forwarded
        )
        self.post(
            models.RequestArrived(
                request=run.work.request, forwarded=forwarded
            )
        )

    def post(self, event: models.Event) -> None:
        """Queue an event for the scheduler."""
        self._inbox.put(event)

    def report_abandoned(self, run: runs.Run) -> None:
        """Notify the scheduler that a run has no reader any more."""
        self.post(models.RequestLeft(request_id=run.request_id))

    def count_running(self, endpoint: str) -> int:
        """Return how many requests an endpoint has not finished yet."""
        return self._running_at_endpoint[endpoint]

    def is_idle(self) -> bool:
        """Return whether no run is in progress."""
        return not self._runs and self._inbox.empty()

    def serve(self) -> None:
        """Handle events until killed."""
        while True:
            try:
                event = self._inbox.get(timeout=TICK_INTERVAL_SECONDS)
            except queue.Empty:
                event = models.TimePassed()
            self._step(event)

    def _step(self, event: models.Event) -> None:
        # A request that another instance returned after its caller had left
        # must not reach the scheduler: its run no longer exists, so that the
        # slot that it would occupy would never be released.
        if (
            isinstance(event, models.RequestArrived)
            and event.request.request_id not in self._runs
        ):
            return
        now = self._ticker.now()
        self._detect_pause(now)
        actions = self._scheduler.handle(event, now)
        self._record(event, actions)
        match event:
            case models.AnswerFinished():
                self._remove_run(event.request_id)
            case models.EndpointConnected():
                # Later decisions of the scheduler apply to this start of the
                # endpoint.
                self._starts[event.endpoint] = event.start
            case models.RequestArrived():
                self._record_decision(event.request.request_id)
        for action in actions:
            self._execute(action)
        if isinstance(event, models.RequestLeft):
            self._abandon(event.request_id)

    def _detect_pause(self, now: float) -> None:
        if now - self._last_step_at > PAUSE_THRESHOLD_SECONDS:
            logging.warning(
                "%s process was paused; sends require a lease for now.", LOG
            )
            self._resumed_at = now
        self._last_step_at = now

    def _record_decision(self, request_id: str) -> None:
        run = self._runs.get(request_id)
        if run is not None:
            run.observer.record_decision()

    def _execute(self, action: models.Action) -> None:
        match action:
            case models.Dispatch():
                # Read in the same step as the decision: a start that is
                # handled later is a different one.
                start = self._starts.get(action.endpoint, 0)
                self._spawn(
                    action.request_id, self._dispatch_counted, action, start
                )
            case models.Forward():
                self._spawn(action.request_id, self._forward_run, action)
            case models.Refuse():
                self._refuse(action)
            case models.Cancel():
                self._cancel(action)

    def _spawn(
        self,
        request_id: str,
        function: collections.abc.Callable,
        *details: Any,
    ) -> None:
        run = self._runs.get(request_id)
        if run is not None:
            task = gevent.spawn(self._run_guarded, function, run, *details)
            self._tasks[request_id] = task
            task.rawlink(lambda ended: self._end_task(request_id, ended))

    def _end_task(self, request_id: str, task: gevent.Greenlet) -> None:
        if self._tasks.get(request_id) is task:
            del self._tasks[request_id]

    def _run_guarded(
        self,
        function: collections.abc.Callable,
        run: runs.Run,
        *details: Any,
    ) -> None:
        # An unhandled error would end the task silently: the caller would
        # wait indefinitely, and the slot at the endpoint would stay occupied.
        try:
            function(run, *details)
        except Exception as error:
            logging.error(
                "%s request failed with %s.", LOG, tasks.describe_error(error)
            )
            self._telemetry.counts.record_task_death("request")
            self._finish(run, errors.Refusal(code=errors.Code.INTERNAL))
            self.post(models.AnswerFinished(request_id=run.request_id))

    def _dispatch_counted(
        self, run: runs.Run, action: models.Dispatch, start: int
    ) -> None:
        self._running_at_endpoint[action.endpoint] += 1
        try:
            self._dispatch(run, action, start)
        finally:
            self._running_at_endpoint[action.endpoint] -= 1

    def _dispatch(
        self, run: runs.Run, action: models.Dispatch, start: int
    ) -> None:
        request = run.work.request
        first = True

        def deliver(message: messages.Message) -> None:
            nonlocal first
            if isinstance(message, messages.Interrupted):
                # Posted at once: a cut stream is the first sign that an
                # endpoint restarted. Fetching the rest takes a while, in
                # which more would be sent to the cold endpoint.
                self.post(models.AnswerCut(request_id=run.request_id))
                return
            run.deliver(message)
            if first and isinstance(message, messages.Chunk):
                first = False
                self.post(models.FirstToken(request_id=run.request_id))

        def may_send_now() -> bool:
            now = self._ticker.now()
            if run.ended or now >= request.deadline:
                return False
            if not self._is_current(action.endpoint, start):
                return False
            return self._may_send(action.endpoint, now)

        fleet = self._scheduler.fleet
        endpoint = fleet.endpoints.get(action.endpoint) if fleet else None
        if endpoint is None:
            # The catalogue changed after the decision.
            self.post(
                models.DispatchFailed(
                    request_id=run.request_id,
                    sent=False,
                    code=errors.Code.NO_ENDPOINT,
                )
            )
            return
        run.observer.record_dispatch(action.endpoint)
        remaining = request.deadline - self._ticker.now()
        call = dataclasses.replace(run.work.call, timeout=remaining)
        match self._client.run_call(
            endpoint.address, start, call, may_send_now, deliver
        ):
            case result.Ok(completed):
                run.deliver(messages.Finished(size=completed.size))
                self.post(
                    models.AnswerFinished(
                        request_id=run.request_id,
                        output_tokens=completed.output_tokens,
                        cached_tokens=completed.cached_tokens,
                    )
                )
            case result.Err(failure):
                logging.warning(
                    "%s dispatch to %s failed: %s.",
                    LOG,
                    action.endpoint,
                    failure.code.name,
                )
                if not failure.sent:
                    # An immediate retry would fail in the same way.
                    self._ticker.sleep(TICK_INTERVAL_SECONDS)
                self.post(
                    models.DispatchFailed(
                        request_id=run.request_id,
                        sent=failure.sent,
                        code=failure.code,
                    )
                )

    def _may_send(self, endpoint: str, now: float) -> bool:
        # After a pause this process may no longer own the endpoint, and
        # the endpoint may be cold: its new owner and this instance together
        # would overload it. Until the current state is known, a lease is
        # needed; if it expired during the pause, nothing is sent.
        paused = now - self._last_step_at > PAUSE_THRESHOLD_SECONDS
        lease_required = (
            paused or now - self._resumed_at < LEASE_REQUIRED_SECONDS
        )
        if not lease_required and self._scheduler.has_warm_evidence(
            endpoint, now
        ):
            return True
        return self._may_send_cold(endpoint, now)

    def _forward_run(self, run: runs.Run, action: models.Forward) -> None:
        run.observer.record_forward(action.instance)
        refusal = self._forward_in_time(run, action.instance)
        if refusal is None:
            self.post(models.AnswerFinished(request_id=run.request_id))
            return
        if refusal.meaning.ran == errors.Ran.OUTCOME_UNKNOWN:
            self._finish(run, refusal)
            self.post(models.AnswerFinished(request_id=run.request_id))
            return
        run.observer.record_return()
        # The other instance explicitly answered "not run", so the request may
        # be scheduled again here.
        self._refusals[run.request_id] = refusal
        refused_by = self._refused_by.get(run.request_id, ())
        self._refused_by[run.request_id] = (*refused_by, action.instance)
        self.post(
            models.RequestArrived(
                request=run.work.request,
                refused_by=self._refused_by[run.request_id],
            )
        )

    def _forward_in_time(
        self, run: runs.Run, instance: str
    ) -> errors.Refusal | None:
        # A link can fail without an error, and the caller would then wait
        # indefinitely. After the deadline the request is therefore refused
        # here. It may have run, so the refusal says "outcome unknown" and the
        # request is never sent again.
        remaining = run.work.request.deadline - self._ticker.now()
        refusal = errors.Refusal(code=errors.Code.DEADLINE_PASSED_RUNNING)
        with gevent.Timeout(
            max(0.0, remaining) + FORWARD_GRACE_SECONDS, False
        ):
            refusal = self._forward(run, instance)
        return refusal

    def _refuse(self, action: models.Refuse) -> None:
        run = self._runs.get(action.request_id)
        if run is None:
            return
        refusal = action.refusal
        if refusal.code == errors.Code.NO_ENDPOINT:
            # No other instance is left to try. The refusal of the last one
            # is more specific.
            refusal = self._refusals.get(action.request_id, refusal)
        self._finish(run, refusal)

    def _finish(self, run: runs.Run, refusal: errors.Refusal) -> None:
        run.deliver(messages.Refused(refusal=refusal))
        self._remove_run(run.request_id)

    def _cancel(self, action: models.Cancel) -> None:
        task = self._tasks.get(action.request_id)
        if task is not None:
            task.kill(block=False)
        run = self._runs.get(action.request_id)
        if run is not None:
            run.observer.record_end(telemetry_module.OUTCOME_LEFT)
            # A repeat may have attached since the last caller left.
            self._finish(run, errors.Refusal(code=errors.Code.ABANDONED))
        gevent.spawn(self._cancel_at_endpoint, action)

    def _cancel_at_endpoint(self, action: models.Cancel) -> None:
        # The slot counts as occupied until the endpoint confirms the cancel:
        # otherwise an endpoint in cold start would get the next request while
        # it still processes this one.
        fleet = self._scheduler.fleet
        endpoint = fleet.endpoints.get(action.endpoint) if fleet else None
        # A plain service has no cancel endpoint: it would process the cancel
        # as a call.
        if endpoint is not None and endpoint.kind == models.Kind.ENGINE:
            self._running_at_endpoint[endpoint.name] += 1
            client.cancel(endpoint.address, action.request_id)
            self._running_at_endpoint[endpoint.name] -= 1
        self.post(models.AnswerFinished(request_id=action.request_id))

    def _abandon(self, request_id: str) -> None:
        run = self._runs.get(request_id)
        if run is None:
            return
        # The scheduler has nothing to cancel: the request is queued here, or
        # another instance schedules it, which is notified when the task that
        # waits for it ends.
        task = self._tasks.get(request_id)
        if task is None or task.ready():
            code = errors.Code.ABANDONED_WAITING
        else:
            task.kill(block=False)
            code = errors.Code.ABANDONED
        run.observer.record_end(telemetry_module.OUTCOME_LEFT)
        self._finish(run, errors.Refusal(code=code))

    def _remove_run(self, request_id: str) -> None:
        run = self._runs.pop(request_id, None)
        if run is not None:
            run.observer.record_end(telemetry_module.OUTCOME_LEFT)
        self._refused_by.pop(request_id, None)
        self._refusals.pop(request_id, None)
