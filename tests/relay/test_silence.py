"""Requests at endpoints that accept connections and begin nothing."""

from unittest import mock

import gevent
from gevent import monkey

from citronport import clock
from citronport.endpoints import connection
from citronport.relay import messages
from citronport.relay import settings
from citronport.relay import silence
from citronport.relay import silence_events
from citronport.scheduler.direct import models
from citronport.scheduler.direct import runs
from tests.relay import fakes
from tests.relay import samples
from tests.relay import senders
from tests.relay import test_leasing
from tests.relay import test_silence_default

OBJECTIVE = 0.1

SLEEP = monkey.get_original("time", "sleep")
"""Sleeps without letting other tasks run."""


class SilenceTest(senders.SenderCase):
    """The first endpoint hangs; the second one serves."""

    def prepare_hanging(self, first=fakes.never_answer, second=None, **route):
        """Create two endpoints, of which the first one is chosen first."""
        self.first = fakes.Endpoint(self, first)
        self.second = fakes.Endpoint(self, second or fakes.answer())
        route = {"objective": OBJECTIVE, "timeout": 0.6, **route}
        self.prepare(self.first, self.second, **route)
        loads = self.room.board
        loads.overdue.factor = 2.0
        loads.record_answer_seconds("e0", 0.01)
        loads.record_answer_seconds("e1", 0.02)

    def ask_hanging(self, has_begun=True):
        """Send a request while the other endpoint begins a request."""
        if has_begun:
            now = self.room.ticker.now()
            self.room.board.overdue.record_begun("e1", "r", now + 0.05)
        return self.ask()

    def count_requests(self):
        """Return the requests that each endpoint received."""
        return len(self.first.requests), len(self.second.requests)

    def test_idempotent_request_is_sent_again(self):
        """Guards against a request lost to an endpoint that hangs."""
        order = []

        def hang(sock, headers):
            order.append(f"received {sock.recv(1)}")

        def serve(sock, headers):
            order.append("second send")
            fakes.answer()(sock, headers)

        self.prepare_hanging(hang, serve)
        self.assertEqual(200, self.ask_hanging())
        self.assertEqual((1, 1), self.count_requests())
        self.assertEqual(["received b''", "second send"], order)
        self.assertEqual(1, self.sender.progress.possible_runs - 1)
        self.assertEqual(1, self.context.counts.overdue_repeats)
        self.assertEqual({"e0"}, self.room.board.overdue.list_endpoints())

    def test_requests_that_stay(self):
        """Guards against a second run, and a request given up for a refusal.

        The request may run once, the budget is used up, the other endpoint
        has begun nothing either, is full, or the first one is cold.
        """
        ways = (
            (self.pass_by, {"repeat": models.RepeatPolicy.NON_IDEMPOTENT}),
            (self.pass_by, {"repeat": models.RepeatPolicy.STREAM}),
            (self.pass_by, {"max_endpoints": 1}),
            (self.use_up_budget, {}),
            (self.turn_off, {}),
            (self.fill_second, {}),
            (self.cool_first, {}),
        )
        for change, route in ways:
            self.prepare_hanging(**route)
            change()
            self.assertEqual(504, self.ask_hanging(), change)
            self.assertEqual((1, 0), self.count_requests(), change)
            self.assertEqual(0, self.context.counts.overdue_repeats)
        self.prepare_hanging(second=fakes.never_answer)
        self.assertEqual(504, self.ask_hanging(has_begun=False))
        self.assertEqual((1, 0), self.count_requests())

    def pass_by(self):
        """Change nothing."""

    def use_up_budget(self):
        """Leave no repeats."""
        self.budget._ratio = self.budget._extra = 0.0

    def turn_off(self):
        """Use the default of the setting."""
        self.room.board.overdue.factor = settings.Scheduling().overdue_factor

    def fill_second(self):
        """Take the slots of the other endpoint."""
        for number in range(2):
            work = samples.make_work(f"r{number}", self.route)
            self.room.board.record_send("e1", work, 0.0)

    def cool_first(self):
        """Let the first endpoint be cold."""
        self.room.cold.set_cold("e0", self.room.ticker.now() + 1.0)

    def test_response_in_the_last_moment(self):
        """Guards against a response cut as its first byte arrives.

        The process does nothing else while the time passes, so that the
        byte and the end of the time are found at once.
        """

        def serve(sock, headers):
            SLEEP(1.5 * OBJECTIVE)
            fakes.answer()(sock, headers)

        self.prepare_hanging(serve)
        self.assertEqual(200, self.ask_hanging())
        self.assertEqual((1, 0), self.count_requests())

    def test_data_at_the_end_of_the_wait(self):
        """Guards against received data that a timeout hides."""
        server = fakes.Server(self, lambda sock, _: sock.sendall(b"HTTP"))
        conn = connection.connect(server.address)
        self.addCleanup(conn.close)
        self.assertTrue(conn.wait_for_input(1.0))
        failing = mock.Mock(side_effect=TimeoutError)
        self.patch(connection.socket, "wait_read", failing)
        self.assertTrue(conn.wait_for_input(1.0))

    def test_response_that_has_begun(self):
        """Guards against a response cut within its head."""

        def serve(sock, headers):
            sock.sendall(b"HTTP/1.1 ")
            gevent.sleep(2 * OBJECTIVE)
            fields = {"X_Attempt_Id": headers["x-attempt-id"]}
            rest = fakes.render(200, b"done", X_Response_Seal="seal", **fields)
            sock.sendall(rest.removeprefix(b"HTTP/1.1 "))

        self.prepare_hanging(serve)
        self.assertEqual(200, self.ask_hanging())
        self.assertEqual((1, 0), self.count_requests())


