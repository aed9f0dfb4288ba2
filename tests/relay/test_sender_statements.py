"""What endpoints state about themselves in responses of any kind."""

import gevent

from citronport.scheduler.direct import models
from citronport.scheduler.direct import retries
from tests.relay import fakes
from tests.relay import senders


class StatementsTest(senders.SenderCase):
    """Endpoints whose responses hold further headers."""

    def test_limit_in_any_answer_is_recorded(self):
        """Guards against limits that are read from refusals only."""
        endpoint = fakes.Endpoint(self)
        self.prepare(endpoint, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        match_task = gevent.spawn(self.room.dispatcher.run_match_loop)
        self.addCleanup(match_task.kill)
        for script, rate in (
            (fakes.answer(503, X_Not_Executed="1", Server_Limit="2.5"), 2.5),
            (fakes.answer(Server_Limit="few"), 2.5),
            (fakes.answer(), None),
        ):
            endpoint.scripts = [script]
            self.ask()
            self.assertEqual(rate, self.room.limits.get_rate("e0"))

    def test_leaving_in_any_answer_is_recorded(self):
        """Guards against an endpoint that leaves and gets the next request."""
        for script in (
            fakes.answer(Server_Leaving="1"),
            fakes.answer(500, Server_Leaving="1"),
            fakes.answer(503, X_Not_Executed="1", Server_Leaving="1"),
        ):
            leaving = fakes.Endpoint(self, script)
            self.prepare(
                leaving,
                fakes.Endpoint(self, fakes.answer()),
                repeat=models.RepeatPolicy.NON_IDEMPOTENT,
            )
            self.ask()
            self.assertEqual(200, self.ask())
            self.assertEqual(1, len(leaving.requests))

    def test_pause_in_any_answer_that_turns_away(self):
        """Guards against a pause that only counts if the request did not run.

        A pause in a success, or one that cannot be read, means nothing.
        """
        for status, value, sends in (
            (503, "3", 1),
            (503, "Thu, 03 Dec 2026 18:00:00 GMT", 2),
            (200, "3", 2),
        ):
            for extra in ({}, {"X_Not_Executed": "1"}):
                script = fakes.answer(status, Retry_After=value, **extra)
                endpoint = fakes.Endpoint(self, script)
                self.prepare(
                    endpoint, repeat=models.RepeatPolicy.NON_IDEMPOTENT
                )
                self.context.retry_budgets = senders.SoleBudget(
                    retries.RetryBudget(0.0, 0.0)
                )
                self.ask()
                self.ask()
                self.assertEqual(
                    sends, len(endpoint.requests), (status, value)
                )

    def test_pause_that_begins_while_it_connects(self):
        """Guards against a send to an endpoint that just asked for a pause."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        cluster_state = self.room.cluster_state
        may_use = cluster_state.may_use

        def pause_then_check(endpoint):
            now = self.room.ticker.now()
            self.room.pauses.record(endpoint.start_id, 3.0, now)
            return may_use(endpoint)

        cluster_state.may_use = pause_then_check
        self.assertEqual(503, self.ask())
        self.assertEqual(0, len(endpoint.requests))

    def test_unreadable_leaving_changes_nothing(self):
        """Guards against an endpoint that is lost by a malformed header."""
        endpoint = fakes.Endpoint(self, fakes.answer(Server_Leaving="maybe"))
        self.prepare(endpoint)
        self.ask()
        self.assertEqual(200, self.ask())

    def test_leaving_of_another_endpoint_is_not_recorded(self):
        """Guards against losing an endpoint by what its neighbour states."""
        endpoint = fakes.Endpoint(
            self, fakes.answer(421, Server_Leaving="1"), fakes.answer()
        )
        self.prepare(endpoint)
        self.ask()
        known = self.room.cluster_state.endpoints["e0"]
        self.assertTrue(self.room.cluster_state.may_use(known))
