"""Cost of the catalogue and of its changes, by the number of endpoints."""

import copy
import dataclasses
import json
import time
import tracemalloc
from typing import Any

import yaml

from citronport.catalogue import client
from citronport.catalogue import const
from citronport.catalogue import delta
from citronport.catalogue import store
from citronport.instances import messages
from citronport.scheduler import core
from citronport.scheduler import models
from citronport.scheduler import ownership
from measures.capacity import sketch
from measures.capacity import slopes

SIZES = (600, 1500, 3000, 5100)
TARGET_ENDPOINTS = 5100
ENTRIES = 740
DATA_CENTRES = 19
INSTANCES = 510
PATH = const.PATH_CATALOGUE


def make_document(endpoints: int, version: int = 1) -> dict[str, Any]:
    """Return a catalogue whose entries grow with the endpoints."""
    return {
        "version": version,
        "key_salt": "salt-of-the-measure",
        "data_centres": [{"name": f"dc-{n}"} for n in range(DATA_CENTRES)],
        "endpoints": [_make_endpoint(n) for n in range(endpoints)],
        "entries": [
            {
                "name": f"entry-{n}",
                "owner": f"workspace-{n}",
                "class": n % 4,
                "key_sha256": f"{n:064x}",
                "limits": {"concurrency": 40},
            }
            for n in range(ENTRIES * endpoints // TARGET_ENDPOINTS)
        ],
    }


def _make_endpoint(number: int) -> dict[str, Any]:
    return {
        "name": f"engine-{number}",
        "models": [f"model-{number % 6}"],
        "data_centre": f"dc-{number % DATA_CENTRES}",
        "address": f"10.{number // 60000}.{number // 250}.{number % 250}",
        "port": 9000,
        "concurrency": 16,
        "cold_concurrency": 2,
        "prefill_rate": 20000.0,
    }


def make_members() -> dict[str, ownership.Member]:
    """Return the instances of a fleet of the target size."""
    return {
        f"entry-{n}": ownership.Member(
            name=f"entry-{n}", data_centre=f"dc-{n % DATA_CENTRES}"
        )
        for n in range(INSTANCES)
    }


def publish(document: dict[str, Any], text: str = "") -> client.Published:
    """Return a document in the form in which the platform publishes it."""
    return client.Published(
        path=PATH,
        version=document["version"],
        value=text or json.dumps(document),
    )


def measure() -> list[slopes.Series]:
    """Return the series by the number of endpoints."""
    rows = [_measure_one(size) for size in SIZES]
    return [
        slopes.Series(
            name=name,
            by="endpoints",
            sizes=list(SIZES),
            values=[row[name] for row in rows],
            aim=TARGET_ENDPOINTS,
        )
        for name in rows[0]
    ]


def _measure_one(size: int) -> dict[str, float]:
    first = make_document(size)
    second = change(first, 1)
    as_yaml = yaml.safe_dump(first)
    as_json = json.dumps(first)
    row = {"catalogue, bytes of JSON": float(len(as_json))}
    row["whole YAML taken, s"] = _time_apply(publish(first, as_yaml))
    row["whole JSON taken, s"] = _time_apply(publish(first, as_json))
    source = store.Store()
    source.apply(publish(first))
    peer = store.Store()
    peer.apply(publish(first))
    source.apply(publish(second))
    (difference,) = source.find_deltas(PATH, 1)
    encoded = encode(difference)
    row["one change to a peer, bytes"] = float(len(encoded))
    began = time.process_time()
    peer.apply_delta(PATH, difference)
    row["one change taken, s"] = time.process_time() - began
    row.update(_measure_owners(first, source))
    row["control state, MB"] = _measure_memory(as_json)
    return row


def _time_apply(published: client.Published) -> float:
    began = time.process_time()
    store.Store().apply(published)
    return time.process_time() - began


def _measure_owners(
    document: dict[str, Any], holder: store.Store
) -> dict[str, float]:
    owners = ownership.Ownership("entry-0", 0.0)
    members = make_members()
    owners.update_members(members, 1, 0.0)
    places = {e["name"]: e["data_centre"] for e in document["endpoints"]}
    began = time.process_time()
    owners.update_endpoints(places, 0.0)
    start = time.process_time() - began
    members.pop("entry-7")
    began = time.process_time()
    owners.update_members(members, 2, 1.0)
    change_seconds = time.process_time() - began
    scheduler = core.Scheduler("entry-0")
    began = time.process_time()
    assert holder.fleet is not None
    scheduler.handle(models.FleetChanged(fleet=holder.fleet), 0.0)
    scheduler.handle(owners.get_ownership(1.0), 1.0)
    first_fleet_seconds = time.process_time() - began
    fleet = dataclasses.replace(
        holder.fleet,
        version=holder.fleet.version + 1,
        entries=dict(holder.fleet.entries),
    )
    began = time.process_time()
    scheduler.handle(models.FleetChanged(fleet=fleet), 2.0)
    return {
        "owners ranked at a start, s": start,
        "instance gone, owners ranked, s": change_seconds,
        "scheduler told of its first fleet, s": first_fleet_seconds,
        "scheduler told of a change, s": time.process_time() - began,
    }


def _measure_memory(text: str) -> float:
    document = json.loads(text)
    published = client.Published(path=PATH, version=1, value=text)
    tracemalloc.start()
    holder = store.Store()
    holder.apply(published)
    owners = ownership.Ownership("entry-0", 0.0)
    owners.update_members(make_members(), 1, 0.0)
    owners.update_endpoints(
        {e["name"]: e["data_centre"] for e in document["endpoints"]}, 0.0
    )
    scheduler = core.Scheduler("entry-0")
    assert holder.fleet is not None
    scheduler.handle(models.FleetChanged(fleet=holder.fleet), 0.0)
    scheduler.handle(owners.get_ownership(1.0), 1.0)
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (current + len(text)) / 1e6


def change(document: dict[str, Any], count: int) -> dict[str, Any]:
    """Return the next version with the first ``count`` endpoints changed."""
    changed = copy.deepcopy(document)
    changed["version"] += 1
    for endpoint in changed["endpoints"][:count]:
        endpoint["concurrency"] += 1
    return changed


def encode(difference: delta.Delta) -> bytes:
    """Return a delta encoded as a message to a peer."""
    return messages.encode(
        messages.Difference(
            path=PATH,
            base=difference.base,
            version=difference.version,
            fields=difference.fields,
            items=difference.items,
            dropped=difference.dropped,
            checksum=difference.checksum,
        )
    )


def compare_updates() -> dict[str, float]:
    """Compare the size of the full value, deltas and a sketch."""
    first = make_document(TARGET_ENDPOINTS)
    found: dict[str, float] = {}
    for changes in (1, 12, 288):
        second = change(first, changes)
        one = delta.make_delta(first, change(first, 1), 1, 2)
        chain = len(encode(one)) * changes
        began = time.process_time()
        size, rest = sketch.reconcile(first, second)
        seconds = time.process_time() - began
        assert rest == 2 * changes
        found[f"{changes} changes, whole value, bytes"] = len(
            json.dumps(second)
        )
        found[f"{changes} changes, differences, bytes"] = chain
        found[f"{changes} changes, sketch and items, bytes"] = size
        found[f"{changes} changes, sketch, s"] = round(seconds, 4)
    return found
