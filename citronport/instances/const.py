"""Constants of the protocol between entry instances."""

from typing import Final

PROTOCOL: Final = 1
"""Version that each connection opens with."""

ROLE_HOME: Final = "home"
"""Look for an earlier run first, then start one there."""

ROLE_OWNER: Final = "owner"
"""Decide there, for the endpoints that it owns; never forward again."""

MAX_MESSAGE_BYTES: Final = 8_000_000
READ_BYTES: Final = 65536
CONNECT_TIMEOUT_SECONDS: Final = 2.0

REPORT_INTERVAL_SECONDS: Final = 0.25
"""Pause between two reports to another instance."""

SILENCE_TIMEOUT_SECONDS: Final = 2.0
"""A peer that sent nothing for so long is out of reach."""

FULL_MESH_INSTANCES: Final = 16
"""Up to so many others all are neighbours: 15 links cost less than 1 KB/s
at the pace below, and each instance has first-hand signs of life of all."""

RING_REPORT_INTERVAL_SECONDS: Final = 2.0
"""Pause between two reports in a large fleet; keeps control in 3 KB/s."""

RELAYED_SILENCE_SECONDS: Final = 12.0
"""How long second-hand silence counts; must outlast the hops of a report
through the ring, nine of them at 510 instances, at a report each."""

MAX_LINK_IDLE_SECONDS: Final = 60.0
"""A link to an instance that is no neighbour is closed when unused."""

VALUE_REQUEST_TIMEOUT_SECONDS: Final = 1.0
"""How long one neighbour is given to send a value before another is asked."""
