"""What the decisions on direct sends know; units in each field."""

import dataclasses
import enum
import functools


class RepeatPolicy(enum.StrEnum):
    """What a route allows to be sent a second time."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests of one host and path go, and what they are owed.

    Attributes:
        name: unique in a configuration.
        host: host that callers name, in lower case.
        prefix: beginning of the path, with a slash at both ends.
        repeat: what may be sent a second time.
        timeout: longest time until the final answer, seconds.
        objective: time in which an answer is worth most, seconds; for a
            stream the time to its first event.
        tier: 0 is served first.
        shares: services and their weights; never empty.
        max_endpoints: endpoints on which one request may run, at most.
        public: whether requests need no key.
        resumable: whether a stream may go on at another endpoint.
        max_gap: longest pause between two events in time, seconds; None
            where nothing is said.
    """

    name: str
    host: str
    prefix: str
    repeat: RepeatPolicy
    timeout: float
    objective: float
    tier: int
    shares: tuple[Share, ...]
    max_endpoints: int
    public: bool
    resumable: bool
    max_gap: float | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Engine:
    """What all engines of a service have in common.

    Attributes:
        slots: requests that run at once.
        cache_tokens: memory for running requests and kept prompt parts.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of like endpoints.

    Attributes:
        name: unique in a configuration.
        health_path: path that tells whether an endpoint is well.
        max_connections: connections to one endpoint from all instances.
        cold_seconds: how long an endpoint is cold after a start.
        cold_rate: requests a second that a cold endpoint bears from all
            instances together; 0 for no bound.
        engine: None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Workspace:
    """A paying customer.

    Attributes:
        name: its name, which endpoints are told.
        tier: goes before the tier of a route; None if it has none.
        rate: units a second over all instances; 0 for no limit.
        burst: units at once beyond the rate.
        counts_tokens: whether a unit is a token; else a request.
        plain_tokens: units of a request that tells no tokens.
    """

    name: str
    tier: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: longest head of a request.
        body_bytes: longest body.
        head_seconds: time for a whole head.
        idle_seconds: how long a connection may stay open unused.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of what operators have set.

    Attributes:
        version: grows with each change.
        routes: all routes.
        services: by name.
        workspaces: by name.
        keys: workspace of each caller's key; None where no keys are used.
        limits: for connections of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    keys: dict[str, str] | None
    limits: CallerLimits

    @functools.cached_property
    def _routes_by_name(self) -> dict[str, Route]:
        return {route.name: route for route in self.routes}

    def find_route(self, name: str) -> Route | None:
        """Return a route by its name."""
        return self._routes_by_name.get(name)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """One start of an endpoint, as the platform lists it.

    Attributes:
        name: unique among living endpoints; mostly new at each start.
        service: the service it belongs to.
        address: "ip:port".
        data_centre: where it stands.
        slots: requests that it runs at once.
        leaving: whether it takes no new work.
        cold_seconds: how long it stayed cold when this was written.
        started: time of its start, Unix milliseconds; 0 if unknown. Tells
            two starts under one name apart.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    cold_seconds: float
    started: int

    @property
    def start_id(self) -> tuple[str, int]:
        """What tells this start from all others."""
        return (self.name, self.started)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """What a request asks of an endpoint.

    Attributes:
        request_id: id of the caller's attempt.
        route: where it goes.
        tier: 0 is served first; the workspace's or the route's.
        prompt_tokens: tokens to read; 0 for a plain request.
        output_tokens: most tokens to write.
        expected_tokens: tokens that it probably writes.
        parts: ids of the prompt's shared parts, in order.
        arrived: clock time of the request's head, seconds.
        deadline: clock time by which the final answer is due, seconds.
    """

    request_id: str
    route: Route
    tier: int
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    parts: tuple[str, ...]
    arrived: float
    deadline: float
