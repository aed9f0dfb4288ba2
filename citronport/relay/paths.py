"""Observes whether this instance has a path to the endpoints."""

from citronport import clock
from citronport.relay import eventlog
from citronport.relay import events
from citronport.scheduler.direct import reachability


class Paths:
    """Records the outcomes of connections to endpoints.

    Args:
        ticker: the clock.
        log: the event log.
    """

    def __init__(self, ticker: clock.Clock, log: eventlog.Log) -> None:
        self._ticker = ticker
        self._log = log
        self._reachability = reachability.Reachability()

    @property
    def is_lost(self) -> bool:
        """Whether this instance reaches no endpoint now."""
        return self._reachability.is_lost

    def record_reached(self) -> None:
        """Record a connection to an endpoint."""
        if self._reachability.record_reached(self._ticker.now()):
            self._log.write(events.PathRegained())

    def record_failed(self, endpoint: str) -> None:
        """Record a connection to an endpoint that failed."""
        if self._reachability.record_failed(endpoint, self._ticker.now()):
            self._log.write(
                events.PathLost(endpoints=self._reachability.failed_endpoints)
            )
