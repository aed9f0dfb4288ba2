"""CPU cost of metrics and traces for one request.

Repeats the calls that the executor makes for one request with a streamed
answer in four set-ups: with a no-op observer (cost of the loop itself), with
metrics only, with traces written to a file, and with one request in a
hundred traced.
"""

import json
import pathlib
import statistics
import tempfile
import time

from citronport import clock
from citronport import runs
from citronport import spans
from citronport import telemetry
from citronport.endpoints import client
from citronport.endpoints import messages
from citronport.scheduler import models

CHUNKS_PER_ANSWER = 350
"""Chunks of one answer: 17 M tokens/s divided by 48,000 requests/s."""

CHUNK = messages.Chunk(offset=0, data=b"x")


class _NullObserver:
    """No-op observer, to subtract the cost of the loop itself."""

    def record_message(self, message: messages.Message) -> None:
        pass

    def record_decision(self) -> None:
        pass

    def record_dispatch(self, endpoint: str) -> None:
        pass


def _make_request() -> runs.Work:
    return runs.Work(
        request=models.Request(
            request_id="r",
            entry="e",
            workspace="w",
            tier=1,
            model="small",
            deadline=1e12,
        ),
        call=client.Call(
            request_id="r",
            method="POST",
            path="/v1/chat/completions",
            body=b"{}",
            headers={},
            stream=True,
            timeout=60.0,
        ),
    )


def _measure_cpu_seconds(
    made: telemetry.Telemetry | None, requests: int
) -> float:
    null_observer = _NullObserver()
    started = time.process_time()
    for _ in range(requests):
        work = _make_request()
        observer = (
            made.make_observer(work, forwarded=False)
            if made
            else null_observer
        )
        observer.record_decision()
        observer.record_dispatch("engine-1")
        observer.record_message(
            messages.Started(status=200, content_type="text/plain")
        )
        for _ in range(CHUNKS_PER_ANSWER):
            observer.record_message(CHUNK)
        observer.record_message(messages.Finished(size=CHUNKS_PER_ANSWER))
    return (time.process_time() - started) / requests


def run(
    requests: int = 2000, repeats: int = 5, json_file: str | None = None
) -> None:
    """Measure, print a table, and write the figures.

    Args:
        requests: requests of each repeat.
        repeats: the median of so many is told.
        json_file: where to write the figures as JSON.
    """
    ticker = clock.RuntimeClock()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "spans.jsonl"
        makers = {
            "inert": lambda: None,
            "counts": lambda: telemetry.Telemetry(ticker),
            "traces": lambda: telemetry.Telemetry(
                ticker, spans.make_tracer("entry-1", str(path), 1.0)
            ),
            "traces, 1 in 100": lambda: telemetry.Telemetry(
                ticker, spans.make_tracer("entry-1", str(path), 0.01)
            ),
        }
        figures = {
            name: statistics.median(
                _measure_cpu_seconds(make(), requests) for _ in range(repeats)
            )
            for name, make in makers.items()
        }
        size = path.stat().st_size / len(path.read_bytes().splitlines())
    base = figures["inert"]
    for name, seconds in figures.items():
        print(f"{name:18} {(seconds - base) * 1e6:8.1f} us a request")
    print(f"{size:.0f} bytes a span")
    if json_file is not None:
        results = {"cpu_s_per_request": figures, "bytes_per_span": size}
        pathlib.Path(json_file).write_text(json.dumps(results, indent=2))
