"""Typed messages between entry instances and their wire format.

A message is a msgpack list of its type number and its fields in order.
Nested data classes are encoded as maps. The first message on a connection
is ``Hello``.
"""

import dataclasses
from typing import Any

from citronport import codec
from citronport.callers import tickets
from citronport.endpoints import client as endpoint_client
from citronport.instances import const
from citronport.scheduler import models


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First message on a connection, in each direction.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        incarnation: unique for each start of the sender's process.
    """

    protocol: int
    instance: str
    incarnation: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Submit:
    """Asks the receiver to run a request.

    Attributes:
        stream: number of the exchange, unique on this connection.
        role: ``const.ROLE_HOME`` or ``const.ROLE_OWNER``.
        request: the request; its deadline is in seconds from now, since the
            instances' clocks differ.
        call: the call to an endpoint.
        identity: None without an idempotency key, and in the owner role.
    """

    stream: int
    role: str
    request: models.Request
    call: endpoint_client.Call
    identity: tickets.Identity | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The caller of an exchange has disconnected."""

    stream: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Begin:
    """The response of an exchange began."""

    stream: int
    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Piece:
    """A part of a response body; ``offset`` is its position in bytes."""

    stream: int
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class End:
    """The response is complete."""

    stream: int
    size: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The request was refused, or its response ends with an error."""

    stream: int
    code: int
    detail: str
    retry_after: float | None
    go_to: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Periodic report of load, versions and reachability.

    The receiver replies with ``Echo``.

    Attributes:
        sent: time on the sender's clock, seconds; only the sender uses it.
        summary: load of the sender.
        versions: version of each published value, by its path.
        silent: unreachable instances; see ``membership``.
    """

    sent: float
    summary: models.InstanceSummary
    versions: dict[str, int]
    silent: dict[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Echo:
    """Reply to a report.

    Attributes:
        sent: copied from the report; gives the sender an upper bound of
            the age of this reply.
        versions: versions of the replying instance, as in a report.
    """

    sent: float
    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """The sender no longer owns an endpoint and has no requests there.

    Attributes:
        endpoint: its name.
        list_version: version of the instance list under which the receiver
            owns it; a release for another version is ignored.
    """

    endpoint: str
    list_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Want:
    """Requests a published value if it is newer than this version."""

    path: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Value:
    """A published value as read from the platform."""

    path: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """A change of a published value; see ``catalogue.delta.Delta``."""

    path: str
    base: int
    version: int
    fields: dict[str, Any]
    items: dict[str, list[dict[str, Any]]]
    dropped: dict[str, list[str]]
    checksum: int


Message = (
    Hello
    | Submit
    | Leave
    | Begin
    | Piece
    | End
    | Refused
    | Report
    | Echo
    | Release
    | Want
    | Value
    | Difference
)

_KINDS: tuple[type, ...] = (
    Hello,
    Submit,
    Leave,
    Begin,
    Piece,
    End,
    Refused,
    Report,
    Echo,
    Release,
    Want,
    Value,
    Difference,
)
_CODEC: codec.Codec[Message] = codec.Codec(
    _KINDS,
    const.MAX_MESSAGE_BYTES,
    {
        kind: const.MAX_STATE_BYTES
        for kind in _KINDS
        if kind not in (Submit, Piece, Value)
    }
    | {Value: const.MAX_VALUE_BYTES},
)

encode = _CODEC.encode
decode = _CODEC.decode
make_unpacker = _CODEC.make_unpacker
make_reader = _CODEC.make_reader


def is_too_long(message: Message) -> bool:
    """Return whether the receiver would reject a message for its size."""
    return not _CODEC.is_within_limit(message)
