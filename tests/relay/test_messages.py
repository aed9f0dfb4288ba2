"""Compressed messages."""

import zlib

import testtools

from citronport import inputs
from citronport.relay import message_limits
from citronport.relay import messages
from citronport.relay import stream_messages
from citronport.relay import stream_versions

MAX_DATAGRAM_BYTES = 65_507
"""Longest content of a UDP datagram over IPv4."""

HELD = messages.Held(
    revision=9,
    recovered_seconds=1.0,
    keys=["a"],
    items=[("a", b"v" * 100_000, 9)],
    is_complete=True,
    lost=[],
)


class PackedTest(testtools.TestCase):
    """Valid and invalid data in ``Packed`` messages."""

    def test_pack_round_trip(self):
        """A repetitive value is compressed and restored unchanged."""
        data = messages.pack(HELD)
        self.assertLess(len(data), 1000)
        unpacked = messages.unpack(messages.CODEC.unpack(data))
        self.assertEqual(
            [("a", b"v" * 100_000, 9)], list(map(tuple, unpacked.items))
        )
        self.assertEqual(9, unpacked.revision)

    def test_plain_message_is_returned_as_is(self):
        """A message that is not compressed is not converted."""
        self.assertIs(HELD, messages.unpack(HELD))

    def test_invalid_or_oversized_data(self):
        """Invalid data is rejected, and oversized data not expanded."""
        whole = zlib.compress(messages.CODEC.encode(HELD))
        oversized = zlib.compress(bytes(message_limits.MAX_MESSAGE_BYTES + 1))
        for data in (b"x", whole[:-10], oversized, zlib.compress(b"\xc1")):
            self.assertRaises(
                ValueError, messages.unpack, messages.Packed(data=data)
            )


class DatagramTest(testtools.TestCase):
    """Messages to other instances that are sent as datagrams."""

    def test_streams_at_endpoints_with_the_longest_names(self):
        """Guards against reports of streams that are too long to be sent."""
        name = "\u0bf5" * (inputs.MAX_NAME_BYTES // 3)
        inputs.check_name(name)
        rows = [(2**64 - 1, name, name)] * stream_versions.ROWS_PER_MESSAGE
        message = stream_messages.StreamsBegun(
            protocol=messages.PROTOCOL, rows=rows
        )
        self.assertLess(
            len(messages.CODEC.encode(message)), MAX_DATAGRAM_BYTES
        )
