"""CPU time of a request and of a token, by request path."""

import dataclasses
import json as json_module
import os
import pathlib
import tempfile

from citronport.scheduler import ownership
from measures import path_load
from standins import fleet
from standins import processes

ENGINES = 4
ENDPOINT_CONCURRENCY = 512
"""Exceeds the number of connections, so that no request is queued."""

CONNECTIONS = 32
WARM_UP_SECONDS = 2.0
WARM_UP_ROUNDS = 15
TOKEN_INTERVAL_SECONDS = 0.02
RELAY = "relay"
WORKSPACE_KEY = "measure-key"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figure:
    """Cost of one request path; CPU time is that of the named processes.

    Attributes:
        way: name of the request path: direct, relay, entry, or forward
            (two instances; each call goes to the one that does not own
            the endpoint).
        requests_per_second: complete calls in a closed loop.
        cpu_seconds_per_request: of all processes of the path.
        tokens_per_second: of concurrent, paced streams.
        cpu_seconds_per_token: of all processes of the path.
        p95_gap_seconds: between two chunks of one stream.
        p95_first_seconds: to the first chunk of a stream.
        failed: calls and streams without a complete answer.
    """

    way: str
    requests_per_second: float
    cpu_seconds_per_request: float
    tokens_per_second: float
    cpu_seconds_per_token: float
    p95_gap_seconds: float
    p95_first_seconds: float
    failed: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestPath:
    """A request path to measure.

    Attributes:
        name: see ``Figure.way``.
        target: where the load is sent.
        processes: names of the processes whose CPU time is counted.
    """

    name: str
    target: path_load.Target
    processes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadSize:
    """Amount of load for each request path."""

    seconds: float
    streams: int
    tokens: int


