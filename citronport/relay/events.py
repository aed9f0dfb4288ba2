"""Events that an instance writes to its log.

The name of a class is the name of its event, and its fields are those of the
line: both are part of the log format.
"""

import msgspec


class Started(msgspec.Struct, frozen=True, kw_only=True):
    """The process started."""

    incarnation: str
    version: str


class Ready(msgspec.Struct, frozen=True, kw_only=True):
    """The readiness of the instance changed."""

    ready: bool


class Leaving(msgspec.Struct, frozen=True, kw_only=True):
    """A graceful shutdown was requested."""

    requests: int


class Stopped(msgspec.Struct, frozen=True, kw_only=True):
    """The process exits."""

    requests: int


class SettingsReloaded(msgspec.Struct, frozen=True, kw_only=True):
    """The settings file was read again."""

    accepted: bool
    detail: str


class ConfigurationInForce(msgspec.Struct, frozen=True, kw_only=True):
    """A new version of the configuration took effect."""

    version: int
    revision: int
    routes: int
    workspaces: int


class InputRejected(msgspec.Struct, frozen=True, kw_only=True):
    """A value in the store is invalid and was ignored."""

    code: int
    key: str
    revision: int
    reason: str


class DataCentreChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Operators evacuated a data centre or ended its evacuation."""

    data_centre: str
    evacuated: bool
    revision: int


class EndpointListed(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint appeared in the list, or its entry changed."""

    endpoint: str
    service: str
    data_centre: str
    software: str
    leaving: bool
    cold_seconds: float
    revision: int


class EndpointLimited(msgspec.Struct, frozen=True, kw_only=True):
    """The limit that an endpoint names in its answers changed.

    Attributes:
        endpoint: name of the endpoint.
        rate: requests a second that it accepts from all instances together;
            -1 if it no longer names a limit.
    """

    endpoint: str
    rate: float


