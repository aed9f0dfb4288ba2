"""What a request becomes when the instance that it is sent to is gone."""

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
    """The home of a request dies, and a repeat comes in that moment.

    The old link is gone already, while the kernel of the dying process
    still accepts a new one. It is closed before the home has greeted: the
    home can't be reached, and what an earlier copy did is not known.
    """

    def setUp(self):
        """Listen for an instance that accepts nothing itself."""
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
        """Forward a request while the process dies; return the refusal."""
        run = runs.Run(samples.make_work(), lambda run: None)
        task = gevent.spawn(self.peers.forward, run, "home", role)
        gevent.sleep(0.02)
        self.listener.close()
        return task.get(timeout=2)

    def test_home_without_hello_is_unreachable(self):
        """The caller hears the same as from a home that is gone."""
        refusal = self.forward(const.ROLE_HOME)
        self.assertEqual(errors.Code.HOME_UNREACHABLE, refusal.code)

    def test_request_sent_to_owner_may_have_run(self):
        """Another role's request was written: it is never "not run"."""
        refusal = self.forward(const.ROLE_OWNER)
        self.assertEqual(errors.Code.INSTANCE_LOST, refusal.code)
