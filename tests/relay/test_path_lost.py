"""Instances that have lost their path to the endpoints."""

import collections
import http.client
import signal
import time

import gevent
from gevent import event as gevent_event
from gevent import pool as gevent_pool

from tests.relay import fakes
from tests.relay import instances
from tests.relay import links

ENDPOINTS = 4
ASKED_AT_ONCE = 3
DETECTION_SECONDS = 3.0
"""Time after the begin of a cut from which callers are served."""

REGAIN_SECONDS = 1.0
"""Time after the end of a cut from which callers are served."""

SHUT_OUT_SECONDS = 1.0
"""Time after a short silence by which an endpoint gets requests again."""

LOG_SECONDS = 1.2
"""Time after which no line is dropped any more because of those before."""

RUN_SECONDS = 0.2
"""Time that a request runs where several endpoints are to be used."""

SILENCE_SECONDS = 1.2
"""How long an endpoint that nothing is wrong with may be silent."""


def answer_after(seconds):
    """Return a script that answers after some time."""

    def script(sock, headers):
        gevent.sleep(seconds)
        fakes.answer()(sock, headers)

    return script


class PathLostTest(instances.InstanceCase):
    """Three instances, some of which lose their path to four endpoints."""

    def setUp(self):
        """Start the endpoints and the links that can be cut."""
        super().setUp()
        self.serve_route("idempotent")
        self.endpoints = {"i-1": self.endpoint}
        for number in range(2, ENDPOINTS + 1):
            endpoint = fakes.Endpoint(self, fakes.answer())
            self.endpoints[f"i-{number}"] = endpoint
        for name, endpoint in self.endpoints.items():
            self.put_endpoint(name, address=endpoint.address, slots=4)
        self.asked = 0

    def serve_route(self, kind, **changes):
        """Publish a configuration with a route of this kind."""
        self.put_configuration(8, {"ratePerS": 0}, kind=kind, **changes)

    def start_fleet(self, *numbers, instances_in_all=3):
        """Start the fleet; the links of the numbered instances can be cut."""
        self.links = links.Links(
            self,
            self.store,
            {name: e.address for name, e in self.endpoints.items()},
        )
        self.hosts = {}
        for number in range(1, instances_in_all + 1):
            store = self.links.store.address if number in numbers else None
            self.hosts[number] = self.start(number, store)
        for host in self.hosts.values():
            self.wait_for(
                "peer discovery",
                lambda host=host: len(self.lookup(host)) == len(self.hosts),
            )
        self.ask_many(6, *self.hosts)

    def ask_many(self, requests, *numbers):
        """Return how often each status came at the numbered instances."""
        statuses = {number: collections.Counter() for number in numbers}

        def ask(number, request_id):
            status, _, _ = self.ask(self.hosts[number], request_id)
            statuses[number][status] += 1

        askers = gevent_pool.Pool(ASKED_AT_ONCE * len(numbers))
        try:
            for _ in range(requests):
                for number in numbers:
                    self.asked += 1
                    askers.spawn(ask, number, f"id-{self.asked}")
            askers.join()
        finally:
            askers.kill()
        return statuses

    def ask_until(self, end, *numbers):
        """Ask the numbered instances for some time, whatever they answer."""
        with gevent.Timeout(end, False):
            while True:
                self.ask_many(3, *numbers)

    def check_all_served(self, requests, *numbers):
        """Check that first attempts at the numbered instances succeed."""
        statuses = self.ask_many(requests, *numbers)
        for number in numbers:
            self.assertEqual({200: requests}, dict(statuses[number]))

    def check_cut(self, how, *numbers):
        """Check that callers are served at all instances during a cut."""
        self.start_fleet(*numbers)
        self.links.cut(how)
        self.ask_until(DETECTION_SECONDS, *self.hosts)
        self.check_all_served(15, *self.hosts)
        self.links.heal()
        self.check_all_served(15, *self.hosts)

    def test_silent_cut(self):
        """Guards against callers refused where connections hang."""
        self.check_cut(links.Cut.SILENT, 1)

    def test_reset_cut(self):
        """Guards against callers refused where connections are reset."""
        self.check_cut(links.Cut.RESET, 1)

    def test_new_connections_refused(self):
        """Guards against callers refused while open connections live on."""
        self.check_cut(links.Cut.REFUSED, 1)

    def test_most_instances_cut_off(self):
        """Guards against a cut of two that shuts out the third one."""
        self.check_cut(links.Cut.SILENT, 1, 2)

    def test_most_instances_cut_off_the_others(self):
        """Guards against a lost owner of the endpoints, whoever it is."""
        self.check_cut(links.Cut.SILENT, 2, 3)

    def test_all_instances_cut_off(self):
        """Guards against endpoints that stay unused after a cut of all."""
        self.start_fleet(1, 2, 3)
        self.links.cut(links.Cut.SILENT)
        self.ask_until(DETECTION_SECONDS, *self.hosts)
        self.links.heal()
        gevent.sleep(REGAIN_SECONDS)
        self.check_all_served(15, *self.hosts)

    def test_sound_endpoint_that_is_silent_for_a_second(self):
        """Guards against an endpoint that is given up for a short silence."""
        for endpoint in self.endpoints.values():
            endpoint.scripts = [answer_after(RUN_SECONDS)]
        self.start_fleet(1, 2, 3)
        asked = gevent.spawn(self.ask_until, 10.0, *self.hosts)
        gevent.sleep(0.5)
        self.links.cut(links.Cut.SILENT, "i-2")
        gevent.sleep(SILENCE_SECONDS)
        self.links.heal()
        silent = self.endpoints["i-2"]
        silent.requests.clear()
        healed_at = time.monotonic()
        self.wait_for("the next request there", lambda: silent.requests)
        self.assertLess(time.monotonic() - healed_at, SHUT_OUT_SECONDS)
        asked.kill()
        lines = [x for n in self.hosts for x in self.read_log(n)]
        kinds = {line["event"] for line in lines}
        self.assertNotIn("path_lost", kinds)
        outcomes = {
            (x["outcome"], x["status"])
            for x in lines
            if x["event"] == "request_ended"
        }
        self.assertLessEqual(outcomes, {("answered", 200), ("left", 0)})

    def test_restart_within_a_cut(self):
        """Guards against an instance that starts without a path."""
        self.start_fleet(3)
        self.links.cut(links.Cut.SILENT)
        self.running.signal("entry-3", signal.SIGKILL)
        self.running.wait("entry-3", instances.SECONDS)
        self.hosts[3] = self.start(3, self.links.store.address)
        self.wait_for("the start", lambda: self.is_ready(self.hosts[3]))
        self.ask_until(DETECTION_SECONDS, *self.hosts)
        self.check_all_served(15, *self.hosts)

    def forward_one(self, script, kind, **changes):
        """Let instance 3 forward one request; return the task that asks.

        Args:
            script: what the endpoints do with it.
            kind: kind of the route.
            changes: fields of the route that differ.
        """
        self.serve_route(kind, **changes)
        self.start_fleet(3)
        self.links.cut(links.Cut.SILENT)
        self.ask_until(DETECTION_SECONDS, 3)
        gevent.sleep(LOG_SECONDS)
        for endpoint in self.endpoints.values():
            endpoint.scripts = [script]
            endpoint.requests.clear()
        return gevent.spawn(self.ask, self.hosts[3], "id-once")

    def list_received(self):
        """Return the requests that the endpoints have received."""
        return [r for e in self.endpoints.values() for r in e.requests]

    def list_peers(self):
        """Return the numbers of the instances that the request went by."""
        return [
            int(line["peer"].rpartition("-")[2])
            for line in self.read_log(3)
            if line["event"] == "request_forwarded"
            and line["request"] == "id-once"
        ]

    def test_forwarding_instance_is_killed(self):
        """Guards against a request that runs twice or is called not run."""
        asked = self.forward_one(fakes.never_answer, "non_idempotent")
        self.wait_for("the send", self.list_received)
        self.wait_for("the log line", self.list_peers)
        self.running.signal(f"entry-{self.list_peers()[0]}", signal.SIGKILL)
        status, headers, _ = asked.get(timeout=instances.SECONDS)
        self.assertEqual(502, status)
        self.assertEqual("outcome unknown", headers["X-Citronport-Ran"])
        self.assertEqual(1, len(self.list_received()))

    def test_caller_of_a_forwarded_request_leaves(self):
        """Guards against work that goes on at an endpoint for nobody."""
        ended = gevent_event.Event()

        def wait_for_close(sock, headers):
            del headers
            sock.recv(1)
            ended.set()

        asked = self.forward_one(wait_for_close, "idempotent")
        self.wait_for("the send", self.list_received)
        asked.kill()
        self.assertTrue(ended.wait(timeout=1.0))
        self.assertEqual(1, len(self.list_received()))

    def test_stream_of_a_forwarded_request(self):
        """Guards against a stream that is joined or cut by a second hop."""
        events = [fakes.make_event(n) for n in range(3)]
        asked = self.forward_one(fakes.stream(*events, pause=0.1), "streaming")
        status, headers, body = asked.get(timeout=instances.SECONDS)
        self.assertEqual(
            (200, "seal", b"".join(events)),
            (status, headers["X-Response-Seal"], body),
        )
        (_, _, received, _) = self.list_received()[0]
        self.assertEqual("shop", received["x-tenant"])
        self.assertNotIn("x-api-key", received)

    def test_broken_stream_of_a_forwarded_request(self):
        """Guards against a second hop that completes a broken stream."""
        one = fakes.make_event(1)
        asked = self.forward_one(
            fakes.close_delimited(one, b"id: 2\nda", pause=0.1),
            "streaming",
            resumable=False,
        )
        error = self.assertRaises(
            http.client.IncompleteRead, asked.get, timeout=instances.SECONDS
        )
        self.assertEqual(one, error.partial)

    def test_stream_of_a_forwarded_request_breaks_at_once(self):
        """Guards against a success status for a stream without events."""
        asked = self.forward_one(
            fakes.close_delimited(b"id: 1\nda"), "streaming", resumable=False
        )
        status, headers, _ = asked.get(timeout=instances.SECONDS)
        self.assertEqual(502, status)
        self.assertEqual("outcome unknown", headers["X-Citronport-Ran"])

    def test_pause_that_an_endpoint_asked_the_origin_for(self):
        """Guards against a pause that is evaded by another instance."""
        self.start_fleet(3)
        rest = fakes.answer(
            503, signed=False, X_Not_Executed=1, Retry_After=30
        )
        paused = self.endpoints["i-2"]
        paused.scripts = [rest]
        self.ask_many(24, 3)
        self.assertNotEqual([], paused.requests)
        paused.scripts = [fakes.answer()]
        self.links.cut(links.Cut.SILENT)
        self.ask_until(DETECTION_SECONDS, 3)
        paused.requests.clear()
        self.check_all_served(15, 3)
        self.assertEqual([], paused.requests)

    def test_endpoints_are_not_blamed(self):
        """Guards against idle endpoints that one lost path keeps unused."""
        self.start_fleet(1, 2)
        self.links.cut(links.Cut.SILENT)
        self.ask_until(DETECTION_SECONDS, *self.hosts)
        lines = [x for n in self.hosts for x in self.read_log(n)]
        blamed = [x for x in lines if x["event"] == "endpoint_unreachable"]
        self.assertEqual([], blamed)
