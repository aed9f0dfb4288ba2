"""Tests of published values and their deltas."""

import copy
import json

import testtools
import yaml

from citronport.catalogue import client
from citronport.catalogue import const
from citronport.catalogue import delta
from citronport.catalogue import store

PATH = const.PATH_CATALOGUE


def make_document(version, names):
    """Return a catalogue with some endpoints."""
    return {
        "version": version,
        "key_salt": "salt-of-the-test",
        "data_centres": [{"name": "dc-1"}],
        "endpoints": [
            {
                "name": name,
                "models": ["m"],
                "data_centre": "dc-1",
                "address": f"127.0.0.{number + 1}",
                "port": 9000,
            }
            for number, name in enumerate(names)
        ],
        "entries": [],
    }


def publish(document):
    """Return a document in the form that the platform publishes."""
    return client.Published(
        path=PATH, version=document["version"], value=json.dumps(document)
    )


class StoreTest(testtools.TestCase):
    """Versions only increase, and invalid values are not applied."""

    def setUp(self):
        """Apply two versions; the second changes and removes an endpoint."""
        super().setUp()
        self.first = make_document(1, ["a", "b", "c"])
        self.second = make_document(2, ["a", "b"])
        self.second["endpoints"][1]["state"] = "leaving"
        self.store = store.Store()
        self.store.apply(publish(self.first))
        self.store.apply(publish(self.second))

    def test_delta_produces_the_same_value(self):
        """A peer that is one version behind gets only the changes."""
        peer = store.Store()
        peer.apply(publish(self.first))
        (change,) = self.store.find_deltas(PATH, 1)
        self.assertEqual(["b"], [i["name"] for i in change.items["endpoints"]])
        self.assertEqual(["c"], change.dropped["endpoints"])
        self.assertTrue(peer.apply_delta(PATH, change))
        self.assertEqual(self.store.fleet, peer.fleet)

    def test_value_for_a_peer(self):
        """Guards against a peer that can't read a value written as YAML."""
        text = yaml.safe_dump(make_document(3, ["a", "d"]))
        published = client.Published(path=PATH, version=3, value=text)
        self.assertTrue(self.store.apply(published))
        peer = store.Store()
        self.assertFalse(peer.apply_from_peer(published))
        self.assertTrue(peer.apply_from_peer(self.store.get(PATH)))
        self.assertEqual(self.store.get(PATH), peer.get(PATH))

    def test_value_under_another_path(self):
        """Guards against values that replace others under any name."""
        value = json.dumps(make_document(9, ["z"]))
        odd = client.Published(path="/v1/other", version=9, value=value)
        self.assertFalse(self.store.apply_from_peer(odd))

    def test_delta_to_another_document_is_rejected(self):
        """The checksum detects different values under the same version.

        The platform published version 1 twice. Without the checksum the
        delta would be applied to the wrong value, and nobody would notice.
        """
        other = copy.deepcopy(self.first)
        other["endpoints"][0]["port"] = 9001
        peer = store.Store()
        peer.apply(publish(other))
        (change,) = self.store.find_deltas(PATH, 1)
        self.assertFalse(peer.apply_delta(PATH, change))
        self.assertEqual(1, peer.get_versions()[PATH])

    def test_older_and_invalid_values_are_ignored(self):
        """A stale value, a late delta and an invalid edit are ignored."""
        fleet = self.store.fleet
        (change,) = self.store.find_deltas(PATH, 1)
        bad = make_document(3, ["a", "a"])
        with self.assertLogs(level="ERROR"):
            self.assertFalse(self.store.apply(publish(bad)))
        self.assertFalse(self.store.apply(publish(self.first)))
        self.assertTrue(self.store.apply_delta(PATH, change))
        self.assertIs(fleet, self.store.fleet)

    def test_version_older_than_the_kept_deltas(self):
        """A peer that is too far behind gets no deltas."""
        self.assertEqual([], self.store.find_deltas(PATH, 0))

    def test_order_of_items_does_not_matter(self):
        """The checksum of a value does not depend on the items' order."""
        reordered = copy.deepcopy(self.second)
        reordered["endpoints"].reverse()
        self.assertEqual(
            delta.compute_checksum(delta.dump(self.second)),
            delta.compute_checksum(delta.dump(reordered)),
        )
