"""Messages on the software versions that began streams."""

from typing import Annotated

import msgspec

from citronport.relay import message_limits

Row = tuple[int, message_limits.EntryName, message_limits.EntryName]
"""Key of a stream, its service, and the software version that began it."""


class StreamsBegun(msgspec.Struct, frozen=True, kw_only=True):
    """Reports to an instance which software versions began some streams.

    Attributes:
        protocol: version of the protocol.
        rows: a row for each stream.
    """

    protocol: int
    rows: Annotated[list[Row], message_limits.ROWS]


class FindStream(msgspec.Struct, frozen=True, kw_only=True):
    """Asks an instance which software version began a stream.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        key: key of the stream.
        service: service that the stream would go on at if it is unknown.
        confirm: whether the receiver has to confirm with the store what it
            knows of the versions.
    """

    protocol: int
    instance: message_limits.InstanceName
    key: int
    service: message_limits.EntryName
    confirm: bool


class StreamFound(msgspec.Struct, frozen=True, kw_only=True):
    """Answers ``FindStream``.

    Attributes:
        protocol: version of the protocol.
        instance: name of the sender.
        key: key of the stream.
        service: service that began the stream; empty if it is unknown.
        software: software version that began it; empty if it is unknown.
        versions: software versions of the service asked for, see
            ``software_history.Versions``.
        is_complete: whether the sender knows of all of them.
        is_current: whether the store has confirmed that since the question.
        out_of_contact: incarnations of instances that may know versions
            unknown to the sender.
    """

    protocol: int
    instance: message_limits.InstanceName
    key: int
    service: message_limits.EntryName
    software: message_limits.EntryName
    versions: list[message_limits.EntryName]
    is_complete: bool
    is_current: bool
    out_of_contact: list[message_limits.InstanceName]


StreamMessage = StreamsBegun | FindStream | StreamFound
