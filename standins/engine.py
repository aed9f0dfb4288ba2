"""Stand-in for a model engine with a batch, a prefix cache and cold starts."""

import collections
import collections.abc
import dataclasses
import json
import secrets
import time
from typing import Any
import urllib.parse

import gevent
from gevent import lock

from citronport.callers import models as chat_models
from standins import answers
from standins import engine_cache
from standins import engine_stream
from standins import journal
from standins import listener

PROMPT_TAG_CHARS = 24
"""Length of the end of a prompt, which identifies a request in the journal."""


class FellOverError(Exception):
    """The engine was overloaded in cold start, restarted, lost its work."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shape:
    """Parameters of an engine; units as in the catalogue."""

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
    cache_gap_every: int = 50
    keep_seconds: float = 4.0
    close_delimited: bool = False


class Engine:
    """Serves every request on arrival; restarts if overloaded in cold start.

    Each request runs in its own task, which outlives a broken connection
    for ``keep_seconds``, so that the stream can be resumed at an offset.
    """

    def __init__(self, shape: Shape, request_journal: journal.Journal) -> None:
        self.shape = shape
        self._journal = request_journal
        self._start = secrets.token_hex(8)
        self._cache = engine_cache.Cache(
            shape.cache_tokens, shape.cache_gap_every
        )
        self._prefill = lock.Semaphore(1)
        self._batch = lock.Semaphore(shape.batch)
        self._slow_factor = 1.0
        self._running: dict[str, int] = {}
        self._received = 0
        self._streams: dict[str, engine_stream.Stream] = {}
        self._generation = 0
        self._reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=200)
        )
        self.restart_cold()

    def restart_cold(self) -> None:
        """Simulate a restart: drop requests, empty the cache, turn cold."""
        self._generation += 1
        self._started_at = time.monotonic()
        self._finished_since_start = 0
        self._cache.clear()
        self._running.clear()
        self._journal.add("start", life=self._generation)

    @property
    def cold(self) -> bool:
        """Whether the engine is in cold start."""
        young = time.monotonic() - self._started_at < self.shape.cold_seconds
        return young or self._finished_since_start < self.shape.cold_requests

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one HTTP request."""
        query = {
            name: values[0]
            for name, values in urllib.parse.parse_qs(
                environ["QUERY_STRING"]
            ).items()
        }
        match environ["PATH_INFO"]:
            case "/load":
                return _respond_json(
                    start_response, self._make_load_report(query)
                )
            case "/cancel":
                self._cancel(query["id"])
                return _respond_json(start_response, {})
            case "/resume":
                return self._resume(query, start_response)
            case "/admin/cold":
                self.restart_cold()
                return _respond_json(start_response, {})
            case "/admin/slow":
                self._slow_factor = float(query["factor"])
                return _respond_json(start_response, {})
            case "/admin/cut":
                for stream in self._streams.values():
                    stream.disconnect_readers()
                return _respond_json(start_response, {})
        return self._serve_completion(environ, start_response)

    def _make_load_report(self, query: dict[str, str]) -> dict[str, Any]:
        now = time.monotonic()
        current = {
            "start": self._start,
            "running": len(self._running),
            "queued": max(0, len(self._running) - self.shape.batch),
            "cold": self.cold,
            "received": self._received,
        }
        self._reports.append((now, current))
        late = now - self.shape.report_lag
        old = [r for t, r in self._reports if t <= late]
        after = int(query.get("cache_after", 0))
        return {
            **(old[-1] if old else current),
            "age": self.shape.report_lag,
            "cache": {"events": self._cache.get_events(after, late)},
        }

    def _cancel(self, request_id: str) -> None:
        stream = self._streams.get(request_id)
        if stream is not None:
            stream.cancel()

    def _serve_completion(self, environ, start_response):  # noqa: ANN001, ANN202
        body = json.loads(environ["wsgi.input"].read())
        request_id = environ.get("HTTP_X_REQUEST_ID", "none")
        parent = environ.get("HTTP_TRACEPARENT")
        if parent is not None:
            self._journal.add("traced", request=request_id, parent=parent)
        stream = engine_stream.Stream(request_id)
        self._streams[request_id] = stream
        stream.run(self._produce_answer, stream, body)
        if body.get("stream"):
            return self._stream_response(stream, 0, start_response)
        return _respond_json(start_response, json.loads(stream.read_whole()))

    def _resume(self, query, start_response):  # noqa: ANN001, ANN202
        stream = self._streams.get(query["id"])
        offset = int(query["offset"])
        if stream is None or offset > stream.size:
            start_response("404 Unknown", [("Content-Length", "0")])
            return []
        return self._stream_response(stream, offset, start_response)

    def _stream_response(self, stream, offset, start_response):  # noqa: ANN001, ANN202
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                ("X-Resumable", "true"),
                ("X-Request-Id", stream.request_id),
                ("X-Offset", str(offset)),
            ],
        )
        return stream.read(offset, self.shape.keep_seconds)

    def _produce_answer(
        self, stream: engine_stream.Stream, body: dict
    ) -> None:
        request_id = stream.request_id
        prompt = make_prompt(body)
        count = body.get("max_completion_tokens") or body.get("max_tokens", 16)
        texts = []
        for token in self._generate(stream, body, prompt, count):
            if body.get("stream"):
                event = _encode_chunk(
                    request_id, body, {"content": token}, None
                )
                stream.add(event)
            else:
                texts.append(token)
        usage = _make_usage(prompt, count, stream.cached)
        if body.get("stream"):
            stream.add(_encode_chunk(request_id, body, {}, "stop", usage))
            stream.add(b"data: [DONE]\n\n")
        else:
            whole = _make_completion(request_id, body, "".join(texts), usage)
            stream.add(json.dumps(whole).encode())
        stream.finish()
        gevent.spawn_later(
            self.shape.keep_seconds, self._streams.pop, request_id, None
        )

    def _generate(
        self,
        stream: engine_stream.Stream,
        body: dict,
        prompt: str,
        count: int,
    ) -> collections.abc.Iterator[str]:
        generation = self._generation
        request_id = stream.request_id
        tokens = max(1, len(prompt) // 4)
        finished = False
        try:
            self._admit(request_id, prompt, tokens)
            with self._batch:
                stream.cached = self._prefill_prompt(
                    request_id, body["model"], prompt, tokens
                )
                for token in answers.make_tokens(prompt, count):
                    self._check_generation(generation)
                    gevent.sleep(self._decode_seconds())
                    yield token
            finished = True
        finally:
            if not finished:
                self._streams.pop(request_id, None)
            if generation == self._generation:
                self._running.pop(request_id, None)
                self._finished_since_start += finished
            kind = "finished" if finished else "stopped"
            self._journal.add(kind, request=request_id, output=count)

    def _admit(self, request_id: str, prompt: str, tokens: int) -> None:
        self._received += 1
        self._running[request_id] = tokens
        cold = self.cold
        self._journal.add(
            "received",
            request=request_id,
            prompt=answers.hash_prompt(prompt),
            cold=cold,
            running=len(self._running),
            prompt_tokens=tokens,
            tag=prompt[-PROMPT_TAG_CHARS:],
        )
        over = len(self._running) > self.shape.cold_concurrency or (
            sum(self._running.values()) > self.shape.cold_prompt_tokens
        )
        if cold and over:
            self._journal.add("cold_overload", request=request_id)
            self.restart_cold()
            raise FellOverError

    def _check_generation(self, generation: int) -> None:
        if generation != self._generation:
            raise FellOverError

    def _prefill_prompt(
        self, request_id: str, model: str, prompt: str, tokens: int
    ) -> int:
        blocks = chat_models.hash_prefix(model, prompt)
        cached = min(tokens, self._cache.count_cached_tokens(blocks))
        with self._prefill:
            work = (tokens - cached) / self.shape.prefill_rate
            gevent.sleep(work * self._slow_factor * (4 if self.cold else 1))
        self._cache.add(blocks)
        self._journal.add(
            "prefilled", request=request_id, tokens=tokens, cached=cached
        )
        return cached

    def _decode_seconds(self) -> float:
        share = 1 + 0.05 * max(0, len(self._running) - 1)
        return self._slow_factor * share / self.shape.decode_rate


def make_prompt(body: dict[str, Any]) -> str:
    """Return the messages as the single text that determines the answer."""
    return "\n".join(
        f"{message['role']}\n{message['content']}"
        for message in body["messages"]
    )


def _make_usage(prompt: str, count: int, cached: int) -> dict[str, Any]:
    return {
        "prompt_tokens": max(1, len(prompt) // 4),
        "completion_tokens": count,
        "prompt_tokens_details": {"cached_tokens": cached},
    }


def _encode_chunk(
    request_id: str,
    body: dict,
    delta: dict,
    finish: str | None,
    usage: dict | None = None,
) -> bytes:
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": body["model"],
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }
    if usage is not None:
        chunk["usage"] = usage
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _make_completion(
    request_id: str, body: dict, text: str, usage: dict
) -> dict[str, Any]:
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": body["model"],
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": usage,
    }


def _respond_json(start_response, body: dict) -> list[bytes]:  # noqa: ANN001
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
    listener.serve(
        address, port, engine, close_delimited=engine.shape.close_delimited
    )
