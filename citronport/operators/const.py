"""Constants of the HTTP interface for operators."""

from typing import Final

PATH_METRICS: Final = "/metrics"
PATH_STATUS: Final = "/status"
PATH_READY: Final = "/ready"
PATH_DRAIN: Final = "/drain"

REQUEST_TIMEOUT_SECONDS: Final = 3.0
"""Time-out of one request of the status and drain commands."""

MAX_CONCURRENT_REQUESTS: Final = 50
"""Instances whose status is read concurrently.

At this value 510 instances answer within seconds, and the command stays far
below the usual limit of open files.
"""

DRAIN_TIMEOUT_SECONDS: Final = 660.0
"""Time-out of a drain: the longest deadline of a request plus a minute."""

DRAIN_POLL_SECONDS: Final = 0.5
"""Interval at which the status of a draining instance is polled."""

MAX_STATUS_BYTES: Final = 4_000_000
