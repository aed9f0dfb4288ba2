"""Typed messages between instances that send by themselves."""

import collections.abc
import dataclasses
import zlib

from citronport import codec
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import suspects

PROTOCOL = 7
"""Version of this protocol; others are not understood."""

MAX_MESSAGE_BYTES = 8_000_000
"""A store with values of 1 MB and some thousand endpoints fits."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """What an instance tells the others several times a second.

    Attributes:
        protocol: version of the protocol.
        instance: the sender.
        incarnation: unique for each start of its process.
        number: grows with each report of an incarnation.
        data_centre: where the sender stands.
        capacity: processor cores that the sender has.
        callers: its address for callers.
        peers: its address for other instances.
        ready: whether callers should use it.
        leaving: whether it is shutting down.
        revision: of the store, up to which it knows all changes.
        store_seconds: age of the store's newest answer to the sender; -1 if
            it leaves the store to others.
        passed: units let pass since its start, by workspace.
        loads: for each endpoint with work or a known pace: its name, own
            requests there, prompt tokens not read yet, pace in
            nanoseconds a step (0: not known).
        profiles: for each service of which it has learnt what requests
            take: its name, steps until a first event, for each prompt
            token, and until the end.
        members: instances that it has heard of lately: name, incarnation,
            address for other instances, data centre.
        suspects: requests under which endpoints ended.
        limits: what endpoints in need have said they take.
    """

    protocol: int
    instance: str
    incarnation: str
    number: int
    data_centre: str
    capacity: float
    caller_address: str
    peer_address: str
    ready: bool
    leaving: bool
    revision: int
    store_seconds: float
    admitted_units: dict[str, float]
    loads: list[tuple[str, int, int, int]]
    profiles: list[tuple[str, float, float, float]]
    members: list[tuple[str, str, str, str]]
    suspects: list[suspects.Row]
    limits: list[endpoint_limits.Row]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Meet:
    """Asks a seed for instances of one's own data centre.

    Attributes:
        protocol: version of the protocol.
        peers: address of the sender for other instances.
        data_centre: where it stands.
    """

    protocol: int
    peer_address: str
    data_centre: str


Row = tuple[str, str, int, float, float, str, str, bool, bool, int, float]
"""What a summary tells of one instance; see ``Summary.rows``."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Summary:
    """What an envoy tells another data centre of its own one.

    Attributes:
        protocol: version of the protocol.
        instance: the sender.
        incarnation: unique for each start of its process.
        number: grows with each summary of an incarnation.
        data_centre: where the sender and all of these instances stand.
        passed_on: whether it comes from an instance of the receiver's own
            data centre, which has got it from the envoy.
        rows: of each instance in reach its name, incarnation, number of
            its report, age of that in seconds, and as the report tells
            them ``capacity``, ``callers``, ``peers``, ``ready``,
            ``leaving``, ``revision`` and ``store_seconds``.
        passed: units that all instances there let pass since the sender's
            start, by workspace.
        profiles: as in a report.
        members: as in a report; two data centres that do not know each
            other hear of each other by a third one.
        suspects: as in a report.
        limits: as in a report.
    """

    protocol: int
    instance: str
    incarnation: str
    number: int
    data_centre: str
    is_forwarded: bool
    rows: list[Row]
    admitted_units: dict[str, float]
    profiles: list[tuple[str, float, float, float]]
    members: list[tuple[str, str, str, str]]
    suspects: list[suspects.Row]
    limits: list[endpoint_limits.Row]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Want:
    """Asks for what the store holds beyond a revision.

    Attributes:
        protocol: version of the protocol.
        revision: up to which the sender knows all changes.
        whole: whether large values are wanted, too.
    """

    protocol: int
    revision: int
    include_large: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """Answers ``Want``.

    Attributes:
        revision: up to which the sender knows all changes.
        returned_seconds: time since the store was last back after an
            outage, as the sender saw it; infinite if it never was away.
        keys: of all items.
        items: key, value and revision of those that were asked for.
        whole: whether none was left out for its size.
    """

    revision: int
    recovered_seconds: float
    keys: list[str]
    items: list[tuple[str, bytes, int]]
    is_complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Packed:
    """Holds another message, encoded and compressed with zlib."""

    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """Asks the owner of a service's endpoints for a place.

    It is sent again until it is answered, and while the request waits; a
    second one with the same id changes nothing.

    Attributes:
        protocol: version of the protocol.
        instance: the sender.
        request: id of the request.
        service: where it goes.
        route: name of its route.
        tier: 0 is served first.
        prompt: tokens to read.
        output: most tokens to write.
        expected: tokens that it probably writes.
        spent: time since the request arrived, seconds.
        left: time until its deadline, seconds.
        tried: endpoints that it must not go to again.
    """

    protocol: int
    instance: str
    request: str
    service: str
    route: str
    tier: int
    prompt: int
    output: int
    expected: int
    elapsed_seconds: float
    remaining_seconds: float
    tried: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Granted:
    """Answers ``Ask``: the request has a place.

    Attributes:
        protocol: version of the protocol.
        instance: the sender.
        request: id of the request.
        endpoint: where it may go now.
        seconds: expected time to the first event.
        load: requests that run there, with this one.
        pace: of the endpoint, nanoseconds a step.
    """

    protocol: int
    instance: str
    request: str
    endpoint: str
    seconds: float
    load: int
    pace: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Queued:
    """Answers ``Ask``: the request waits for a place."""

    protocol: int
    request: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Full:
    """Answers ``Ask``: the request would wait in vain.

    Attributes:
        protocol: version of the protocol.
        request: id of the request.
        seconds: after which it may find a place.
    """

    protocol: int
    request: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Declined:
    """Answers ``Ask``: the receiver can't decide on this request."""

    protocol: int
    request: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Begun:
    """Tells the owner that a request has got its first event."""

    protocol: int
    request: str
    endpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ended:
    """Tells the owner that a request needs its place no longer.

    Attributes:
        protocol: version of the protocol.
        instance: the sender.
        request: id of the request.
        endpoint: where its place was; empty if it stops waiting.
        verdict: a ``board.Verdict`` on the endpoint.
        pace: measured, nanoseconds a step; 0 if it was not.
        seconds: time of a plain answer; 0 without one.
    """

    protocol: int
    instance: str
    request: str
    endpoint: str
    verdict: int
    pace: int
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Holding:
    """Tells an owner all leases that an instance holds of it.

    Attributes:
        protocol: version of the protocol.
        instance: the sender.
        leases: request id, endpoint, and the tokens of its prompt if it
            has not begun.
    """

    protocol: int
    instance: str
    leases: list[tuple[str, str, int]]


LeaseMessage = (
    Ask | Granted | Queued | Full | Declined | Begun | Ended | Holding
)

MakeReport = collections.abc.Callable[..., Report]
"""Returns the report of this instance; given a data centre, one that names
members there."""

SendLeaseMessage = collections.abc.Callable[[str, LeaseMessage], None]
"""Sends a message on leases to an instance, named."""

Message = Report | Meet | Summary | Want | Held | Packed | LeaseMessage

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
    ),
    MAX_MESSAGE_BYTES,
)


def pack(message: Message) -> bytes:
    """Return a message as it goes over a slow link.

    Load: a configuration of 1,850 routes, which each instance fetches when
    it changes. Harm: 450 KB for each of ninety fill the links of 10 Mbit/s
    for seconds; compressed it is a thirteenth.
    """
    data = zlib.compress(CODEC.encode(message), level=1)
    return CODEC.encode(Packed(data=data))


def unpack(message: Message) -> Message:
    """Return the message that another one holds, or itself.

    Raises:
        ValueError: it holds none, or one that is too long.
    """
    if not isinstance(message, Packed):
        return message
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message.data, MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError("not compressed") from error
    if not decompressor.eof:
        raise ValueError("too long, or cut")
    return CODEC.unpack(data)
