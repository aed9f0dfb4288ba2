"""What an instance tells in its log lines.

The name of an event's class and its fields are the line.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The process began to work."""

    incarnation: str
    version: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ready:
    """The instance can serve callers, or no longer can."""

    ready: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """A stop was ordered."""

    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """The process ends."""

    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded:
    """The settings file was read again."""

    accepted: bool
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce:
    """A new version of the configuration is used from now on."""

    version: int
    revision: int
    routes: int
    workspaces: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InputRejected:
    """A value of the store could not be used and was left out."""

    code: int
    key: str
    revision: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreChanged:
    """Operators took a data centre out or back."""

    data_centre: str
    evacuated: bool
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointListed:
    """An endpoint appeared in the list, or its entry changed."""

    endpoint: str
    service: str
    data_centre: str
    leaving: bool
    cold_seconds: float
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointLimited:
    """An endpoint names another limit in its answers than before.

    Attributes:
        endpoint: its name.
        rate: requests a second that it takes from all instances together;
            -1 if it names no limit any more.
    """

    endpoint: str
    rate: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointGone:
    """An endpoint's entry was removed; lapsed: around a store outage."""

    endpoint: str
    revision: int
    lapsed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreLost:
    """The store stopped answering."""

    reason: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreSilent:
    """A question to the store brought no usable answer.

    Attributes:
        reason: what came instead.
        seconds: how long it was out.
        received: bytes of its answer that came.
    """

    reason: str
    seconds: float
    received: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreBack:
    """The store answers again."""

    away_seconds: float
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerChanged:
    """Another instance came into reach or went out of it."""

    peer: str
    in_reach: bool
    known: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewsFromPeer:
    """Changes of the store were taken from another instance.

    Attributes:
        peer: the other instance.
        revision: all changes up to this one are known now.
        items: how many of them were news.
        seconds: how long the fetch took.
        received: bytes that came.
    """

    peer: str
    revision: int
    items: int
    seconds: float
    received: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewsFailed:
    """Another instance knows more, and fetching it failed.

    Attributes:
        peer: the other instance.
        reason: what went wrong.
        seconds: how long the fetch took.
        received: bytes that came and were thrown away.
        behind_seconds: for how long this instance has lacked the news.
    """

    peer: str
    reason: str
    seconds: float
    received: int
    behind_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerChanged:
    """Another instance hands out the places of a service's endpoints."""

    service: str
    pool: int
    owner: str
    candidates: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerSilent:
    """An owner did not answer and is passed over for a while."""

    owner: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestRefused:
    """A request was refused before it was looked for a place.

    Attributes:
        request: its id; empty if its head holds none.
        route: name of the route; empty if none fits.
        code: numbered result code.
        status: HTTP status.
        retry_after: seconds until it may come back; -1 if that is no use.
        version: of the configuration used; 0 without one.
        store_seconds: age of the store's newest answer.
        reach: share of the instances in reach, for limits.
    """

    request: str
    route: str
    code: int
    status: int
    retry_after: float
    version: int
    store_seconds: float
    reach: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestSent:
    """A request goes to an endpoint.

    Attributes:
        request: its id.
        endpoint: chosen.
        attempt: number of the send, from 1.
        waited: seconds in the queue here.
        prompt: tokens to read.
        output: most tokens to write.
        hint: tokens that the caller expects.
        expected: seconds to the first event, as estimated.
        load: requests that are known to be there.
        pace: known pace of the endpoint, milliseconds a step.
        leased: whether the owner of the endpoint chose it.
        fingerprint: the same for all requests that ask for the same.
    """

    request: str
    endpoint: str
    attempt: int
    waited: float
    prompt: int
    output: int
    hint: int
    expected: float
    load: int
    pace: float
    leased: bool
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendFailed:
    """A send brought no answer, or one that it did not run.

    Attributes:
        request: its id.
        endpoint: where it was sent.
        attempt: number of the send, from 1.
        what: what happened.
        ran: "yes", "no" or "maybe".
        cut: whether the endpoint's connection broke under it.
        fingerprint: the same for all requests that ask for the same.
    """

    request: str
    endpoint: str
    attempt: int
    what: str
    ran: str
    cut: bool
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestBarred:
    """An endpoint too many ended under a request; it is not sent any more.

    Attributes:
        request: its id here; its caller repeats it under other ones.
        endpoint: which ended last.
        fingerprint: the same for all requests that ask for the same.
    """

    request: str
    endpoint: str
    fingerprint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestEnded:
    """The caller's request has its final answer, or its caller left.

    Attributes:
        request: its id.
        route: name of the route.
        repeat: what the route allows to be sent a second time.
        objective: seconds in which an answer is worth most.
        max_gap: longest pause of a stream in time, seconds; 0: not said.
        tier: 0 is served first.
        outcome: "answered", "refused", "cut" or "left".
        status: HTTP status; 0 if none was sent.
        code: numbered result code; 0 for an endpoint's own answer.
        endpoint: which answered; empty if none did.
        attempts: sends to endpoints.
        waited: seconds in the queue here.
        first: seconds to the first byte of the answer; -1 without one.
        longest: longest pause between two events of a stream, seconds.
        seconds: from the head of the request to the end.
        version: of the configuration used.
    """

    request: str
    route: str
    repeat: str
    objective: float
    max_gap: float
    tier: int
    outcome: str
    status: int
    code: int
    endpoint: str
    attempts: int
    waited: float
    first: float
    longest: float
    seconds: float
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinesDropped:
    """Lines that were not written since the last such line."""

    count: int
    by_event: dict[str, int]
