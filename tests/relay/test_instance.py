"""Real instances before a fake store and fake endpoints."""

import re
import signal
import socket

import gevent

from tests.relay import fakes
from tests.relay import instances


class InstanceTest(instances.InstanceCase):
    """Two instances as processes of their own."""

    def test_from_lookup_to_answer(self):
        """A caller looks up, connects and gets the endpoint's answer.

        Refusals for an unknown key and path are told apart; metrics and
        the log tell of them.
        """
        hosts = [self.start(1), self.start(2)]
        expected = [f"{h}:{instances.PORTS['callers']}" for h in hosts]
        for host in hosts:
            self.wait_for(
                "meeting", lambda host=host: self.lookup(host) == expected
            )
            self.assertTrue(self.is_ready(host))
        status, headers, body = self.ask(hosts[0])
        self.assertEqual((200, b"done"), (status, body))
        self.assertEqual("seal", headers["X-Response-Seal"])
        self.assertEqual(401, self.ask(hosts[0], key="other")[0])
        self.assertEqual(404, self.ask(hosts[0], path="/other/x")[0])
        _, _, text = self.fetch(hosts[0], instances.METRICS, "/metrics")
        self.assertRegex(
            text.decode(),
            re.compile(
                r'requests_total\{kind="stream",outcome="answered",'
                r'tier="1"\} 1'
            ),
        )
        ended = [
            line
            for line in self.read_log(1)
            if line["event"] == "request_ended"
        ]
        self.assertEqual(["id-1"], [line["request"] for line in ended])

    def test_store_is_away_at_a_start(self):
        """An instance starts while the store refuses it.

        It learns the configuration and the endpoints from its neighbour
        and serves; alone it would answer "not run" to everybody.
        """
        first = self.start(1)
        self.wait_for("the first start", lambda: self.is_ready(first))
        second = self.start(2, store="127.0.0.1:1")
        self.wait_for("the second start", lambda: self.is_ready(second))
        self.assertEqual(200, self.ask(second)[0])
        self.put_configuration(9, prefix="/new/")
        self.wait_for(
            "the change",
            lambda: self.ask(second, "id-2", path="/new/x")[0] == 200,
        )

    def test_nothing_known_yet(self):
        """No store, no neighbour: "not run", come back; never 404."""
        host = self.start(1, store="127.0.0.1:1")
        self.assertFalse(self.is_ready(host))
        status, headers, _ = self.ask(host)
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual([], self.lookup(host))

    def test_graceful_stop(self):
        """A stop is ordered while a stream runs.

        Lookups name the other instance at once, the stream comes whole,
        and only then the process ends, with exit code 0.
        """
        events = [fakes.make_event(n) for n in range(22)]
        self.endpoint.scripts = [fakes.stream(*events, pause=0.15)]
        hosts = [self.start(1), self.start(2)]
        for host in hosts:
            self.wait_for(
                "meeting", lambda host=host: len(self.lookup(host)) == 2
            )
        stream = gevent.spawn(self.ask, hosts[0])
        self.wait_for("the send", lambda: self.endpoint.requests)
        self.running.signal("entry-1", signal.SIGTERM)
        self.wait_for(
            "the other's lookup",
            lambda: self.lookup(hosts[1]) == [f"{hosts[1]}:8221"],
        )
        self.assertFalse(self.is_ready(hosts[0]))
        status, _, body = stream.get(timeout=instances.SECONDS)
        self.assertEqual((200, b"".join(events)), (status, body))
        self.assertEqual(0, self.running.wait("entry-1", instances.SECONDS))
        with self.assertRaises(OSError):
            socket.create_connection((hosts[0], instances.PORTS["callers"]), 1)

    def test_leaving_endpoint_gets_no_new_work(self):
        """Its entry says so, or is gone; callers hear "not run"."""
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.wait_for("an answer", lambda: self.ask(host)[0] == 200)
        self.put_endpoint(state="draining")
        self.wait_for("the leave", lambda: self.ask(host)[0] == 503)
        sent = len(self.endpoint.requests)
        self.assertEqual(503, self.ask(host)[0])
        self.assertEqual(sent, len(self.endpoint.requests))

    def test_wrong_settings_at_a_reload(self):
        """The file turns wrong: one numbered line, and callers go on."""
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        (self.folder / "entry-1.yaml").write_text("instance: 5 5\n")
        self.running.signal("entry-1", signal.SIGHUP)

        def find_reload():
            return [
                line
                for line in self.read_log(1)
                if line["event"] == "settings_reloaded"
            ]

        self.wait_for("the line", find_reload)
        line = find_reload()[0]
        self.assertFalse(line["accepted"])
        self.assertTrue(line["detail"].startswith("4001: "))
        self.assertEqual(200, self.ask(host)[0])
