"""Endpoints that announce a rate limit for all instances together."""

import time

from tests.relay import fakes
from tests.relay import instances

STABLE_SECONDS = 3.0
"""Time after the first announcement by which the limit must be kept."""

WINDOW_SECONDS = 4.0
OVER = 1.5
EXTRA = 5
"""A window may hold ``OVER`` times the limit plus ``EXTRA`` requests."""

RATE = 2.5
"""Limit of the endpoint, requests per second."""

LOAD = 24.0
"""Load by callers, requests per second."""


class LimitingEndpoint(fakes.Endpoint):
    """An endpoint that may announce a rate limit.

    Attributes:
        rate: limit in its responses; None if it announces none.
        arrivals: clock times of all received requests, seconds.
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
        """Return the most requests in any window that begins after a time."""
        times = [at for at in self.arrivals if at >= start]
        return max(
            sum(at <= other < at + WINDOW_SECONDS for other in times)
            for at in times
        )


class EndpointLimitTest(instances.InstanceCase):
    """Two endpoints under load, one of which announces a limit."""

    def setUp(self):
        """Start the endpoints."""
        super().setUp()
        self.put_configuration(8, {"ratePerS": 0}, kind="idempotent")
        self.store.delete("servers/i-1")
        self.limiting = LimitingEndpoint(self)
        self.other = LimitingEndpoint(self)
        self.put_endpoint("needy", address=self.limiting.address)
        self.put_endpoint("other", address=self.other.address)

    def check_limit(self, instances_number):
        """Check that a limit is kept while it is announced and then lifted."""
        hosts = self.start_all(instances_number)
        statuses = self.apply_load(hosts, 1.0, LOAD)
        self.limiting.rate = RATE
        announced_at = time.monotonic()
        statuses += self.apply_load(
            hosts, STABLE_SECONDS + 1.5 * WINDOW_SECONDS, LOAD
        )
        busiest = self.limiting.count_busiest(announced_at + STABLE_SECONDS)
        allowed = OVER * RATE * WINDOW_SECONDS + EXTRA
        self.assertLessEqual(busiest, allowed)
        self.assertGreaterEqual(busiest, RATE * WINDOW_SECONDS / 3)
        self.assertEqual({200}, set(statuses))
        self.limiting.rate = None
        lifted_at = time.monotonic()
        self.apply_load(hosts, 3.0, LOAD)
        taken = [at for at in self.limiting.arrivals if at > lifted_at + 1.0]
        self.assertGreater(len(taken), 2 * RATE * 2.0)

    def test_one_instance_keeps_the_limit(self):
        """Guards against a limited endpoint that gets as much as the other."""
        self.check_limit(1)

    def test_instances_keep_the_limit_together(self):
        """Guards against a limit that each instance uses up on its own."""
        self.check_limit(4)
