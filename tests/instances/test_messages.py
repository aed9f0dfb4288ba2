"""Tests of the messages between instances."""

import hypothesis
from hypothesis import strategies
import testtools

from citronport.instances import messages


class MessagesTest(testtools.TestCase):
    """Encoding and decoding of messages."""

    def read(self, data):
        """Return the decoded messages."""
        unpacker = messages.make_unpacker()
        unpacker.feed(data)
        return [messages.decode(raw) for raw in unpacker]

    def test_messages_round_trip(self):
        """Two messages in one read are decoded as they were sent."""
        sent = [
            messages.Piece(stream=7, offset=3, data=b"\x00abc"),
            messages.Refused(
                stream=8,
                code=2101,
                detail="",
                retry_after=None,
                go_to=["127.0.0.1:8000"],
            ),
        ]
        data = b"".join(messages.encode(message) for message in sent)
        self.assertEqual(sent, self.read(data))

    def test_unknown_and_broken_messages_are_refused(self):
        """An unknown message raises ValueError, which closes the link."""
        for raw in ([], [99, 1], ["x"], [0, 1], {"a": 1}, [-1]):
            self.assertRaises(ValueError, messages.decode, raw)

    @hypothesis.settings(
        derandomize=True, database=None, max_examples=200, deadline=None
    )
    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.integers(-5, 20)
            | strategies.text(max_size=3),
            lambda inner: strategies.lists(inner, max_size=9),
            max_leaves=12,
        )
    )
    def test_any_input_is_decoded_or_refused(self, raw):
        """No input raises anything but ValueError."""
        try:
            message = messages.decode(raw)
        except ValueError:
            return
        self.assertIsInstance(message, messages.Message)
