"""Constants of the platform's published protocol."""

from typing import Final

PATH_CATALOGUE: Final = "/v1/catalogue"
PATH_INSTANCES: Final = "/v1/instances"

WATCH_SECONDS: Final = 20.0
"""How long the platform may hold a watch open."""

CONNECT_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.5
MAX_VALUE_BYTES: Final = 1_000_000
