"""Early refusals of waiting requests by the dispatcher and the owner."""

import gevent
import testtools

from citronport import errors
from citronport.relay import messages
from citronport.relay import settings
from tests.relay import samples
from tests.relay import test_leasing


def fill(room, number, objective, prefix="w"):
    """Let requests wait at an instance; return their greenlets."""
    route = samples.make_route(objective=objective)
    return [
        gevent.spawn(
            room.dispatcher.acquire,
            samples.make_work(f"{prefix}{n}", route, room.ticker.now()),
            samples.ENGINES,
            frozenset(),
        )
        for n in range(number)
    ]


class FairQueuesTest(testtools.TestCase):
    """One endpoint with two slots, whose slots become free every 0.5 s."""

    def make_full_room(self, *, fair_shares):
        """Return a fixture whose endpoint is full, and a waiting request."""
        room = samples.DispatcherFixture(
            [samples.make_endpoint()],
            scheduling=settings.Scheduling(fair_shares=fair_shares),
        )
        fill(room, 3, 1.0, "t")
        gevent.sleep(0)
        waiting = fill(room, 2, 0.4)
        gevent.sleep(0)
        # The endpoint turns slow, so that the second one has no chance.
        room.board.apply_step_ms("other", "e1", 300.0)
        room.dispatcher.match_queues(refuse_early=True)
        gevent.sleep(0)
        return room, waiting

    def test_own_request_is_refused_early(self):
        """Guards against a wait until the end without a chance."""
        room, waiting = self.make_full_room(fair_shares=True)
        self.assertEqual([False, True], [w.ready() for w in waiting])
        self.assertEqual(errors.Code.OVERLOADED, waiting[1].value.code)
        self.assertGreaterEqual(waiting[1].value.retry_after, 0.5)
        self.assertEqual(1, room.counts.early_refusals)
        gevent.killall(waiting)

    def test_setting_off(self):
        """Guards against early refusals without the setting."""
        room, waiting = self.make_full_room(fair_shares=False)
        self.assertEqual([False, False], [w.ready() for w in waiting])
        self.assertEqual(0, room.counts.early_refusals)
        gevent.killall(waiting)

    def test_request_of_another_instance(self):
        """Guards against an applicant that is not sent its refusal."""
        sent = []
        node = test_leasing.Node(
            "own",
            {},
            [samples.make_endpoint()],
            scheduling=settings.Scheduling(fair_shares=True),
        )
        server = node.leasing.lease_server
        server._send = lambda instance, message: sent.append(message)
        for number in range(5):
            server.handle_ask(self.make_ask(f"r{number}"))
        node.room.board.apply_step_ms("other", "e1", 300.0)
        node.room.dispatcher.match_queues(refuse_early=True)
        full = [m.request for m in sent if isinstance(m, messages.Full)]
        self.assertEqual(["r4"], full)
        self.assertNotIn("r4", server._applicants)

    def make_ask(self, name):
        """Return a lease request."""
        return messages.Ask(
            protocol=messages.PROTOCOL,
            instance="other",
            request=name,
            service=samples.ENGINES,
            route="review",
            tier=0,
            prompt=1000,
            output=100,
            expected=100,
            elapsed_seconds=0.0,
            remaining_seconds=15.0,
            tried=[],
            paused=[],
            software=None,
            workspace="w",
            data_centre="a",
        )
