"""CPU time and bytes of remembering the versions of streams, by fleet size."""

import json as json_module
import socket
import time
import tracemalloc

from citronport import clock
from citronport.platform import client
from citronport.platform import requests
from citronport.relay import cluster_state
from citronport.relay import contacts
from citronport.relay import eventlog
from citronport.relay import follower
from citronport.relay import membership
from citronport.relay import messages
from citronport.relay import metrics
from citronport.relay import mirror as mirror_module
from citronport.relay import owners
from citronport.relay import store_check
from citronport.relay import store_history
from citronport.relay import stream_versions
from citronport.relay import version_proofs
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import models

SIZES = (7, 60, 510)
STREAMS = 3000
STREAMS_PER_SECOND = 94.0
"""Streams that begin at one instance at the aimed size."""

LATER_SECONDS = 3600.0
"""Keeps the reports of the other instances fresh during a measurement."""

HEADER_BYTES = 28
"""Bytes of an IPv4 and a UDP header."""


def run(json: str = "") -> None:
    """Measure one instance in fleets of several sizes.

    Args:
        json: file for the figures.
    """
    rows = [measure(size) for size in SIZES]
    for row in rows:
        print(
            f"{row['instances']:>3} instances: {row['quiet_us']:.1f} us and no"
            f" byte a stream while one version serves; with two"
            f" {row['record_us']:.0f} us and {row['bytes']:.0f} bytes a"
            f" stream to begin, {row['keep_us']:.1f} us to keep one,"
            f" {row['memory_bytes']:.0f} bytes of memory; at"
            f" {STREAMS_PER_SECOND:.0f} a second"
            f" {row['cpu_percent']:.2f}% of a core and"
            f" {row['kb_per_second']:.1f} KB/s sent"
        )
    if json:
        with open(json, "w") as file:
            json_module.dump(rows, file)


def measure(size: int) -> dict[str, float]:
    """Return the figures of one instance in a fleet of a size."""
    quiet = _Instance(size, ("v1",))
    quiet_seconds = quiet.begin_streams()
    busy = _Instance(size, ("v1", "v2"))
    record_seconds = busy.begin_streams()
    receiver = _Instance(size, ("v1", "v2"))
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for data in busy.sent:
        receiver.versions.handle(messages.CODEC.unpack(data))
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    began = time.process_time()
    for data in busy.sent:
        receiver.versions.handle(messages.CODEC.unpack(data))
    keep_seconds = (time.process_time() - began) / len(busy.sent)
    copies = len(busy.sent) / STREAMS
    sent_bytes = sum(len(data) + HEADER_BYTES for data in busy.sent) / STREAMS
    cpu = STREAMS_PER_SECOND * (record_seconds + copies * keep_seconds)
    return {
        "instances": size,
        "quiet_us": quiet_seconds * 1e6,
        "record_us": record_seconds * 1e6,
        "keep_us": keep_seconds * 1e6,
        "bytes": sent_bytes,
        "memory_bytes": memory / len(receiver.versions),
        "cpu_percent": 100 * cpu,
        "kb_per_second": STREAMS_PER_SECOND * sent_bytes / 1000,
    }


class _Instance:
    """One instance that knows all others, and sends to a local socket.

    Attributes:
        versions: what it remembers of streams.
        sent: the datagrams that it sent.
    """

    def __init__(self, size: int, software: tuple[str, ...]) -> None:
        ticker = clock.RuntimeClock()
        log = eventlog.Log("measure", ticker)
        members = membership.Membership("i0", "dc0")
        for number in range(1, size):
            report = _make_report(number)
            members.apply_report(report, ticker.now() + LATER_SECONDS)
        state = cluster_state.ClusterState(
            cold_starts.ColdStarts(), lambda name: None, log
        )
        state.endpoints = {s: _make_endpoint(s) for s in software}
        state.list_number = 1
        self.sent: list[bytes] = []
        self._receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._receiver.bind(("127.0.0.1", 0))
        self._sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._endpoints = list(state.endpoints.values())
        mirror = mirror_module.Mirror()
        self.versions = stream_versions.StreamVersions(
            "i0",
            members,
            state,
            owners.Owners(
                "i0", 1.0, members, state, lambda: True, log, lambda: None
            ),
            self._send,
            version_proofs.VersionProofs(
                members,
                contacts.Contacts(members, ticker, contacts.probe),
                store_check.StoreCheck(
                    client.Client("127.0.0.1:1", 0.1),
                    mirror,
                    follower.Follower(
                        client.Client("127.0.0.1:1", 0.1),
                        mirror,
                        ticker,
                        lambda changes: None,
                        log,
                    ),
                    lambda changes: None,
                    ticker,
                ),
                ticker,
            ),
            metrics.Counts(),
            ticker,
        )
        past = {endpoint.version for endpoint in self._endpoints}
        self.versions.record_past(
            store_history.Past(versions=past, weights=None)
        )
        self.versions.update()

    def _send(self, instance: str, message: messages.InstanceMessage) -> None:
        del instance
        data = messages.CODEC.encode(message)
        self.sent.append(data)
        self._sender.sendto(data, self._receiver.getsockname())

    def begin_streams(self) -> float:
        """Begin streams; return the CPU time of one, seconds."""
        began = time.process_time()
        for number in range(STREAMS):
            endpoint = self._endpoints[number % len(self._endpoints)]
            resumption = requests.Resumption(
                begun_by=f"{number:016x}", after=""
            )
            self.versions.record("", resumption, endpoint)
        return (time.process_time() - began) / STREAMS


def _make_endpoint(software: str) -> models.Endpoint:
    return models.Endpoint(
        name=software,
        service="engines",
        address="127.0.0.1:1",
        data_centre="dc0",
        software=software,
        slots=8,
        leaving=False,
        cold_seconds=0.0,
        started=1,
    )


def _make_report(number: int) -> messages.Report:
    return messages.Report(
        protocol=messages.PROTOCOL,
        instance=f"i{number}",
        incarnation="1",
        number=1,
        up_seconds=60.0,
        data_centre=f"dc{number % 6}",
        capacity=1.0,
        caller_address=f"127.0.0.1:{number}",
        peer_address=f"127.0.0.1:{number}",
        ready=True,
        leaving=False,
        starting=False,
        revision=1,
        store_seconds=0.0,
        knows_lost=False,
        path_lost=False,
        admitted_units={},
        loads=[],
        profiles=[],
        members=[],
        suspects=[],
        limits=[],
    )
