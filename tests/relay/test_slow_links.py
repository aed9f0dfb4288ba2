"""Large changes of the store on the slow links between instances."""

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
"""10 Mbit/s: the link of most instances of a large fleet."""

PIECE_BYTES = 12_500

FETCHERS = 10
"""Sixty to ninety instances leave the store to eight readers."""

LEAVE_SECONDS = 3.0
"""Within which a leaving endpoint must get no more work."""


class SlowLink:
    """A link on which all that the target sends shares one rate.

    Args:
        test: it is closed at this test's end.
        target: address behind it.
        rate: bytes a second.

    Attributes:
        address: where others reach the target.
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
        with sock, socket.create_connection(self._target) as behind:
            asking = gevent.spawn(self._forward_request, sock, behind)
            try:
                while data := behind.recv(PIECE_BYTES):
                    self._throttle(len(data))
                    sock.sendall(data)
            except OSError:
                # The one that asked has given up.
                pass
            finally:
                asking.kill()

    def _throttle(self, size):
        # Pieces leave in the order in which they came, whosesoever they are.
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self._rate
        gevent.sleep(self._free_at - now)

    def _forward_request(self, sock, behind):
        # Either side may have given up.
        with contextlib.suppress(OSError):
            while data := sock.recv(PIECE_BYTES):
                behind.sendall(data)


def make_configuration(routes):
    """Return a configuration with so many routes, as it is stored."""
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
    """Ten instances that leave the store to one reader, on a slow link."""

    def setUp(self):
        """Start a reader and ten others, which know the same so far."""
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
        """Tell all what the reader knows, as its reports do."""
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
        """Return how many instances know an item when its time is up."""
        end = self.ticker.now() + LEAVE_SECONDS
        while self.ticker.now() < end:
            if all(key in node.changed_keys for node in self.others):
                break
            gevent.sleep(0.02)
        return sum(key in node.changed_keys for node in self.others)

    def test_leaving_endpoint_is_known_beside_a_large_configuration(self):
        """An endpoint gets a request 3.5 s after it said that it leaves.

        A configuration of 1,850 routes and the endpoint's word come to the
        readers of the store in one second, and ten instances fetch both
        from each reader. Its link took 4 s for ten copies, a fetch of over
        a second was given up and begun anew, by all in step, and the
        endpoint's word came with the copy: nobody knew of it after 3 s.
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
        """A request reaches an endpoint that left during a large copy.

        Ten instances fetch a value that can't be made smaller; it is on
        its way for 2.4 s. The endpoint says that it leaves 0.3 s later,
        which is fetched beside the copy and not after it.
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
        """A route that was confirmed 5 s ago is not served.

        The copy comes for longer than another instance may be silent; it
        goes on, and each instance fetches it once.
        """
        value = random.Random(1).randbytes(300_000)
        large = models.Item(key="op/config", value=value, revision=8)
        self.reader.mirror.apply([large], 8)
        self.assertEqual(FETCHERS, self.wait_for("op/config"))
        self.assertEqual(
            0, sum(node.replication.failed for node in self.others)
        )


class StartTest(testtools.TestCase):
    """An instance that has just started and reads the whole store."""

    def test_large_store_is_read_on_a_slow_link(self):
        """An instance that started again is not ready for 25 s.

        All lose power and start with nothing. Each reads a store of 600 KB
        on a link of 10 Mbit/s, of which callers and the other instances
        take half. An answer that was not whole 0.8 s after the question was
        thrown away and asked for anew, again and again: the store sent ten
        times what all copies together hold.
        """
        store = fakes.Store(self)
        store.put("op/config", make_configuration(1850))
        link = SlowLink(self, store.address, 0.5 * LINK_BYTES_PER_SECOND)
        asking = client.Client(
            link.address, follower_module.ANSWER_TIMEOUT_SECONDS
        )
        self.addCleanup(asking.close)
        answer = asking.read("")
        self.assertTrue(answer.is_ok(), answer)
        self.assertEqual(["op/config"], [i.key for i in answer.unwrap().items])
