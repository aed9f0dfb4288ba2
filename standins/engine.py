"""Stand-in for a model engine: batch, prefix cache, cold start."""

import collections
import collections.abc
import dataclasses
import json
import time
from typing import Any
import urllib.parse

import gevent
from gevent import lock
from gevent import pywsgi

from citronport.callers import models as chat_models
from standins import answers
from standins import journal

TAG_CHARS = 24
"""The end of a prompt, by which a request is told from others."""


class FellOverError(Exception):
    """The engine fell over in cold start and drops what it held."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """What kind of engine it is; units as in the catalogue."""

    name: str
    batch: int = 8
    prefill_rate: float = 20000.0
    decode_rate: float = 200.0
    cache_tokens: int = 100_000
    cold_seconds: float = 1.0
    cold_requests: int = 2
    cold_concurrency: int = 1
    cold_prompt_tokens: int = 2000
    report_lag: float = 0.5


class Engine:
    """Admits requests as they come and falls over when overfed cold."""

    def __init__(self, shape: Shape, notes: journal.Journal) -> None:
        self.shape = shape
        self._notes = notes
        self._cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._prefill = lock.Semaphore(1)
        self._batch = lock.Semaphore(shape.batch)
        self._slow = 1.0
        self._running: dict[str, int] = {}
        self._received = 0
        self._cancelled: set[str] = set()
        self._life = 0
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=200)
        )
        self.turn_cold()

    def turn_cold(self) -> None:
        """Start over: empty cache, cold."""
        self._life += 1
        self._born = time.monotonic()
        self._done_cold = 0
        self._cache.clear()
        self._running.clear()
        self._notes.add("start", life=self._life)

    @property
    def cold(self) -> bool:
        """Whether it is in cold start."""
        young = time.monotonic() - self._born < self.shape.cold_seconds
        return young or self._done_cold < self.shape.cold_requests

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one HTTP request."""
        path = environ["PATH_INFO"]
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        if path == "/load":
            return _answer(start_response, self._report())
        if path == "/cancel":
            self._cancelled.add(query["id"][0])
            return _answer(start_response, {})
        if path == "/admin/cold":
            self.turn_cold()
            return _answer(start_response, {})
        if path == "/admin/slow":
            self._slow = float(query["factor"][0])
            return _answer(start_response, {})
        return self._complete(environ, start_response)

    def _report(self) -> dict[str, Any]:
        now = time.monotonic()
        current = {
            "running": len(self._running),
            "queued": max(0, len(self._running) - self.shape.batch),
            "cold": self.cold,
            "received": self._received,
        }
        self._reports.append((now, current))
        late = now - self.shape.report_lag
        old = [r for t, r in self._reports if t <= late]
        return {**(old[-1] if old else current), "age": self.shape.report_lag}

    def _complete(self, environ, start_response):  # noqa: ANN001, ANN202
        body = json.loads(environ["wsgi.input"].read())
        request_id = environ.get("HTTP_X_REQUEST_ID", "none")
        prompt = make_prompt(body)
        count = body.get("max_completion_tokens") or body.get("max_tokens", 16)
        if not body.get("stream"):
            text = "".join(self._generate(request_id, body, prompt, count))
            return _answer(start_response, _whole(request_id, body, text))
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(request_id, body, prompt, count)

    def _stream(
        self, request_id: str, body: dict, prompt: str, count: int
    ) -> collections.abc.Iterator[bytes]:
        for token in self._generate(request_id, body, prompt, count):
            yield _event(request_id, body, {"content": token}, None)
        yield _event(request_id, body, {}, "stop")
        yield b"data: [DONE]\n\n"

    def _generate(
        self, request_id: str, body: dict, prompt: str, count: int
    ) -> collections.abc.Iterator[str]:
        life = self._life
        tokens = max(1, len(prompt) // 4)
        self._receive(request_id, tokens, prompt[-TAG_CHARS:])
        finished = False
        try:
            with self._batch:
                self._prefill_prompt(request_id, body["model"], prompt, tokens)
                for token in answers.make_tokens(prompt, count):
                    self._check_alive(request_id, life)
                    gevent.sleep(self._decode_seconds())
                    yield token
            finished = True
        finally:
            self._running.pop(request_id, None)
            kind = "finished" if finished else "stopped"
            self._notes.add(kind, request=request_id, output=count)
            if finished and life == self._life:
                self._done_cold += 1

    def _receive(self, request_id: str, tokens: int, tag: str) -> None:
        self._received += 1
        self._running[request_id] = tokens
        cold = self.cold
        self._notes.add(
            "received",
            request=request_id,
            cold=cold,
            running=len(self._running),
            prompt_tokens=tokens,
            tag=tag,
        )
        over = len(self._running) > self.shape.cold_concurrency or (
            sum(self._running.values()) > self.shape.cold_prompt_tokens
        )
        if cold and over:
            self._notes.add("cold_overload", request=request_id)
            self.turn_cold()
            raise FellOverError

    def _check_alive(self, request_id: str, life: int) -> None:
        if life != self._life:
            raise FellOverError
        if request_id in self._cancelled:
            self._cancelled.discard(request_id)
            raise FellOverError

    def _prefill_prompt(
        self, request_id: str, model: str, prompt: str, tokens: int
    ) -> None:
        blocks = chat_models.hash_prefix(model, prompt)
        known = 0
        for block in blocks:
            if block not in self._cache:
                break
            known += 1
        cached = min(tokens, known * 128)
        with self._prefill:
            work = (tokens - cached) / self.shape.prefill_rate
            gevent.sleep(work * self._slow * (4 if self.cold else 1))
        for block in blocks:
            self._cache[block] = 128
            self._cache.move_to_end(block)
        while len(self._cache) * 128 > self.shape.cache_tokens:
            self._cache.popitem(last=False)
        self._notes.add(
            "prefilled", request=request_id, tokens=tokens, cached=cached
        )

    def _decode_seconds(self) -> float:
        share = 1 + 0.05 * max(0, len(self._running) - 1)
        return self._slow * share / self.shape.decode_rate


def make_prompt(body: dict[str, Any]) -> str:
    """Return the text that the answer depends on."""
    return "\n".join(
        f"{message['role']}\n{message['content']}"
        for message in body["messages"]
    )


def _event(
    request_id: str, body: dict, delta: dict, finish: str | None
) -> bytes:
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": body["model"],
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _whole(request_id: str, body: dict, text: str) -> dict[str, Any]:
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": body["model"],
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
    }


def _answer(start_response, body: dict) -> list[bytes]:  # noqa: ANN001
    data = json.dumps(body).encode()
    start_response(
        "200 OK",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]


def serve(
    address: str, port: int, record_file: str | None = None, **shape: Any
) -> None:
    """Serve until killed; further flags are the fields of ``Shape``."""
    engine = Engine(
        Shape(**shape), journal.Journal(record_file, shape["name"])
    )
    pywsgi.WSGIServer(
        (address, port), engine, log=None, error_log=None
    ).serve_forever()
