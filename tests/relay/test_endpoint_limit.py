"""Endpoints in need that name a limit for all instances together."""

import itertools
import time

import gevent

from tests.relay import fakes
from tests.relay import instances

STABLE_SECONDS = 3.0
"""Time after the first naming by which the limit has to be kept."""

WINDOW_SECONDS = 4.0
OVER = 1.5
EXTRA = 5
"""A window may hold so many times the limit, and so many requests more."""

RATE = 2.5
"""What the endpoint takes, requests a second."""

LOAD = 24.0
"""What callers ask for, requests a second."""


class LimitingEndpoint(fakes.Endpoint):
    """An endpoint that may name a limit.

    Attributes:
        rate: named in its answers; None while it names none.
        arrivals: clock times of all requests, seconds.
    """

    def __init__(self, case):
        super().__init__(case)
        self.rate = None
        self.arrivals = []

    def _serve_request(self, sock, file):
        request = fakes.read_request(file)
        if request is None:
            return
        self.arrivals.append(time.monotonic())
        limit = {} if self.rate is None else {"Server_Limit": self.rate}
        fakes.answer(**limit)(sock, request[2])

    def count_busiest(self, start):
        """Return the most requests in one window from a time on."""
        times = [at for at in self.arrivals if at >= start]
        return max(
            sum(at <= other < at + WINDOW_SECONDS for other in times)
            for at in times
        )


class EndpointLimitTest(instances.InstanceCase):
    """Two endpoints under load, of which one names a limit."""

    def setUp(self):
        """Start the endpoints."""
        super().setUp()
        self.put_configuration(8, {"ratePerS": 0}, kind="idempotent")
        self.store.delete("servers/i-1")
        self.limiting = LimitingEndpoint(self)
        self.other = LimitingEndpoint(self)
        self.put_endpoint("needy", address=self.limiting.address)
        self.put_endpoint("other", address=self.other.address)
        self.numbers = itertools.count()
        self.statuses = []

    def start_all(self, number):
        """Start instances that know each other."""
        hosts = [self.start(n + 1) for n in range(number)]
        for host in hosts:
            self.wait_for(
                "meeting",
                lambda host=host: len(self.lookup(host)) == number,
            )
        return hosts

    def apply_load(self, hosts, seconds):
        """Let callers ask all instances in turn for a while."""
        end = time.monotonic() + seconds
        asks = []
        for host in itertools.cycle(hosts):
            if time.monotonic() >= end:
                break
            asks.append(gevent.spawn(self.ask_once, host))
            gevent.sleep(1 / LOAD)
        gevent.joinall(asks)

    def ask_once(self, host):
        """Ask for something that nobody has asked for before."""
        number = next(self.numbers)
        path = f"/review/{number}"
        self.statuses.append(self.ask(host, f"id-{number}", path=path)[0])

    def check_limit(self, instances_number):
        """Check that a limit is kept from its time on, and its lifting."""
        hosts = self.start_all(instances_number)
        self.apply_load(hosts, 1.0)
        self.limiting.rate = RATE
        named = time.monotonic()
        self.apply_load(hosts, STABLE_SECONDS + 1.5 * WINDOW_SECONDS)
        busiest = self.limiting.count_busiest(named + STABLE_SECONDS)
        allowed = OVER * RATE * WINDOW_SECONDS + EXTRA
        self.assertLessEqual(busiest, allowed)
        self.assertGreaterEqual(busiest, RATE * WINDOW_SECONDS / 3)
        self.assertEqual({200}, set(self.statuses))
        self.limiting.rate = None
        lifted = time.monotonic()
        self.apply_load(hosts, 3.0)
        taken = [at for at in self.limiting.arrivals if at > lifted + 1.0]
        self.assertGreater(len(taken), 2 * RATE * 2.0)

    def test_one_instance_keeps_it(self):
        """Guards against an endpoint in need that gets as much as others."""
        self.check_limit(1)

    def test_instances_keep_it_together(self):
        """Guards against a limit that each instance uses up by itself."""
        self.check_limit(4)
