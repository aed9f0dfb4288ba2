"""Parts of prompts that crash endpoints, among sound requests."""

import http.client
import itertools
import urllib.error

import gevent

from tests.relay import engines
from tests.relay import instances

STABLE_SECONDS = 3.0
"""Time after the fifth crash by which all instances know of the part."""

CRASHES = 5
"""Crashes after which the part counts as known."""

ALLOWED_SENDS = 3
"""Sends of requests with that part that are allowed after that time."""

SOUND_SHARE = 0.5
"""Share of the sound requests that must be served then."""


class CrashingPartTest(instances.InstanceCase):
    """Three instances and six engines, with sound requests all the time."""

    def setUp(self):
        """Start engines, instances and the sound requests."""
        super().setUp()
        self.store.delete("servers/i-1")
        self.put_configuration(8, {"ratePerS": 10**7, "burst": 10**7})
        self.engines = [engines.Engine(self, n) for n in range(6)]
        self.hosts = self.start_all(3)
        self.statuses = []
        load = gevent.spawn(self.send_sound_requests)
        self.addCleanup(load.kill)
        gevent.sleep(1.0)

    def count_crashes(self):
        """Return the number of crashes of all engines."""
        return sum(e.crashes for e in self.engines)

    def count_sends(self):
        """Return the requests with the part that reached engines."""
        return sum(e.sends for e in self.engines)

    def ask_with_parts(self, host, *parts):
        """Send a request that no other one equals; return its status."""
        number = next(self.numbers)
        prefix = ",".join(f"{p}:20" for p in (*parts, f"own{number}"))
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": f"id-{number}",
            "X-Api-Key": "key-1",
            "X-Deadline-Ms": "3000",
            "X-Token-Counts": "60,60",
            "X-Prompt-Prefix": prefix,
        }
        port = instances.PORTS["callers"]
        try:
            return self.fetch(host, port, f"/review/{number}", **headers)[0]
        except (http.client.HTTPException, OSError, urllib.error.URLError):
            # The answer was cut.
            return 0

    def ask_sound(self, host, *parts):
        """Send a sound request and record its status."""
        self.statuses.append(self.ask_with_parts(host, *parts))

    def send_sound_requests(self):
        """Send requests that share all parts but one with crashing ones."""
        for number in itertools.count():
            host = self.hosts[number % len(self.hosts)]
            gevent.spawn(self.ask_sound, host, "common", f"p{number % 5}")
            gevent.sleep(0.05)

    def send_crashing(self, seconds, hosts):
        """Send unlike requests with the part, first or in the middle."""
        asks = []
        for number in range(int(seconds / 0.2)):
            parts = [
                ("common", engines.CRASHING, f"p{number % 5}"),
                (engines.CRASHING, f"p{number % 4}"),
                ("common", f"p{number % 3}", engines.CRASHING),
            ][number % 3]
            host = hosts[number % len(hosts)]
            asks.append(gevent.spawn(self.ask_with_parts, host, *parts))
            gevent.sleep(0.2)
        gevent.joinall(asks)

    def crash_until_known(self):
        """Send crashing requests until all instances have to know them."""
        self.send_crashing(STABLE_SECONDS, self.hosts)
        gevent.sleep(STABLE_SECONDS)

    def test_unlike_requests_with_one_part_do_not_go_on_crashing(self):
        """Guards against a prompt part that crashes engine after engine."""
        self.crash_until_known()
        before = self.count_sends()
        self.statuses.clear()
        self.send_crashing(4.0, self.hosts)
        self.assertLessEqual(self.count_sends() - before, ALLOWED_SENDS)
        served = self.statuses.count(200)
        self.assertGreaterEqual(served, SOUND_SHARE * len(self.statuses))

    def test_few_endpoints_crash_before_the_part_is_known(self):
        """Guards against more crashes than it takes to know the part."""
        self.crash_until_known()
        # Requests on their way while the last crash is made known.
        self.assertLessEqual(self.count_crashes(), CRASHES + ALLOWED_SENDS)

    def test_instance_that_starts_later_knows_the_part(self):
        """Guards against a new instance that sends a barred part again."""
        self.crash_until_known()
        host = self.start(4)
        self.wait_for("the start", lambda: self.is_ready(host))
        before = self.count_sends()
        self.send_crashing(3.0, [host])
        self.assertLessEqual(self.count_sends() - before, ALLOWED_SENDS)

    def test_other_crashes_bar_nothing(self):
        """Guards against refusing sound requests that were only there."""
        for engine in (self.engines * 2)[:10]:
            engine.crash()
            gevent.sleep(0.25)
        gevent.sleep(engines.DOWN_SECONDS + 0.5)
        self.statuses.clear()
        gevent.sleep(2.0)
        self.assertEqual({200}, set(self.statuses))
        for number in (1, 2, 3):
            barred = [
                line
                for line in self.read_log(number)
                if line["event"].endswith("_barred")
            ]
            self.assertEqual([], barred)
