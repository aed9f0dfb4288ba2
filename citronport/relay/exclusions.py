"""Endpoints that are not chosen for the requests of this instance."""

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import pauses as pauses_module
from citronport.scheduler.direct import wait_queue

MAX_UNREACHABLE_NAMED = 64
"""Endpoints out of reach that a lease request names, for its size."""


class Exclusions:
    """Knows which endpoints concern this instance only, and not the others.

    Args:
        cluster_state: source of the listed endpoints.
        health: health of endpoints.
        pauses: pauses that endpoints ask this instance for.
        ticker: the clock.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        health: health_module.Health,
        pauses: pauses_module.Pauses,
        ticker: clock.Clock,
    ) -> None:
        self._cluster_state = cluster_state
        self._health = health
        self._pauses = pauses
        self._ticker = ticker

    def are_all_paused(self, work: models.Work, service: str) -> bool:
        """Return whether no endpoint takes the request of this instance.

        If all of them have asked for a pause that outlasts the request's
        longest wait, it is refused at once, as other instances may be served.
        """
        now = self._ticker.now()
        listed = self._cluster_state.list_endpoints(service)
        endpoints = work.list_fitting(listed)
        wait = self._pauses.compute_wait(endpoints, now)
        return wait > wait_queue.compute_max_wait(work, now)

    def list_paused(self, service: str) -> frozenset[str]:
        """Return the endpoints that want no request of this instance."""
        return self._pauses.list_names(
            self._cluster_state.list_endpoints(service), self._ticker.now()
        )

    def list_unusable(self, service: str) -> frozenset[str]:
        """Return the endpoints that an owner should not grant this instance.

        The owner may reach an endpoint to which the path of this instance is
        lost, and would grant it again after each failed connection.
        """
        now = self._ticker.now()
        unreachable = [
            e.name
            for e in self._cluster_state.list_endpoints(service)
            if not self._health.may_use(e.name, now)
        ]
        return self.list_paused(service).union(
            unreachable[:MAX_UNREACHABLE_NAMED]
        )
