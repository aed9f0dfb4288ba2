"""Endpoints that fall over if they turn too many requests away."""

import time

import gevent

from tests.relay import fakes
from tests.relay import instances

STABLE_SECONDS = 3.0
"""Time after the first statement by which no endpoint falls over."""

TOLERATED = 2
SLOTS = 2
RUN_SECONDS = 0.08
LOAD = 60.0
"""Requests of callers per second, above what both endpoints can run."""


class BrittleEndpoint(fakes.Endpoint):
    """An endpoint with slots and no room for waiting requests.

    Attributes:
        is_brittle: whether it says that it is brittle, and has no room.
        rejected_at: clock times of the requests that it turned away.
    """

    def __init__(self, case):
        super().__init__(case)
        self.is_brittle = False
        self.rejected_at = []
        self._running = 0

    def _serve_request(self, sock, file):
        request = fakes.read_request(file)
        if request is None:
            return
        said = {"Server_Brittle": TOLERATED} if self.is_brittle else {}
        if self.is_brittle and self._running >= SLOTS:
            self.rejected_at.append(time.monotonic())
            reject = fakes.answer(503, signed=False, X_Not_Executed=1, **said)
            reject(sock, request[2])
            return
        self._running += 1
        try:
            gevent.sleep(RUN_SECONDS)
            fakes.answer(**said)(sock, request[2])
        finally:
            self._running -= 1

    def count_worst_second(self, start):
        """Return the most rejections in any second after a time."""
        times = [at for at in self.rejected_at if at >= start]
        return max(
            (sum(at <= x < at + 1.0 for x in times) for at in times),
            default=0,
        )


class BrittleEndpointTest(instances.InstanceCase):
    """Two endpoints that become brittle under load."""

    def setUp(self):
        """Start the endpoints."""
        super().setUp()
        self.put_configuration(8, {"ratePerS": 0}, kind="idempotent")
        self.store.delete("servers/i-1")
        self.endpoints = [BrittleEndpoint(self), BrittleEndpoint(self)]
        for number, endpoint in enumerate(self.endpoints):
            self.put_endpoint(
                f"b-{number}", address=endpoint.address, slots=SLOTS
            )

    def check_load(self, instances_number):
        """Check that endpoints under load turn few requests away."""
        hosts = self.start_all(instances_number)
        self.apply_load(hosts, 1.0, LOAD)
        for endpoint in self.endpoints:
            endpoint.is_brittle = True
        stated_at = time.monotonic()
        self.apply_load(hosts, STABLE_SECONDS, LOAD)
        statuses = self.apply_load(hosts, 4.0, LOAD)
        worst = [
            e.count_worst_second(stated_at + STABLE_SECONDS)
            for e in self.endpoints
        ]
        self.assertLessEqual(max(worst), TOLERATED, worst)
        capacity = len(self.endpoints) * SLOTS / RUN_SECONDS * 4.0
        self.assertGreater(statuses.count(200), 0.4 * capacity)

    def test_one_instance(self):
        """Guards against an instance that overfills a brittle endpoint."""
        self.check_load(1)

    def test_instances_together(self):
        """Guards against rejections that several instances add up."""
        self.check_load(4)
