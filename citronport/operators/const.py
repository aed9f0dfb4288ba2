"""Constants of the protocol towards operators."""

from typing import Final

PATH_METRICS: Final = "/metrics"
PATH_STATUS: Final = "/status"
PATH_READY: Final = "/ready"
PATH_DRAIN: Final = "/drain"

MAX_CONNECTIONS: Final = 64
"""Connections served at once. A scraper and a few operators need less; a
looping script must not take the callers' file descriptors."""

ASK_SECONDS: Final = 3.0
"""How long a status command waits for one instance."""

ASK_AT_ONCE: Final = 50
"""Instances asked at once: 510 answer within seconds, and the command
stays far from the usual limit of open files."""

MAX_STATUS_BYTES: Final = 4_000_000
