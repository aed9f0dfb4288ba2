"""Data classes of the decision package: events in, actions out.

The package is driven by handing events with the time to
``core.Scheduler.handle`` and carrying out the actions it returns. Nothing
here holds a socket, a clock or a task. Times are clock seconds, lengths are
tokens, rates are tokens a second unless a name says otherwise.
"""

import dataclasses
import enum

from citronport import errors


class Kind(enum.StrEnum):
    """What an endpoint is."""

    ENGINE = "engine"
    SERVICE = "service"


class Service(enum.StrEnum):
    """Whether operators have a thing in service."""

    IN = "in"
    LEAVING = "leaving"
    OUT = "out"


class ColdShare(enum.StrEnum):
    """Part of what a cold start bears that the owner may use.

    The halves belong to two authorities that two instances could hold at
    the same time; see ``ownership``. Of an odd number the upper half is
    the larger one.
    """

    ALL = "all"
    UPPER_HALF = "upper half"
    LOWER_HALF = "lower half"
    NONE = "none"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits of one catalogue entry; None is no limit.

    Attributes:
        requests_per_second: sustained rate over the whole fleet.
        concurrency: requests in progress over the whole fleet.
        tokens_per_second: prompt and answer tokens over the whole fleet.
    """

    requests_per_second: float | None = None
    concurrency: int | None = None
    tokens_per_second: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One catalogue entry: an owner, a class and that owner's limits.

    Attributes:
        name: unique name of the entry.
        workspace: the owner that pays.
        tier: the class, 0 is served first.
        weight: share among workspaces of the same tier.
        limits: the owner's limits.
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
        data_centre: where it stands.
        address: "ip:port".
        concurrency: requests a warm endpoint runs well at once.
        cold_concurrency: requests that a cold start bears at once.
        cold_prompt_tokens: prompt tokens in progress a cold start bears.
        prefill_rate: nominal prompt tokens a second.
        decode_rate: nominal answer tokens a second of one request.
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
    """An entry instance as the platform lists it.

    Attributes:
        name: unique name.
        data_centre: where it stands.
        address: IP number.
        caller_port: where callers connect.
        peer_port: where other instances connect.
        operator_port: where operators connect; 0 if not listed.
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
    """What the platform publishes, as one value with its version.

    Attributes:
        version: catalogue version; a scheduler never goes back.
        data_centres: state by name.
        endpoints: by name.
        entries: by name.
    """

    version: int
    data_centres: dict[str, Service]
    endpoints: dict[str, Endpoint]
    entries: dict[str, Entry]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """A request as the decisions see it; never its content.

    Attributes:
        request_id: unique in the fleet.
        entry: name of the catalogue entry it came in under.
        workspace: the owner that pays.
        tier: 0 is served first.
        model: model name, or service path for a plain service.
        kind: kind of endpoint it needs.
        prompt_tokens: estimate from the length of the body.
        max_tokens: most answer tokens the caller lets it take.
        prefix: hashes of the prompt's leading blocks, longest last.
        deadline: clock time after which the answer is worthless.
        idempotent: False if it may run at most once.
        streamed: False if the answer comes in one piece, so that its
            first token tells nothing of the speed.
    """

    request_id: str
    entry: str
    workspace: str
    tier: int
    model: str
    kind: Kind = Kind.ENGINE
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix: tuple[int, ...] = ()
    deadline: float
    idempotent: bool = True
    streamed: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadReport:
    """What an endpoint says of itself; it comes late.

    Attributes:
        running: requests in the batch.
        queued: requests that wait in the endpoint.
        cold: whether it says that it is in cold start.
        age: how old the report was when it came, seconds.
        received: requests it has received since its start.
    """

    running: int
    queued: int
    cold: bool
    age: float
    received: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceSummary:
    """What an instance tells the others of its own pressure.

    Attributes:
        instance: its name.
        version: catalogue version in force there.
        queued_tokens: work waiting, by tier.
        running: requests in progress, by tier.
        free: requests it could start now, by model.
        drain_rate: tokens a second that it finishes.
        floor: lowest tier that may still be started anywhere; TIERS - 1
            when there is no pressure.
        usage: requests in progress by catalogue entry.
        leaving: whether it takes no new work.
        waits: seconds until a new request would start, by model and tier.
        rates: requests a second admitted, by limited catalogue entry.
        token_rates: tokens a second admitted, by limited entry.
    """

    instance: str
    version: int
    queued_tokens: tuple[int, ...] = (0, 0, 0, 0)
    running: tuple[int, ...] = (0, 0, 0, 0)
    free: dict[str, int] = dataclasses.field(default_factory=dict)
    drain_rate: float = 0.0
    floor: int = 3
    usage: dict[str, int] = dataclasses.field(default_factory=dict)
    leaving: bool = False
    waits: dict[str, tuple[float, ...]] = dataclasses.field(
        default_factory=dict
    )
    rates: dict[str, float] = dataclasses.field(default_factory=dict)
    token_rates: dict[str, float] = dataclasses.field(default_factory=dict)


