"""A store that comes back from an older copy and gives revisions out again."""

import time

import gevent
import testtools

from citronport import clock
from citronport.platform import client
from citronport.relay import follower as follower_module
from citronport.relay import mirror as mirror_module
from tests.relay import fakes
from tests.relay import instances
from tests.relay import samples

APPLY_SECONDS = 2.0
"""Time within which a confirmed change must be in force."""

LOST_CHANGES = 6
"""Changes that the copy lacks."""

POLLS = 4
"""Calls after the restoration by which all changes must be known."""


class FollowerTest(testtools.TestCase):
    """A follower that knows more changes than the restored store."""

    def setUp(self):
        """Restore a store to a copy that lacks known changes."""
        super().setUp()
        self.store = fakes.Store(self)
        self.store.put("op/config", {"version": 1})
        copied = self.store.copy()
        for number in range(LOST_CHANGES):
            self.store.put("op/config", {"version": 2 + number})
        self.ticker = clock.ManualClock(100.0)
        self.mirror = mirror_module.Mirror()
        self.changes = []
        store = client.Client(self.store.address, 0.2)
        self.addCleanup(store.close)
        self.follower = follower_module.Follower(
            store,
            self.mirror,
            self.ticker,
            self.changes.extend,
            samples.make_log(self.ticker),
        )
        self.poll()
        self.store.restore(copied)
        self.changes.clear()

    def test_store_that_always_refuses_is_asked_with_pauses(self):
        """Guards against calls without a pause to a store that refuses."""
        self.poll()
        began = self.ticker.now()
        for _ in range(POLLS):
            self.store.mode = "compacted"
            if not self.follower.poll():
                self.follower.back_off()
            self.assertTrue(self.follower.poll())
        self.assertGreater(self.ticker.now() - began, 0.1 * (POLLS - 1))

    def poll(self):
        """Let the follower call the store several times."""
        # A watch of a store without changes would be held.
        self.patch(follower_module, "WATCH_SECONDS", 0.01)
        for _ in range(POLLS):
            self.follower.poll()

    def test_change_after_the_restoration_is_known(self):
        """Guards against changes that are unknown until revisions catch up."""
        self.store.put("servers/a", {"state": "draining"})
        self.poll()
        self.assertIn("servers/a", [item.key for item in self.changes])

    def test_changes_beyond_the_former_revision_are_known(self):
        """Guards against changes missed by a watch from a reused revision."""
        for number in range(LOST_CHANGES + 2):
            self.store.put(f"servers/{number}", {})
        self.poll()
        self.assertLessEqual(
            {f"servers/{n}" for n in range(LOST_CHANGES + 2)},
            {item.key for item in self.changes},
        )

    def test_restored_store_is_watched(self):
        """Guards against 140 calls a second that are refused."""
        self.poll()
        refused = self.follower.refused
        self.poll()
        self.assertEqual(refused, self.follower.refused)


class InstanceTest(instances.InstanceCase):
    """Instances that serve callers while the store is restored."""

    def setUp(self):
        """Confirm changes that the copy of the store lacks."""
        super().setUp()
        self.put_configuration(8, {"ratePerS": 0}, kind="idempotent")
        self.other = fakes.Endpoint(self, fakes.answer())
        self.put_endpoint("i-2", address=self.other.address, born=1)
        self.copied = self.store.copy()
        for version in range(9, 9 + LOST_CHANGES):
            self.put_configuration(version, {"ratePerS": 0})

    def restore(self):
        """Let the store be away for a moment and lose its latest changes."""
        self.store.mode = "busy"
        gevent.sleep(0.5)
        self.store.restore(self.copied)
        self.store.mode = "well"

    def check_changes(self, host):
        """Check that changes after the restoration are in force in time."""
        self.restore()
        self.put_configuration(20, {"ratePerS": 0}, prefix="/added/")
        leaving = {"state": "draining", "born": 1}
        self.put_endpoint("i-2", address=self.other.address, **leaving)
        gevent.sleep(APPLY_SECONDS)
        known = len(self.other.requests)
        statuses = [
            self.ask(host, f"id-{n}", path="/added/x")[0] for n in range(20)
        ]
        self.assertEqual({200}, set(statuses))
        self.assertEqual(known, len(self.other.requests))

    def test_changes_after_the_restoration_are_in_force(self):
        """Guards against a 404 for a route that the store has confirmed."""
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.check_changes(host)

    def test_changes_reach_an_instance_without_the_store(self):
        """Guards against peers that compare revisions of different eras."""
        reader = self.start(1)
        cut_off = self.start(2, store="127.0.0.1:1")
        for host in (reader, cut_off):
            self.wait_for("the start", lambda host=host: self.is_ready(host))
        self.check_changes(cut_off)

    def test_leaving_that_the_store_has_lost(self):
        """Guards against work for an endpoint whose leaving was lost."""
        leaving = {"state": "draining", "born": 1}
        self.put_endpoint("i-2", address=self.other.address, **leaving)
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.restore()
        end = time.monotonic() + APPLY_SECONDS
        while time.monotonic() < end:
            self.assertEqual(200, self.ask(host)[0])
            gevent.sleep(0.05)
        self.assertEqual(0, len(self.other.requests))

    def test_configuration_does_not_go_back(self):
        """Guards against a route that is refused again by the older copy."""
        self.put_configuration(20, {"ratePerS": 0}, prefix="/added/")
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.restore()
        end = time.monotonic() + APPLY_SECONDS
        while time.monotonic() < end:
            self.assertEqual(200, self.ask(host, path="/added/x")[0])
            gevent.sleep(0.1)

    def start_after_the_restoration(self):
        """Restore the store, start an instance, wait until it may be late."""
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.restore()
        started = self.start(2)
        self.wait_for("the start", lambda: self.is_ready(started))
        gevent.sleep(APPLY_SECONDS)
        return started

    def test_configuration_of_an_instance_that_starts(self):
        """Guards against a start with a configuration older than the peers'.

        The store lacks a version that was in force, and operators have not
        written it again.
        """
        self.put_configuration(20, {"ratePerS": 0}, prefix="/added/")
        host = self.start_after_the_restoration()
        self.assertEqual(200, self.ask(host, path="/added/x")[0])
        _, _, page = self.fetch(host, instances.METRICS, "/metrics")
        self.assertIn(b"citronport_store_lost_items 1", page)

    def test_leaving_that_an_instance_that_starts_has_missed(self):
        """Guards against a start that uses endpoints that are leaving."""
        leaving = {"state": "draining", "coldLeftMs": 0}
        self.put_endpoint("i-1", **leaving)
        self.put_endpoint("i-2", address=self.other.address, born=1, **leaving)
        self.check_nothing_is_sent(self.start_after_the_restoration())

    def test_evacuation_that_an_instance_that_starts_has_missed(self):
        """Guards against a start that uses an evacuated data centre."""
        self.store.put("op/evacuate/a", {})
        self.check_nothing_is_sent(self.start_after_the_restoration())

    def check_nothing_is_sent(self, host):
        """Check that an instance sends no request to any endpoint."""
        known = len(self.endpoint.requests) + len(self.other.requests)
        tasks = [gevent.spawn(self.ask, host, f"id-{n}") for n in range(5)]
        gevent.sleep(1.0)
        sent = len(self.endpoint.requests) + len(self.other.requests)
        gevent.killall(tasks)
        self.assertEqual(known, sent)
