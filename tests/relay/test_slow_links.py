"""Transfer of large changes over slow links between instances."""

import contextlib
import json
import random
import string
import time

import gevent
from gevent import server as gevent_server
from gevent import socket
import testtools

from citronport import clock
from citronport.platform import client
from citronport.platform import models
from citronport.relay import follower as follower_module
from citronport.relay import gossip
from tests import addresses
from tests.relay import fakes
from tests.relay import nodes
from tests.relay import test_membership

LINK_BYTES_PER_SECOND = 1_250_000
"""10 Mbit/s: the links of most instances in a large fleet."""

PIECE_BYTES = 12_500

FETCHERS = 10
"""Number of instances that fetch from one reader: in fleets of sixty to ninety
instances, all but eight readers fetch from these."""

LEAVE_SECONDS = 3.0
"""Time within which a leaving endpoint must get no more requests."""


class SlowLink:
    """A proxy that limits the total rate at which its target sends.

    Args:
        test: the test; the link is closed at its end.
        target: address of the target.
        rate: rate in bytes a second.

    Attributes:
        address: address at which the link accepts connections.
    """

    def __init__(self, test, target, rate=LINK_BYTES_PER_SECOND):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._rate = rate
        self._free_at = 0.0
        server = gevent_server.StreamServer(("127.0.0.1", 0), self._serve)
        server.start()
        test.addCleanup(server.stop, 0)
        self.address = f"127.0.0.1:{server.server_port}"

    def _serve(self, sock, _):
        with sock, socket.create_connection(self._target) as target:
            forwarder = gevent.spawn(self._forward_request, sock, target)
            try:
                while data := target.recv(PIECE_BYTES):
                    self._throttle(len(data))
                    sock.sendall(data)
            except OSError:
                # The client has closed the connection.
                pass
            finally:
                forwarder.kill()

    def _throttle(self, size):
        # Pieces of all connections share the link in order of arrival.
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self._rate
        gevent.sleep(self._free_at - now)

    def _forward_request(self, sock, target):
        # Either side may have closed its connection.
        with contextlib.suppress(OSError):
            while data := sock.recv(PIECE_BYTES):
                target.sendall(data)


def make_configuration(routes):
    """Return a stored configuration with the given number of routes."""
    drawn = random.Random(1)

    def draw(length):
        letters = string.ascii_lowercase + string.digits
        return "".join(drawn.choices(letters, k=length))

    listed = [
        {
            "name": f"r-{draw(7)}",
            "host": f"{draw(4)}.example",
            "prefix": f"/{draw(7)}/",
            "kind": "streaming",
            "timeoutMs": 12000,
            "targetLatencyMs": 845,
            "priority": 0,
            "service": "engines",
            "maxAttempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gapAimMs": 400,
        }
        for _ in range(routes)
    ]
    return json.dumps({"version": 7, "routes": listed}).encode()


