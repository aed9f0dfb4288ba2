"""Load generator: calls in a closed loop, and concurrent streams."""

import dataclasses
import json
import time

import gevent
from gevent import socket

READ_BYTES = 65536
TIMEOUT_SECONDS = 60.0
HEAD_END = b"\r\n\r\n"
STREAM_END = b"data: [DONE]"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Where calls are sent, and with which model and key.

    Attributes:
        addresses: "ip:port", assigned to connections in round-robin order.
        model: model name.
        key: workspace key.
    """

    addresses: tuple[str, ...]
    model: str
    key: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadResult:
    """Result of one load.

    Attributes:
        count: completed calls, or tokens of complete streams.
        failed: calls or streams without a complete answer.
        seconds: duration of the load.
        p95_gap: 95th percentile of the seconds between two chunks of a
            stream; 0 for calls.
        p95_first: 95th percentile of the seconds to the first chunk of
            a stream; 0 for calls.
    """

    count: int
    failed: int
    seconds: float
    p95_gap: float = 0.0
    p95_first: float = 0.0


def run_closed_loop(
    target: Target, connections: int, seconds: float
) -> LoadResult:
    """Send calls on persistent connections, one at a time on each."""
    payload = _make_payload(target, stream=False, tokens=16)
    start = time.monotonic()
    end = start + seconds
    tasks = [
        gevent.spawn(_call, _choose(target, n), payload, end)
        for n in range(connections)
    ]
    gevent.joinall(tasks)
    counts = [task.get() for task in tasks]
    return LoadResult(
        count=sum(done for done, _ in counts),
        failed=sum(failed for _, failed in counts),
        seconds=time.monotonic() - start,
    )


def read_streams(target: Target, streams: int, tokens: int) -> LoadResult:
    """Read concurrent streams to the end."""
    payload = _make_payload(target, stream=True, tokens=tokens)
    start = time.monotonic()
    tasks = [
        gevent.spawn(_stream, _choose(target, n), payload)
        for n in range(streams)
    ]
    gevent.joinall(tasks)
    complete = [task.get() for task in tasks if task.get()]
    return LoadResult(
        count=len(complete) * tokens,
        failed=streams - len(complete),
        seconds=time.monotonic() - start,
        p95_gap=_find_p95([g for times in complete for g in times[1:]]),
        p95_first=_find_p95([times[0] for times in complete]),
    )


def _choose(target: Target, number: int) -> str:
    return target.addresses[number % len(target.addresses)]


def _make_payload(target: Target, *, stream: bool, tokens: int) -> bytes:
    body = json.dumps(
        {
            "model": target.model,
            "messages": [{"role": "user", "content": "how warm? " * 100}],
            "max_tokens": tokens,
            "stream": stream,
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: measure\r\n"
        f"Authorization: Bearer {target.key}\r\n"
        "X-Deadline-Seconds: 60\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _connect(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), TIMEOUT_SECONDS)


def _call(address: str, payload: bytes, end: float) -> tuple[int, int]:
    done = failed = 0
    sock = _connect(address)
    while time.monotonic() < end:
        sock.sendall(payload)
        data = sock.recv(READ_BYTES)
        while data and not _is_complete(data):
            data += sock.recv(READ_BYTES)
        if data.startswith(b"HTTP/1.1 200"):
            done += 1
        else:
            failed += 1
    sock.close()
    return done, failed


def _is_complete(data: bytes) -> bool:
    head, separator, body = data.partition(HEAD_END)
    if not separator:
        return False
    lowered = head.lower()
    if b"transfer-encoding" in lowered:
        return body.endswith(b"0\r\n\r\n")
    length = lowered.partition(b"content-length:")[2].split(b"\r\n")[0]
    return len(body) >= int(length)


def _stream(address: str, payload: bytes) -> list[float]:
    """Return the gaps before each chunk; empty if the stream is cut.

    The first gap is the time to the first chunk.
    """
    sock = _connect(address)
    last = time.monotonic()
    sock.sendall(payload)
    gaps: list[float] = []
    tail = b""
    while data := sock.recv(READ_BYTES):
        now = time.monotonic()
        if b"data: " in data:
            gaps.append(now - last)
            last = now
        tail = (tail + data)[-64:]
        if STREAM_END in tail and tail.endswith(HEAD_END):
            break
    sock.close()
    return gaps if STREAM_END in tail else []


def _find_p95(values: list[float]) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(len(values) * 0.95)]
