"""Idle cost of real instances: CPU time, memory, platform reads."""

import json
import pathlib
import tempfile
import time

import geventhttpclient

from measures import path
from measures.capacity import slopes
from standins import fleet
from standins import processes

INSTANCE_COUNTS = (2, 4, 8, 16)
ENGINE_COUNT = 2
SETTLE_SECONDS = 6.0


def measure(seconds: float, subnet: str) -> list[slopes.Series]:
    """Return the series by the number of instances."""
    rows = [_measure_one(count, seconds, subnet) for count in INSTANCE_COUNTS]
    return [
        slopes.Series(
            name=name,
            by="instances, real processes at rest",
            sizes=list(INSTANCE_COUNTS),
            values=[row[name] for row in rows],
            aim=16,
        )
        for name in rows[0]
    ]


def _measure_one(count: int, seconds: float, subnet: str) -> dict[str, float]:
    layout = fleet.Layout(
        subnet=subnet,
        data_centres=("dc-1", "dc-2"),
        instances=count,
        engines=tuple(
            {"name": f"engine-{n}", "models": ("small",)}
            for n in range(ENGINE_COUNT)
        ),
        services=(),
        entries=(
            {"name": "floor", "owner": "one", "class": 0, "key": "key-1"},
        ),
        trace_events=False,
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        processes.Processes(pathlib.Path(folder)) as running,
    ):
        started = fleet.Fleet(layout, running)
        started.start()
        time.sleep(SETTLE_SECONDS)
        return _measure_idle(started, seconds)


def _measure_idle(started: fleet.Fleet, seconds: float) -> dict[str, float]:
    names = [i["name"] for i in started.instances]
    ids = [started.running.get_pid(name) for name in names]
    before = (
        _sum_cpu(ids),
        _read_platform_reads(started),
        _read_loopback_bytes(),
    )
    time.sleep(seconds)
    after = (
        _sum_cpu(ids),
        _read_platform_reads(started),
        _read_loopback_bytes(),
    )
    count = len(ids)
    spent = after[0] - before[0]
    return {
        "processor time at rest, share of a core": spent / count / seconds,
        "resident memory, MB": sum(_read_memory(i) for i in ids) / count,
        "platform reads of an instance, 1/s": (after[1] - before[1])
        / count
        / seconds,
        "loopback bytes of an instance, 1/s": (after[2] - before[2])
        / count
        / seconds,
        "change in force at all, s": _time_change(started),
    }


def _sum_cpu(ids: list[int]) -> float:
    return sum(path.read_cpu(number) for number in ids)


def _read_memory(number: int) -> float:
    for line in pathlib.Path(f"/proc/{number}/status").open():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1000
    return 0.0


def _read_loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").open():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def _read_platform_reads(started: fleet.Fleet) -> int:
    client = geventhttpclient.HTTPClient(started.platform, fleet.PLATFORM_PORT)
    body = client.post("/admin/mode?mode=up", "").read()
    client.close()
    return int(json.loads(body)["reads"])


def _time_change(started: fleet.Fleet) -> float:
    version = started.versions[fleet.PATH_CATALOGUE] + 1
    began = time.monotonic()
    started.publish_catalogue()
    for instance in started.instances:
        while _read_version(instance["address"]) < version:
            time.sleep(0.01)
    return time.monotonic() - began


def _read_version(address: str) -> int:
    client = geventhttpclient.HTTPClient(address, fleet.OPERATOR_PORT)
    body = client.get("/status").read()
    client.close()
    return int(json.loads(body)["catalogue_version"])
