"""Clients that keep to no limit end no instance and keep no caller out."""

import random
import signal
import socket
import zlib

import gevent
import msgpack

from citronport.relay import messages
from standins import processes
from tests.relay import crowds
from tests.relay import fakes
from tests.relay import instances
from tests.relay import test_membership

CROWD = 300
"""Clients at the port for callers."""

LARGE_MB = 128
FEW_FILES = 400
BODY_BYTES = 4_194_304
"""Largest body of the sample configuration."""

JUNK = b"j" * crowds.PIECE_BYTES
EMPTY_LIST = b"\x90"
"""A message of one byte, of which many make one of many objects."""

REPORTS = 400
NAMED_INSTANCES = 1000
"""Instances that one report names, as many as a datagram holds."""

STOP_SECONDS = 10.0
"""The grace of the sample settings, and the start of a process's end."""


FETCH = messages.CODEC.encode(
    messages.Want(
        protocol=messages.PROTOCOL,
        revision=0,
        include_large=True,
        include_lost=True,
    )
)
"""Asks for all that an instance knows of the store."""


class MemoryTest(crowds.CrowdCase):
    """Bytes that clients send, whoever has read them."""

    def test_long_messages_of_peers(self):
        """Guards against messages of peers that are kept without a bound."""
        head = b"\x92\x01\xc6" + (7_900_000).to_bytes(4)
        client = crowds.Client(head=head, rest=JUNK, size=7_800_000)
        self.join(24, client, "peers")
        self.check()

    def test_many_objects_in_a_message_of_peers(self):
        """Guards against a message of peers that unpacks to many objects."""
        head = b"\xdd" + (7_900_000).to_bytes(4)
        client = crowds.Client(
            head=head, rest=EMPTY_LIST * crowds.PIECE_BYTES, size=7_900_000
        )
        self.join(2, client, "peers")
        self.check()

    def test_answers_that_peers_do_not_read(self):
        """Guards against answers that are kept for those who ask for them."""
        for number in range(40):
            self.store.put(f"servers/{number}", bytes(100_000))
        client = crowds.Client(head=FETCH)
        self.join(120, client, "peers")
        self.check()

    def test_long_answers_that_peers_do_not_read(self):
        """Guards against long answers that are kept for those who ask."""
        for number in range(8):
            self.store.put(f"servers/{number}", random.randbytes(500_000))
        self.wait_for(
            "the values",
            lambda: (
                b"citronport_store_revision %d" % self.store.revision
                in self.fetch(self.host, instances.METRICS, "/metrics")[2]
            ),
        )
        client = crowds.Client(head=FETCH)
        self.join(40, client, "peers")
        self.check()

    def test_bytes_behind_a_request(self):
        """Guards against bytes that lie unread behind a request that waits."""
        self.endpoint.scripts = [fakes.never_answer]
        client = crowds.Client(
            head=crowds.make_head(1, "Content-Length: 0"),
            rest=JUNK,
            size=4_000_000,
        )
        self.join(CROWD, client)
        self.check()

    def test_bodies_without_end(self):
        """Guards against chunked bodies without end."""
        client = crowds.Client(
            head=crowds.make_head(1, "Transfer-Encoding: chunked"),
            rest=fakes.chunk(b"c" * (crowds.PIECE_BYTES - 9)),
            size=20_000_000,
        )
        self.join(CROWD, client)
        self.check()

    def test_bodies_far_over_the_limit(self):
        """Guards against bodies that are announced far over the limit."""
        client = crowds.Client(
            head=crowds.make_head(1, "Content-Length: 4000000000"),
            rest=JUNK,
            size=20_000_000,
        )
        self.join(CROWD, client)
        self.check()

    def test_bodies_of_the_limit(self):
        """Guards against many bodies of just the limit at once."""
        client = crowds.Client(
            head=crowds.make_head(1, f"Content-Length: {BODY_BYTES}"),
            rest=JUNK,
            size=BODY_BYTES,
        )
        self.join(CROWD, client)
        self.check()

    def test_bodies_that_stop_before_their_end(self):
        """Guards against large bodies that never get their last byte."""
        client = crowds.Client(
            head=crowds.make_head(1, f"Content-Length: {BODY_BYTES}"),
            rest=JUNK,
            size=BODY_BYTES - 1,
        )
        self.join(CROWD, client)
        self.check()

    def test_long_heads(self):
        """Guards against heads just inside the limit, of many clients."""
        fields = [f"X-Field-{n}: {'v' * 1000}" for n in range(14)]
        head = crowds.make_head(1, *fields)[:-2]
        self.join(CROWD, crowds.Client(head=head))
        self.check()

    def test_bytes_at_ports_without_bodies(self):
        """Guards against bytes sent to lookups, readiness and metrics."""
        client = crowds.Client(
            head=b"GET /x HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000\r\n"
            b"\r\n",
            rest=JUNK,
            size=4_000_000,
        )
        for port in ("lookups", "readiness", instances.METRICS):
            self.join(40, client, port)
        self.check()

    def test_objects_in_forwarded_requests(self):
        """Guards against a forwarded request that unpacks to many objects."""
        body = b"\xdd" + (3_900_000).to_bytes(4) + EMPTY_LIST * 3_900_000
        head = (
            "POST /forward HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        client = crowds.Client(head=head + body)
        self.join(2, client, instances.REPORTS)
        self.check()

    def test_forwarded_requests(self):
        """Guards against forwarded bodies beside those of callers."""
        self.endpoint.scripts = [fakes.never_answer]
        forward = messages.Forward(
            protocol=messages.PROTOCOL,
            instance="entry-2",
            route="r1",
            service="llm",
            version=7,
            method="POST",
            target="/review/1",
            headers={
                "host": "shop.example",
                "x-attempt-id": "crowd-1",
                "x-token-counts": "100,10",
            },
            body=bytes(BODY_BYTES),
            fingerprint="f",
            workspace="shop",
            elapsed_seconds=0.0,
            remaining_seconds=15.0,
            tried=[],
            paused=[],
            possible_runs=0,
            is_counted=False,
            last_event_id=None,
            software=None,
        )
        body = messages.CODEC.encode(forward)
        head = (
            "POST /forward HTTP/1.1\r\nHost: x\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()
        client = crowds.Client(
            head=crowds.make_head(1, f"Content-Length: {BODY_BYTES}"),
            rest=JUNK,
            size=BODY_BYTES,
        )
        self.crowd.join(
            self.host, instances.REPORTS, crowds.Client(head=head + body), 12
        )
        self.join(12, client)
        self.check()

    def test_compressed_datagram(self):
        """Guards against a small datagram that unpacks to many objects."""
        inner = b"\xdd" + (7_900_000).to_bytes(4) + EMPTY_LIST * 7_900_000
        data = msgpack.packb([11, zlib.compress(inner)])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(data, (self.host, instances.REPORTS))
        gevent.sleep(1.0)
        self.check()

    def test_reports_that_name_many_instances(self):
        """Guards against instances that are kept for being named."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(REPORTS):
                sock.sendto(self.make_report(number), self.reports)
                gevent.sleep(0.01)
        self.meter.measure()
        self.assertTrue(self.running.is_running("entry-1"))
        self.assertLess(self.meter.memory, self.memory_mb * 1e6)

    @property
    def reports(self):
        """Address for reports."""
        return self.host, instances.REPORTS

    def make_report(self, number):
        """Return a datagram that names instances that are not there."""
        rows = [
            (f"i{number}-{n}", "1", f"127.{self.subnet}.77:9", "a")
            for n in range(NAMED_INSTANCES)
        ]
        report = test_membership.make_report(
            f"i{number}", members=rows, peer_address=f"127.{self.subnet}.77:9"
        )
        return messages.CODEC.encode(report)

    def test_requests_that_meet_many_seeds(self):
        """Guards against addresses that are kept for being sent."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for number in range(50 * REPORTS):
                meet = messages.Meet(
                    protocol=messages.PROTOCOL,
                    peer_address=f"{number}" * 100 + ":1",
                    data_centre="a",
                )
                sock.sendto(messages.CODEC.encode(meet), self.reports)
                if number % 50 == 0:
                    gevent.sleep(0.001)
        self.check()


class DescriptorTest(crowds.CrowdCase):
    """Connections that clients keep, at each port and at all of them."""

    descriptors = FEW_FILES

    def test_idle_connections_at_all_ports(self):
        """Guards against idle connections that take all descriptors."""
        for port in (*instances.PORTS, instances.METRICS, instances.REPORTS):
            self.join(100, crowds.Client(head=b""), port)
        self.check()
        self.assertTrue(self.is_ready(self.host))
        self.assertEqual([self.host], self.lookup_hosts())
        status, _, _ = self.fetch(self.host, instances.METRICS, "/metrics")
        self.assertEqual(200, status)

    def lookup_hosts(self):
        """Return the instances that a lookup names, without their ports."""
        return [a.partition(":")[0] for a in self.lookup(self.host)]

    def test_bodies_that_stop_after_one_byte(self):
        """Guards against stalled bodies that keep all callers out."""
        head = crowds.make_head(1, "Content-Length: 1000") + b"x"
        self.join(160, crowds.Client(head=head))
        self.check()

    def test_heads_that_stop(self):
        """Guards against unfinished heads that keep all callers out."""
        self.join(160, crowds.Client(head=crowds.make_head(1)[:-4]))
        self.check()

    def test_peers_that_send_nothing(self):
        """Guards against connections that keep other instances out."""
        self.join(160, crowds.Client(head=b""), "peers")
        want = messages.Want(
            protocol=messages.PROTOCOL,
            revision=0,
            include_large=True,
            include_lost=False,
        )
        self.assertIsInstance(self.fetch_changes(want), messages.Held)
        self.check()

    def fetch_changes(self, want):
        """Fetch changes of the store as another instance does."""
        with socket.create_connection(
            (self.host, instances.PORTS["peers"]), instances.SECONDS
        ) as sock:
            sock.sendall(messages.CODEC.encode(want))
            unpacker = messages.CODEC.make_unpacker()
            while data := sock.recv(crowds.PIECE_BYTES):
                unpacker.feed(data)
                for raw in unpacker:
                    return messages.unpack(messages.CODEC.decode(raw))
        return None

    def test_stop_beside_a_crowd(self):
        """Guards against a stop that waits for clients without progress."""
        head = crowds.make_head(1, "Content-Length: 1000") + b"x"
        self.join(40, crowds.Client(head=head))
        self.running.signal("entry-1", signal.SIGTERM)
        self.assertEqual(0, self.running.wait("entry-1", STOP_SECONDS))


class ChangeTest(crowds.CrowdCase):
    """Crowds that send bodies while the instance changes."""

    def join_senders(self):
        """Let clients send chunked bodies without end; don't wait."""
        client = crowds.Client(
            head=crowds.make_head(1, "Transfer-Encoding: chunked"),
            rest=fakes.chunk(b"c" * (crowds.PIECE_BYTES - 9)),
            size=20_000_000,
        )
        self.crowd.join(self.host, instances.PORTS["callers"], client, CROWD)

    def test_reload(self):
        """Guards against a reload that forgets what is held."""
        self.join_senders()
        for version in range(8, 12):
            self.running.signal("entry-1", signal.SIGHUP)
            self.put_configuration(version, crowds.WIDE_LIMIT)
            gevent.sleep(0.2)
        self.crowd.settle(crowds.SETTLE_SECONDS)
        self.check()

    def test_start(self):
        """Guards against a crowd that is there before the limits."""
        self.running.signal("entry-1", signal.SIGKILL)
        self.running.wait("entry-1", STOP_SECONDS)
        self.launch(1)
        processes.wait_for_port(self.host, instances.PORTS["callers"])
        pid = self.running.get_pid("entry-1")
        self.meter = crowds.Meter(self, pid, self.host)
        self.join_senders()
        self.crowd.settle(crowds.SETTLE_SECONDS)
        self.check()

    def test_stop(self):
        """Guards against a stop that waits for bodies without end."""
        self.join_senders()
        gevent.sleep(0.2)
        self.running.signal("entry-1", signal.SIGTERM)
        self.assertEqual(0, self.running.wait("entry-1", STOP_SECONDS))
        self.assertLess(self.meter.memory, self.memory_mb * 1e6)


class LargestBodyTest(crowds.CrowdCase):
    """Bodies of the largest size that a configuration allows, in calm."""

    memory_mb = LARGE_MB
    descriptors = FEW_FILES

    def configure(self, body_bytes):
        """Publish a limit on bodies, and wait until it holds."""
        self.put_configuration(
            8, crowds.WIDE_LIMIT, limits={"maxBodyBytes": body_bytes}
        )
        self.wait_for(
            "the configuration",
            lambda: (
                b"citronport_configuration_version 8"
                in self.fetch(self.host, instances.METRICS, "/metrics")[2]
            ),
        )

    def send(self, size):
        """Send one request with a body; return status and headers."""
        with socket.create_connection(
            (self.host, instances.PORTS["callers"]), 30
        ) as sock:
            sock.sendall(crowds.make_head(1, f"Content-Length: {size}"))
            try:
                for _ in range(size // len(JUNK)):
                    sock.sendall(JUNK)
                sock.sendall(JUNK[: size % len(JUNK)])
            except OSError:
                # Refused meanwhile; the answer can be read.
                pass
            head = sock.recv(65536).partition(b"\r\n\r\n")[0].decode()
        status, *lines = head.split("\r\n")
        return int(status.split()[1]), dict(ln.split(": ", 1) for ln in lines)

    def test_body_over_a_fifth_of_the_memory(self):
        """Guards against limits that refuse a body inside them for good."""
        self.configure(32_000_000)
        self.assertEqual(200, self.send(32_000_000)[0])
        self.check()

    def test_series_of_the_largest_bodies(self):
        """Guards against bodies that leave something behind."""
        for _ in range(21):
            self.assertEqual(200, self.send(BODY_BYTES)[0])
        self.check()

    def test_body_over_the_limit(self):
        """Guards against a limit of the configuration that is not kept."""
        status, headers = self.send(BODY_BYTES + 1)
        self.assertEqual(413, status)
        self.assertEqual("not run", headers["X-Citronport-Ran"])
        self.check()

    def test_body_that_no_memory_holds(self):
        """Guards against a limit beyond the memory, and endless returns."""
        self.configure(200_000_000)
        status, headers = self.send(128_000_000)
        self.assertEqual(413, status)
        self.assertEqual("not run", headers["X-Citronport-Ran"])
        self.check()

    def test_one_long_header_inside_the_limit(self):
        """Guards against a header that is refused for the length of a line."""
        with socket.create_connection(
            (self.host, instances.PORTS["callers"]), 10
        ) as sock:
            sock.sendall(
                crowds.make_head(
                    1, "X-Field: " + "v" * 12_000, "Content-Length: 0"
                )
            )
            answer = sock.recv(65536)
        self.assertEqual(b"200", answer.split()[1])

    def test_head_over_the_limit_of_the_configuration(self):
        """Guards against a limit on heads that is not read."""
        fields = [f"X-Field-{n}: {'v' * 1000}" for n in range(17)]
        with socket.create_connection(
            (self.host, instances.PORTS["callers"]), 10
        ) as sock:
            sock.sendall(crowds.make_head(1, *fields))
            answer = sock.recv(65536)
        self.assertEqual(b"431", answer.split()[1])
        self.check()
