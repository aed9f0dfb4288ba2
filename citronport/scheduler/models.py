"""Data classes of the scheduler: input events and resulting actions.

The driver passes each event and the current time to
``core.Scheduler.handle`` and carries out the actions it returns. Nothing
here holds a socket, a clock or a task. Unless stated otherwise, times are
clock seconds, lengths are tokens and rates are tokens per second.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from citronport import errors

Prefix = Annotated[tuple[int, ...], msgspec.Meta(max_length=256)]
"""Hashes of the leading blocks of a prompt."""


MAX_SUMMARY_ROWS = 4096
"""Most rows of one kind in a summary: models, or entries of the catalogue."""

MAX_NAME_CHARS = 256

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]
"""Name of a model or of an entry of the catalogue."""

_ROWS = msgspec.Meta(max_length=MAX_SUMMARY_ROWS)
_TIERS = msgspec.Meta(max_length=16)


class Kind(enum.StrEnum):
    """Type of an endpoint."""

    ENGINE = "engine"
    SERVICE = "service"


class Service(enum.StrEnum):
    """Service state set by operators."""

    IN = "in"
    LEAVING = "leaving"
    OUT = "out"


class ColdShare(enum.StrEnum):
    """Share of an endpoint's cold-start capacity that its owner may use.

    Each half belongs to one of two authorities, which two instances
    can hold at the same time; see ``ownership``. The upper half of an odd
    number is the larger one.
    """

    ALL = "all"
    UPPER_HALF = "upper half"
    LOWER_HALF = "lower half"
    NONE = "none"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of one catalogue entry; None means unlimited.

    Attributes:
        requests_per_second: sustained rate across the fleet.
        concurrency: requests in progress across the fleet.
        tokens_per_second: prompt and answer tokens across the fleet.
    """

    requests_per_second: float | None = None
    concurrency: int | None = None
    tokens_per_second: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One catalogue entry: a workspace, its tier and its limits.

    Attributes:
        name: unique name of the entry.
        workspace: workspace that is charged.
        tier: priority; 0 is served first.
        weight: share among workspaces of the same tier.
        limits: limits of the entry.
    """

    name: str
    workspace: str
    tier: int
    weight: float = 1.0
    limits: Limits = Limits()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Endpoint:
    """An endpoint as the catalogue describes it.

    Attributes:
        name: unique name.
        kind: engine or plain service.
        models: model names (engine) or service paths (service).
        data_centre: name of its data centre.
        address: "ip:port".
        concurrency: concurrent requests that it handles well when warm.
        cold_concurrency: concurrent requests allowed in a cold start.
        cold_prompt_tokens: prompt tokens in progress allowed in a cold
            start.
        prefill_rate: nominal prompt tokens per second.
        decode_rate: nominal answer tokens per second of one request.
        cache_tokens: prefix cache size.
        state: in service, leaving or out.
    """

    name: str
    kind: Kind
    models: tuple[str, ...]
    data_centre: str
    address: str
    concurrency: int = 8
    cold_concurrency: int = 1
    cold_prompt_tokens: int = 2000
    prefill_rate: float = 2000.0
    decode_rate: float = 50.0
    cache_tokens: int = 100_000
    state: Service = Service.IN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
    """An instance as the platform lists it.

    Attributes:
        name: unique name.
        data_centre: name of its data centre.
        address: IP address.
        caller_port: port for callers.
        peer_port: port for other instances.
        operator_port: port for operators; 0 if not listed.
        state: in service, leaving or out.
    """

    name: str
    data_centre: str
    address: str
    caller_port: int
    peer_port: int
    operator_port: int = 0
    state: Service = Service.IN


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fleet:
    """Versioned snapshot of what the platform publishes.

    Attributes:
        version: catalogue version; a scheduler ignores older ones.
        data_centres: service state by name.
        endpoints: endpoints by name.
        entries: catalogue entries by name.
    """

    version: int
    data_centres: dict[str, Service]
    endpoints: dict[str, Endpoint]
    entries: dict[str, Entry]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Scheduling attributes of a request; excludes its content.

    Attributes:
        request_id: unique in the fleet.
        entry: name of the catalogue entry it was sent under.
        workspace: workspace that is charged.
        tier: priority; 0 is served first.
        model: model name, or service path for a plain service.
        kind: kind of endpoint it needs.
        prompt_tokens: estimate from the length of the body.
        max_tokens: upper bound of the answer length set by the caller.
        prefix: hashes of the prompt's leading blocks, longest last.
        deadline: clock time after which the answer is of no use.
        idempotent: False if it may run at most once.
        streamed: False if the answer arrives in one piece; its first
            token then gives no measure of speed.
    """

    request_id: str
    entry: str
    workspace: str
    tier: int
    model: str
    kind: Kind = Kind.ENGINE
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: Prefix = ()
    deadline: float
    idempotent: bool = True
    streamed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """Load that an endpoint reports about itself, with a delay.

    Attributes:
        running: requests in the batch.
        queued: requests waiting inside the endpoint.
        cold: whether it reports a cold start.
        age: age of the report on arrival, seconds.
        received: requests received since its start.
    """

    running: int
    queued: int
    cold: bool
    age: float
    received: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceSummary:
    """Load summary that an instance sends to the others.

    Attributes:
        instance: name of the instance.
        version: catalogue version in force there.
        queued_tokens: tokens of queued requests, by tier.
        running: requests in progress, by tier.
        free: requests it could start now, by model.
        drain_rate: tokens completed per second.
        floor: lowest tier that any instance may still start; TIERS - 1
            if there is no pressure.
        usage: requests in progress by catalogue entry.
        leaving: whether it accepts no new work.
        waits: seconds until a new request would start, by model and tier.
        rates: requests per second admitted, by limited catalogue entry.
        token_rates: tokens per second admitted, by limited entry.
    """

    instance: Name
    version: int
    queued_tokens: Annotated[tuple[int, ...], _TIERS] = (0, 0, 0, 0)
    running: Annotated[tuple[int, ...], _TIERS] = (0, 0, 0, 0)
    free: Annotated[dict[Name, int], _ROWS] = dataclasses.field(
        default_factory=dict
    )
    drain_rate: float = 0.0
    floor: int = 3
    usage: Annotated[dict[Name, int], _ROWS] = dataclasses.field(
        default_factory=dict
    )
    leaving: bool = False
    waits: Annotated[
        dict[Name, Annotated[tuple[float, ...], _TIERS]], _ROWS
    ] = dataclasses.field(default_factory=dict)
    rates: Annotated[dict[Name, float], _ROWS] = dataclasses.field(
        default_factory=dict
    )
    token_rates: Annotated[dict[Name, float], _ROWS] = dataclasses.field(
        default_factory=dict
    )