class EndpointBrittle(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint stated that it is brittle, or that it no longer is.

    Attributes:
        endpoint: name of the endpoint.
        rejections: requests that it stands to turn away in a second; -1 if
            it is no longer brittle.
    """

    endpoint: str
    rejections: float


class EndpointLeaving(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint stated in an answer that it is leaving.

    Attributes:
        endpoint: name of the endpoint.
        started: time of its start, Unix milliseconds; 0 if unknown.
    """

    endpoint: str
    started: int


class EndpointPaused(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint turned a request away and asked for a pause.

    Attributes:
        endpoint: name of the endpoint.
        seconds: how long it wants no request of this instance.
    """

    endpoint: str
    seconds: float


class EndpointUnreachable(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that holds a lease reported its endpoint out of reach.

    Attributes:
        endpoint: name of the endpoint.
        reporter: name of that instance, which may be this one.
    """

    endpoint: str
    reporter: str


class PathLost(msgspec.Struct, frozen=True, kw_only=True):
    """This instance reaches no endpoint any more.

    Attributes:
        endpoints: endpoints that failed since one was last reached.
    """

    endpoints: int


class PathRegained(msgspec.Struct, frozen=True, kw_only=True):
    """This instance reaches an endpoint again."""


class EndpointGone(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's entry was removed.

    Attributes:
        endpoint: name of the endpoint.
        revision: store revision of the removal.
    """

    endpoint: str
    revision: int


class ChangeDeferred(msgspec.Struct, frozen=True, kw_only=True):
    """A change may be due to what the store has lost, and waits.

    It takes effect unless its key changes before.

    Attributes:
        key: key in the store.
        deleted: whether the key was removed.
        restored: whether the store was restored from a copy before; otherwise
            entries may have expired in an outage.
        revision: store revision of the change.
    """

    key: str
    deleted: bool
    restored: bool
    revision: int


class StoreLost(msgspec.Struct, frozen=True, kw_only=True):
    """The store stopped answering."""

    reason: str
    revision: int


class StoreSilent(msgspec.Struct, frozen=True, kw_only=True):
    """A call to the store failed.

    Attributes:
        reason: the error.
        seconds: duration of the call.
        received: bytes of the answer that were received.
    """

    reason: str
    seconds: float
    received: int


class StoreBack(msgspec.Struct, frozen=True, kw_only=True):
    """The store answers again."""

    away_seconds: float
    revision: int


class StoreRestored(msgspec.Struct, frozen=True, kw_only=True):
    """The store came back from an older copy and has lost changes.

    Attributes:
        era: how often it has been restored, as it states.
        revision: revision up to which all changes were known before.
    """

    era: int
    revision: int


class StoreCompacted(msgspec.Struct, frozen=True, kw_only=True):
    """The store refused a watch, as it lacks the history; it is read again.

    Attributes:
        revision: revision up to which all changes were known.
        refused: watches refused since the last one that was answered.
    """

    revision: int
    refused: int


class PeerChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Another instance came into reach or went out of reach."""

    peer: str
    in_reach: bool
    known: int


class NewsFromPeer(msgspec.Struct, frozen=True, kw_only=True):
    """Changes of the store were fetched from another instance.

    Attributes:
        peer: name of the other instance.
        revision: store revision up to which the other instance knows all
            changes.
        items: number of changes that were not known yet.
        lost: number of items that the store has lost by being restored.
        seconds: duration of the fetch.
        received: bytes received.
    """

    peer: str
    revision: int
    items: int
    lost: int
    seconds: float
    received: int


class NewsFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Another instance is ahead, and the fetch of its changes failed.

    Attributes:
        peer: name of the other instance.
        reason: type of the error.
        seconds: duration of the fetch.
        received: bytes received and discarded.
        behind_seconds: time for which other instances have been ahead.
    """

    peer: str
    reason: str
    seconds: float
    received: int
    behind_seconds: float


class OwnerChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The owner of a service's endpoints changed; it may still be starting."""

    service: str
    pool: int
    owner: str
    candidates: int
    starting: bool


class OwnerSilent(msgspec.Struct, frozen=True, kw_only=True):
    """An owner did not answer and is skipped temporarily."""

    owner: str


class RequestRefused(msgspec.Struct, frozen=True, kw_only=True):
    """A request was refused before it was queued for a slot.

    Attributes:
        request: id of the request; empty if its head holds none.
        route: name of the route; empty if none matches.
        code: numbered result code.
        status: HTTP status.
        retry_after: seconds after which to retry; -1 if a retry is of no
            use.
        version: version of the configuration used; 0 without one.
        store_seconds: age of the store's latest answer.
        reach: share of the known instances in reach, which limits depend
            on.
        workspace: workspace of the key; empty if there is none.
    """

    request: str
    route: str
    code: int
    status: int
    retry_after: float
    version: int
    store_seconds: float
    reach: float
    workspace: str


class RequestSent(msgspec.Struct, frozen=True, kw_only=True):
    """A request is sent to an endpoint.

    Attributes:
        request: id of the request.
        endpoint: name of the chosen endpoint.
        software: version of its software.
        remote: whether it is known to be in another data centre.
        resumes: attempt that began the stream, if its caller names one.
        after: id of its last event that the caller has; empty if none.
        attempt: number of the send, from 1.
        waited: seconds in the queue of this instance.
        prompt: number of prompt tokens.
        output: maximum number of output tokens.
        hint: number of output tokens that the caller expects.
        expected: estimated seconds to the first event.
        load: requests that are known to run there.
        pace: known pace of the endpoint, milliseconds a step.
        leased: whether the owner of the endpoint chose it.
        fingerprint: identical for requests with identical content.
        parts: ids of the first parts of its prompt, in order.
        repeat_delay: seconds since the budget of repeats allowed this send;
            -1 if it needed none.
    """

    request: str
    endpoint: str
    software: str
    remote: bool
    resumes: str
    after: str
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
    parts: list[str]
    repeat_delay: float


class RepeatDecided(msgspec.Struct, frozen=True, kw_only=True):
    """The budget of repeats allowed or refused a further send.

    Attributes:
        request: id of the request.
        service: service that it goes to.
        allowed: whether it may be sent once more.
        first_sends: first sends here that the budget rests on.
        repeats: repeats that count against it, without this one.
        limit: repeats that this instance may make in a window.
        instances: number of instances that the fixed part is divided by;
            -1 if it is unknown, so that none of it is used.
        new_share: share of the instances in reach that have just started.
        known_seconds: time since which the budget knows all sends here.
    """

    request: str
    service: str
    allowed: bool
    first_sends: int
    repeats: int
    limit: float
    instances: float
    new_share: float
    known_seconds: float


class RequestForwarded(msgspec.Struct, frozen=True, kw_only=True):
    """A request is sent by way of another instance, as the path is lost.

    Attributes:
        request: id of the request.
        peer: name of the other instance; its log has the further lines.
        attempt: number of the send, from 1.
    """

    request: str
    peer: str
    attempt: int


class ForwardFailed(msgspec.Struct, frozen=True, kw_only=True):
    """Another instance did not answer a forwarded request.

    Attributes:
        request: id of the request.
        peer: name of the other instance.
        what: description of the failure.
        ran: whether the request ran: "no" or "maybe".
    """

    request: str
    peer: str
    what: str
    ran: str


class SendFailed(msgspec.Struct, frozen=True, kw_only=True):
    """A send got no answer, or the answer that the request did not run.

    Attributes:
        request: id of the request.
        endpoint: name of the endpoint.
        attempt: number of the send, from 1.
        what: description of the failure.
        ran: whether the request ran: "yes", "no" or "maybe".
        cut: whether the endpoint's connection broke during the send.
        events: events of a stream received until then.
        fingerprint: identical for requests with identical content.
    """

    request: str
    endpoint: str
    attempt: int
    what: str
    ran: str
    cut: bool
    events: int
    fingerprint: str


class RequestBarred(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a request is barred, as it made too many endpoints crash.

    Attributes:
        request: id of this attempt; its caller repeats it with other ids.
        endpoint: name of the endpoint that crashed last.
        fingerprint: identical for requests with identical content.
        whole: whether only requests with that fingerprint are barred.
        parts: ids of the parts of its prompt with which, taken together,
            requests are barred.
    """

    request: str
    endpoint: str
    fingerprint: str
    whole: bool
    parts: list[str]


class QueueWaiting(msgspec.Struct, frozen=True, kw_only=True):
    """Requests wait for slots that workspaces share fairly.

    Attributes:
        service: the service.
        waiting: waiting requests of all instances.
        workspaces: workspaces that they belong to.
        longest: workspace with the most waiting requests.
        slot_rate: slots that become free per second.
    """

    service: str
    waiting: int
    workspaces: int
    longest: str
    slot_rate: float


class LinesDropped(msgspec.Struct, frozen=True, kw_only=True):
    """Lines were dropped since the last such line."""

    count: int
    by_event: dict[str, int]
