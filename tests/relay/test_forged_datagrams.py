"""Datagrams that someone sends in the name of instances end no instance."""

import socket

import gevent

from citronport.relay import messages
from tests.relay import crowds
from tests.relay import instances
from tests.relay import test_membership


class DatagramTest(crowds.CrowdCase):
    """One instance, and messages of instances that do not exist."""

    def send(self, number, make):
        """Send a number of messages; check what the instance holds then."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for each in range(number):
                data = messages.CODEC.encode(make(each))
                sock.sendto(data, (self.host, instances.REPORTS))
                gevent.sleep(0.002)
        gevent.sleep(1.0)
        self.meter.measure()
        self.assertTrue(self.running.is_running("entry-1"))
        self.assertLess(self.meter.memory, self.memory_mb * 1e6)

    def test_long_reports(self):
        """Guards against long reports of instances that do not exist."""
        loads = [(f"e{n}", 1, 1, 1) for n in range(5000)]
        self.send(
            200,
            lambda n: test_membership.make_report(f"i{n}", loads=loads),
        )

    def test_many_requests_for_leases(self):
        """Guards against requests for leases that are kept without a bound."""
        self.send(20_000, self.make_ask)

    def make_ask(self, number):
        """Return a request for a lease of an instance that does not exist."""
        return messages.Ask(
            protocol=messages.PROTOCOL,
            instance="entry-9",
            request=f"crowd-{number}" + "x" * 500,
            route="r1",
            service="llm",
            tier=0,
            prompt=100,
            output=10,
            expected=10,
            elapsed_seconds=0.0,
            remaining_seconds=1000.0,
            tried=[],
            paused=[],
            workspace="shop",
            data_centre="a",
            software=None,
            is_assigned=False,
        )
