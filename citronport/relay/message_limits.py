"""Limits on the sizes of messages between instances in relay mode."""

from typing import Annotated

import msgspec

from citronport import inputs
from citronport.scheduler.direct import crash_records

MAX_MESSAGE_BYTES = 8_000_000
"""Maximum size of a message. It allows for a store with values of 1 MB and
some thousand endpoints."""

MAX_DATAGRAM_BYTES = 1_000_000
"""Maximum size of a message that was compressed into a datagram."""

MAX_WANT_BYTES = 256
"""Maximum size of a request for changes of the store."""

MAX_LEASE_MESSAGE_BYTES = 16_384
"""Maximum size of a request for a lease, and of what is asked of streams. It
allows for the names of some hundred paused endpoints."""

MAX_ITEMS = 50_000
"""Maximum number of the store's items in a message."""

ITEMS = msgspec.Meta(max_length=MAX_ITEMS)
"""Limits a list to ``MAX_ITEMS``."""

MAX_ROWS = 8192
"""Maximum number of rows of one kind in a message. A datagram has room for
fewer, but a short compressed one may hold many equal ones."""

ROWS = msgspec.Meta(max_length=MAX_ROWS)
"""Limits a list to ``MAX_ROWS``."""

MAX_INSTANCE_CHARS = 64
"""Longest name of an instance or data centre, as in the settings, and longest
address."""

MAX_REQUEST_CHARS = 256
"""Longest id of a request; callers' ids have up to 200 characters."""

MAX_KEY_CHARS = 64
"""Longest key of a content that may crash endpoints."""

InstanceName = Annotated[str, msgspec.Meta(max_length=MAX_INSTANCE_CHARS)]
"""Name or start of an instance, its address, or the name of a data centre."""

EntryName = Annotated[str, msgspec.Meta(max_length=inputs.MAX_NAME_BYTES)]
"""Name of an endpoint, of a service, or of a software version."""

RequestId = Annotated[str, msgspec.Meta(max_length=MAX_REQUEST_CHARS)]

MemberRow = tuple[InstanceName, InstanceName, InstanceName, InstanceName]
LoadRow = tuple[EntryName, int, int, int]
ProfileRow = tuple[EntryName, float, float, float]
LimitRow = tuple[EntryName, int, int]
LeaseRow = tuple[RequestId, EntryName, int]

_CRASHES = msgspec.Meta(max_length=crash_records.MAX_CRASHES)

SuspectRow = tuple[
    Annotated[str, msgspec.Meta(max_length=MAX_KEY_CHARS)],
    int,
    int,
    Annotated[list[tuple[int, int]], _CRASHES],
    Annotated[list[int], _CRASHES],
]

StateRow = tuple[
    InstanceName,
    InstanceName,
    int,
    float,
    float,
    InstanceName,
    InstanceName,
    bool,
    bool,
    bool,
    int,
    float,
    bool,
    bool,
]
"""State of one instance in a summary; see ``messages.Summary``."""
