"""Repeats of all instances together; real processes."""

import collections
import contextlib
import itertools
import signal
import time

import gevent

from standins import processes
from tests.relay import fakes
from tests.relay import instances

EXTRA = 160
"""Repeats that are allowed in a window, whatever the number of requests."""

WINDOW_SECONDS = 15.0

ENDPOINTS = 4

CALLERS = 10
"""Callers of each instance, each with one request at a time."""


class BrokenEndpoint(fakes.Endpoint):
    """An endpoint that breaks off each answer.

    Args:
        case: the test case; its ``arrivals`` gets id and time of each
            request.
    """

    def __init__(self, case):
        super().__init__(case, self.break_off)
        self.case = case

    def break_off(self, sock, headers):
        """Send a part of an answer and close the connection."""
        self.case.arrivals.append((headers["x-attempt-id"], time.monotonic()))
        answer = fakes.render(
            200,
            b"x" * 100,
            X_Attempt_Id=headers["x-attempt-id"],
            X_Response_Seal="seal",
        )
        sock.sendall(answer[:-50])


class RepeatBudgetCase(instances.InstanceCase):
    """Endpoints break off each answer, and nothing but ``EXTRA`` is allowed.

    Attributes:
        arrivals: id and time of each request that reached an endpoint.
    """

    bounds = (
        "grace_seconds: 8, retry_ratio: 0,"
        f" retry_extra: {EXTRA}, retry_window_seconds: {WINDOW_SECONDS}"
    )

    def setUp(self):
        """Start the endpoints."""
        super().setUp()
        self.arrivals = []
        self.store.delete("servers/i-1")
        for number in range(ENDPOINTS):
            self.put_endpoint(
                f"b-{number}", address=BrokenEndpoint(self).address, slots=100
            )
        self.put_configuration(
            8,
            {"ratePerS": 0, "burst": 0},
            kind="idempotent",
            resumable=False,
        )

    def send_forever(self, host):
        """Send requests to an instance, one after the other."""
        while True:
            with contextlib.suppress(OSError):
                self.ask_once(host)
            gevent.sleep(0.02)

    def apply_trouble(self, hosts, steps):
        """Send requests to all instances while something happens.

        Args:
            hosts: the instances.
            steps: generator that waits between its steps, and ends.
        """
        callers = [
            gevent.spawn(self.send_forever, host)
            for host in hosts
            for _ in range(CALLERS)
        ]
        try:
            for seconds in steps:
                gevent.sleep(seconds)
        finally:
            gevent.killall(callers)

    def count_repeats(self):
        """Return the most repeats in any window."""
        seen = collections.Counter()
        times = []
        for request, at in sorted(self.arrivals, key=lambda a: a[1]):
            seen[request] += 1
            if seen[request] > 1:
                times.append(at)
        most = 0
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def kill(self, number):
        """Kill an instance."""
        self.running.signal(f"entry-{number}", signal.SIGKILL)
        self.running.wait(f"entry-{number}", instances.SECONDS)

    def restart_all(self, number):
        """Kill and start all instances at once."""
        for index in range(number):
            self.kill(index + 1)
        for index in range(number):
            self.launch(index + 1)


class RepeatBudgetTest(RepeatBudgetCase):
    """The budget is one for all instances and all their starts."""

    def test_instances_that_reload(self):
        """Guards against a reload that gives out the budget once more."""
        hosts = self.start_all(3)

        def reload_often():
            for _ in range(20):
                for number in range(3):
                    self.running.signal(f"entry-{number + 1}", signal.SIGHUP)
                yield 0.6

        self.apply_trouble(hosts, reload_often())
        self.assertLessEqual(self.count_repeats(), EXTRA)

    def test_instances_that_are_killed_again_and_again(self):
        """Guards against a start that gives out the budget once more."""
        hosts = self.start_all(3)

        def kill_often():
            for _ in range(9):
                yield 1.0
                self.restart_all(3)
                for host in hosts:
                    processes.wait_for_port(host, instances.METRICS)

        self.apply_trouble(hosts, kill_often())
        self.assertLessEqual(self.count_repeats(), EXTRA)

    def test_many_instances_that_start_together(self):
        """Guards against a budget divided by the few that are known yet."""
        number = 24
        hosts = [self.launch(n + 1) for n in range(number)]

        def start_twice():
            yield 4.0
            self.restart_all(number)
            yield 6.0

        self.apply_trouble(hosts, start_twice())
        self.assertLessEqual(self.count_repeats(), EXTRA)

    def test_steady_trouble(self):
        """Guards against callers that lose what few instances may repeat."""
        hosts = self.start_all(3)
        self.apply_trouble(hosts, itertools.repeat(1.0, 35))
        self.assertLessEqual(self.count_repeats(), EXTRA)
        self.assertGreaterEqual(self.count_repeats(), EXTRA // 2)
