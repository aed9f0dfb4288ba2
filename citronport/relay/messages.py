"""Typed messages between instances that send by themselves."""

import dataclasses

from citronport import codec

PROTOCOL = 1
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
        callers: its address for callers.
        peers: its address for other instances.
        ready: whether callers should use it.
        leaving: whether it is shutting down.
        revision: of the store, up to which it knows all changes.
        passed: units let pass since its start, by workspace.
        loads: for each endpoint with work or a known pace: its name, own
            requests there, prompt tokens not read yet, pace in
            millionths of the nominal one (0: not known).
        members: instances that it has heard of lately: name, incarnation,
            address for other instances.
    """

    protocol: int
    instance: str
    incarnation: str
    number: int
    data_centre: str
    callers: str
    peers: str
    ready: bool
    leaving: bool
    revision: int
    passed: dict[str, float]
    loads: list[tuple[str, int, int, int]]
    members: list[tuple[str, str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Want:
    """Asks for what the store holds beyond a revision."""

    protocol: int
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Held:
    """Answers ``Want``.

    Attributes:
        revision: up to which the sender knows all changes.
        keys: of all items.
        items: key, value and revision of those that were asked for.
    """

    revision: int
    keys: list[str]
    items: list[tuple[str, bytes, int]]


Message = Report | Want | Held

CODEC: codec.Codec[Message] = codec.Codec(
    (Report, Want, Held), MAX_MESSAGE_BYTES
)
