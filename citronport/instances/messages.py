"""Typed messages between entry instances, and their form on the wire.

A message is a msgpack list: its number, then its fields in order. Nested
data classes are maps. A connection opens with ``Hello``.
"""

import dataclasses
from typing import Any

from citronport import codec
from citronport.instances import const


@dataclasses.dataclass(frozen=True, kw_only=True)
class Hello:
    """First message on a connection, each way.

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
    """Run a request here.

    Attributes:
        stream: number of the exchange, unique on this connection.
        role: ``const.ROLE_HOME`` or ``const.ROLE_OWNER``.
        request: fields of ``scheduler.models.Request``; its deadline is
            seconds from now, since clocks differ.
        call: fields of ``endpoints.client.Call``.
        identity: fields of ``callers.tickets.Identity``; None without a
            key, and to an owner.
    """

    stream: int
    role: str
    request: dict[str, Any]
    call: dict[str, Any]
    identity: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leave:
    """The caller of an exchange is gone."""

    stream: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Begin:
    """The answer of an exchange began."""

    stream: int
    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Piece:
    """A piece of an answer; ``offset`` is the bytes before it."""

    stream: int
    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class End:
    """The answer is whole."""

    stream: int
    size: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """The final answer is a refusal."""

    stream: int
    code: int
    detail: str
    retry_after: float | None
    go_to: list[str]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Report:
    """Pressure, versions and signs of life, answered by ``Echo``.

    Attributes:
        sent: the sender's clock, seconds; only the sender reads it.
        summary: fields of ``scheduler.models.InstanceSummary``.
        versions: version of each published value, by its path.
        silent: instances out of reach; see ``membership``.
    """

    sent: float
    summary: dict[str, Any]
    versions: dict[str, int]
    silent: dict[str, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Echo:
    """Answer to a report.

    Attributes:
        sent: as in the report, so that the sender knows how old this
            answer can be at most.
        versions: as in a report, of the answering instance.
    """

    sent: float
    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Release:
    """The sender has given an endpoint up and has nothing more there.

    Attributes:
        endpoint: its name.
        list_version: instance list by which the receiver owns it; a
            release that comes late, under another list, does not count.
    """

    endpoint: str
    list_version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Want:
    """Send me this published value if it is newer than mine."""

    path: str
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Value:
    """A published value, as the platform gave it."""

    path: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Difference:
    """How a published value changed; see ``platform.delta.Delta``."""

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
_CODEC: codec.Codec[Message] = codec.Codec(_KINDS, const.MAX_MESSAGE_BYTES)

encode = _CODEC.encode
decode = _CODEC.decode
make_unpacker = _CODEC.make_unpacker
