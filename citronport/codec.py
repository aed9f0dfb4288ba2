"""Encoding of messages between instances as msgpack lists.

A message is a list: the number of its kind, then its fields in order.
"""

import collections.abc
import dataclasses
import typing
from typing import Any
from typing import Generic
from typing import TypeVar

import msgpack
import msgspec

Message = TypeVar("Message")

_BYTES_HEADER = b"\xc6"
"""First byte of bytes in msgpack, before their number in four bytes."""

_FIXARRAY = 0x90
"""First byte of a msgpack list of up to 15 values, less their number; a longer
list begins with 0xDC and two bytes for it."""


class Codec(Generic[Message]):
    """Packs and unpacks the messages of one protocol.

    Args:
        kinds: data classes or structs of the messages; the index is the
            number.
        max_bytes: size limit of a message from a peer.
        max_bytes_by_kind: lower limits of some kinds.
    """

    def __init__(
        self,
        kinds: tuple[type, ...],
        max_bytes: int,
        max_bytes_by_kind: dict[type, int] | None = None,
    ) -> None:
        self._kinds = kinds
        self._max_bytes = max_bytes
        self._max_bytes_by_kind = max_bytes_by_kind or {}
        self._numbers = {kind: number for number, kind in enumerate(kinds)}
        self._fields = {kind: _list_fields(kind) for kind in kinds}
        self._decoders = [self._make_decoder(kind) for kind in kinds]

    def encode(self, message: Message) -> bytes:
        """Return the wire format of a message."""
        kind = type(message)
        values = [getattr(message, name) for name in self._fields[kind]]
        return _pack([self._numbers[kind], *values])

    def is_within_limit(self, message: Message) -> bool:
        """Return whether a message is short enough for its kind."""
        limit = self._max_bytes_by_kind.get(type(message), self._max_bytes)
        return len(self.encode(message)) <= limit

    def encode_around(
        self, message: Message, name: str
    ) -> tuple[bytes, bytes]:
        """Return the wire format of a message but for one field's bytes.

        A long value can be sent between the two parts without a copy of it.

        Args:
            message: the message.
            name: a field that holds bytes.
        """
        kind = type(message)
        names = self._fields[kind]
        place = names.index(name)
        values = [getattr(message, each) for each in names]
        header = msgpack.Packer().pack_array_header(len(names) + 1)
        front = [self._numbers[kind], *values[:place]]
        size = len(values[place]).to_bytes(4)
        before = b"".join((header, *map(_pack, front), _BYTES_HEADER, size))
        return before, b"".join(map(_pack, values[place + 1 :]))

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

    def unpack(self, data: bytes | bytearray) -> Message:
        """Decode one complete message, whose fields have the declared types.

        A byte of msgpack may stand for an object of 64 bytes. What the type
        of a field doesn't allow is rejected before an object is made of it.

        Raises:
            ValueError: the data is not a message of this protocol.
        """
        number = _read_number(data)
        if not 0 <= number < len(self._kinds):
            raise ValueError(f"unknown message number {number}")
        kind = self._kinds[number]
        limit = self._max_bytes_by_kind.get(kind, self._max_bytes)
        if len(data) > limit:
            raise ValueError(f"{kind.__name__} over {limit} bytes")
        try:
            _, *values = self._decoders[number].decode(data)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise ValueError(f"invalid message: {error}") from error
        return kind(**dict(zip(self._fields[kind], values, strict=True)))

    def make_reader(self, max_bytes: int | None = None) -> "StreamReader":
        """Return a reader of a stream of messages from a peer.

        Args:
            max_bytes: most bytes of one message; the protocol's by default.
        """
        return StreamReader(self, max_bytes or self._max_bytes)

    def _make_decoder(self, kind: type) -> msgspec.msgpack.Decoder:
        hints = typing.get_type_hints(kind, include_extras=True)
        types = [hints[name] for name in self._fields[kind]]
        return msgspec.msgpack.Decoder(tuple[(int, *types)])

    def make_unpacker(self) -> msgpack.Unpacker:
        """Return an unpacker whose buffer a peer cannot grow past a limit."""
        return msgpack.Unpacker(
            max_buffer_size=self._max_bytes, strict_map_key=False
        )


def _list_fields(kind: type) -> tuple[str, ...]:
    if issubclass(kind, msgspec.Struct):
        return kind.__struct_fields__
    return tuple(field.name for field in dataclasses.fields(kind))


class StreamReader(Generic[Message]):
    """Splits a stream of bytes into messages.

    The end of each message is found without making objects of its content.

    Args:
        codec: decodes the messages.
        max_bytes: most bytes of one message.
    """

    def __init__(self, codec: Codec[Message], max_bytes: int) -> None:
        self._codec = codec
        self._max_bytes = max_bytes
        self._scanner = msgpack.Unpacker(max_buffer_size=max_bytes)
        self._buffer = bytearray()
        self._consumed = 0

    @property
    def pending(self) -> int:
        """The bytes of a message that is not complete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> collections.abc.Iterator[Message]:
        """Take further bytes and yield the messages that are complete.

        Raises:
            ValueError: a message is too long or not of this protocol.
        """
        self._buffer += data
        try:
            self._scanner.feed(data)
        except msgpack.BufferFull as error:
            raise ValueError(
                f"message over {self._max_bytes} bytes"
            ) from error
        while self._skip():
            size = self._scanner.tell() - self._consumed
            self._consumed += size
            message = self._codec.unpack(bytes(self._buffer[:size]))
            del self._buffer[:size]
            yield message
        if self.pending > self._max_bytes:
            raise ValueError(f"message over {self._max_bytes} bytes")

    def _skip(self) -> bool:
        try:
            self._scanner.skip()
        except msgpack.OutOfData:
            return False
        return True


def _pack(value: Any) -> bytes:
    return msgpack.packb(value, default=dataclasses.asdict)


def _read_number(data: bytes | bytearray) -> int:
    """Return the number of a message's kind; -1 if it is no message."""
    match list(data[:4]):
        case [first, number, *_] if first & 0xF0 == _FIXARRAY:
            return number
        case [0xDC, _, _, number]:
            return number
    return -1
