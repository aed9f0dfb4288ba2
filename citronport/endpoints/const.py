"""Constants of the endpoints' published protocol."""

from typing import Final

PATH_CHAT: Final = "/v1/chat/completions"
PATH_LOAD: Final = "/load"
PATH_CANCEL: Final = "/cancel"

CONNECT_SECONDS: Final = 2.0
REPORT_SECONDS: Final = 0.5
"""Pause between two load reports of one endpoint."""

READ_BYTES: Final = 65536
EVENT_END: Final = b"\n\n"
STREAM_END: Final = b"data: [DONE]"
