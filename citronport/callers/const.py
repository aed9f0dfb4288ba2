"""Constants of the protocol towards callers."""

from typing import Final

PATH_CHAT: Final = "/v1/chat/completions"
PATH_MODELS: Final = "/v1/models"
PATH_LOOKUP: Final = "/v1/entries"
PREFIX_SERVICES: Final = "/services/"

MAX_BODY_BYTES: Final = 4_000_000
"""Longest request body; a season of receipts takes about a tenth."""

LOOKUP_KEEP_SECONDS: Final = 15.0
"""How long a caller may keep the answer of a lookup."""

TICKET_LIFETIME_SECONDS: Final = 300.0
"""How long after its issue a ticket is accepted by its home."""

BLOCK_CHARS: Final = 512
"""Prompt text is hashed in blocks of this size to find shared prefixes."""

MAX_BLOCKS: Final = 64
"""Blocks hashed at most; later ones do not change where work is placed."""