# Events


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """A request arrived from a caller or from another instance.

    Attributes:
        request: the request.
        forwarded: True if another instance sent it; it is then started or
            refused here and never forwarded again.
        refused_by: instances that have answered "not run" to it.
    """

    request: Request
    forwarded: bool = False
    refused_by: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLeft:
    """The caller of a request disconnected."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstToken:
    """The first token of an answer arrived."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerCut:
    """The connection broke mid-answer; the endpoint may still work on it."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerFinished:
    """An answer is complete.

    Attributes:
        request_id: the request.
        output_tokens: length of the answer.
        cached_tokens: prompt tokens found in the endpoint's cache.
    """

    request_id: str
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatchFailed:
    """A dispatch ended without a complete answer.

    Attributes:
        request_id: the request.
        sent: False only if no byte of it left this process.
        code: error code for the caller if it is not retried.
    """

    request_id: str
    sent: bool
    code: errors.Code = errors.Code.ENDPOINT_LOST


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointConnected:
    """The connection to an endpoint was established.

    It counts as a new start of the endpoint, which is taken as cold until
    there is evidence of warmth.

    Attributes:
        endpoint: name of the endpoint.
        start: number of the start, unique in this process.
    """

    endpoint: str
    start: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointLost:
    """The connection to an endpoint broke."""

    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointReported:
    """A load report of an endpoint arrived."""

    endpoint: str
    report: LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheReported:
    """Prefix blocks entered or left an endpoint's cache.

    Arrives with a delay; some of these events may be missing.
    """

    endpoint: str
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    gap: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetChanged:
    """A newer catalogue version is in force."""

    fleet: Fleet


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnershipChanged:
    """The set of endpoints that this instance may send to changed.

    Attributes:
        owned: endpoints that only this instance sends to.
        suspended: owned endpoints whose lease is uncertain; no request
            may start on one of these while it is cold.
        owners: instance by endpoint, for all endpoints.
        cold_share: usable share of the cold-start capacity of each owned
            endpoint, for requests and prompt tokens alike.
    """

    owned: frozenset[str]
    suspended: frozenset[str] = frozenset()
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    cold_share: ColdShare = ColdShare.ALL


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceReported:
    """A summary of another instance arrived."""

    summary: InstanceSummary


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceGone:
    """Another instance is unreachable."""

    instance: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaveOrdered:
    """This instance starts a graceful shutdown and accepts no new work."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimePassed:
    """Periodic tick; deadlines and pressure are checked."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReturnOrdered:
    """This instance is back in service and accepts new work again."""


Event = (
    RequestArrived
    | RequestLeft
    | FirstToken
    | AnswerCut
    | AnswerFinished
    | DispatchFailed
    | EndpointConnected
    | EndpointLost
    | EndpointReported
    | CacheReported
    | FleetChanged
    | OwnershipChanged
    | InstanceReported
    | InstanceGone
    | LeaveOrdered
    | ReturnOrdered
    | TimePassed
)


# Actions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Dispatch:
    """Send a request to an endpoint, at most once."""

    request_id: str
    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forward:
    """Forward a request to the instance that owns a suitable endpoint."""

    request_id: str
    instance: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Send a request its final refusal immediately."""

    request_id: str
    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Stop a running request whose caller left or whose deadline passed."""

    request_id: str
    endpoint: str


Action = Dispatch | Forward | Refuse | Cancel
