"""What callers get from an instance that has only just started."""

import gevent
import result
import testtools

from citronport import clock
from citronport.callers import const as caller_const
from citronport.relay import application
from citronport.relay import jobs
from citronport.relay import metrics
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import retries
from citronport.scheduler.direct import suspects
from tests.relay import samples


class Body:
    """A request's body, read whole."""

    def read_all(self):
        """Return nothing."""
        return result.Ok(b"")


class StartTest(testtools.TestCase):
    """All instances have lost power and start while the store is away.

    Callers come to one that knows no configuration. Those that it can
    serve a moment later wait for that; the others hear soon that their
    request has not run, and come back once more.
    """

    def setUp(self):
        """Make an instance that knows nothing."""
        super().setUp()
        self.clock = clock.ManualClock()
        self.peers_known_at = 0.0
        self.room = samples.DispatcherFixture([], self.clock)
        self.room.cluster_state.configuration = None
        context = jobs.RelayContext(
            self.room.cluster_state,
            self.room.dispatcher,
            self.room.board,
            self.room.health,
            endpoint_limits.EndpointLimits(),
            suspects.SuspectRequests(),
            self.clock,
            self.room.log,
            metrics.Counts(),
            lambda service: retries.RetryBudget(1.0, 100.0),
            lambda: 1,
        )
        self.application = application.Application(
            context,
            quota.Quotas(),
            lambda: 1.0,
            lambda: 0.1,
            lambda: False,
            lambda: False,
            lambda: 0.0,
            lambda: self.clock.now() < self.peers_known_at,
            self.clock,
        )

    def ask(self, patience):
        """Ask for a path that no route has; return status and headers."""
        environ = {
            "wsgi.input": Body(),
            "PATH_INFO": "/nowhere/",
            "REQUEST_METHOD": "POST",
            caller_const.ENVIRON_TARGET: "/nowhere/",
            caller_const.ENVIRON_FIELDS: {
                "host": "shop.example",
                "x-attempt-id": "id-1",
                "x-deadline-ms": str(int(patience * 1000)),
            },
        }
        seen = []

        def start(status, headers, *rest):
            seen.append((status.split()[0], dict(headers)))

        list(self.application(environ, start))
        return seen[0]

    def configure_at(self, seconds):
        """Have the first configuration come at a time."""

        def wait():
            while self.clock.now() < seconds:
                gevent.sleep(0)
            self.room.cluster_state.configuration = (
                samples.make_configuration()
            )

        gevent.spawn(wait)
        gevent.sleep(0)

    def test_waits_for_the_first_configuration(self):
        """A request that comes 0.5 s early is looked at, not refused."""
        self.configure_at(0.5)
        status, _ = self.ask(4.0)
        self.assertEqual("404", status)
        self.assertLess(self.clock.now(), 0.6)

    def test_refused_early_enough_for_a_retry(self):
        """A store that stays away: the caller keeps most of its time."""
        status, headers = self.ask(2.0)
        self.assertEqual("503", status)
        self.assertLessEqual(
            self.clock.now(), application.START_WAIT_SHARE * 2.0 + 0.05
        )
        self.assertIn("retry-after", headers)

    def test_never_waits_long(self):
        """A patient caller is not kept for longer than a second or so."""
        self.ask(15.0)
        self.assertLess(self.clock.now(), application.START_WAIT_SECONDS + 0.1)

    def test_waits_until_the_others_are_known(self):
        """One that knows nobody sends to engines that are full already."""
        self.room.cluster_state.configuration = samples.make_configuration()
        self.peers_known_at = 0.4
        status, _ = self.ask(4.0)
        self.assertEqual("404", status)
        self.assertGreaterEqual(self.clock.now(), 0.4)

    def test_short_deadline_bounds_the_wait_for_the_others(self):
        """A short wait is all that an urgent request can afford."""
        self.room.cluster_state.configuration = samples.make_configuration()
        self.peers_known_at = 9.0
        status, _ = self.ask(1.0)
        self.assertEqual("404", status)
        self.assertLess(self.clock.now(), 0.3)
