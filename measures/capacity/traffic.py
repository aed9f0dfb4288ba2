"""CPU time of one instance by its rate of requests and tokens."""

import pathlib
import tempfile

from measures import path
from measures import path_load
from measures.capacity import slopes
from standins import processes

CONNECTIONS = (1, 2, 4, 8)
STREAMS = (25, 50, 100, 150)
TOKENS = 200
TARGET_REQUESTS_PER_SECOND = 48_000 / 510
TARGET_TOKENS_PER_SECOND = 17_000_000 / 510


def measure(seconds: float, subnet: str) -> list[slopes.Series]:
    """Return the series by requests and by tokens per second."""
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Processes(pathlib.Path(folder)) as running,
    ):
        testbed = path.Testbed(running, subnet, 1)
        testbed.start()
        addresses = tuple(testbed.fleet.get_callers_addresses())
        request_path = path.RequestPath(
            name="entry",
            target=path.make_target(addresses, "any"),
            processes=("entry-1",),
        )
        testbed.warm_up(request_path)
        calls = [
            _call(testbed, request_path, n, seconds / 2) for n in CONNECTIONS
        ]
        streams = [_stream(testbed, request_path, n) for n in STREAMS]
    return [
        _make_series("requests a second", calls, TARGET_REQUESTS_PER_SECOND),
        _make_series("tokens a second", streams, TARGET_TOKENS_PER_SECOND),
    ]


def _call(
    testbed: path.Testbed,
    request_path: path.RequestPath,
    connections: int,
    seconds: float,
) -> tuple[float, float]:
    before = testbed.read_cpu(request_path)
    rate = path_load.run_closed_loop(request_path.target, connections, seconds)
    spent = testbed.read_cpu(request_path) - before
    return rate.count / rate.seconds, spent / rate.seconds


def _stream(
    testbed: path.Testbed, request_path: path.RequestPath, streams: int
) -> tuple[float, float]:
    before = testbed.read_cpu(request_path)
    rate = path_load.read_streams(request_path.target, streams, TOKENS)
    spent = testbed.read_cpu(request_path) - before
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
