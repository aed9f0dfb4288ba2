"""Finds the route and the service of a request."""

import collections.abc
import itertools

from citronport.scheduler.direct import models


class Routes:
    """Finds the route of a host and path.

    Args:
        routes: all routes of a configuration.
    """

    def __init__(self, routes: collections.abc.Iterable[models.Route]) -> None:
        self._by_host: dict[str, dict[str, models.Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> models.Route | None:
        """Return the route with the longest matching path prefix."""
        by_prefix = self._by_host.get(host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        # Prefixes end with a slash, so that only the parts of the path up to
        # each slash are looked up, regardless of the number of routes.
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def get(self, host: str, prefix: str) -> models.Route | None:
        """Return the route of exactly a host and prefix."""
        return self._by_host.get(host, {}).get(prefix)

    def list_routes(self) -> list[models.Route]:
        """Return all routes."""
        return [
            route
            for by_prefix in self._by_host.values()
            for route in by_prefix.values()
        ]


def choose_service(route: models.Route, draw: float) -> str:
    """Return the service for one request of a route.

    Args:
        route: the route.
        draw: random number in the half-open interval from 0 to 1.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    ends = list(itertools.accumulate(s.weight for s in route.shares))
    point = draw * ends[-1]
    for share, end in zip(route.shares, ends, strict=True):
        if point < end:
            return share.service
    return route.shares[-1].service