class SlowLinkTest(testtools.TestCase):
    """Ten instances on standby that fetch from one reader on a slow link."""

    def setUp(self):
        """Start a reader and ten instances on standby, all up to date."""
        super().setUp()
        subnet = addresses.choose_subnet(9)
        self.ticker = clock.RuntimeClock()
        self.reader = nodes.Node(self, 1, subnet)
        self.link = SlowLink(self, self.reader.address)
        self.others = [
            nodes.Node(self, n, subnet) for n in range(2, 2 + FETCHERS)
        ]
        self.number = 0
        for node in self.others:
            node.follower.on_standby = True
            self.addCleanup(gevent.spawn(node.replication.catch_up).kill)
        self.addCleanup(gevent.spawn(self.keep_reporting).kill)

    def keep_reporting(self):
        """Deliver reports of the reader to all others."""
        while True:
            self.number += 1
            report = test_membership.make_report(
                self.reader.name,
                number=self.number,
                peer_address=self.link.address,
                revision=self.reader.mirror.revision,
            )
            for node in self.others:
                node.members.apply_report(report, self.ticker.now())
            gevent.sleep(0.5 * gossip.IDLE_REPORT_SECONDS)

    def wait_for(self, key):
        """Return how many instances get an item within ``LEAVE_SECONDS``."""
        end = self.ticker.now() + LEAVE_SECONDS
        while self.ticker.now() < end:
            if all(key in node.changed_keys for node in self.others):
                break
            gevent.sleep(0.02)
        return sum(key in node.changed_keys for node in self.others)

    def test_leaving_endpoint_is_known_beside_a_large_configuration(self):
        """Guards against requests to an endpoint 3.5 s after it is leaving.

        Readers get a configuration of 1,850 routes and the change of the
        endpoint within one second, and ten instances fetch both from each
        reader. Ten copies took 4 s on its link, and all instances aborted
        and restarted fetches that took over a second. As the change of the
        endpoint was part of the same answer, no instance knew of it after
        3 s.
        """
        changes = [
            models.Item(
                key="op/config", value=make_configuration(1850), revision=8
            ),
            models.Item(key="servers/a", value=b"{}", revision=9),
        ]
        self.reader.mirror.apply(changes, 9)
        self.assertEqual(FETCHERS, self.wait_for("servers/a"))
        self.assertEqual(FETCHERS, self.wait_for("op/config"))

    def test_small_changes_do_not_wait_for_a_large_fetch(self):
        """Guards against requests to an endpoint that leaves during a fetch.

        Ten instances fetch an incompressible value, which takes 2.4 s. The
        change of the endpoint follows 0.3 s later; it must be fetched in
        parallel and not after the large value.
        """
        value = random.Random(1).randbytes(300_000)
        large = models.Item(key="op/config", value=value, revision=8)
        self.reader.mirror.apply([large], 8)
        gevent.sleep(0.3)
        leaving = models.Item(key="servers/a", value=b"{}", revision=9)
        self.reader.mirror.apply([leaving], 9)
        gevent.sleep(1.0)
        knowing = [
            node for node in self.others if "servers/a" in node.changed_keys
        ]
        self.assertEqual(FETCHERS, len(knowing))
        self.assertNotIn("op/config", self.others[0].changed_keys)
        self.assertEqual(FETCHERS, self.wait_for("op/config"))
        gevent.sleep(0.3)
        self.assertEqual([9], sorted({n.mirror.revision for n in self.others}))

    def test_slow_fetch_is_not_restarted(self):
        """Guards against a route that is not served 5 s after its change.

        The fetch takes longer than the timeout for an idle connection. It
        must continue, so that each instance fetches the value once.
        """
        value = random.Random(1).randbytes(300_000)
        large = models.Item(key="op/config", value=value, revision=8)
        self.reader.mirror.apply([large], 8)
        self.assertEqual(FETCHERS, self.wait_for("op/config"))
        self.assertEqual(
            0, sum(node.replication.failed for node in self.others)
        )


class StartTest(testtools.TestCase):
    """An instance that has just started and reads all of the store."""

    def test_large_store_is_read_on_a_slow_link(self):
        """Guards against a restarted instance that is not ready for 25 s.

        After a power failure, all instances start without a copy. Each reads
        a store of 600 KB over a link of 10 Mbit/s, half of which is taken by
        callers and other instances. An answer that was incomplete 0.8 s
        after the call was discarded and requested again, repeatedly: the
        store sent ten times the size of all copies together.
        """
        store = fakes.Store(self)
        store.put("op/config", make_configuration(1850))
        link = SlowLink(self, store.address, 0.5 * LINK_BYTES_PER_SECOND)
        store_client = client.Client(
            link.address, follower_module.ANSWER_TIMEOUT_SECONDS
        )
        self.addCleanup(store_client.close)
        answer = store_client.read("")
        self.assertTrue(answer.is_ok(), answer)
        self.assertEqual(["op/config"], [i.key for i in answer.unwrap().items])
