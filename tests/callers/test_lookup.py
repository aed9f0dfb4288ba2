"""Tests of the entry lookup."""

import collections

import testtools

from citronport import clock
from citronport.callers import lookup
from citronport.catalogue import store
from citronport.scheduler import models


def make_published(instances):
    """Return a store with three data centres and three workspaces."""
    published = store.Store()
    published.instances = {
        f"entry-{n}": models.Instance(
            name=f"entry-{n}",
            data_centre=f"dc-{n % 3}",
            address=f"127.50.20.{n}",
            caller_port=8000,
            peer_port=8001,
        )
        for n in range(instances)
    }
    weights = {"large": 8.0, "small-1": 1.0, "small-2": 1.0}
    published.fleet = models.Fleet(
        version=1,
        data_centres={f"dc-{n}": models.Service.IN for n in range(3)},
        endpoints={
            "engine": models.Endpoint(
                name="engine",
                kind=models.Kind.ENGINE,
                models=("m",),
                data_centre="dc-0",
                address="127.50.20.200:1",
            )
        },
        entries={
            name: models.Entry(
                name=name, workspace=name, tier=0, weight=weight
            )
            for name, weight in weights.items()
        },
    )
    return published


class DirectoryTest(testtools.TestCase):
    """Selection and order of the entries."""

    def setUp(self):
        """Create a directory of twelve entries."""
        super().setUp()
        self.published = make_published(12)
        self.leaving = False
        self.unreachable = frozenset()
        self.owners = {}
        self.directory = lookup.Directory(
            self.published,
            "entry-0",
            lambda: self.leaving,
            lambda: self.unreachable,
            lambda: self.owners,
            clock.ManualClock(),
        )

    def count_first(self, workspace):
        """Return for how many of 300 callers each entry is the first."""
        return collections.Counter(
            self.directory.find(workspace, caller=str(n))[0]
            for n in range(300)
        )

    def test_spread_follows_the_share_of_the_workspace(self):
        """A large workspace uses all entries, a small one only a few."""
        self.assertEqual(12, len(self.count_first("large")))
        small = self.count_first("small-1")
        self.assertEqual(3, len(small))
        self.assertGreater(min(small.values()), 60)

    def test_a_caller_keeps_its_entry(self):
        """The same caller always gets the same order."""
        orders = {
            self.directory.find("large", caller="press-4") for _ in range(5)
        }
        self.assertEqual(1, len(orders))

    def test_unavailable_entries_are_omitted(self):
        """Leaving, unreachable and out-of-service entries are omitted."""
        self.unreachable = frozenset({"entry-1"})
        self.leaving = True
        self.published.fleet.data_centres["dc-2"] = models.Service.OUT
        found = self.directory.find("large")
        numbers = {address.split(":")[0].split(".")[-1] for address in found}
        self.assertEqual({"3", "4", "6", "7", "9", "10"}, numbers)
        self.assertEqual(6, len(self.directory.list_others()))

    def test_owners_of_a_model_come_first(self):
        """Within its window a caller starts at an entry that owns the model.

        Any other entry would have to relay the response.
        """
        chosen = next(iter(self.count_first("small-1")))
        name = f"entry-{chosen.split(':')[0].split('.')[-1]}"
        self.owners = {"engine": name}
        self.directory = lookup.Directory(
            self.published,
            "entry-0",
            lambda: False,
            lambda: frozenset(),
            lambda: self.owners,
            clock.ManualClock(),
        )
        firsts = {
            self.directory.find("small-1", model="m", caller=str(n))[0]
            for n in range(20)
        }
        self.assertEqual({chosen}, firsts)
