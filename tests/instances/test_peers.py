"""Tests of forwarding to an instance that terminates."""

import types

import gevent
from gevent import socket
import testtools

from citronport import clock
from citronport import errors
from citronport import runs
from citronport.instances import const
from citronport.instances import messages
from citronport.instances import peers
from tests import samples


class DyingHomeTest(testtools.TestCase):
    """The home of a request terminates while a repeat is forwarded to it.

    The old link is already closed, while the kernel still accepts a new
    connection for the terminating process. It closes before the home sends
    Hello: the home is unreachable, and whether an earlier copy of the
    request ran is unknown.
    """

    def setUp(self):
        """Listen on a socket that never accepts a connection."""
        super().setUp()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        hello = messages.Hello(
            protocol=const.PROTOCOL, instance="own", incarnation="1"
        )
        self.peers = peers.Peers(
            hello,
            clock.ManualClock(),
            lambda work, role: None,
            lambda name, message: None,
        )
        home = types.SimpleNamespace(
            name="home",
            address="127.0.0.1",
            peer_port=self.listener.getsockname()[1],
        )
        self.peers.update_links({"home": home}, set())

    def forward(self, role):
        """Forward a request, close the listener; return the refusal."""
        run = runs.Run(samples.make_work(), lambda run: None)
        task = gevent.spawn(self.peers.forward, run, "home", role)
        gevent.sleep(0.02)
        self.listener.close()
        return task.get(timeout=2)

    def test_home_without_hello_is_unreachable(self):
        """The refusal is the same as for a home that cannot be reached."""
        refusal = self.forward(const.ROLE_HOME)
        self.assertEqual(errors.Code.HOME_UNREACHABLE, refusal.code)

    def test_request_sent_to_owner_may_have_run(self):
        """In the owner role the request was written: never "not run"."""
        refusal = self.forward(const.ROLE_OWNER)
        self.assertEqual(errors.Code.INSTANCE_LOST, refusal.code)
