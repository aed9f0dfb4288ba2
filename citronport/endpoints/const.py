"""Constants of the endpoints' published protocol."""

from typing import Final

PATH_CHAT: Final = "/v1/chat/completions"
PATH_LOAD: Final = "/load"
PATH_CANCEL: Final = "/cancel"
PATH_RESUME: Final = "/resume"

HEADER_RESUMABLE: Final = "X-Resumable"
"""An endpoint that sets it keeps a stream that was cut for a while."""

HEADER_OFFSET: Final = "X-Offset"
"""Where a resumed stream starts, bytes from the start of the answer."""

CONNECT_TIMEOUT_SECONDS: Final = 2.0
REPORT_INTERVAL_SECONDS: Final = 0.5
"""Pause between two load reports of one endpoint."""

RECONNECT_DELAY_SECONDS: Final = 0.25
"""Pause before an endpoint that cannot be reached is dialled again."""

RESUME_TIMEOUT_SECONDS: Final = 2.0
"""How long a cut stream is asked for again; engines keep it for longer."""

RESUME_RETRY_DELAY_SECONDS: Final = 0.1

MAX_IDLE_SECONDS: Final = 2.0
"""How long an unused connection is kept.

Usual servers close one after 5 s or more. A request that is sent while the
other side closes has an unknown outcome, and it is never sent again.
"""

MAX_IDLE_CONNECTIONS: Final = 64
"""Unused connections kept to one endpoint; more are closed at once."""

MAX_COALESCE_SECONDS: Final = 0.03
"""Longest time a token waits for others before it is read.

Well under the 53 ms that callers may wait between two tokens; more saves
little (docs/design/relay.md has the figures).
"""

COALESCE_STEP_SECONDS: Final = 0.002
"""How much the wait grows with each piece of a stream, seconds."""

READ_BYTES: Final = 65536
STREAM_END: Final = b"data: [DONE]"

TAIL_BYTES: Final = 1024
"""End of an answer that is kept to check it and to read its usage."""
