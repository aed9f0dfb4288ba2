"""Constants of the platform's published protocol."""

from typing import Final

PATH_CATALOGUE: Final = "/v1/catalogue"
PATH_INSTANCES: Final = "/v1/instances"

CATALOGUE_WATCH_SECONDS: Final = 5.0
"""How long the platform may hold a watch of the catalogue open.

A platform that falls silent and comes back never answers a watch that it
held, and an edit has to be in force within 9 s: it is given up after this
and CONNECT_TIMEOUT_SECONDS.
"""

INSTANCE_LIST_WATCH_SECONDS: Final = 1.0
"""How long it may hold a watch of the instance list open.

Each answer renews the lease on owned endpoints, so that a watch has to end
well within it; 510 instances then make 510 of the platform's 2,000 reads a
second.
"""

CONNECT_TIMEOUT_SECONDS: Final = 2.0
MIN_RETRY_SECONDS: Final = 0.25
"""Half the longest pause before the first repeat of a failed question."""

MAX_RETRY_SECONDS: Final = 2.0
"""Longest pause between two. At a steady 0.5 s the 510 instances, two
values each, would ask an ailing platform 2,040 times a second, more than
all that it can give; at this one 680 times, spread by chance."""

MAX_VALUE_BYTES: Final = 1_000_000

MAX_KEPT_DELTAS: Final = 512
"""Differences kept for peers that are behind. An hour apart at 6,900
changes a day is 288; who is further behind gets the whole value."""

READERS_PER_DATA_CENTRE: Final = 2
"""Instances of a data centre that watch the catalogue in a large fleet; the
others get differences from these. Two, since one may die or be cut off."""

FALLBACK_POLL_SECONDS: Final = 30.0
"""How often one that is no reader asks all the same: all readers within its
reach may have lost the platform."""

READER_CHECK_SECONDS: Final = 1.0
"""Pause between two looks at whether this instance has become a reader."""
