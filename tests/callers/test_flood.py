"""Hostile callers of a real instance with a stand-in engine."""

import json
import resource

import gevent
from gevent import socket
import testtools

from standins import caller
from standins import journal
from tests import addresses
from tests.callers import fleets

IDLE_CONNECTIONS = 10_000
LONG_TOKENS = 4
"""Prompt tokens of the long request; those of the others are fewer."""


class FloodTest(testtools.TestCase):
    """One instance under more load than it can serve."""

    def setUp(self):
        """Start the instance."""
        super().setUp()
        self.fleet = fleets.start_fleet(
            self, addresses.choose_subnet(3), instances=1
        )
        self.address = self.fleet.get_callers_addresses()[0]

    def send_chat(self, tokens, **options):
        """Send a chat call."""
        body = caller.make_chat("small", "hello", tokens)
        outcome = caller.send(
            self.address, fleets.KEY, fleets.CHAT, body, **options
        )
        return outcome, caller.make_expected(body)

    def test_ten_thousand_idle_connections(self):
        """Idle connections of one address do not lock out other callers.

        A caller opens 10,000 connections, or as many as this process may
        hold, and sends nothing. The instance keeps the newest ones up to
        the limit per address and serves callers at other addresses.
        """
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        count = min(IDLE_CONNECTIONS, files * 3 // 4)
        host, port = self.address.split(":")
        opened = []
        self.addCleanup(lambda: [sock.close() for sock in opened])
        for number in range(count):
            opened.append(
                socket.create_connection(
                    (host, int(port)), 10, ("127.50.3.77", 0)
                )
            )
            if number % 2000 == 0:
                outcome, text = self.send_chat(2)
                self.assertEqual(text, outcome.text)
        outcome, text = self.send_chat(2)
        self.assertEqual(text, outcome.text)

    def test_abandoned_requests_free_the_engine(self):
        """A caller that disconnects stops its request in the engine.

        More callers than the engine has slots send requests of 20 s and
        disconnect. The engine's journal shows that dispatched requests are
        stopped; queued ones never reach it, and the next caller is served
        at once.
        """
        body = json.dumps(
            caller.make_chat("small", "a long review", 2000)
        ).encode()
        head = (
            f"POST {fleets.CHAT} HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {fleets.KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        host, port = self.address.split(":")
        opened = []
        for _ in range(12):
            sock = socket.create_connection((host, int(port)), 10)
            sock.sendall(head.encode() + body)
            opened.append(sock)
        opened[0].recv(1)
        for sock in opened:
            sock.close()
        outcome, text = self.send_chat(2, deadline=10)
        self.assertEqual(text, outcome.text)
        with gevent.Timeout(10, AssertionError("not stopped")):
            while self.count("stopped") < self.count("received"):
                gevent.sleep(0.05)
        self.assertEqual(0, self.count("finished"))

    def count(self, kind):
        """Return how many long requests have a line of this kind."""
        lines = journal.read_lines(self.fleet.folder / "engine-1.jsonl")
        long = {
            line["request"]
            for line in lines
            if line.get("prompt_tokens") == LONG_TOKENS
        }
        return sum(
            line["kind"] == kind and line["request"] in long for line in lines
        )
