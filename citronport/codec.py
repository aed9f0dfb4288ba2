"""Messages between instances as msgpack lists.

A message is a list: the number of its kind, then its fields in order.
"""

import dataclasses
from typing import Any
from typing import Generic
from typing import TypeVar

import msgpack

Message = TypeVar("Message")


class Codec(Generic[Message]):
    """Packs and unpacks the messages of one protocol.

    Args:
        kinds: its data classes; the place in the row is the number.
        max_bytes: longest message that a peer may send.
    """

    def __init__(self, kinds: tuple[type, ...], max_bytes: int) -> None:
        self._kinds = kinds
        self._max_bytes = max_bytes
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._fields = {
            kind: tuple(field.name for field in dataclasses.fields(kind))
            for kind in kinds
        }

    def encode(self, message: Message) -> bytes:
        """Return a message as it goes over the wire."""
        kind = type(message)
        values = [getattr(message, name) for name in self._fields[kind]]
        return msgpack.packb([self._numbers[kind], *values])

    def decode(self, raw: Any) -> Message:
        """Return the message of an unpacked list.

        Raises:
            ValueError: the list is no message of this protocol.
        """
        if not isinstance(raw, list) or not raw or not isinstance(raw[0], int):
            raise ValueError("not a message")
        if not 0 <= raw[0] < len(self._kinds):
            raise ValueError(f"unknown message number {raw[0]}")
        kind = self._kinds[raw[0]]
        names = self._fields[kind]
        if len(raw) - 1 != len(names):
            raise ValueError(f"wrong number of fields for {kind.__name__}")
        return kind(**dict(zip(names, raw[1:], strict=True)))

    def unpack(self, data: bytes) -> Message:
        """Return the message of one datagram.

        Raises:
            ValueError: it holds no message of this protocol.
        """
        try:
            return self.decode(msgpack.unpackb(data, strict_map_key=False))
        except (msgpack.exceptions.UnpackException, TypeError) as error:
            raise ValueError("not msgpack") from error

    def make_unpacker(self) -> msgpack.Unpacker:
        """Return an unpacker that bounds what a peer can make it hold."""
        return msgpack.Unpacker(
            max_buffer_size=self._max_bytes, strict_map_key=False
        )
