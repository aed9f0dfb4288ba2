"""Constants shared by several packages."""

from typing import Final

VERSION: Final = "0.1.0"

NAME: Final = r"[A-Za-z0-9][A-Za-z0-9._-]*"
"""Pattern of names, which are used in headers, tickets and metric labels."""

NAME_PATTERN: Final = f"^{NAME}$"

TIERS: Final = 4
"""Tiers are numbered 0 (served first) to 3."""

HEADER_DEADLINE: Final = "X-Deadline-Seconds"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_TICKET: Final = "X-Citronport-Ticket"
HEADER_NON_IDEMPOTENT: Final = "X-Non-Idempotent"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_CODE: Final = "X-Citronport-Code"
HEADER_RAN: Final = "X-Citronport-Ran"
HEADER_GO_TO: Final = "X-Citronport-Go-To"
HEADER_RETRY_AFTER_MS: Final = "Retry-After-Ms"
HEADER_SHOULD_RETRY: Final = "X-Should-Retry"

DEFAULT_DEADLINE_SECONDS: Final = 60.0
"""Deadline of a request for which the caller sets none."""

MAX_DEADLINE_SECONDS: Final = 600.0
"""Longest deadline that a caller may set."""

DEFAULT_MAX_TOKENS: Final = 256
CHARS_PER_TOKEN: Final = 4
