"""Limits on the sizes of messages between instances in relay mode."""

import msgspec

MAX_MESSAGE_BYTES = 8_000_000
"""Maximum size of a message. It allows for a store with values of 1 MB and
some thousand endpoints."""

MAX_DATAGRAM_BYTES = 1_000_000
"""Maximum size of a message that was compressed into a datagram."""

MAX_WANT_BYTES = 256
"""Maximum size of a request for changes of the store."""

MAX_ITEMS = 50_000
"""Maximum number of the store's items in a message."""

ITEMS = msgspec.Meta(max_length=MAX_ITEMS)
"""Limits a list to ``MAX_ITEMS``."""