class Testbed:
    """The processes of the benchmark, with one or two entry instances."""

    def __init__(
        self, running: processes.Processes, subnet: str, instances: int
    ) -> None:
        self.running = running
        self.fleet = fleet.Fleet(_make_layout(subnet, instances), running)
        self.relay = f"127.{subnet}.240:8000"

    def start(self) -> None:
        """Start the platform, the minimal endpoints and the instances."""
        self.fleet.start_platform()
        for endpoint in self.fleet.endpoints:
            self.running.start(
                endpoint["name"],
                "measures",
                "path_endpoint",
                endpoint["address"],
                str(fleet.ENDPOINT_PORT),
                str(TOKEN_INTERVAL_SECONDS),
            )
        for instance in self.fleet.instances:
            self.fleet.start_instance(instance["name"])
        for endpoint in self.fleet.endpoints:
            processes.wait_for_port(endpoint["address"], fleet.ENDPOINT_PORT)
        for instance in self.fleet.instances:
            processes.wait_for_port(instance["address"], fleet.CALLER_PORT)

    def start_relay(self) -> None:
        """Start the baseline relay."""
        host, port = self.relay.rsplit(":", 1)
        self.running.start(
            RELAY,
            "measures",
            "path_relay",
            host,
            port,
            "+".join(self.get_endpoint_addresses()),
            str(ENDPOINT_CONCURRENCY),
        )
        processes.wait_for_port(host, int(port))

    def get_endpoint_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the endpoints."""
        return tuple(
            f"{e['address']}:{fleet.ENDPOINT_PORT}"
            for e in self.fleet.endpoints
        )

    def warm_up(self, request_path: RequestPath) -> None:
        """Send calls until none is refused, so that all endpoints are warm.

        Raises:
            TimeoutError: calls are still refused after the last round.
        """
        for _ in range(WARM_UP_ROUNDS):
            rate = path_load.run_closed_loop(
                request_path.target, CONNECTIONS, WARM_UP_SECONDS
            )
            if rate.count and not rate.failed:
                return
        raise TimeoutError(
            f"{request_path.name} still refuses calls after warm-up"
        )

    def measure(self, request_path: RequestPath, size: LoadSize) -> Figure:
        """Load a request path and return its cost."""
        self.warm_up(request_path)
        before = self.read_cpu(request_path)
        calls = path_load.run_closed_loop(
            request_path.target, CONNECTIONS, size.seconds
        )
        between = self.read_cpu(request_path)
        streams = path_load.read_streams(
            request_path.target, size.streams, size.tokens
        )
        after = self.read_cpu(request_path)
        return Figure(
            way=request_path.name,
            requests_per_second=round(calls.count / calls.seconds, 1),
            cpu_seconds_per_request=(between - before) / max(1, calls.count),
            tokens_per_second=round(streams.count / streams.seconds, 1),
            cpu_seconds_per_token=(after - between) / max(1, streams.count),
            p95_gap_seconds=round(streams.p95_gap, 4),
            p95_first_seconds=round(streams.p95_first, 4),
            failed=calls.failed + streams.failed,
        )

    def read_cpu(self, request_path: RequestPath) -> float:
        """Return the CPU seconds used by the processes of a path."""
        pids = [self.running.get_pid(name) for name in request_path.processes]
        return sum(read_cpu(pid) for pid in pids)


def read_cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used so far."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The process name in parentheses may contain spaces, so fields are
    # counted from its end: user and system time are the 12th and 13th.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def _make_layout(subnet: str, instances: int) -> fleet.Layout:
    engines = tuple(
        {
            "name": f"engine-{n}",
            "models": ("any", f"only-{n}"),
            "batch": ENDPOINT_CONCURRENCY,
            "cold_concurrency": ENDPOINT_CONCURRENCY,
            "cold_prompt_tokens": 10_000_000,
            "prefill_rate": 10_000_000.0,
            "decode_rate": 10_000.0,
        }
        for n in range(ENGINES)
    )
    entry = {
        "name": "measure",
        "owner": "measure",
        "class": 0,
        "key": WORKSPACE_KEY,
    }
    return fleet.Layout(
        subnet=subnet,
        data_centres=("dc-1",),
        instances=instances,
        engines=engines,
        services=(),
        entries=(entry,),
        trace_events=False,
    )


def make_target(addresses: tuple[str, ...], model: str) -> path_load.Target:
    """Return a target with the workspace key of the benchmark."""
    return path_load.Target(
        addresses=addresses, model=model, key=WORKSPACE_KEY
    )


def _measure_one_entry(
    folder: pathlib.Path, subnet: str, size: LoadSize
) -> list[Figure]:
    with processes.Processes(folder) as running:
        testbed = Testbed(running, subnet, 1)
        testbed.start()
        testbed.start_relay()
        endpoints = testbed.get_endpoint_addresses()
        names = tuple(e["name"] for e in testbed.fleet.endpoints)
        entries = tuple(testbed.fleet.get_callers_addresses())
        request_paths = (
            RequestPath(
                name="direct",
                target=make_target(endpoints, "any"),
                processes=names,
            ),
            RequestPath(
                name="relay",
                target=make_target((testbed.relay,), "any"),
                processes=(RELAY,),
            ),
            RequestPath(
                name="entry",
                target=make_target(entries, "any"),
                processes=("entry-1",),
            ),
        )
        return [testbed.measure(each, size) for each in request_paths]


def _measure_forward(
    folder: pathlib.Path, subnet: str, size: LoadSize
) -> list[Figure]:
    with processes.Processes(folder) as running:
        testbed = Testbed(running, subnet, 2)
        testbed.start()
        names = [i["name"] for i in testbed.fleet.instances]
        owner = ownership.rank_instances("engine-0", names)[0]
        other = testbed.fleet.get_callers_addresses()[1 - names.index(owner)]
        request_path = RequestPath(
            name="forward",
            target=make_target((other,), "only-0"),
            processes=tuple(names),
        )
        return [testbed.measure(request_path, size)]


def run(
    json: str | None = None,
    subnet: str = "71.1",
    seconds: float = 6.0,
    streams: int = 200,
    tokens: int = 300,
) -> None:
    """Measure the cost of the path, print it and write it.

    Args:
        json: file that gets the figures.
        subnet: second and third number of the loopback addresses.
        seconds: how long calls are sent on each way.
        streams: streams side by side on each way.
        tokens: tokens of each stream.
    """
    size = LoadSize(seconds=seconds, streams=streams, tokens=tokens)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        figures = _measure_one_entry(folder, str(subnet), size)
        figures += _measure_forward(folder, str(subnet), size)
    _print_figures(figures)
    if json:
        listed = [dataclasses.asdict(figure) for figure in figures]
        text = json_module.dumps(listed, indent=2)
        pathlib.Path(json).write_text(text + "\n")


def _print_figures(figures: list[Figure]) -> None:
    floor = next(f for f in figures if f.way == RELAY)
    print(
        "way      calls/s  CPU ms/call  to relay  tokens/s  "
        "CPU us/token  to relay  p95 gap ms  p95 first ms  failed"
    )
    for f in figures:
        call = f.cpu_seconds_per_request
        token = f.cpu_seconds_per_token
        print(
            f"{f.way:8} {f.requests_per_second:7.0f}  {call * 1e3:11.3f}  "
            f"{call / floor.cpu_seconds_per_request:8.2f}  "
            f"{f.tokens_per_second:8.0f}  {token * 1e6:12.1f}  "
            f"{token / floor.cpu_seconds_per_token:8.2f}  "
            f"{f.p95_gap_seconds * 1e3:10.1f}  "
            f"{f.p95_first_seconds * 1e3:12.1f}  {f.failed:6}"
        )
