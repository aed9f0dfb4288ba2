"""Constants of the protocol that endpoints publish."""

from typing import Final

PATH_CHAT: Final = "/v1/chat/completions"
PATH_LOAD: Final = "/load"
PATH_CANCEL: Final = "/cancel"
PATH_RESUME: Final = "/resume"

HEADER_RESUMABLE: Final = "X-Resumable"
"""Set by endpoints that keep an interrupted stream for a while."""

HEADER_OFFSET: Final = "X-Offset"
"""Byte offset in the response at which a resumed stream starts."""

CONNECT_TIMEOUT_SECONDS: Final = 2.0
REPORT_INTERVAL_SECONDS: Final = 0.5
"""Interval between two load reports of one endpoint."""

RECONNECT_DELAY_SECONDS: Final = 0.25
"""Delay before another attempt to connect to an unreachable endpoint."""

RESUME_TIMEOUT_SECONDS: Final = 2.0
"""How long resuming a stream is retried; engines keep it for longer."""

RESUME_RETRY_DELAY_SECONDS: Final = 0.1

MAX_IDLE_SECONDS: Final = 2.0
"""How long an idle connection is kept.

Common servers close idle connections after 5 s or more. A request that is
sent while the server closes the connection has an unknown outcome and is
never sent again.
"""

MAX_IDLE_CONNECTIONS: Final = 64
"""Idle connections kept per endpoint; further ones are closed at once."""

MAX_COALESCE_SECONDS: Final = 0.03
"""Upper bound of the time that a token waits to be coalesced with others.

Well under the 53 ms that callers may wait between two tokens; a longer wait
saves little (see docs/design/relay.md for measurements).
"""

COALESCE_STEP_SECONDS: Final = 0.002
"""By how much the wait grows with each read of a stream."""

READ_BYTES: Final = 65536
STREAM_END: Final = b"data: [DONE]"

TAIL_BYTES: Final = 1024
"""Length of the response's end that is checked and holds its usage data."""
