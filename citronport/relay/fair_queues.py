"""Shares the slots of services between workspaces while requests wait."""

import collections
import collections.abc

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import metrics
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import early_refusal
from citronport.scheduler.direct import expectations
from citronport.scheduler.direct import fair_shares
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import pauses as pauses_module
from citronport.scheduler.direct import selection
from citronport.scheduler.direct import wait_queue

LOG_INTERVAL_SECONDS = 1.0
"""Shortest interval between two log lines of a service."""


class FairQueues:
    """Makes the shares of queues and refuses requests early.

    Args:
        cluster_state: current configuration and endpoints.
        selector: computes slot rates and limits of step times.
        loads: loads and step times of endpoints.
        pauses: pauses that endpoints ask this instance for.
        ticker: the clock.
        log: the event log.
        counts: counters of this instance.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        selector: selection.Selector,
        loads: load_tracker.LoadTracker,
        pauses: pauses_module.Pauses,
        ticker: clock.Clock,
        log: eventlog.Log,
        counts: metrics.Counts,
    ) -> None:
        self._cluster_state = cluster_state
        self._selector = selector
        self._loads = loads
        self._pauses = pauses
        self._ticker = ticker
        self._log = log
        self._counts = counts
        self._expectations = expectations.Expectations(loads)
        self._configuration: models.Configuration | None = None
        self._weights: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}
        self._refused: collections.Counter[str] = collections.Counter()

    def make_shares(self, service: str) -> fair_shares.FairShares:
        """Return the shares for the queue of a service."""
        return fair_shares.FairShares(
            lambda work: self._expectations.estimate_cost(
                work, self._find_service(service)
            ),
            self._get_weights,
        )

    def check(
        self, name: str, queue: wait_queue.WaitQueue, *, is_full: bool
    ) -> None:
        """Refuse requests that get no slot in time, and log the queue.

        Args:
            name: name of the service.
            queue: its queue, just matched.
            is_full: whether no endpoint has capacity left.
        """
        service = self._find_service(name)
        endpoints = self._cluster_state.list_endpoints(name)
        if service is None or not endpoints:
            return
        now = self._ticker.now()
        slot_rate = self._selector.compute_slot_rate(service, endpoints)
        if is_full and slot_rate > 0:
            self._refuse(service, queue, endpoints, slot_rate, now)
        self._log_queue(name, queue, slot_rate, now)

    def _refuse(
        self,
        service: models.Service,
        queue: wait_queue.WaitQueue,
        endpoints: list[models.Endpoint],
        slot_rate: float,
        now: float,
    ) -> None:
        forecast = early_refusal.Forecast(
            queue.shares,
            slot_rate,
            self._count_idle_slots(endpoints),
            now,
            queue.compute_late_at,
            self._make_may_decline_until(service, queue, endpoints, now),
        )
        unservable = forecast.find_unservable(queue.group_by_urgency(now))
        for found in unservable:
            queue.remove(found.waiter)
            found.waiter.handle.set(
                wait_queue.NoSlot(retry_seconds=found.seconds)
            )
        self._counts.early_refusals += len(unservable)
        self._refused[service.name] += len(unservable)

    def _count_idle_slots(self, endpoints: list[models.Endpoint]) -> int:
        return sum(
            max(0, e.slots - self._loads.count_requests(e.name))
            for e in endpoints
        )

    def _make_may_decline_until(
        self,
        service: models.Service,
        queue: wait_queue.WaitQueue,
        endpoints: list[models.Endpoint],
        now: float,
    ) -> collections.abc.Callable[[wait_queue.Waiter], float]:
        """Return a function for ``early_refusal.Forecast``."""
        typical = self._selector.find_typical_step_ms(endpoints, now)
        slowest = max(self._loads.get_step_ms(e.name) for e in endpoints)
        is_paused = bool(self._pauses.list_names(endpoints, now))

        def get_may_decline_until(waiter: wait_queue.Waiter) -> float:
            work = waiter.work
            if work.software is not None or waiter.tried or waiter.paused:
                return float("inf")
            if is_paused and not waiter.leased:
                return float("inf")
            max_step = self._selector.compute_max_prompt_step_ms(
                work, service, typical
            )
            if slowest <= max_step:
                return float("-inf")
            since = waiter.waiting_since
            half = wait_queue.compute_max_wait(work, since) / 2
            return min(queue.compute_late_at(waiter), since + half)

        return get_may_decline_until

    def _log_queue(
        self,
        name: str,
        queue: wait_queue.WaitQueue,
        slot_rate: float,
        now: float,
    ) -> None:
        logged_at = self._logged_at.get(name, float("-inf"))
        if now - logged_at < LOG_INTERVAL_SECONDS or not len(queue):
            return
        waiting = queue.count_by_workspace()
        self._logged_at[name] = now
        self._log.write(
            events.QueueWaiting(
                service=name,
                waiting=len(queue),
                workspaces=len(waiting),
                longest=max(waiting, key=lambda w: waiting[w]),
                slot_rate=round(slot_rate, 3),
                refused=self._refused.pop(name, 0),
            )
        )

    def _find_service(self, name: str) -> models.Service | None:
        configuration = self._cluster_state.configuration
        return configuration.services.get(name) if configuration else None

    def _get_weights(self) -> dict[str, float]:
        configuration = self._cluster_state.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._weights = (
                fair_shares.compute_weights(configuration.workspaces)
                if configuration
                else {}
            )
        return self._weights


def make_fair_queues(
    scheduling: settings_module.Scheduling,
    cluster_state: cluster_state_module.ClusterState,
    selector: selection.Selector,
    loads: load_tracker.LoadTracker,
    pauses: pauses_module.Pauses,
    ticker: clock.Clock,
    log: eventlog.Log,
    counts: metrics.Counts,
) -> FairQueues | None:
    """Return the fair queues of an instance; None if the setting is off."""
    if not scheduling.fair_shares:
        return None
    return FairQueues(
        cluster_state, selector, loads, pauses, ticker, log, counts
    )
