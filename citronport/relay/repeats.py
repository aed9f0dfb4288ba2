"""Decides whether a request may be sent once more."""

import math

from citronport.relay import events
from citronport.relay import head_timeouts
from citronport.relay import jobs
from citronport.relay import progress as progress_module
from citronport.scheduler.direct import models

MAX_SENDS = 4
"""Highest number of sends of one request, including failed connects."""


class Repeats:
    """Decides on further sends of one request.

    Args:
        context: components shared by all requests.
        job: the request.
        progress: state of the request.

    Attributes:
        head_timeouts: how long it waits for responses.
        is_counted: whether its first send is counted, here or by the
            instance that forwarded it.
    """

    def __init__(
        self,
        context: jobs.RelayContext,
        job: jobs.Job,
        progress: progress_module.Progress,
    ) -> None:
        self._context = context
        self._job = job
        self._progress = progress
        origin = job.origin
        self.is_counted = origin is not None and origin.is_counted
        self.head_timeouts = head_timeouts.HeadTimeouts(context, job, progress)

    def may_run_again(
        self, *, is_started: bool, last_event_id: str | None
    ) -> bool:
        """Return whether a request that may have run may be retried.

        Args:
            is_started: whether the caller has a part of the answer. Only a
                stream goes on from there; another run would be appended.
            last_event_id: id of the last event that the caller has; None if
                it is unknown.
        """
        route = self._job.work.route
        match route.repeat:
            case models.RepeatPolicy.NON_IDEMPOTENT:
                return False
            case models.RepeatPolicy.STREAM:
                is_lost = is_started and last_event_id is None
                if is_lost or not route.resumable:
                    return False
            case models.RepeatPolicy.IDEMPOTENT if is_started:
                return False
        if self._progress.possible_runs >= route.max_endpoints:
            return False
        return not self.is_barred() and self.may_send_again()

    def may_send_again(self) -> bool:
        """Return whether a request that did not run may be sent again."""
        if self._progress.attempts >= MAX_SENDS:
            return False
        now = self._context.ticker.now()
        if now >= self._job.work.deadline:
            return False
        budgets = self._context.retry_budgets
        fleet = budgets.describe_fleet()
        decision = budgets.get(self._job.service).take(fleet, now)
        if decision.allowed:
            self._progress.repeat_allowed_at = now
        self._context.log.write(
            events.RepeatDecided(
                request=self._job.work.request_id,
                service=self._job.service,
                allowed=decision.allowed,
                first_sends=decision.first_sends,
                repeats=decision.retries,
                limit=decision.limit,
                instances=(
                    fleet.instances if math.isfinite(fleet.instances) else -1
                ),
                new_share=fleet.new_share,
                known_seconds=decision.known_seconds,
            )
        )
        return decision.allowed

    def record_send(self) -> None:
        """Count a send that is about to be made here."""
        budget = self._context.retry_budgets.get(self._job.service)
        now = self._context.ticker.now()
        if self._progress.repeat_allowed_at is not None:
            self._progress.repeat_allowed_at = None
            budget.record_sent(now)
        elif not self.is_counted:
            budget.record_first(now)
        self.is_counted = True

    def release(self) -> None:
        """Settle a further send that was allowed and not made here."""
        if self._progress.repeat_allowed_at is None:
            return
        self._progress.repeat_allowed_at = None
        budget = self._context.retry_budgets.get(self._job.service)
        if self._progress.peer:
            # Another instance may have made it at any time since.
            budget.record_sent(self._context.ticker.now())
        else:
            budget.give_back()

    def is_barred(self) -> bool:
        """Return whether the request is suspected of crashing endpoints."""
        return self._context.suspects.is_barred(
            self._job.content, self._context.ticker.now()
        )
