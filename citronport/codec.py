"""Encoding of messages between instances as msgpack lists.

A message is a list: the number of its kind, then its fields in order.
"""

import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

import msgpack
import msgspec

Message = TypeVar("Message")


class Codec(Generic[Message]):
    """Packs and unpacks the messages of one protocol.

    Args:
        kinds: data classes or structs of the messages; the index is the
            number.
        max_bytes: size limit of a message from a peer.
    """

    def __init__(self, kinds: tuple[type, ...], max_bytes: int) -> None:
        self._kinds = kinds
        self._max_bytes = max_bytes
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._fields = {kind: _list_fields(kind) for kind in kinds}

    def encode(self, message: Message) -> bytes:
        """Return the wire format of a message."""
        kind = type(message)
        values = [getattr(message, name) for name in self._fields[kind]]
        return msgpack.packb([self._numbers[kind], *values])

    def decode(self, raw: Any) -> Message:
        """Return the message of an unpacked list.

        Raises:
            ValueError: the list is not a message of this protocol.
        """
        if not isinstance(raw, list) or not raw or not isinstance(raw[0], int):
            raise ValueError("message is not a list that starts with a number")
        if not 0 <= raw[0] < len(self._kinds):
            raise ValueError(f"unknown message number {raw[0]}")
        kind = self._kinds[raw[0]]
        names = self._fields[kind]
        if len(raw) - 1 != len(names):
            raise ValueError(f"wrong number of fields for {kind.__name__}")
        return kind(**dict(zip(names, raw[1:], strict=True)))

    def unpack(self, data: bytes) -> Message:
        """Decode one datagram.

        Raises:
            ValueError: the datagram is not a message of this protocol.
        """
        try:
            return self.decode(msgpack.unpackb(data, strict_map_key=False))
        except (msgpack.exceptions.UnpackException, TypeError) as error:
            raise ValueError("invalid msgpack") from error

    def make_unpacker(self) -> msgpack.Unpacker:
        """Return an unpacker whose buffer a peer cannot grow past a limit."""
        return msgpack.Unpacker(
            max_buffer_size=self._max_bytes, strict_map_key=False
        )


def _list_fields(kind: type) -> tuple[str, ...]:
    if issubclass(kind, msgspec.Struct):
        return kind.__struct_fields__
    return tuple(field.name for field in dataclasses.fields(kind))
