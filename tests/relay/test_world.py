"""What is in force, out of items of the store that may be wrong."""

import json

import testtools

from citronport import clock
from citronport.platform import models as wire
from citronport.relay import world as world_module
from citronport.scheduler.direct import cold as cold_module
from tests.platform import test_models as wire_samples
from tests.relay import samples

NEVER = float("-inf")


class WorldTest(testtools.TestCase):
    """Items in, typed state out."""

    def setUp(self):
        """Make an empty world."""
        super().setUp()
        self.cold = cold_module.ColdStarts()
        self.gone = []
        self.world = world_module.World(
            self.cold,
            self.gone.append,
            samples.make_log(clock.ManualClock()),
        )
        self.revision = 0

    def put(self, key, value, now=0.0, returned=NEVER):
        """Apply one item."""
        self.revision += 1
        data = None if value is None else json.dumps(value).encode()
        item = wire.Item(key=key, value=data, revision=self.revision)
        self.world.apply([item], now, returned)

    def configure(self, version, now=0.0):
        """Apply a version of the sample configuration."""
        value = {**wire_samples.CONFIGURATION, "version": version}
        self.put("op/config", value, now)

    def enter(self, name, now=0.0, **changes):
        """Apply the entry of an endpoint."""
        entry = {**wire_samples.ENTRY, "coldLeftMs": 0, **changes}
        self.put(f"servers/{name}", entry, now)

    def list_names(self):
        """Return the names of the endpoints that may be used."""
        return sorted(e.name for e in self.world.list_endpoints("llm"))

    def test_version_never_goes_back(self):
        """An older version that arrives late changes nothing."""
        self.configure(7)
        self.configure(5)
        self.assertEqual(7, self.world.configuration.version)

    def test_broken_configuration_leaves_the_one_in_force(self):
        """Callers go on by the last version that could be read."""
        self.configure(7)
        self.put("op/config", {"version": 8})
        self.assertEqual(7, self.world.configuration.version)

    def test_entry_that_turns_broken_names_nobody(self):
        """Another writer spoils an entry: the endpoint is not used."""
        self.enter("a")
        self.enter("b")
        self.enter("a", slots="many")
        self.assertEqual(["b"], self.list_names())
        self.assertEqual(["a"], self.gone)

    def test_leaving_and_evacuated_endpoints_get_nothing(self):
        """Both are out at once; a data centre comes back whole."""
        self.enter("a")
        self.enter("b", zone="b")
        self.put("op/evacuate/b", {})
        self.assertEqual(["a"], self.list_names())
        self.enter("a", state="draining")
        self.assertEqual([], self.list_names())
        self.put("op/evacuate/b", None)
        self.assertEqual(["b"], self.list_names())

    def test_back_from_evacuation_is_cold(self):
        """Its endpoints had no work for a while."""
        self.configure(7)
        self.enter("a")
        self.put("op/evacuate/a", {}, now=5.0)
        self.put("op/evacuate/a", None, now=20.0)
        self.assertTrue(self.cold.is_cold("a", 22.9))
        self.assertFalse(self.cold.is_cold("a", 23.1))

    def test_new_start_is_cold(self):
        """One that was listed at the start of this process is not."""
        self.configure(7)
        self.enter("a", born=1)
        self.assertTrue(self.cold.is_cold("a", 1.0))
        self.enter("a", now=10.0, born=1, version="v2")
        self.assertFalse(self.cold.is_cold("a", 10.5))
        self.enter("a", now=20.0, born=2)
        self.assertTrue(self.cold.is_cold("a", 20.5))
        self.assertEqual(["a"], self.gone)

    def test_lapsed_entry_is_used_for_a_moment(self):
        """The store comes back without an entry that it let lapse.

        Its endpoint lives and enters itself within two seconds. Callers
        are served meanwhile; one that stays out is gone.
        """
        self.enter("a")
        self.enter("b")
        self.put("servers/a", None, now=10.0, returned=9.0)
        self.put("servers/b", None, now=10.0, returned=9.0)
        self.assertEqual(["a", "b"], self.list_names())
        self.enter("a", now=11.0)
        self.world.sweep(11.6)
        self.assertEqual(["a"], self.list_names())

    def test_entry_removed_in_calm_times_is_gone_at_once(self):
        """No outage, no doubt."""
        self.enter("a")
        self.put("servers/a", None, now=10.0)
        self.assertEqual([], self.list_names())

    def test_endpoint_that_restarted_is_not_the_chosen_one(self):
        """A place booked on the former start can't be used any more."""
        self.enter("a", born=1)
        before = self.world.endpoints["a"]
        self.enter("a", born=2)
        self.assertFalse(self.world.may_use(before))
        self.assertTrue(self.world.may_use(self.world.endpoints["a"]))
