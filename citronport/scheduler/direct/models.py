"""Data models of direct scheduling; fields document their units."""

import dataclasses
import enum
import functools


class RepeatPolicy(enum.StrEnum):
    """Which requests of a route may be sent a second time."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Share:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Services and guarantees for the requests of one host and path.

    Attributes:
        name: unique in a configuration.
        host: host named by callers, in lower case.
        prefix: path prefix, with a slash at both ends.
        repeat: which requests may be sent a second time.
        timeout: longest time until the final answer, seconds.
        objective: target time for an answer, seconds; for a stream the time
            to its first event.
        tier: priority; 0 is served first.
        shares: services and their weights; never empty.
        max_endpoints: most endpoints on which one request may run.
        public: whether requests need no key.
        resumable: whether a stream may continue at another endpoint.
        max_gap: target for the longest pause between two events, seconds;
            None if not configured.
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
    """Properties common to all engines of a service.

    Attributes:
        slots: concurrent requests.
        cache_tokens: tokens that fit into the memory for running requests
            and cached prompt parts.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """A group of equivalent endpoints.

    Attributes:
        name: unique in a configuration.
        health_path: path of the health check.
        max_connections: connections to one endpoint from all instances.
        cold_seconds: how long an endpoint is cold after a start.
        cold_rate: requests per second that a cold endpoint can take from
            all instances together; 0 for no bound.
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
        name: its name, which is passed on to endpoints.
        tier: overrides the tier of a route; None if it has none.
        rate: units per second over all instances; 0 for no limit.
        burst: units at once beyond the rate.
        counts_tokens: whether a unit is a token; otherwise it is a request.
        plain_tokens: units of a request without token counts.
    """

    name: str
    tier: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on sizes and times of a caller's requests.

    Attributes:
        head_bytes: largest head of a request.
        body_bytes: largest body.
        head_seconds: longest time for a complete head.
        idle_seconds: how long a connection may stay idle.
    """

    head_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: increases with each change.
        routes: all routes.
        services: services by name.
        workspaces: workspaces by name.
        keys: workspace of each caller's key; None where no keys are used.
        limits: limits on callers' connections.
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
        """Return the route with a name, if there is one."""
        return self._routes_by_name.get(name)


StartId = tuple[str, int]
"""Name of an endpoint, and the time of one of its starts."""

Version = tuple[str, str]
"""A service and a version of its endpoints' software."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Endpoint:
    """One start of an endpoint, as the platform lists it.

    Attributes:
        name: unique among running endpoints; usually new at each start.
        service: the service it belongs to.
        address: "ip:port".
        data_centre: its location.
        software: version of its software; streams of two versions do not fit
            together.
        slots: concurrent requests.
        leaving: whether it accepts no new requests, as its entry says or
            one of its answers.
        draining: whether its entry says so.
        cold_seconds: remaining cold time when the listing was written.
        started: time of its start, Unix milliseconds; 0 if unknown.
            Distinguishes two starts under one name.
    """

    name: str
    service: str
    address: str
    data_centre: str
    software: str
    slots: int
    leaving: bool
    cold_seconds: float
    started: int
    draining: bool = False

    @property
    def start_id(self) -> StartId:
        """Key that identifies this start of the endpoint."""
        return (self.name, self.started)

    @property
    def version(self) -> Version:
        """Its service and software version."""
        return (self.service, self.software)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Work:
    """What a request requires of an endpoint.

    Attributes:
        request_id: id of the caller's attempt.
        route: route of the request.
        tier: priority of the workspace or the route; 0 is served first.
        prompt_tokens: tokens of the prompt; 0 for a plain request.
        output_tokens: most tokens to generate.
        expected_tokens: tokens that it will probably generate.
        parts: ids of the prompt's shared parts, in order.
        arrived: clock time at which the head arrived, seconds.
        deadline: clock time by which the final answer is due, seconds.
        software: the only software version that may run it; None if any may.
        is_assigned: whether that version was assigned to a new stream;
            otherwise the stream that it continues has events of it.
        workspace: name of its workspace; empty if no keys are in use.
        data_centre: location of the instance that sends it; empty if
            unknown.
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
    software: str | None = None
    workspace: str = ""
    data_centre: str = ""
    is_assigned: bool = False

    @property
    def is_bound(self) -> bool:
        """Whether it continues a stream, which fits to one version only."""
        return self.software is not None and not self.is_assigned

    def bind(self, software: str) -> "Work":
        """Return the same work after its first event from a version."""
        return dataclasses.replace(self, software=software, is_assigned=False)

    def fits(self, endpoint: Endpoint) -> bool:
        """Return whether the software of an endpoint may run the request."""
        return self.software is None or self.software == endpoint.software

    def list_fitting(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        """Return those of some endpoints that may run the request."""
        if self.software is None:
            return endpoints
        return [e for e in endpoints if e.software == self.software]
