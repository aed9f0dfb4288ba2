"""Starts each keyed request once, at whichever entry repeats arrive."""

import collections.abc

import gevent
import result

from citronport import clock
from citronport import errors
from citronport import runs
from citronport.callers import const
from citronport.callers import idempotency
from citronport.endpoints import messages

Forward = collections.abc.Callable[[runs.Run, str], errors.Refusal | None]


class Deduplicator:
    """Carries out the decisions of ``idempotency.RequestRecords``.

    Args:
        records: the keyed requests of this incarnation.
        ticker: the clock.
        start_run: starts a run here.
        abandon: stops a run that has no caller any more.
        forward: forwards a run to the home of its ticket; returns None
            once the response is complete, otherwise the refusal.
        is_leaving: whether this instance takes no new work.
    """

    def __init__(
        self,
        records: idempotency.RequestRecords,
        ticker: clock.Clock,
        start_run: collections.abc.Callable[[runs.Run], None],
        abandon: collections.abc.Callable[[runs.Run], None],
        forward: Forward,
        is_leaving: collections.abc.Callable[[], bool],
    ) -> None:
        self._records = records
        self._ticker = ticker
        self._start_run = start_run
        self._abandon = abandon
        self._forward = forward
        self._is_leaving = is_leaving

    def submit(self, work: runs.Work, *, forwarded: bool = False) -> runs.Run:
        """Return the run of a submission, old or new.

        Args:
            work: the request.
            forwarded: whether another instance sent it here as its home.
        """
        if work.identity is None:
            return self._submit_new(work)
        match self._records.decide(work.identity, self._ticker.now()):
            case result.Err(refusal):
                return make_refused_run(work, refusal)
            case result.Ok(idempotency.JoinRun(run=run)):
                return run
            case result.Ok(idempotency.ForwardToHome(instance=instance)):
                return self._forward_to_home(
                    work, instance, forwarded=forwarded
                )
            case _:
                return self._submit_new(work)

    def sweep_forever(self) -> None:
        """Drop expired records and stop abandoned runs until killed."""
        while True:
            self._ticker.sleep(const.SWEEP_INTERVAL_SECONDS)
            for run in self._records.remove_expired(self._ticker.now()):
                self._abandon(run)

    def _submit_new(self, work: runs.Work) -> runs.Run:
        # Only new runs are refused: a repeat still joins a run that started
        # before this instance began to leave.
        if self._is_leaving():
            refusal = errors.Refusal(code=errors.Code.LEAVING)
            return make_refused_run(work, refusal)
        if work.identity is None:
            run = runs.Run(work, self._abandon)
        else:
            run = runs.Run(
                work, self._abandon, repeatable=True, on_ended=self._record_end
            )
            # Add the record before the run can be dispatched, so that a
            # repeat cannot arrive in between.
            self._records.add(work.identity, run)
        self._start_run(run)
        return run

    def _record_end(self, run: runs.Run) -> None:
        self._records.record_end(run, self._ticker.now())

    def _forward_to_home(
        self, work: runs.Work, instance: str, *, forwarded: bool
    ) -> runs.Run:
        if forwarded:
            # A request is forwarded to its home only once; a second hop
            # would mean that the sender's view of the fleet is wrong.
            refusal = errors.Refusal(code=errors.Code.HOME_UNREACHABLE)
            return make_refused_run(work, refusal)
        task: gevent.Greenlet | None = None

        def stop(_run: runs.Run) -> None:
            if task is not None:
                task.kill(block=False)

        run = runs.Run(work, stop)
        task = gevent.spawn(self._relay_answer, run, instance)
        return run

    def _relay_answer(self, run: runs.Run, instance: str) -> None:
        seconds = run.work.request.deadline - self._ticker.now()
        refusal: errors.Refusal | None = errors.Refusal(
            code=errors.Code.DEADLINE_PASSED_RUNNING
        )
        # A home whose process is paused keeps its link open but does not
        # respond.
        with gevent.Timeout(max(0.0, seconds), False):
            refusal = self._forward(run, instance)
        if refusal is not None:
            run.deliver(messages.Refused(refusal=refusal))


def make_refused_run(work: runs.Work, refusal: errors.Refusal) -> runs.Run:
    """Return a run that responds with a refusal."""
    run = runs.Run(work, lambda _run: None, repeatable=True)
    run.deliver(messages.Refused(refusal=refusal))
    return run
