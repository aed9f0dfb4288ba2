"""Services at which streams may have begun by earlier routes."""

import dataclasses

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import routing
from citronport.scheduler.direct import software_history


class RouteHistory:
    """Routes in force now, and others within ``KEEP_SECONDS``.

    Args:
        cluster_state: source of the routes in force.
        ticker: the clock.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        ticker: clock.Clock,
    ) -> None:
        self._cluster_state = cluster_state
        self._ticker = ticker
        self._current = cluster_state.routes
        self._past: list[_Past] = []

    def update(self) -> None:
        """Take over the routes in force; forget old ones."""
        now = self._ticker.now()
        before, self._current = self._current, self._cluster_state.routes
        if before is not self._current:
            self._past += _list_past(before, self._current, now)
        if self._past:
            self._past = [
                past
                for past in self._past
                if now - past.until <= software_history.KEEP_SECONDS
            ]

    def list_services(self, route: models.Route, draw: float) -> set[str]:
        """Return the services at which a stream of a route may have begun.

        Args:
            route: the route by which the stream would go on.
            draw: the number that chooses the service of the stream.
        """
        self.update()
        routes = [route]
        current = self._current.find(route.host, route.prefix)
        if current is not None:
            routes.append(current)
        for past in self._past:
            if past.host == route.host and (
                past.prefix == route.prefix
                or (past.is_removed and past.prefix.startswith(route.prefix))
            ):
                routes.append(past.route)
        return {routing.choose_service(r, draw) for r in routes}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Past:
    """An earlier route of the requests of a host and path prefix.

    Attributes:
        host: the host.
        prefix: the path prefix.
        route: their earlier route.
        is_removed: whether the prefix has no route of its own any more.
        until: clock time until which the route was in force, seconds.
    """

    host: str
    prefix: str
    route: models.Route
    is_removed: bool
    until: float


def _list_past(
    before: routing.Routes, after: routing.Routes, now: float
) -> list[_Past]:
    """Return the routes that changed, were removed, or got parts."""
    past = []
    for route in before.list_routes():
        current = after.get(route.host, route.prefix)
        if current is None or current.shares != route.shares:
            past.append((route.prefix, route, current is None))
    for route in after.list_routes():
        if before.get(route.host, route.prefix) is None:
            whole = before.find(route.host, route.prefix)
            if whole is not None:
                past.append((route.prefix, whole, False))
    return [
        _Past(
            host=route.host,
            prefix=prefix,
            route=route,
            is_removed=is_removed,
            until=now,
        )
        for prefix, route, is_removed in past
    ]
