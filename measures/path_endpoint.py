"""A minimal stand-in engine with precomputed answers and no queue."""

import collections.abc
import json
import re
from typing import Any

import gevent

from standins import listener

WHOLE_ANSWER = json.dumps(
    {
        "id": "answer",
        "object": "chat.completion",
        "created": 0,
        "model": "any",
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "x" * 800},
                "finish_reason": "stop",
            }
        ],
    }
).encode()
TOKEN_EVENT = (
    b"data: "
    + json.dumps(
        {
            "id": "answer",
            "object": "chat.completion.chunk",
            "created": 0,
            "model": "any",
            "choices": [
                {
                    "index": 0,
                    "delta": {"content": "token "},
                    "finish_reason": None,
                }
            ],
        }
    ).encode()
    + b"\n\n"
)
LOAD_REPORT = json.dumps({"running": 0, "queued": 0, "cold": False}).encode()
MAX_TOKENS_PATTERN = re.compile(rb'"max_tokens": (\d+)')


class Endpoint:
    """Returns a complete answer at once, or streams tokens at a fixed rate.

    Args:
        pause: seconds between two tokens of a stream.
    """

    def __init__(self, pause: float) -> None:
        self._pause = pause

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: collections.abc.Callable[..., Any],
    ) -> collections.abc.Iterable[bytes]:
        """Handle one HTTP request."""
        if environ["PATH_INFO"] != "/v1/chat/completions":
            return _answer(start_response, LOAD_REPORT)
        body = environ["wsgi.input"].read()
        if b'"stream": true' not in body:
            return _answer(start_response, WHOLE_ANSWER)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        found = MAX_TOKENS_PATTERN.search(body)
        return self._stream(int(found[1]) if found else 16)

    def _stream(self, count: int) -> collections.abc.Iterator[bytes]:
        for _ in range(count):
            yield TOKEN_EVENT
            gevent.sleep(self._pause)
        yield b"data: [DONE]\n\n"


def _answer(
    start_response: collections.abc.Callable[..., Any], data: bytes
) -> list[bytes]:
    start_response(
        "200 OK",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]


def run(address: str, port: int, pause: float) -> None:
    """Serve until killed."""
    listener.serve(address, port, Endpoint(pause))
