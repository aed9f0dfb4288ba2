"""Constants of the protocol for callers."""

from typing import Final

PATH_CHAT: Final = "/v1/chat/completions"
PATH_MODELS: Final = "/v1/models"
PATH_LOOKUP: Final = "/v1/entries"
PREFIX_SERVICES: Final = "/services/"
PREFIX_TICKET: Final = "/t/"
"""Prefix of a ticket in the path, for clients that cannot set headers."""

LOOKUP_LIFETIME_SECONDS: Final = 15.0
"""How long a caller may reuse the response of a lookup."""

BLOCK_CHARS: Final = 512
"""Block size for hashing prompts to find shared prefixes."""

MAX_BLOCKS: Final = 64
"""Maximum number of hashed blocks; later ones do not affect placement."""

# Identity of a request

TICKET_LIFETIME_SECONDS: Final = 300.0
"""How long after its issue a ticket allows new requests at its home.

Twenty times the lifetime of a lookup, so that a caller that repeats lookups
in time never uses an expired ticket, and short enough to bound the records.
"""

RECORD_RETENTION_SECONDS: Final = 300.0
"""Minimum time that a record is kept after the end of its run.

A record whose key came without a ticket is kept for exactly this time.
"""

MAX_RECORDS: Final = 40_000
"""Maximum number of records of keyed requests.

94 requests per second and process for 300 s are 28,200 if all are keyed.
"""

RECORDS_FULL_RETRY_SECONDS: Final = 5.0
"""Retry-After if all records are in use; 94 of them expire per second."""

ANSWER_BUDGET_BYTES: Final = 8_000_000
"""Memory for responses kept for repeats: a quarter of a process's 32 MB."""

RUN_OVERHEAD_BYTES: Final = 2_000
"""Approximate memory of a finished run without its response."""

ABANDONED_RUN_GRACE_SECONDS: Final = 20.0
"""How long an idempotent keyed run continues without a connected caller.

The delays before the openai client's two retries add up to at most 16 s.
"""

SWEEP_INTERVAL_SECONDS: Final = 1.0
"""Interval between two checks of the records."""

MAX_TICKET_CHARS: Final = 160
MAX_KEY_CHARS: Final = 200
"""Limit on idempotency keys, which are expected to be short names."""

ENVIRON_TARGET: Final = "citronport.target"
"""WSGI environment key of the raw request target."""

FLAG_VALUES: Final = {
    "": False,
    "0": False,
    "false": False,
    "no": False,
    "1": True,
    "true": True,
    "yes": True,
}
"""Accepted values of a flag header.

Other values are refused: if a misspelt "true" were ignored, the request
would run as one that may be repeated.
"""

ENVIRON_FIELDS: Final = "citronport.fields"
"""WSGI environment key of the headers, with their names in lower case."""

# Hostile and broken callers

METHODS: Final = frozenset(("GET", "POST", "PUT", "PATCH", "DELETE"))

MAX_LINE_BYTES: Final = 8192
"""Maximum length of a line; a ticket and a path take under 500 bytes."""

MAX_HEAD_BYTES: Final = 32_768
"""Maximum size of all header lines; the openai client sends about 700
bytes."""

UNCOUNTED_HEAD_BYTES: Final = 4096
"""Part of a head that counts as part of its connection; what is longer counts
as bytes of the request."""

MAX_HEADERS: Final = 100
"""Maximum number of header lines; the openai client sends about 20."""

HEAD_TIMEOUT_SECONDS: Final = 10.0
"""Longest time from the first to the last byte of a head; most heads fit into
one packet."""

IDLE_TIMEOUT_SECONDS: Final = 60.0
"""How long a connection may be idle between two requests."""

MAX_BODY_BYTES: Final = 4_000_000
"""Maximum size of a request body.

A large batch upload, the receipts of a season, takes about a tenth of it.
"""

MAX_MESSAGES: Final = 10_000
"""Maximum number of messages in a chat.

A body of the maximum size could hold 140,000 short messages, whose
validation would block the event loop for 0.6 s; this many take under 0.1 s.
"""

BODY_TIMEOUT_SECONDS: Final = 60.0
"""Longest time to read a body: 400 KB from a phone at 10 KB/s take 40 s."""

MAX_FRAMING_READS: Final = 65_536
"""Maximum number of single-byte reads for the framing of a chunked body.

A body of the maximum size in chunks of 1 KB takes about 28,000; chunks of a
few bytes would cost a second of CPU time per megabyte.
"""

BODY_BUDGET_BYTES: Final = 64_000_000
"""Memory for the bodies of all callers: sixteen of the maximum size, or two
thousand of 32 KB."""

SEND_TIMEOUT_SECONDS: Final = 30.0
"""How long a caller may stop reading before its connection is closed."""

MAX_CONNECTIONS: Final = 4096
"""Maximum number of open connections of callers.

94 requests per second that last 10 s are 940; the rest may be idle.
"""

FULL_CONNECTIONS_RETRY_SECONDS: Final = 1.0

DISCARD_TIMEOUT_SECONDS: Final = 1.0
"""How long the rest of a refused body is read and discarded.

Closing a socket with unread bytes makes the kernel reset the connection,
and the refusal could be lost before the caller reads it.
"""

MAX_DISCARD_BYTES: Final = 8_000_000

DISCONNECT_POLL_SECONDS: Final = 1.0
"""Interval at which a connection with unread bytes is checked for its end."""

# Lookup

WINDOW_HEADROOM: Final = 2.0
"""Number of entries for a workspace, as a multiple of its fair share."""

MIN_WINDOW_SIZE: Final = 2

OWNERS_CACHE_SECONDS: Final = 1.0
"""How long the owners of a model's endpoints are cached; computing them for
5,100 endpoints takes about a millisecond."""

MAX_LOOKUP_ADDRESSES: Final = 16
"""Maximum number of addresses in a lookup response.

A caller that can reach none of them asks another entry. All 510 addresses
would take 11 KB.
"""

MAX_GO_TO_ADDRESSES: Final = 8
"""Maximum number of addresses in a refusal; a header with all 510 would
take 11 KB."""

ALL_LEAVING_RETRY_SECONDS: Final = 2.0
"""Retry-After if all entries of the fleet are leaving."""
