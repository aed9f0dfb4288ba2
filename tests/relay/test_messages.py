"""Compressed messages."""

import zlib

import testtools

from citronport.relay import messages

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
        oversized = zlib.compress(bytes(messages.MAX_MESSAGE_BYTES + 1))
        for data in (b"x", whole[:-10], oversized, zlib.compress(b"\xc1")):
            self.assertRaises(
                ValueError, messages.unpack, messages.Packed(data=data)
            )
