"""Constants of the protocol towards callers."""

from typing import Final

PATH_CHAT: Final = "/v1/chat/completions"
PATH_MODELS: Final = "/v1/models"
PATH_LOOKUP: Final = "/v1/entries"
PREFIX_SERVICES: Final = "/services/"
PREFIX_TICKET: Final = "/t/"
"""A ticket may stand before any path, for clients that set no headers."""

LOOKUP_LIFETIME_SECONDS: Final = 15.0
"""How long a caller may keep the answer of a lookup."""

BLOCK_CHARS: Final = 512
"""Prompt text is hashed in blocks of this size to find shared prefixes."""

MAX_BLOCKS: Final = 64
"""Blocks hashed at most; later ones do not change where work is placed."""

# Identity of a request

TICKET_LIFETIME_SECONDS: Final = 300.0
"""How long after its issue a ticket lets new requests start at its home.

Twenty times the keep time of a lookup, so that a caller that looks up as
told never meets an expired ticket, and short enough to bound the records.
"""

RECORD_RETENTION_SECONDS: Final = 300.0
"""How long a record is kept after its run's end, at least.

Also the whole life of a record whose key came without a ticket.
"""

MAX_RECORDS: Final = 40_000
"""Keyed requests remembered at once.

94 requests a second and daemon for 300 s are 28,200, if all are keyed.
"""

RECORDS_FULL_RETRY_SECONDS: Final = 5.0
"""When to come back if all records are taken; they go 94 a second."""

ANSWER_BUDGET_BYTES: Final = 8_000_000
"""Bytes of answers kept for repeats: a quarter of a daemon's 32 MB."""

RUN_OVERHEAD_BYTES: Final = 2_000
"""What a finished run takes besides its answer, about."""

ABANDONED_RUN_GRACE_SECONDS: Final = 20.0
"""How long an idempotent keyed run goes on with no caller left.

The waits of the openai client's two repeats add up to at most 16 s.
"""

SWEEP_INTERVAL_SECONDS: Final = 1.0
"""Pause between two looks at the records."""

MAX_TICKET_CHARS: Final = 160
MAX_KEY_CHARS: Final = 200
"""Idempotency keys are short names; the records hold them."""

ENVIRON_TARGET: Final = "citronport.target"
"""Key of the raw request target in the WSGI environment."""

FLAG_VALUES: Final = {
    "": False,
    "0": False,
    "false": False,
    "no": False,
    "1": True,
    "true": True,
    "yes": True,
}
"""Values of a mark; another one is refused, since a caller that meant
"true" would have its request run as one that may be repeated."""

ENVIRON_FIELDS: Final = "citronport.fields"
"""Key of the headers by their names in lower case, as they came."""

# Hostile and broken callers

METHODS: Final = frozenset(("GET", "POST", "PUT", "PATCH", "DELETE"))

MAX_LINE_BYTES: Final = 8192
"""Longest request line; a ticket and a path take under 500 bytes."""

MAX_HEAD_BYTES: Final = 32_768
"""Longest head; the openai client sends about 700 bytes."""

MAX_HEADERS: Final = 100
"""Most header lines; the openai client sends about 20."""

HEAD_TIMEOUT_SECONDS: Final = 10.0
"""Time from the first byte of a head to its end; one packet holds most."""

IDLE_TIMEOUT_SECONDS: Final = 60.0
"""How long a connection may stay open between two requests."""

MAX_BODY_BYTES: Final = 4_000_000
"""Longest request body; a season of receipts takes about a tenth."""

MAX_MESSAGES: Final = 10_000
"""Messages of one chat. The longest body could hold 140,000 short ones,
whose check stops the event loop for 0.6 s; these take under 0.1 s."""

BODY_TIMEOUT_SECONDS: Final = 60.0
"""Time for a whole body: 400 KB from a phone at 10 KB/s take 40 s."""

MAX_FRAMING_READS: Final = 65_536
"""Single bytes read for the framing of one chunked body.

A body of the longest size in chunks of 1 KB takes about 28,000; chunks of
a few bytes would cost a second of processor time for each megabyte.
"""

BODY_BUDGET_BYTES: Final = 64_000_000
"""Bodies held for all callers at once: sixteen of the longest, or two
thousand of 32 KB."""

SEND_TIMEOUT_SECONDS: Final = 30.0
"""How long a caller may take no byte of its answer before it is cut."""

MAX_CONNECTIONS: Final = 4096
"""Open connections of callers.

94 requests a second that last 10 s are 940; the rest may be idle.
"""

FULL_CONNECTIONS_RETRY_SECONDS: Final = 1.0

DISCARD_TIMEOUT_SECONDS: Final = 1.0
"""How long the rest of a refused body is read and dropped.

Closing with bytes unread makes the kernel reset the connection, and the
caller would lose the refusal on its way.
"""

MAX_DISCARD_BYTES: Final = 8_000_000

DISCONNECT_POLL_SECONDS: Final = 1.0
"""How often a connection with bytes unread is checked for its end."""

# Lookup

WINDOW_HEADROOM: Final = 2.0
"""Entries for a workspace, as a multiple of its share of the fleet."""

MIN_WINDOW_SIZE: Final = 2

OWNERS_CACHE_SECONDS: Final = 1.0
"""How long the owners of a model's endpoints are kept; a look at 5,100
endpoints takes about a millisecond."""

MAX_LOOKUP_ADDRESSES: Final = 16
"""Addresses in the answer of a lookup; a caller that finds all of these
dead asks another entry. All of 510 would be 11 KB."""

MAX_GO_TO_ADDRESSES: Final = 8
"""Addresses in a refusal; a header of all 510 would be 11 KB."""

ALL_LEAVING_RETRY_SECONDS: Final = 2.0
"""When to come back to a fleet of which every entry is leaving."""

MAX_CONCURRENT_REFUSALS: Final = 256
"""Connections that are being told that there is no room, at once; more
are closed without a word, since these hold file descriptors too."""
