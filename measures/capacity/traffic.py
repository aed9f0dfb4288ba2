"""Processor time of one entry by the requests and tokens that it carries."""

import pathlib
import tempfile

from measures import path
from measures import path_load
from measures.capacity import slopes
from standins import processes

CONNECTIONS = (1, 2, 4, 8)
STREAMS = (25, 50, 100, 150)
TOKENS = 200
AIM_REQUESTS = 48_000 / 510
AIM_TOKENS = 17_000_000 / 510


def measure(seconds: float, subnet: str) -> list[slopes.Series]:
    """Return the series by requests and by tokens a second."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Processes(pathlib.Path(folder)) as running,
    ):
        bench = path.Bench(running, subnet, 1)
        bench.start()
        addresses = tuple(bench.fleet.get_callers_addresses())
        way = path.Way(
            name="entry",
            target=path.make_target(addresses, "any"),
            processes=("entry-1",),
        )
        bench.warm_up(way)
        calls = [_call(bench, way, n, seconds / 2) for n in CONNECTIONS]
        streams = [_stream(bench, way, n) for n in STREAMS]
    return [
        _make_series("requests a second", calls, AIM_REQUESTS),
        _make_series("tokens a second", streams, AIM_TOKENS),
    ]


def _call(
    bench: path.Bench, way: path.Way, connections: int, seconds: float
) -> tuple[float, float]:
    before = bench.read_cpu(way)
    rate = path_load.call_in_loop(way.target, connections, seconds)
    spent = bench.read_cpu(way) - before
    return rate.count / rate.seconds, spent / rate.seconds


def _stream(
    bench: path.Bench, way: path.Way, streams: int
) -> tuple[float, float]:
    before = bench.read_cpu(way)
    rate = path_load.read_streams(way.target, streams, TOKENS)
    spent = bench.read_cpu(way) - before
    return rate.count / rate.seconds, spent / rate.seconds


def _make_series(
    by: str, points: list[tuple[float, float]], aim: float
) -> slopes.Series:
    return slopes.Series(
        name="entry under load, share of a core",
        by=by,
        sizes=[round(rate, 1) for rate, _ in points],
        values=[share for _, share in points],
        aim=aim,
    )
