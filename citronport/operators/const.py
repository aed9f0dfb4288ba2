"""Constants of the protocol towards operators."""

from typing import Final

PATH_METRICS: Final = "/metrics"
PATH_STATUS: Final = "/status"
PATH_READY: Final = "/ready"
PATH_DRAIN: Final = "/drain"

MAX_CONNECTIONS: Final = 64
"""Connections served at once. A scraper and a few operators need less; a
looping script must not take the callers' file descriptors."""

REQUEST_TIMEOUT_SECONDS: Final = 3.0
"""How long a status command waits for one instance."""

MAX_CONCURRENT_REQUESTS: Final = 50
"""Instances asked at once: 510 answer within seconds, and the command
stays far from the usual limit of open files."""

DRAIN_TIMEOUT_SECONDS: Final = 660.0
"""How long to wait for the end of a drain: the longest deadline of a
request, and a minute."""

DRAIN_POLL_SECONDS: Final = 0.5
"""Pause between two looks at an instance that drains."""

MAX_STATUS_BYTES: Final = 4_000_000
