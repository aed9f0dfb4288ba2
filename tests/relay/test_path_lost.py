"""Instances that have lost their path to the endpoints."""

import collections
import signal

import gevent
from gevent import pool as gevent_pool

from tests.relay import fakes
from tests.relay import instances
from tests.relay import links

ENDPOINTS = 4
ASKED_AT_ONCE = 3
DETECTION_SECONDS = 3.0
"""Time after the begin of a cut from which callers are served."""


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

    def serve_route(self, kind):
        """Publish a configuration with a route of this kind."""
        self.put_configuration(8, {"ratePerS": 0}, kind=kind)

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
        for _ in range(requests):
            for number in numbers:
                self.asked += 1
                askers.spawn(ask, number, f"id-{self.asked}")
        askers.join()
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

    def test_endpoints_are_not_blamed(self):
        """Guards against idle endpoints that one lost path keeps unused."""
        self.start_fleet(1, 2)
        self.links.cut(links.Cut.SILENT)
        self.ask_until(DETECTION_SECONDS, *self.hosts)
        lines = [x for n in self.hosts for x in self.read_log(n)]
        blamed = [x for x in lines if x["event"] == "endpoint_unreachable"]
        self.assertEqual([], blamed)
