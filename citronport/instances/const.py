"""Constants of the protocol between entry instances."""

from typing import Final

from citronport.catalogue import const as catalogue_const

PROTOCOL: Final = 1
"""Protocol version, sent in the first message of each connection."""

ROLE_HOME: Final = "home"
"""The receiver joins an existing run of the request or starts one."""

ROLE_OWNER: Final = "owner"
"""The receiver schedules the request on its own endpoints and never
forwards it again."""

MAX_MESSAGE_BYTES: Final = 8_000_000
MAX_VALUE_BYTES: Final = catalogue_const.MAX_VALUE_BYTES + 4096
"""Size of a message with a published value."""

MAX_STATE_BYTES: Final = 1_000_000
"""Size of a message without the content of a request or a published value. A
byte of its fields may stand for an object of 64 bytes."""

READ_BYTES: Final = 65536

MAX_HELLO_BYTES: Final = 4096
"""Bytes that a connection may hold before its first message is complete."""

HELLO_TIMEOUT_SECONDS: Final = 5.0
"""Time in which the first message has to arrive on a connection."""

MAX_QUEUED_BYTES: Final = 2 * MAX_MESSAGE_BYTES
"""Bytes that may wait to be sent to an instance that does not read."""

WRITE_STALL_SECONDS: Final = 5.0
"""Time without a byte sent after which an instance counts as not reading."""

CONNECT_TIMEOUT_SECONDS: Final = 2.0

REPORT_INTERVAL_SECONDS: Final = 0.25
"""Interval between two reports to a neighbour in a small fleet."""

SILENCE_TIMEOUT_SECONDS: Final = 2.0
"""A neighbour that sent nothing for this long is considered unreachable."""

FULL_MESH_INSTANCES: Final = 16
"""Fleets of up to this size form a full mesh: 15 links cost less than 1 KB/s
at the interval below, and each instance monitors all others directly."""

RING_REPORT_INTERVAL_SECONDS: Final = 2.0
"""Interval between two reports in a larger fleet, whose links form a ring;
limits the control traffic to 3 KB/s."""

RELAYED_SILENCE_SECONDS: Final = 12.0
"""How long another instance's statement that a third one is silent counts.

It must outlast the way of a report through the ring: nine hops at 510
instances, with up to one report interval for each.
"""

MAX_LINK_IDLE_SECONDS: Final = 60.0
"""Idle time after which a link to a non-neighbour is closed."""

VALUE_REQUEST_TIMEOUT_SECONDS: Final = 1.0
"""Time for a neighbour to send a published value before another is asked."""
