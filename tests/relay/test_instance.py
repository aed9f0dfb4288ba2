"""Instance processes with a fake store and a fake endpoint."""

import re
import signal
import socket

import gevent

from tests.relay import fakes
from tests.relay import instances


class InstanceTest(instances.InstanceCase):
    """Instances that run as separate processes."""

    def test_from_lookup_to_answer(self):
        """A caller does a lookup, connects and gets the endpoint's response.

        An unknown key and an unknown path get different statuses. The
        metrics and the event log record the answered request.
        """
        hosts = [self.start(1), self.start(2)]
        expected = [f"{h}:{instances.PORTS['callers']}" for h in hosts]
        for host in hosts:
            self.wait_for(
                "peer discovery",
                lambda host=host: self.lookup(host) == expected,
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
        """Guards against a start that depends on the store.

        An instance that can't reach the store gets the configuration and
        the endpoints from a peer. Otherwise it would refuse every request.
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
        """Without store and peers, a request gets 503 with a retry time.

        Never 404: the routes are not known.
        """
        host = self.start(1, store="127.0.0.1:1")
        self.assertFalse(self.is_ready(host))
        status, headers, _ = self.ask(host)
        self.assertEqual(503, status)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual([], self.lookup(host))

    def test_graceful_stop(self):
        """Guards against a stop that cuts a running stream.

        After the stop signal, lookups name only the other instance. The
        stream is completed, and then the process ends with exit code 0.
        """
        events = [fakes.make_event(n) for n in range(22)]
        self.endpoint.scripts = [fakes.stream(*events, pause=0.15)]
        hosts = [self.start(1), self.start(2)]
        for host in hosts:
            self.wait_for(
                "peer discovery", lambda host=host: len(self.lookup(host)) == 2
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
        """An endpoint whose entry says that it leaves gets no requests."""
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.wait_for("an answer", lambda: self.ask(host)[0] == 200)
        self.put_endpoint(state="draining")
        self.wait_for("the refusal", lambda: self.ask(host)[0] == 503)
        sent = len(self.endpoint.requests)
        self.assertEqual(503, self.ask(host)[0])
        self.assertEqual(sent, len(self.endpoint.requests))

    def test_wrong_settings_at_a_reload(self):
        """An invalid settings file is logged with its code, and ignored."""
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
