"""Requests that crash endpoints."""

import time

import gevent

from tests.relay import engines
from tests.relay import fakes
from tests.relay import instances

STABLE_SECONDS = 3.0
"""Time after the third crash by which all instances know of the request."""

CRASHES = 3
"""Endpoints that a request may crash before it counts as the cause."""

ALLOWED_SENDS = 3
"""Sends of such a request that are allowed after that time."""

CRASHING = "/review/crashing"


class CrashingEndpoint(engines.Engine):
    """An endpoint that one path crashes; it restarts under a new name."""

    def _serve_request(self, sock, file):
        request = fakes.read_request(file)
        if request is None:
            return
        _, target, headers, _ = request
        if target != CRASHING:
            fakes.answer()(sock, headers)
            return
        self.crashes += 1
        self.case.store.delete(f"servers/{self.name}")
        self.register()
        fakes.stream(complete=False)(sock, headers)


class CrashingRequestTest(instances.InstanceCase):
    """Two instances and four endpoints that one request crashes."""

    def setUp(self):
        """Start endpoints and instances."""
        super().setUp()
        self.store.delete("servers/i-1")
        self.endpoints = [CrashingEndpoint(self, n) for n in range(4)]
        self.hosts = self.start_all(2)
        self.asked = 0

    def count_crashes(self):
        """Return the number of crashes of all endpoints."""
        return sum(e.crashes for e in self.endpoints)

    def ask_again(self, host, path=CRASHING):
        """Repeat a request under a new id; return the status."""
        self.asked += 1
        return self.ask(host, f"id-{self.asked}", path=path)[0]

    def crash_three(self):
        """Repeat the request until three endpoints have crashed, and wait."""
        end = time.monotonic() + instances.SECONDS
        while self.count_crashes() < CRASHES and time.monotonic() < end:
            self.ask_again(self.hosts[self.asked % 2])
        gevent.sleep(STABLE_SECONDS)

    def test_repeats_do_not_crash_endpoint_after_endpoint(self):
        """Guards against a request that crashes one endpoint after another."""
        self.crash_three()
        before = self.count_crashes()
        for _ in range(4):
            for host in self.hosts:
                self.ask_again(host)
                gevent.sleep(0.1)
        self.assertLessEqual(self.count_crashes() - before, ALLOWED_SENDS)
        for host in self.hosts:
            self.assertEqual(200, self.ask_again(host, "/review/other"))

    def test_instance_that_starts_later_knows_the_request(self):
        """Guards against a new instance that sends a barred request again."""
        self.crash_three()
        host = self.start(3)
        self.wait_for("the start", lambda: self.is_ready(host))
        gevent.sleep(STABLE_SECONDS)
        before = self.count_crashes()
        for _ in range(8):
            self.ask_again(host)
        self.assertLessEqual(self.count_crashes() - before, ALLOWED_SENDS)
