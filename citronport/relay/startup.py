"""Determines whether an instance still starts or is ready for callers."""

import collections.abc

import gevent

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import membership

PEER_DISCOVERY_SECONDS = 0.6
"""Longest time after a start to wait for the other instances to be known.
There may be none."""


class Startup:
    """State of this instance between its start and its shutdown.

    Args:
        started_at: clock time at which this instance started, seconds.
        cluster_state: source of the configuration.
        members: the other instances.
        is_leaving: returns whether this instance is shutting down.
        misses_lost_items: returns whether items that the store has lost are
            still to be fetched from other instances.
        knows_owners: returns whether other instances may own endpoints;
            None if discovery does not wait for them.
        report_change: reports to other instances; called after each change
            if discovery waits for owners, never while a report is made.
        ticker: the clock.
        log: the event log.
    """

    def __init__(
        self,
        started_at: float,
        cluster_state: cluster_state_module.ClusterState,
        members: membership.Membership,
        is_leaving: collections.abc.Callable[[], bool],
        misses_lost_items: collections.abc.Callable[[], bool],
        knows_owners: collections.abc.Callable[[], bool] | None,
        report_change: collections.abc.Callable[[], None],
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._started_at = started_at
        self._cluster_state = cluster_state
        self._members = members
        self._is_leaving = is_leaving
        self._misses_lost_items = misses_lost_items
        self._knows_owners = knows_owners
        self._report_change = report_change
        self._ticker = ticker
        self._log = log
        self._ready = False
        self._starting = False

    def is_ready(self) -> bool:
        """Return whether callers should use this instance."""
        may_serve = self._may_serve()
        starting = may_serve and self.is_discovering()
        ready = may_serve and not starting
        if (ready, starting) == (self._ready, self._starting):
            return ready
        if ready != self._ready:
            self._log.write(events.Ready(ready=ready))
        self._ready, self._starting = ready, starting
        if self._knows_owners is not None:
            # Making a report calls is_ready, so report from another greenlet
            # to avoid recursion.
            gevent.spawn(self._report_change)
        return ready

    def is_starting(self) -> bool:
        """Return whether it has a configuration and discovers the others.

        It is the state at the last call of ``is_ready``, so that one report
        has consistent values.
        """
        return self._starting

    def is_discovering(self) -> bool:
        """Return whether requests should wait for peer discovery.

        When all instances restart at once, the requests of about two seconds
        are retried at the first instances that are up. An instance that
        knows no peers assumes that it has all endpoints to itself; a hundred
        such instances send each endpoint many times its capacity, and the
        endpoints reject requests that could have waited for a moment.
        """
        now = self._ticker.now()
        if now - self._started_at >= PEER_DISCOVERY_SECONDS:
            return False
        return (
            self._members.is_growing(now)
            or self._misses_lost_items()
            or (self._knows_owners is not None and not self._knows_owners())
        )

    def _may_serve(self) -> bool:
        return (
            self._cluster_state.configuration is not None
            and not self._is_leaving()
        )
