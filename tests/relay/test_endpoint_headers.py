"""Endpoints that state in their answers that they want no more requests."""

import time

import gevent

from tests.relay import fakes
from tests.relay import instances

DRAIN_SECONDS = 2.0
"""Time after an answer that says so within which requests may still arrive."""

PAUSE_SECONDS = 3.0
"""Pause that the endpoint asks for."""

PAUSE_START_SECONDS = 0.5
"""Time after the answer by which the pause must be kept."""

MAX_REQUESTS_IN_PAUSE = 2
"""Requests of one instance that may reach the endpoint during the pause."""

REQUEST_INTERVAL_SECONDS = 0.04

RUN_SECONDS = 0.1
"""How long an endpoint runs a request. One slot is too few for the load."""


class StatingEndpoint(fakes.Endpoint):
    """An endpoint whose answers may hold further headers.

    Attributes:
        leaving: whether its answers say that it leaves.
        turns_away: whether it turns requests away and asks for a pause.
        answered: clock time and instance of each statement, seconds.
        arrivals: clock time and instance of each received request.
    """

    def __init__(self, case):
        super().__init__(case)
        self.leaving = False
        self.turns_away = False
        self.answered = []
        self.arrivals = []

    def _serve_request(self, sock, file):
        request = fakes.read_request(file)
        if request is None:
            return
        headers = request[2]
        instance = headers["x-attempt-id"].partition("-")[0]
        self.arrivals.append((time.monotonic(), instance))
        script = fakes.answer()
        if self.leaving:
            script = fakes.answer(Server_Leaving=1)
        elif self.turns_away:
            script = fakes.answer(
                503,
                signed=False,
                X_Not_Executed=1,
                Retry_After=PAUSE_SECONDS,
            )
        if not self.turns_away:
            gevent.sleep(RUN_SECONDS)
        script(sock, headers)
        if self.leaving or self.turns_away:
            self.answered.append((time.monotonic(), instance))

    def get_first_answers(self):
        """Return the time of the first statement to each instance."""
        first = {}
        for at, instance in self.answered:
            first.setdefault(instance, at)
        return first


class EndpointHeadersCase(instances.InstanceCase):
    """Two endpoints under load, one of which states something.

    Attributes:
        other_slots: slots of the other endpoint.
    """

    other_slots = 64

    def setUp(self):
        """Start the endpoints."""
        super().setUp()
        self.put_configuration(8, {"ratePerS": 0}, kind="idempotent")
        self.store.delete("servers/i-1")
        self.stating = StatingEndpoint(self)
        self.other = StatingEndpoint(self)
        # Of equally good endpoints, the first one is chosen.
        self.put_endpoint("e-1", address=self.stating.address, slots=64)
        self.put_endpoint(
            "e-2", address=self.other.address, slots=self.other_slots
        )
        self.number = 0
        self.statuses = []

    def apply_load(self, hosts, seconds):
        """Send requests to all instances in turn for some seconds."""
        end = time.monotonic() + seconds
        asks = []
        while time.monotonic() < end:
            self.number += 1
            index = self.number % len(hosts)
            request_id = f"host{index}-{self.number}"
            asks.append(gevent.spawn(self._ask_once, hosts[index], request_id))
            gevent.sleep(REQUEST_INTERVAL_SECONDS)
        gevent.joinall(asks)

    def _ask_once(self, host, request_id):
        path = f"/review/{request_id}"
        self.statuses.append(self.ask(host, request_id, path=path)[0])


class LeavingEndpointTest(EndpointHeadersCase):
    """The store does not answer while an endpoint leaves."""

    def check_leaving(self, number):
        """Check that no instance that was told so sends any more."""
        hosts = self.start_all(number)
        self.apply_load(hosts, 1.0)
        self.store.mode = "busy"
        self.stating.leaving = True
        self.apply_load(hosts, 2 * DRAIN_SECONDS)
        first_answers = self.stating.get_first_answers()
        self.assertTrue(first_answers)
        late = [
            (instance, at - told_at)
            for instance, told_at in first_answers.items()
            for at, sender in self.stating.arrivals
            if sender == instance and at - told_at > DRAIN_SECONDS
        ]
        self.assertEqual([], late)
        self.assertEqual({200}, set(self.statuses))

    def test_one_instance_sends_no_more(self):
        """Guards against a leaving endpoint that gets work for an outage."""
        self.check_leaving(1)

    def test_grants_of_another_instance_are_not_used(self):
        """Guards against work for a leaving endpoint by an owner's grant."""
        self.check_leaving(3)


class PausingEndpointTest(EndpointHeadersCase):
    """An endpoint turns requests away and asks each instance for a pause.

    The other endpoint cannot carry the load by itself.
    """

    other_slots = 1

    def check_pause(self, number):
        """Check that each instance that was asked to keeps the pause."""
        hosts = self.start_all(number)
        self.apply_load(hosts, 1.0)
        self.stating.turns_away = True
        self.apply_load(hosts, 1.0)
        self.stating.turns_away = False
        self.apply_load(hosts, PAUSE_SECONDS)
        first_answers = self.stating.get_first_answers()
        self.assertTrue(first_answers)
        for instance, asked_at in first_answers.items():
            arrivals = [
                at - asked_at
                for at, sender in self.stating.arrivals
                if sender == instance
                and PAUSE_START_SECONDS < at - asked_at < PAUSE_SECONDS
            ]
            self.assertLessEqual(len(arrivals), MAX_REQUESTS_IN_PAUSE)
        self.assertLessEqual(set(self.statuses), {200, 503})

    def test_one_instance_keeps_the_pause(self):
        """Guards against a full endpoint that is asked again and again."""
        self.check_pause(1)

    def test_grants_of_another_instance_keep_the_pause(self):
        """Guards against an owner's grant for an endpoint in a pause."""
        self.check_pause(3)

    def test_endpoint_is_used_again_after_the_pause(self):
        """Guards against an endpoint that is left out for ever."""
        hosts = self.start_all(2)
        self.apply_load(hosts, 0.5)
        self.stating.turns_away = True
        self.apply_load(hosts, 0.5)
        self.stating.turns_away = False
        self.apply_load(hosts, PAUSE_SECONDS + 1.0)
        before = len(self.stating.arrivals)
        self.apply_load(hosts, 1.0)
        self.assertGreater(len(self.stating.arrivals), before)
