"""Names of the platform's headers, paths and keys."""

from typing import Final

# Paths of an instance

PATH_READY: Final = "/citronport/readyz"
PATH_LOOKUP: Final = "/citronport/resolve"
MAX_LOOKUP_ADDRESSES: Final = 64
"""Most addresses in the response to a lookup."""

# Paths of the store

PATH_RANGE: Final = "/citronport/kv-range"
PATH_WATCH: Final = "/citronport/kv-watch"

# Headers of the store's answers

HEADER_ERA: Final = "store-era"

# Paths of an endpoint

PATH_REPORT: Final = "/citronport/report"

# Keys in the store

KEY_CONFIGURATION: Final = "op/config"
PREFIX_EVACUATED: Final = "op/evacuate/"
PREFIX_ENDPOINTS: Final = "servers/"
PREFIX_ALL: Final = ""

# Headers of a caller's request, in lower case as the server gives them

HEADER_REQUEST_ID: Final = "x-attempt-id"
HEADER_DEADLINE: Final = "x-deadline-ms"
HEADER_API_KEY: Final = "x-api-key"
HEADER_TOKEN_COUNTS: Final = "x-token-counts"
HEADER_LENGTH_HINT: Final = "x-length-hint"
HEADER_PROMPT_PARTS: Final = "x-prompt-prefix"
HEADER_RESUMES: Final = "resumes"

# Headers that an instance sets in requests to an endpoint

HEADER_EXPECTED_ENDPOINT: Final = "x-expect-instance"
HEADER_WORKSPACE: Final = "x-tenant"
HEADER_RESUME_AFTER: Final = "last-event-id"

# Headers of an endpoint's response

HEADER_CONTENT_TYPE: Final = "content-type"
HEADER_SIGNATURE: Final = "x-response-seal"
HEADER_NOT_RUN: Final = "x-not-executed"
HEADER_RETRY_AFTER: Final = "retry-after"
HEADER_ENDPOINT_LIMIT: Final = "server-limit"
HEADER_LEAVING: Final = "server-leaving"
HEADER_BRITTLE: Final = "server-brittle"

RESERVED_HEADERS: Final = frozenset(
    (
        HEADER_API_KEY,
        HEADER_DEADLINE,
        HEADER_EXPECTED_ENDPOINT,
        HEADER_WORKSPACE,
        "kv-fetch",
        "kv-from",
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
    )
)
"""Headers that only an instance may set; removed from caller requests."""

HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that apply to one connection or are set again per hop."""

SINGLETON_HEADERS: Final = frozenset(
    name.encode()
    for name in (
        "content-length",
        "content-type",
        "host",
        "transfer-encoding",
        HEADER_REQUEST_ID,
        HEADER_DEADLINE,
        HEADER_API_KEY,
        HEADER_TOKEN_COUNTS,
        HEADER_PROMPT_PARTS,
        HEADER_RESUME_AFTER,
        HEADER_RESUMES,
    )
)
"""Headers that may occur once in a request; a duplicate is ambiguous."""

TYPE_EVENT_STREAM: Final = "text/event-stream"

STATUS_UNAVAILABLE: Final = 503
"""Status of an endpoint that turns requests away."""

STATUS_MISDIRECTED: Final = 421
"""Status of an endpoint other than the expected one; it ran nothing."""
