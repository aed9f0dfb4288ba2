"""Tests of the decoders of the store's values."""

import copy
import json

import testtools

from citronport.platform import models
from citronport.scheduler.direct import models as scheduler_models

ROUTE = {
    "name": "r1",
    "host": "Shop.Example",
    "prefix": "/review/",
    "kind": "streaming",
    "timeoutMs": 15000,
    "targetLatencyMs": 800,
    "priority": 0,
    "trafficSplit": [
        {"service": "llm", "weight": 90},
        {"service": "spare", "weight": 0},
    ],
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 250,
    "newField": {"ignored": True},
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "llm",
            "healthPath": "/healthz",
            "maxConns": 360,
            "coldStartS": 3.0,
            "coldPerS": 11.0,
            "engine": {"slots": 8, "kvCapacity": 1000, "stride": 6},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {
            "name": "shop",
            "apiKeys": ["key-1"],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 1000,
            "burst": 500,
        }
    ],
}
ENTRY = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 1500,
    "seq": 4,
}


class ConfigurationTest(testtools.TestCase):
    """Decoding of the operators' configuration."""

    def parse(self, **changes):
        """Decode the sample configuration with changed fields."""
        raw = {**copy.deepcopy(CONFIGURATION), **changes}
        return models.parse_configuration(json.dumps(raw).encode())

    def test_complete_configuration(self):
        """Milliseconds become seconds, wire names become attributes."""
        found = self.parse().unwrap()
        route = found.routes[0]
        self.assertEqual(scheduler_models.RepeatPolicy.STREAM, route.repeat)
        self.assertEqual("shop.example", route.host)
        self.assertEqual(
            (15.0, 0.8, 0.25), (route.timeout, route.objective, route.max_gap)
        )
        self.assertEqual(["llm"], [s.service for s in route.shares])
        self.assertEqual({"key-1": "shop"}, found.keys)
        self.assertTrue(found.workspaces["shop"].counts_tokens)
        self.assertEqual(6, found.services["llm"].engine.event_tokens)

    def test_missing_tenants_disable_keys(self):
        """Missing tenants disable keys; an empty list rejects every key."""
        self.assertIsNone(self.parse(tenants=None).unwrap().keys)
        self.assertEqual({}, self.parse(tenants=[]).unwrap().keys)

    def test_invalid_values(self):
        """A wrong value invalidates the configuration and is located."""
        for route in (
            {**ROUTE, "kind": "unheard-of"},
            {**ROUTE, "timeoutMs": "soon"},
            {**ROUTE, "trafficSplit": []},
        ):
            self.assertTrue(self.parse(routes=[route]).is_err())
        reason = self.parse(version="seven").unwrap_err()
        self.assertIn("version", reason)

    def test_error_contains_no_key(self):
        """The reason, which is logged, never contains a caller's key."""
        tenant = {"name": 5, "apiKeys": ["key-secret"]}
        reason = self.parse(tenants=[tenant]).unwrap_err()
        self.assertNotIn("key-secret", reason)


class EndpointTest(testtools.TestCase):
    """Decoding of endpoint records, which any party may write."""

    def parse(self, **changes):
        """Decode the sample record with changed fields."""
        raw = {**ENTRY, **changes}
        raw = {k: v for k, v in raw.items() if v is not ...}
        return models.parse_endpoint("servers/i-1", json.dumps(raw).encode())

    def test_complete_record(self):
        """The name comes from the key, and times become seconds."""
        found = self.parse(born=1700).unwrap()
        self.assertEqual(("i-1", 1700), found.start_id)
        self.assertEqual(1.5, found.cold_seconds)
        self.assertEqual("v1", found.software)
        self.assertFalse(found.leaving)
        self.assertTrue(self.parse(state="draining").unwrap().leaving)

    def test_invalid_records(self):
        """Missing fields, wrong types and values, and invalid JSON fail."""
        for changes in (
            {"service": ...},
            {"slots": "8"},
            {"slots": 0},
            {"state": "resting"},
            {"address": "host:80"},
            {"address": 5},
            {"address": "10.0.0.1:80\n"},
            {"address": "10.0.0.1:\u0668\u0660"},
            {"state": "ready\n"},
            {"coldLeftMs": float("nan")},
            {"coldLeftMs": float("inf")},
            {"born": "today"},
            {"version": ...},
            {"version": 2},
        ):
            self.assertTrue(self.parse(**changes).is_err(), changes)
        self.assertTrue(models.parse_endpoint("servers/x", b"\xff{").is_err())
