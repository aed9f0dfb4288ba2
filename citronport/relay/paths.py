"""Observes whether this instance has a path to the endpoints."""

import collections.abc
import random

import gevent

from citronport import clock
from citronport.endpoints import connection
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import upstream
from citronport.scheduler.direct import models
from citronport.scheduler.direct import reachability

PROBED_ENDPOINTS = 3
"""Endpoints that one probe connects to. All of them may be down at once, but
hardly ever while this instance has a path to others."""

PROBE_WAIT_SECONDS = 0.05
"""How long a request waits for the outcome of a probe: some round trips. On a
lost path the connections of a probe may hang for much longer."""

PROBE_INTERVAL_SECONDS = 0.25
"""Pause between two probes while the path is lost."""


class Paths:
    """Records the outcomes of connections to endpoints, and probes in doubt.

    A failed connection is a fault of the endpoint only if this instance
    reaches another one afterwards. Otherwise the path may be lost; an
    instance that blamed the endpoints would keep all others from using them.

    Args:
        cluster_state: source of the listed endpoints.
        has_peers: returns whether other instances may have a path.
        handle_regained: called when the path is there again.
        ticker: the clock.
        log: the event log.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        has_peers: collections.abc.Callable[[], bool],
        handle_regained: collections.abc.Callable[[], None],
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._cluster_state = cluster_state
        self._has_peers = has_peers
        self._handle_regained = handle_regained
        self._ticker = ticker
        self._log = log
        self._reachability = reachability.Reachability()
        self._probes: list[gevent.Greenlet] = []

    @property
    def is_lost(self) -> bool:
        """Whether this instance reaches no endpoint now."""
        return self._reachability.is_lost

    def was_lost_since(self, at: float) -> bool:
        """Return whether the path was lost at some time from then on."""
        return self._reachability.was_lost_since(at)

    def record_reached(self) -> None:
        """Record a connection to an endpoint."""
        if self._reachability.record_reached(self._ticker.now()):
            self._log.write(events.PathRegained())
            self._handle_regained()

    def record_failed(self, endpoint: str) -> None:
        """Record a connection to an endpoint that failed."""
        if self._reachability.record_failed(endpoint, self._ticker.now()):
            self._log.write(
                events.PathLost(endpoints=self._reachability.failed_endpoints)
            )

    def may_blame_endpoint(self, failed_since: float) -> bool:
        """Return whether a failed connection is a fault of its endpoint.

        Waits briefly for a probe unless an endpoint was reached since.
        Without other instances that could be misled, each failure is taken
        for a fault of the endpoint: it gets fewer attempts then.

        Args:
            failed_since: clock time from which the connection failed.
        """
        if not self._has_peers():
            return True
        if self._reachability.has_reached_since(failed_since):
            return True
        if not self.is_lost:
            with gevent.Timeout(PROBE_WAIT_SECONDS, False):
                self._probe()
        return self._reachability.has_reached_since(failed_since)

    def probe_forever(self) -> None:
        """Probe at a fixed interval while the path is lost, indefinitely."""
        while True:
            self._ticker.sleep(PROBE_INTERVAL_SECONDS)
            if self.is_lost:
                self._probe()

    def _probe(self) -> None:
        """Connect to some endpoints; return once one is reached, or none."""
        if all(probe.dead for probe in self._probes):
            self._probes = [
                gevent.spawn(self._connect, endpoint)
                for endpoint in self._choose_endpoints()
            ]
        for probe in gevent.iwait(list(self._probes)):
            if probe.value:
                return

    def _connect(self, endpoint: models.Endpoint) -> bool:
        try:
            connection.connect(
                endpoint.address, timeout=upstream.CONNECT_TIMEOUT_SECONDS
            ).close()
        except OSError:
            self.record_failed(endpoint.name)
            return False
        self.record_reached()
        return True

    def _choose_endpoints(self) -> list[models.Endpoint]:
        usable = [
            e
            for e in self._cluster_state.endpoints.values()
            if self._cluster_state.may_use(e)
        ]
        others = [
            e for e in usable if not self._reachability.has_failed(e.name)
        ]
        candidates = others if len(others) >= PROBED_ENDPOINTS else usable
        return random.sample(
            candidates, min(PROBED_ENDPOINTS, len(candidates))
        )
