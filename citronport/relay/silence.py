"""Finds endpoints that begin no request and skips them."""

import collections.abc

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import eventlog
from citronport.relay import silence_events
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import overdue
from citronport.scheduler.direct import ownership
from citronport.scheduler.direct import selection

MAX_CHECK_GAP_SECONDS = 0.6
"""Longest time between two checks. After a longer one this process was frozen
or had no processor time, and first events may not have been read yet."""


class SilenceCheck:
    """Finds endpoints that begin no request, as far as is known here.

    Args:
        cluster_state: current configuration and endpoints.
        loads: loads of endpoints, and requests without a first event.
        health: health of endpoints.
        cold: endpoints that are cold.
        limits: rate limits announced by endpoints.
        was_path_lost_since: returns whether this instance reached no endpoint
            at some time since a clock time.
        ticker: the clock.
        log: the event log.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        loads: load_tracker.LoadTracker,
        health: health_module.Health,
        cold: cold_starts.ColdStarts,
        limits: endpoint_limits.EndpointLimits,
        was_path_lost_since: collections.abc.Callable[[float], bool],
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._cluster_state = cluster_state
        self._loads = loads
        self._health = health
        self._cold = cold
        self._was_path_lost_since = was_path_lost_since
        self._ticker = ticker
        self._log = log
        self._selector = selection.Selector(loads, health, cold, limits)
        self._checked_at = ticker.now()

    def check(self) -> None:
        """Skip the endpoints that turn out to be silent."""
        now = self._ticker.now()
        gap, self._checked_at = now - self._checked_at, now
        if not self._loads.overdue.factor:
            return
        # What was sent over a path that was lost may still hang.
        if self._was_path_lost_since(now - overdue.GIVEN_UP_RETENTION_SECONDS):
            return
        if gap > MAX_CHECK_GAP_SECONDS:
            return
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        waiting = self._loads.overdue.list_endpoints()
        listed = self._cluster_state.endpoints
        names = {listed[name].service for name in waiting if name in listed}
        for name in names & configuration.services.keys():
            self._check_service(configuration, name, waiting, now)

    def _check_service(
        self,
        configuration: models.Configuration,
        name: str,
        waiting: set[str],
        now: float,
    ) -> None:
        service = configuration.services[name]
        objective = max(
            (
                route.objective
                for route in configuration.routes
                if any(share.service == name for share in route.shares)
            ),
            default=0.0,
        )
        endpoints = self._cluster_state.list_endpoints(name)
        targets = [
            self._make_target(endpoint, service, objective, now)
            for endpoint in endpoints
            if endpoint.name in waiting
        ]
        listed = [endpoint.name for endpoint in endpoints]
        owners = ownership.count_pools(len(listed))
        for silent in self._loads.overdue.find_silent(
            targets, listed, now, owners
        ):
            self._health.record_silent(silent.endpoint, now)
            self._log.write(
                silence_events.EndpointSilent(
                    endpoint=silent.endpoint,
                    overdue=silent.overdue,
                    age=silent.age,
                    expected=silent.expected,
                )
            )

    def _make_target(
        self,
        endpoint: models.Endpoint,
        service: models.Service,
        objective: float,
        now: float,
    ) -> overdue.Target:
        return overdue.Target(
            name=endpoint.name,
            seconds=self._selector.estimate_waiting(service, endpoint),
            objective=objective,
            may_delay=self._cold.is_cold(endpoint.name, now)
            or has_begun_on_all_slots(self._loads, endpoint, service),
        )


def has_begun_on_all_slots(
    loads: load_tracker.LoadTracker,
    endpoint: models.Endpoint,
    service: models.Service | None,
) -> bool:
    """Return whether an engine's slots are all taken by requests that run.

    What runs at a plain endpoint is not known: it has begun nothing before
    its answer.
    """
    if service is None or service.engine is None:
        return False
    requests = loads.count_requests(endpoint.name)
    waiting = loads.overdue.count_waiting(endpoint.name)
    return requests - waiting >= endpoint.slots