class SilenceCheckTest(senders.testtools.TestCase):
    """The regular check of an instance."""

    def setUp(self):
        """Create four engines, of which the first one begins nothing."""
        super().setUp()
        self.ticker = clock.ManualClock(100.0)
        endpoints = [samples.make_endpoint(f"e{n}") for n in range(4)]
        self.room = room = samples.DispatcherFixture(endpoints, self.ticker)
        self.log = []
        self.check = silence.SilenceCheck(
            room.cluster_state,
            room.board,
            room.health,
            room.cold,
            room.limits,
            lambda since: False,
            self.ticker,
            self,
        )
        room.board.overdue.factor = 4.0
        for number in range(2):
            self.send(f"r{number}")

    def write(self, event):
        """Record a log line."""
        self.log.append(event)

    def send(self, request, endpoint="e0"):
        """Send a request to an engine."""
        now = self.ticker.now()
        work = samples.make_work(request, now=now)
        self.room.board.record_send(endpoint, work, now)
        self.room.board.overdue.record_send(
            endpoint,
            request,
            now,
            expected=0.1,
            objective=work.route.objective,
            has_prompt=True,
        )

    def run_checks(self, count, step=0.25):
        """Check at regular times, while another engine begins requests."""
        for _ in range(count):
            self.ticker.advance(step)
            now = self.ticker.now()
            self.room.board.overdue.record_begun("e1", "r", now)
            self.check.check()

    def test_silent_engine_is_paused(self):
        """Guards against an engine that hangs and is used further."""
        self.run_checks(8)
        now = self.ticker.now()
        self.assertFalse(self.room.health.may_use("e0", now - 1.0))
        (event,) = self.log
        self.assertIsInstance(event, silence_events.EndpointSilent)
        self.assertEqual(("e0", 2), (event.endpoint, event.overdue))

    def test_full_engine(self):
        """Guards against a full engine, whose queue waits, as silent."""
        loads = self.room.board
        for request in ("s1", "s2"):
            self.send(request)
            loads.record_first_event("e0", request, 100.0)
            loads.overdue.record_end("e0", request)
        self.run_checks(40)
        self.assertEqual([], self.log)

    def test_cold_engine(self):
        """Guards against a cold engine that counts as silent."""
        self.room.cold.set_cold("e0", 105.0)
        self.run_checks(22)
        self.assertEqual([], self.log)

    def test_frozen_instance(self):
        """Guards against events that a frozen instance has not read yet."""
        self.run_checks(1, step=5.0)
        self.assertEqual([], self.log)


class SilenceAtOwnerTest(senders.testtools.TestCase):
    """Messages of a holder that the owner's tracker learns from."""

    def setUp(self):
        """Let an owner grant two leases of two plain endpoints."""
        super().setUp()
        service = samples.make_service(senders.PLAIN, engine=None)
        share = models.Share(service=senders.PLAIN, weight=1.0)
        self.node = test_leasing.Node(
            "owner",
            {"x": self},
            [samples.make_endpoint(f"e{n}", senders.PLAIN) for n in range(2)],
            samples.make_configuration(
                (samples.make_route(shares=(share,)),), (service,)
            ),
        )
        self.silent = False
        self.lost = ()
        self.granted = {}
        self.tracker = self.node.room.board.overdue
        self.tracker.factor = 4.0
        self.server = self.node.leasing.lease_server

    def receive(self, message):
        """Receive a message of the owner."""
        if isinstance(message, messages.Granted):
            self.granted[message.request] = message.endpoint

    def ask(self, request):
        """Request a lease; return the endpoint."""
        self.server.handle_ask(
            test_silence_default.make_ask(request, 0, senders.PLAIN)
        )
        gevent.sleep(0)
        gevent.sleep(0)
        return self.granted[request]

    def end(self, request, verdict, seconds=0.0):
        """Return a lease."""
        self.server.handle_ended(
            test_silence_default.make_ended(
                request, self.granted[request], verdict, 0, seconds
            )
        )

    def test_ends_of_leases(self):
        """Guards against an owner that misses requests given up as overdue.

        They count there; an answer of the endpoint ends that.
        """
        name = self.ask("r1")
        self.assertEqual(1, self.tracker.count_waiting(name))
        self.end("r1", runs.Verdict.OVERDUE)
        self.assertEqual(0, self.tracker.count_waiting(name))
        self.assertIn(name, self.tracker.list_endpoints())
        while self.ask("r2") != name:
            self.end("r2", runs.Verdict.NOTHING)
        self.end("r2", runs.Verdict.FAILED, seconds=0.1)
        self.assertNotIn(name, self.tracker.list_endpoints())
        self.assertTrue(self.tracker.has_begun_elsewhere("other", [name], 0.0))
