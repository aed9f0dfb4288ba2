"""Crowds of clients that keep to no limit, and what an instance holds."""

import contextlib
import dataclasses
import pathlib
import socket

import gevent

from tests.relay import fakes
from tests.relay import instances

CONNECT_SECONDS = 2.0
PIECE_BYTES = 65536
SAMPLE_SECONDS = 0.02
_KIB = 1024
_LISTENING = "0A"

MEMORY_MB = 80
"""Memory of the instance, of which a process in calm takes about 40 MB."""

SETTLE_SECONDS = 6.0
"""How long a crowd may send before the process is looked at."""

ASKS = 20
"""How often a caller that is refused comes back."""

FILES = 1000

RESERVED_FILES = 200
"""Descriptors that the platform keeps for files; the others are sockets."""

WIDE_LIMIT = {"ratePerS": 10**7, "burst": 10**7}
"""Limit of the workspace, which no crowd meets."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Client:
    """What one client of a crowd sends on one connection.

    Attributes:
        head: bytes sent once.
        rest: bytes sent again and again.
        size: bytes after the head, at most.
        tail: bytes sent after those.
    """

    head: bytes
    rest: bytes = b""
    size: int = 0
    tail: bytes = b""


class Crowd:
    """Clients that send until they are stopped, and keep their connections.

    Args:
        test: the test at whose end they leave.
        source: the first three numbers of their addresses.
        addresses: number of addresses that they come from.
    """

    def __init__(self, test, source, addresses=4):
        self._sources = [f"127.{source}.{200 + n}" for n in range(addresses)]
        self._sockets = []
        self._tasks = []
        test.addCleanup(self.leave)

    def join(self, host, port, client, number):
        """Let a number of clients connect, without waiting for them."""
        self._tasks += [
            gevent.spawn(self._run, host, port, client, self._sources[n % 4])
            for n in range(number)
        ]

    def settle(self, seconds):
        """Wait until all have sent what they can, or for some seconds."""
        gevent.joinall(self._tasks, timeout=seconds)

    def leave(self):
        """Close all connections."""
        gevent.killall(self._tasks)
        for sock in self._sockets:
            sock.close()

    def _run(self, host, port, client, source):
        with contextlib.suppress(OSError):
            sock = socket.create_connection(
                (host, port), CONNECT_SECONDS, source_address=(source, 0)
            )
            sock.settimeout(None)
            self._sockets.append(sock)
            sock.sendall(client.head)
            left = client.size
            while left > 0:
                left -= sock.send(client.rest[: min(left, PIECE_BYTES)])
            sock.sendall(client.tail)


class Meter:
    """Records the most that a process held, as the platform counts it.

    Args:
        test: the test at whose end it stops.
        pid: id of the process.
        host: the address that the process listens on.

    Attributes:
        memory: most bytes of memory, with those unread in its sockets.
        sockets: most sockets that it had open.
        files: most descriptors that it had open.
    """

    def __init__(self, test, pid, host):
        self._folder = pathlib.Path("/proc", str(pid))
        self._host = "".join(f"{int(n):02X}" for n in host.split(".")[::-1])
        self.memory = self.sockets = self.files = 0
        task = gevent.spawn(self._measure_forever)
        test.addCleanup(task.kill)

    def measure(self):
        """Add what the process holds now."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            self._measure()

    def _measure_forever(self):
        while True:
            self.measure()
            gevent.sleep(SAMPLE_SECONDS)

    def _measure(self):
        unread = self._count_unread("tcp") + self._count_unread("udp")
        for line in (self._folder / "status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name == "VmRSS":
                resident = int(value.split()[0]) * _KIB
                self.memory = max(self.memory, resident + unread)
            if name == "VmHWM":
                self.memory = max(self.memory, int(value.split()[0]) * _KIB)
        kinds = []
        for path in (self._folder / "fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                kinds.append(str(path.readlink()).partition(":")[0])
        self.files = max(self.files, len(kinds))
        self.sockets = max(self.sockets, kinds.count("socket"))

    def _count_unread(self, protocol):
        """Return the bytes that the kernel holds for the process."""
        rows = (self._folder / "net" / protocol).read_text().splitlines()[1:]
        return sum(
            int(fields[4].partition(":")[2], 16)
            for fields in map(str.split, rows)
            if fields[1].startswith(self._host) and fields[3] != _LISTENING
        )


def make_head(number, *fields, method="POST"):
    """Return the head of a request inside the limits, with more fields."""
    return "\r\n".join(
        (
            f"{method} /review/{number} HTTP/1.1",
            "Host: shop.example",
            f"X-Attempt-Id: crowd-{number}",
            "X-Api-Key: key-1",
            "X-Deadline-Ms: 15000",
            "X-Token-Counts: 100,10",
            *fields,
            "",
            "",
        )
    ).encode()


class CrowdCase(instances.InstanceCase):
    """One instance, a crowd, and callers that keep to the limits."""

    memory_mb = MEMORY_MB
    descriptors = FILES

    def setUp(self):
        """Start an instance and measure what it holds."""
        super().setUp()
        self.resources = (
            f"memory_mb: {self.memory_mb}",
            f"files: {self.descriptors}",
        )
        self.put_configuration(7, WIDE_LIMIT)
        self.host = self.start(1)
        self.wait_for("readiness", lambda: self.is_ready(self.host))
        self.pid = self.running.get_pid("entry-1")
        self.meter = Meter(self, self.pid, self.host)
        self.crowd = Crowd(self, self.subnet)

    def join(self, number, client, port="callers"):
        """Let clients send to a port; wait until they have."""
        self.crowd.join(
            self.host, instances.PORTS.get(port, port), client, number
        )
        self.crowd.settle(SETTLE_SECONDS)

    def check(self):
        """Check that the process holds its bounds and serves a caller."""
        status = self.ask_until_served()
        print()
        self.assertTrue(self.running.is_running("entry-1"))
        self.assertEqual(200, status)
        self.assertLess(self.meter.memory, self.memory_mb * 1e6)
        self.assertLessEqual(
            self.meter.sockets, self.descriptors - RESERVED_FILES
        )
        self.assertLessEqual(self.meter.files, self.descriptors)

    def ask_until_served(self):
        """Send a request, and come back when asked to; return the status."""
        self.endpoint.scripts = [fakes.answer()]
        for _ in range(ASKS):
            number = next(self.numbers)
            try:
                status, headers, _ = self.ask(
                    self.host, f"id-{number}", path=f"/review/{number}"
                )
            except OSError:
                status = 0
                gevent.sleep(0.5)
                continue
            if status != 503:
                return status
            self.assertEqual("not run", headers["X-Citronport-Ran"])
            gevent.sleep(float(headers["Retry-After"]))
        return status
