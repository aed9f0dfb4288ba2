"""Crowds at the ports of an entry instance end it no more than others."""

import resource

import testtools

from citronport.instances import const
from citronport.instances import messages
from standins import caller
from standins import fleet
from tests import addresses
from tests.callers import fleets
from tests.relay import crowds
from tests.relay import fakes

MEMORY_MB = 150
FILES = 300
"""Descriptors of the process, lowered at its start."""

JUNK = b"j" * crowds.PIECE_BYTES
SETTLE_SECONDS = 6.0


class EntryCase(testtools.TestCase):
    """One entry instance, a crowd, and a caller that keeps to the limits."""

    def setUp(self):
        """Start an instance with an engine and measure what it holds."""
        super().setUp()
        self.subnet = addresses.choose_subnet(13)
        self.fleet = self.start_with_few_files()
        (self.address,) = self.fleet.get_callers_addresses()
        self.host = self.address.partition(":")[0]
        pid = self.fleet.running.get_pid("entry-1")
        self.meter = crowds.Meter(self, pid, self.host)
        self.crowd = crowds.Crowd(self, self.subnet)

    def start_with_few_files(self):
        """Start the fleet with the descriptors that it inherits lowered."""
        usual = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (FILES, usual[1]))
        try:
            return fleets.start_fleet(self, self.subnet, instances=1)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, usual)

    def check(self):
        """Check that the process holds its bounds and serves a caller."""
        body = caller.make_chat("small", "hello", 1)
        outcome = caller.send_until_run(
            self.address, fleets.KEY, fleets.CHAT, body
        )
        self.assertEqual(200, outcome.status)
        self.assertTrue(self.fleet.running.is_running("entry-1"))
        self.assertLess(self.meter.memory, MEMORY_MB * 1e6)
        self.assertLess(self.meter.files, FILES)


class EntryTest(EntryCase):
    """Crowds at its ports."""

    def test_long_messages_of_peers(self):
        """Guards against messages of peers that are kept without a bound."""
        head = b"\x92\x00\xc6" + (7_900_000).to_bytes(4)
        client = crowds.Client(head=head, rest=JUNK, size=7_800_000)
        self.crowd.join(self.host, fleet.PEER_PORT, client, 24)
        self.crowd.settle(SETTLE_SECONDS)
        self.check()

    def test_many_objects_in_messages_of_known_peers(self):
        """Guards against messages behind a greeting that unpack to much."""
        hello = messages.Hello(
            protocol=const.PROTOCOL, instance="entry-9", incarnation="1"
        )
        head = messages.encode(hello) + b"\xdd" + (7_900_000).to_bytes(4)
        client = crowds.Client(
            head=head, rest=b"\x90" * crowds.PIECE_BYTES, size=7_900_000
        )
        self.crowd.join(self.host, fleet.PEER_PORT, client, 2)
        self.crowd.settle(SETTLE_SECONDS)
        self.check()

    def test_many_objects_in_a_field(self):
        """Guards against a field of any form that unpacks to much."""
        hello = messages.Hello(
            protocol=const.PROTOCOL, instance="entry-9", incarnation="1"
        )
        # A list of number and two fields, the second one a map of one entry.
        head = messages.encode(hello) + b"\x95\x07\xca\0\0\0\0\x81\xa1k\xdd"
        head += (7_800_000).to_bytes(4)
        client = crowds.Client(
            head=head,
            rest=b"\x90" * crowds.PIECE_BYTES,
            size=7_800_000,
            tail=b"\x80\x80",
        )
        self.crowd.join(self.host, fleet.PEER_PORT, client, 2)
        self.crowd.settle(SETTLE_SECONDS)
        self.check()

    def test_idle_connections(self):
        """Guards against idle connections that take all descriptors."""
        for port in (fleet.PEER_PORT, fleet.OPERATOR_PORT, fleet.CALLER_PORT):
            self.crowd.join(self.host, port, crowds.Client(head=b""), 150)
        self.crowd.settle(SETTLE_SECONDS)
        self.check()

    def test_bodies_without_end(self):
        """Guards against chunked bodies without end."""
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {fleets.KEY}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
        client = crowds.Client(
            head=head, rest=fakes.chunk(JUNK[:65000]), size=20_000_000
        )
        self.crowd.join(self.host, fleet.CALLER_PORT, client, 100)
        self.crowd.settle(SETTLE_SECONDS)
        self.check()
