"""Constants of the platform's published protocol."""

from typing import Final

PATH_CATALOGUE: Final = "/v1/catalogue"
PATH_INSTANCES: Final = "/v1/instances"

WATCH_SECONDS: Final = 20.0
"""How long the platform may hold a watch of the catalogue open."""

CONFIRM_SECONDS: Final = 1.0
"""How long it may hold a watch of the instance list open.

Each answer renews the lease on owned endpoints, so that a watch has to end
well within it; 510 instances then make 510 of the platform's 2,000 reads a
second.
"""

CONNECT_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.5
MAX_VALUE_BYTES: Final = 1_000_000