# Events


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """A request came from a caller, or from another instance.

    Attributes:
        request: the request.
        forwarded: True if another instance sent it; it is then decided
            here and never forwarded again.
        refused_by: instances that said "not run" to it already.
    """

    request: Request
    forwarded: bool = False
    refused_by: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestLeft:
    """The caller of a request is gone."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstToken:
    """The first token of an answer came."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerCut:
    """The connection broke before the answer's end; it may still go on."""

    request_id: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerFinished:
    """An answer is whole.

    Attributes:
        request_id: the request.
        output_tokens: length of the answer.
        cached_tokens: prompt tokens that the endpoint found in its cache.
    """

    request_id: str
    output_tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatchFailed:
    """A dispatch ended without a whole answer.

    Attributes:
        request_id: the request.
        sent: False only if not one byte of it left this process.
        code: what to tell the caller if it is not tried again.
    """

    request_id: str
    sent: bool
    code: errors.Code = errors.Code.ENDPOINT_LOST


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointConnected:
    """The connection to an endpoint came up: a start, cold until shown.

    Attributes:
        endpoint: its name.
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
    """A load report came."""

    endpoint: str
    report: LoadReport


@dataclasses.dataclass(frozen=True, kw_only=True)
class CacheReported:
    """Prefix blocks entered or left an endpoint's cache; late, with gaps."""

    endpoint: str
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    gap: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetChanged:
    """A newer catalogue is in force."""

    fleet: Fleet


@dataclasses.dataclass(frozen=True, kw_only=True)
class OwnershipChanged:
    """The endpoints that this instance may send to changed.

    Attributes:
        owned: endpoints this instance alone sends to.
        suspended: owned ones whose lease is in doubt; nothing may be
            started on one of these while it is cold.
        owners: instance by endpoint, for all endpoints.
        cold_share: part of what each cold owned endpoint bears that may
            be used, requests and prompt tokens alike.
    """

    owned: frozenset[str]
    suspended: frozenset[str] = frozenset()
    owners: dict[str, str] = dataclasses.field(default_factory=dict)
    cold_share: ColdShare = ColdShare.ALL


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceReported:
    """Another instance told of its pressure."""

    summary: InstanceSummary


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceGone:
    """Another instance is out of reach."""

    instance: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeaveOrdered:
    """This instance starts a graceful shutdown: no new work."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimePassed:
    """Nothing came; deadlines and rates are looked at."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReturnOrdered:
    """This instance is back in service and takes new work again."""


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
    """Hand a request to the instance that owns a fitting endpoint."""

    request_id: str
    instance: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refuse:
    """Give a request its final answer at once."""

    request_id: str
    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cancel:
    """Stop a request that runs; its caller is gone or its time is over."""

    request_id: str
    endpoint: str


Action = Dispatch | Forward | Refuse | Cancel
