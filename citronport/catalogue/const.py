"""Constants of the protocol by which the platform publishes values."""

from typing import Final

PATH_CATALOGUE: Final = "/v1/catalogue"
PATH_INSTANCES: Final = "/v1/instances"
PATHS: Final = (PATH_CATALOGUE, PATH_INSTANCES)

CATALOGUE_WATCH_SECONDS: Final = 5.0
"""How long the platform may hold a watch of the catalogue open.

A platform that stops responding and recovers never answers the watches that
it held, and an edit has to be in force within 9 s. A watch therefore times
out after this time plus CONNECT_TIMEOUT_SECONDS.
"""

INSTANCE_LIST_WATCH_SECONDS: Final = 1.0
"""How long the platform may hold a watch of the instance list open.

Each response renews the lease on owned endpoints, so a watch has to end well
before the lease expires. At this value 510 instances make 510 reads a second
of the 2,000 that the platform supports.
"""

CONNECT_TIMEOUT_SECONDS: Final = 2.0
MIN_RETRY_SECONDS: Final = 0.25
"""Shortest delay before the first retry; the longest is twice this."""

MAX_RETRY_SECONDS: Final = 2.0
"""Upper bound of the delay between retries.

At a constant 0.5 s, 510 instances with two values each would send 2,040
requests a second to a failing platform, more than it can serve. At this
value they send 680, spread by random jitter.
"""

MAX_VALUE_BYTES: Final = 1_000_000

MAX_KEPT_DELTAS: Final = 512
"""Deltas kept for peers that hold an older version.

At 6,900 changes a day, a peer that is an hour behind needs 288. Peers that
are further behind get the complete value.
"""

READERS_PER_DATA_CENTRE: Final = 2
"""Instances per data centre that watch the catalogue in a large fleet.

The other instances get deltas from these. There are two because one may
crash or lose its connection.
"""

FALLBACK_POLL_SECONDS: Final = 30.0
"""Interval at which instances that are not readers poll the platform.

Needed when all readers that such an instance can reach have lost their
connection to the platform.
"""

READER_CHECK_SECONDS: Final = 1.0
"""Interval of checks whether this instance has become a reader."""
