"""Typed messages that instances in relay mode exchange.

The codec sends fields by position: their order is part of the protocol,
their names are not.
"""

import collections.abc
from typing import Annotated
import zlib

import msgspec

from citronport import codec
from citronport.relay import message_limits
from citronport.relay import stream_messages

PROTOCOL = 14
"""Version of this protocol; messages of other versions are dropped."""


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """State of an instance, sent to the others several times a second.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        incarnation: unique for each start of its process.
        number: sequence number within the incarnation.
        up_seconds: time since the sender's start.
        data_centre: data centre of the sender.
        capacity: processor cores that the sender has.
        caller_address: its address for callers.
        peer_address: its address for other instances.
        ready: whether callers should use it.
        leaving: whether it is shutting down.
        starting: whether it has a configuration and still discovers others.
        revision: store revision up to which it knows all changes.
        store_seconds: age of the store's latest answer to the sender; -1 if
            the sender is on standby.
        knows_lost: whether it knows items that the store has lost by being
            restored from a copy.
        path_lost: whether it reaches no endpoint.
        admitted_units: units admitted since its start, by workspace.
        loads: for each endpoint with requests or a known pace: its name,
            number of the sender's requests there, prompt tokens not read
            yet, pace in nanoseconds a step (0 if unknown).
        profiles: for each service whose requests it has measured: its name,
            steps until the first event, steps for each prompt token, and
            steps until the end.
        members: selected instances in reach: name, incarnation, address for
            other instances, data centre.
        suspects: requests suspected of crashing endpoints.
        limits: request rates that endpoints named as their limits.
    """

    protocol: int
    instance: message_limits.InstanceName
    incarnation: message_limits.InstanceName
    number: int
    up_seconds: float
    data_centre: message_limits.InstanceName
    capacity: float
    caller_address: message_limits.InstanceName
    peer_address: message_limits.InstanceName
    ready: bool
    leaving: bool
    starting: bool
    revision: int
    store_seconds: float
    knows_lost: bool
    path_lost: bool
    admitted_units: Annotated[dict[str, float], message_limits.ROWS]
    loads: Annotated[list[message_limits.LoadRow], message_limits.ROWS]
    profiles: Annotated[list[message_limits.ProfileRow], message_limits.ROWS]
    members: Annotated[list[message_limits.MemberRow], message_limits.ROWS]
    suspects: Annotated[list[message_limits.SuspectRow], message_limits.ROWS]
    limits: Annotated[list[message_limits.LimitRow], message_limits.ROWS]


