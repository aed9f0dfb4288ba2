"""Shares the slots of services between workspaces while requests wait."""

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import eventlog
from citronport.relay import events
from citronport.scheduler.direct import expectations
from citronport.scheduler.direct import fair_shares
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import selection
from citronport.scheduler.direct import wait_queue

LOG_INTERVAL_SECONDS = 1.0
"""Shortest interval between two log lines of a service."""


class FairQueues:
    """Makes the shares of queues, and logs the requests that wait in them.

    Args:
        cluster_state: current configuration and endpoints.
        selector: computes slot rates.
        loads: profiles of services.
        ticker: the clock.
        log: the event log.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        selector: selection.Selector,
        loads: load_tracker.LoadTracker,
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._cluster_state = cluster_state
        self._selector = selector
        self._ticker = ticker
        self._log = log
        self._expectations = expectations.Expectations(loads)
        self._configuration: models.Configuration | None = None
        self._weights: dict[str, float] = {}
        self._logged_at: dict[str, float] = {}

    def make_shares(self, service: str) -> fair_shares.FairShares:
        """Return the shares for the queue of a service."""
        return fair_shares.FairShares(
            lambda work: self._expectations.estimate_cost(
                work, self._find_service(service)
            ),
            self._get_weights,
        )

    def log_queue(self, name: str, queue: wait_queue.WaitQueue) -> None:
        """Log which workspaces wait for slots of a service.

        Args:
            name: name of the service.
            queue: its queue, in which requests wait.
        """
        now = self._ticker.now()
        logged_at = self._logged_at.get(name, float("-inf"))
        service = self._find_service(name)
        if service is None or now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[name] = now
        waiting = queue.count_by_workspace()
        endpoints = self._cluster_state.list_endpoints(name)
        slot_rate = self._selector.compute_slot_rate(service, endpoints)
        self._log.write(
            events.QueueWaiting(
                service=name,
                waiting=len(queue),
                workspaces=len(waiting),
                longest=max(waiting, key=lambda w: waiting[w]),
                slot_rate=round(slot_rate, 3),
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
