"""Tests of endpoint monitors and process start detection."""

import json

import gevent
from gevent import queue
from gevent import server
import testtools

from citronport import clock
from citronport.endpoints import watch
from citronport.scheduler import models

ADDRESS = "127.72.0.2"
NAME = "engine-1"


class MonitorTest(testtools.TestCase):
    """Monitoring of one endpoint that runs in this process."""

    def setUp(self):
        """Start the endpoint and its monitor."""
        super().setUp()
        self.report = {"start": "one", "running": 3, "cold": True}
        self.connections = []
        listening = server.StreamServer((ADDRESS, 0), self.handle)
        listening.start()
        self.addCleanup(listening.stop, 1)
        self.events = queue.Queue()
        self.monitors = watch.EndpointMonitors(
            clock.RuntimeClock(), self.events.put
        )
        address = f"{ADDRESS}:{listening.server_port}"
        self.monitors.assign({NAME: address})
        self.addCleanup(self.monitors.assign, {})

    def handle(self, sock, _):
        """Respond to load report requests on one connection."""
        self.connections.append(sock)
        while sock.recv(65536):
            body = json.dumps(self.report).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            sock.sendall(head.encode() + body)

    def wait_for(self, kind):
        """Return the next event of a kind."""
        while True:
            found = self.events.get(timeout=5)
            if isinstance(found, kind):
                return found

    def test_report_comes_after_the_start(self):
        """A process start is reported first, then its load."""
        start = self.events.get(timeout=5).start
        self.assertTrue(self.monitors.is_current(NAME, start))
        report = self.events.get(timeout=5).report
        self.assertEqual((3, True), (report.running, report.cold))

    def test_closed_socket_is_seen_before_monitor_runs(self):
        """The endpoint's process ends and another one takes its address.

        A dispatch that was scheduled for the warm process is between
        connecting and sending. The check reads the socket state, so it
        notices the end although no other task has run since. Then the loss
        and the new start are reported in order.
        """
        start = self.wait_for(models.EndpointConnected).start
        self.wait_for(models.EndpointReported)
        self.connections[0].shutdown(2)
        self.assertFalse(self.monitors.is_current(NAME, start))
        self.wait_for(models.EndpointLost)
        later = self.wait_for(models.EndpointConnected).start
        self.assertNotEqual(start, later)
        self.assertFalse(self.monitors.is_current(NAME, start))

    def test_other_start_behind_the_same_connection(self):
        """A report with another start ID counts as a loss and a new start."""
        self.wait_for(models.EndpointConnected)
        self.report = {"start": "two"}
        self.wait_for(models.EndpointLost)
        self.wait_for(models.EndpointConnected)

    def test_gap_in_cache_events_is_reported(self):
        """Event 2 is missing: the next event reports a gap."""
        events = [{"number": 1, "stored": [7], "evicted": []}]
        self.report["cache"] = {"events": events}
        first = self.wait_for(models.CacheReported)
        self.assertEqual(((7,), False), (first.stored, first.gap))
        events[:] = [{"number": 3, "stored": [], "evicted": [7]}]
        later = self.wait_for(models.CacheReported)
        while not later.evicted:
            later = self.wait_for(models.CacheReported)
        self.assertTrue(later.gap)

    def test_released_endpoint_is_disconnected(self):
        """Its connection is closed and no start counts as current."""
        start = self.wait_for(models.EndpointConnected).start
        self.monitors.assign({})
        self.wait_for(models.EndpointLost)
        gevent.sleep(0)
        self.assertFalse(self.monitors.is_current(NAME, start))
