"""A revision that someone names takes no instance out of service."""

import gevent
from gevent import server

from citronport.relay import messages
from tests.relay import test_forged_datagrams
from tests.relay import test_membership

REVISION = 10**6
"""Far beyond that of the store."""

FETCH_SECONDS = 2.0


class ForgedRevisionTest(test_forged_datagrams.DatagramCase):
    """A report names a later revision and an address to fetch it from."""

    def test_items_that_nobody_wrote(self):
        """Guards against a list of endpoints that is not the store's."""

        def answer(sock, _):
            sock.recv(1000)
            held = messages.Held(
                revision=REVISION,
                recovered_seconds=1.0,
                keys=["servers/none"],
                items=[("servers/none", b"{}", REVISION)],
                is_complete=True,
                lost=[],
            )
            sock.sendall(messages.pack(held))

        listener = server.StreamServer((f"127.{self.subnet}.99", 0), answer)
        listener.start()
        self.addCleanup(listener.stop)
        host, port = listener.address
        self.send(
            20,
            lambda n: test_membership.make_report(
                "entry-9", n, revision=REVISION, peer_address=f"{host}:{port}"
            ),
        )
        gevent.sleep(FETCH_SECONDS)
        self.check()