class Meet(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a seed for instances of the sender's data centre.

    Attributes:
        protocol: version of the protocol.
        peer_address: address of the sender for other instances.
        data_centre: data centre of the sender.
    """

    protocol: int
    peer_address: message_limits.InstanceName
    data_centre: message_limits.InstanceName


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """State of a data centre, sent by one of its envoys to another one.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        incarnation: unique for each start of its process.
        number: sequence number within the incarnation.
        up_seconds: time since the sender's start.
        data_centre: data centre of the sender and of all rows.
        is_forwarded: whether an instance of the receiver's data centre,
            which got it from the envoy, has forwarded it.
        rows: for each instance in reach: its name, incarnation, number of
            its latest report, age of that report in seconds, and these
            fields of it: ``capacity``, ``caller_address``,
            ``peer_address``, ``ready``, ``leaving``, ``starting``,
            ``revision``, ``store_seconds``, ``knows_lost`` and
            ``path_lost``.
        admitted_units: units that all instances of the data centre have
            admitted since the sender's start, by workspace.
        profiles: as in a report.
        members: as in a report; they let two data centres discover each
            other through a third one.
        suspects: as in a report.
        limits: as in a report.
    """

    protocol: int
    instance: message_limits.InstanceName
    incarnation: message_limits.InstanceName
    number: int
    up_seconds: float
    data_centre: message_limits.InstanceName
    is_forwarded: bool
    rows: Annotated[list[message_limits.StateRow], message_limits.ROWS]
    admitted_units: Annotated[dict[str, float], message_limits.ROWS]
    profiles: Annotated[list[message_limits.ProfileRow], message_limits.ROWS]
    members: Annotated[list[message_limits.MemberRow], message_limits.ROWS]
    suspects: Annotated[list[message_limits.SuspectRow], message_limits.ROWS]
    limits: Annotated[list[message_limits.LimitRow], message_limits.ROWS]


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """A request of a caller that the receiver sends to an endpoint.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender, which has lost its path to endpoints.
        route: name of the request's route.
        service: service that the request goes to.
        version: version of the configuration that it was validated by.
        method: HTTP method.
        target: path and query.
        headers: headers by lower-case name.
        body: the complete body.
        fingerprint: identical for requests with identical content.
        workspace: workspace that was charged; None if no keys are in use.
        elapsed_seconds: time since the request arrived at the sender.
        remaining_seconds: time left for the complete answer.
        tried: names of the endpoints that the sender tried.
        paused: names of the endpoints that want no request of the sender.
        possible_runs: endpoints that have run the request or may have.
        is_counted: whether the sender has sent it to an endpoint, so that a
            further send is a repeat.
        last_event_id: id of the last event that the caller has received;
            None if it has received none.
        software: the only software version that may run it; None if any
            may.
    """

    protocol: int
    instance: message_limits.InstanceName
    route: str
    service: message_limits.EntryName
    version: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    fingerprint: str
    workspace: str | None
    elapsed_seconds: float
    remaining_seconds: float
    tried: list[str]
    paused: list[str]
    possible_runs: int
    is_counted: bool
    last_event_id: str | None
    software: message_limits.EntryName | None


class Want(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the items of the store changed after a revision.

    Attributes:
        protocol: version of the protocol.
        revision: revision up to which the sender knows all changes.
        include_large: whether to include large values.
        include_lost: whether to include what the store has lost.
    """

    protocol: int
    revision: int
    include_large: bool
    include_lost: bool


class Held(msgspec.Struct, frozen=True, kw_only=True):
    """Answers ``Want``.

    Attributes:
        revision: revision up to which the sender knows all changes.
        recovered_seconds: time since the sender saw the latest outage of
            the store end; infinite before the first one.
        keys: keys of all items; none if the receiver knows all changes.
        items: key, value and revision of the requested items.
        is_complete: whether no item was left out because of its size.
        lost: key, value and revision of items that the store has lost by
            being restored from a copy; no value if the item was deleted.
    """

    revision: int
    recovered_seconds: float
    keys: Annotated[list[str], message_limits.ITEMS]
    items: Annotated[list[tuple[str, bytes, int]], message_limits.ITEMS]
    is_complete: bool
    lost: Annotated[list[tuple[str, bytes | None, int]], message_limits.ITEMS]


class Packed(msgspec.Struct, frozen=True, kw_only=True):
    """Holds another message, encoded and compressed with zlib."""

    data: bytes


class Ask(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the owner of a service's endpoints for a slot for a request.

    It is repeated until it is answered and while the request waits. It is
    idempotent: a repetition with the same request id changes nothing.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        request: id of the request.
        service: name of its service.
        route: name of its route.
        tier: its tier; tier 0 is served first.
        prompt: number of prompt tokens.
        output: maximum number of output tokens.
        expected: expected number of output tokens.
        elapsed_seconds: time since the request arrived, seconds.
        remaining_seconds: time until its deadline, seconds.
        tried: endpoints that the request must not be sent to again.
        paused: endpoints that the sender may not or can't use now.
        software: the only software version that may run the request, if any.
        is_assigned: whether that version was assigned to a new stream.
        workspace: workspace of the request; empty if no keys are in use.
        data_centre: data centre of the sender.
    """

    protocol: int
    instance: message_limits.InstanceName
    request: message_limits.RequestId
    service: message_limits.EntryName
    route: str
    tier: int
    prompt: int
    output: int
    expected: int
    elapsed_seconds: float
    remaining_seconds: float
    tried: list[str]
    paused: list[str]
    software: message_limits.EntryName | None
    is_assigned: bool = False
    workspace: str
    data_centre: message_limits.InstanceName


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """Answers ``Ask``: the request has a slot.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        request: id of the request.
        endpoint: endpoint that it may be sent to now.
        seconds: expected time to the first event.
        load: number of requests that run there, including this one.
        pace: pace of the endpoint, nanoseconds a step.
    """

    protocol: int
    instance: message_limits.InstanceName
    request: message_limits.RequestId
    endpoint: message_limits.EntryName
    seconds: float
    load: int
    pace: int


class Queued(msgspec.Struct, frozen=True, kw_only=True):
    """Answers ``Ask``: the request waits for a slot of the sender."""

    protocol: int
    instance: message_limits.InstanceName
    request: message_limits.RequestId


class Full(msgspec.Struct, frozen=True, kw_only=True):
    """Answers ``Ask``: the request would not get a slot in time.

    Attributes:
        seconds: time after which the request may get a slot.
    """

    protocol: int
    instance: message_limits.InstanceName
    request: message_limits.RequestId
    seconds: float


class Declined(msgspec.Struct, frozen=True, kw_only=True):
    """Answers ``Ask``: the sender can't decide on this request."""

    protocol: int
    instance: message_limits.InstanceName
    request: message_limits.RequestId


class Begun(msgspec.Struct, frozen=True, kw_only=True):
    """Notifies the owner that a request got its first event.

    Attributes:
        instance: name of the sender.
        pace: nanoseconds a step, if not known to the sender before; else 0.
        software: software version of the endpoint, as the sender lists it.
    """

    protocol: int
    request: message_limits.RequestId
    endpoint: message_limits.EntryName
    instance: message_limits.InstanceName
    pace: int = 0
    software: message_limits.EntryName


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """Notifies the owner that a request no longer needs its slot.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        request: id of the request.
        endpoint: endpoint of its slot; empty if it stops waiting.
        verdict: a ``runs.Verdict`` on the endpoint.
        pace: measured pace, nanoseconds a step; 0 if not measured.
        seconds: duration of an answer that was not streamed; 0 without one.
        brittle: rejections in a second that the endpoint stands, as it last
            said to the sender; -1 if it did not say that it is brittle.
        brittle_age: age of the answer that said so, seconds; -1 without one.
    """

    protocol: int
    instance: message_limits.InstanceName
    request: message_limits.RequestId
    endpoint: message_limits.EntryName
    verdict: int
    pace: int
    seconds: float
    brittle: float
    brittle_age: float


class EndpointLeaving(msgspec.Struct, frozen=True, kw_only=True):
    """Notifies the owner of an endpoint that the endpoint is leaving.

    Attributes:
        protocol: version of the protocol.
        endpoint: name of the endpoint.
        started: time of its start, Unix milliseconds; 0 if unknown.
    """

    protocol: int
    endpoint: message_limits.EntryName
    started: int


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """Notifies an owner of all leases that the sender holds from it.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        leases: request id, endpoint, and the number of prompt tokens if the
            request has not got its first event yet.
    """

    protocol: int
    instance: message_limits.InstanceName
    leases: Annotated[list[message_limits.LeaseRow], message_limits.ROWS]


LeaseMessage = (
    Ask
    | Granted
    | Queued
    | Full
    | Declined
    | Begun
    | Ended
    | EndpointLeaving
    | Holding
)

InstanceMessage = LeaseMessage | stream_messages.StreamMessage
"""A message to one instance, as a datagram."""

SendMessage = collections.abc.Callable[[str, InstanceMessage], None]
"""Sends a message to the instance with the given name."""

Message = (
    Report | Meet | Summary | Want | Held | Packed | Forward | InstanceMessage
)

CODEC: codec.Codec[Message] = codec.Codec(
    (
        Report,
        Want,
        Held,
        Ask,
        Granted,
        Queued,
        Full,
        Declined,
        Begun,
        Ended,
        Holding,
        Packed,
        Summary,
        Meet,
        EndpointLeaving,
        Forward,
        stream_messages.StreamsBegun,
        stream_messages.FindStream,
        stream_messages.StreamFound,
    ),
    message_limits.MAX_MESSAGE_BYTES,
    dict.fromkeys(
        (Ask, stream_messages.FindStream, stream_messages.StreamFound),
        message_limits.MAX_LEASE_MESSAGE_BYTES,
    ),
)


def pack(message: Message) -> bytes:
    """Return a message compressed, for slow links.

    Each instance fetches the configuration when it changes. With 1,850
    routes it has 450 KB, and ninety transfers would fill links of 10 Mbit/s
    for seconds; compressed it has a thirteenth of that size.
    """
    data = zlib.compress(CODEC.encode(message), level=1)
    return CODEC.encode(Packed(data=data))


def unpack(
    message: Message, max_bytes: int = message_limits.MAX_MESSAGE_BYTES
) -> Message:
    """Return the message in a ``Packed`` one, or any other unchanged.

    Args:
        message: the message received.
        max_bytes: most bytes of the message in it.

    Raises:
        ValueError: the content is invalid or too long.
    """
    if not isinstance(message, Packed):
        return message
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message.data, max_bytes)
    except zlib.error as error:
        raise ValueError("invalid zlib data in Packed message") from error
    if not decompressor.eof:
        raise ValueError(f"Packed message truncated or over {max_bytes} bytes")
    return CODEC.unpack(data)
