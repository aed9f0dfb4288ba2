"""Encoding and decoding of messages between instances."""

import dataclasses

import msgspec
import testtools

from citronport import codec

MAX_BYTES = 1000
EMPTY_LISTS = b"\xdc\x02\x00" + b"\x90" * 512


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pair:
    """Two numbers."""

    first: int
    second: float


class Content(msgspec.Struct, frozen=True, kw_only=True):
    """Bytes between two other fields."""

    name: str
    data: bytes
    pairs: list[tuple[int, int]]
    pair: Pair | None = None


CODEC = codec.Codec((Pair, Content), MAX_BYTES, {Pair: 20})
CONTENT = Content(
    name="x", data=bytes(300), pairs=[(1, 2)], pair=Pair(first=1, second=2.0)
)


class CodecTest(testtools.TestCase):
    """Messages of two kinds."""

    def test_round_trip(self):
        """Fields come back with their types, nested ones included."""
        for message in (CONTENT, Pair(first=1, second=0.5)):
            data = CODEC.encode(message)
            self.assertEqual(message, CODEC.unpack(data))

    def test_parts_around_a_field(self):
        """The parts and the value between them are a whole message."""
        before, after = CODEC.encode_around(CONTENT, "data")
        data = before + CONTENT.data + after
        self.assertEqual(CONTENT, CODEC.unpack(data))

    def test_other_types_are_rejected(self):
        """Guards against objects that are made of what no field allows."""
        for data in (
            b"",
            b"\x90",
            b"\x93\x07\x01\x02",
            b"\x93\x00\x90\x90",
            b"\x92\x00\x01",
            EMPTY_LISTS,
            b"\x93\x00" + EMPTY_LISTS + b"\x00",
            CODEC.encode(CONTENT)[:-1],
        ):
            self.assertRaises(ValueError, CODEC.unpack, data)

    def test_message_over_the_limit_of_its_kind(self):
        """Guards against a kind that is as long as the longest one."""
        long = CODEC.encode(Pair(first=1, second=0.5)) + bytes(20)
        self.assertRaises(ValueError, CODEC.unpack, long)


class StreamReaderTest(testtools.TestCase):
    """Messages that arrive in pieces."""

    def test_pieces_of_each_size(self):
        """Guards against messages that are split at the wrong byte."""
        sent = [CONTENT, Pair(first=7, second=1.5), CONTENT]
        data = b"".join(map(CODEC.encode, sent))
        for size in range(1, len(data) + 1):
            reader = CODEC.make_reader()
            found = []
            for start in range(0, len(data), size):
                found += reader.feed(data[start : start + size])
            self.assertEqual(sent, found)
            self.assertEqual(0, reader.pending)

    def test_message_without_an_end(self):
        """Guards against a message that is kept without a bound."""
        reader = CODEC.make_reader(100)
        with self.assertRaises(ValueError):
            for _ in range(10):
                list(reader.feed(b"\x93\x01\xc6\x00\x01\x00\x00" * 10))
