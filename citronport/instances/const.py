"""Constants of the protocol between entry instances."""

from typing import Final

PROTOCOL: Final = 1
"""Version that each connection opens with."""

ROLE_HOME: Final = "home"
"""Look for an earlier run first, then start one there."""

ROLE_OWNER: Final = "owner"
"""Decide there, for the endpoints that it owns; never forward again."""

MAX_MESSAGE_BYTES: Final = 8_000_000
READ_BYTES: Final = 65536
CONNECT_SECONDS: Final = 2.0

REPORT_SECONDS: Final = 0.25
"""Pause between two reports to another instance."""

SILENT_SECONDS: Final = 2.0
"""A peer that sent nothing for so long is out of reach."""
