"""Defines a fleet on loopback addresses and starts its processes."""

import dataclasses
import signal
from typing import Any

import geventhttpclient
import yaml

from citronport.catalogue import models as catalogue_models
from standins import processes

CALLER_PORT = 8000
PEER_PORT = 8001
OPERATOR_PORT = 8002
ENDPOINT_PORT = 9000
PLATFORM_PORT = 9100
KEY_SALT = "loopback-salt"

PATH_CATALOGUE = "/v1/catalogue"
PATH_INSTANCES = "/v1/instances"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Layout:
    """Description of a fleet.

    Attributes:
        subnet: second and third octet of all addresses, as "31.7"; fleets
            that run at the same time need different ones.
        data_centres: names.
        instances: number of instances.
        engines: shapes (fields of ``engine.Shape``), with "models".
        services: service names.
        entries: catalogue entries; "key" is the unhashed key.
        traced: whether the instances write their spans to files.
        trace_events: whether the instances write their event traces.
    """

    subnet: str
    data_centres: tuple[str, ...]
    instances: int
    engines: tuple[dict[str, Any], ...]
    services: tuple[str, ...]
    entries: tuple[dict[str, Any], ...]
    traced: bool = False
    trace_events: bool = True


class Fleet:
    """The processes of a layout and the values that the platform publishes."""

    def __init__(self, layout: Layout, running: processes.Processes) -> None:
        self.layout = layout
        self.running = running
        self.folder = running.folder
        self.platform = f"127.{layout.subnet}.250"
        self.versions = {PATH_CATALOGUE: 0, PATH_INSTANCES: 0}
        self.instances = [
            self._make_instance(n) for n in range(layout.instances)
        ]
        self.endpoints = [
            self._make_endpoint(n, shape)
            for n, shape in enumerate(layout.engines)
        ] + [
            self._make_service(n, name)
            for n, name in enumerate(layout.services)
        ]
        self.entries = list(layout.entries)
        self._catalogues: list[str] = []
        self.data_centres = [
            {"name": name, "state": "in"} for name in layout.data_centres
        ]

    def start(self) -> None:
        """Start all processes and wait until they listen."""
        self.start_platform()
        for number in range(len(self.endpoints)):
            self.start_endpoint(number)
        for instance in self.instances:
            self.start_instance(instance["name"])
        for endpoint in self.endpoints:
            processes.wait_for_port(endpoint["address"], ENDPOINT_PORT)
        for instance in self.instances:
            processes.wait_for_port(instance["address"], CALLER_PORT)

    def start_platform(self) -> None:
        """Start the stand-in platform; publish catalogue and instance list."""
        self.running.start(
            "platform",
            "standins",
            "platform",
            self.platform,
            str(PLATFORM_PORT),
            f"--record_file={self.folder / 'platform.jsonl'}",
        )
        processes.wait_for_port(self.platform, PLATFORM_PORT)
        self.publish_catalogue()
        self.publish_instances()

    def start_endpoint(self, number: int) -> None:
        """Start a stand-in engine or service by its index."""
        endpoint = self.endpoints[number]
        record = self.folder / f"{endpoint['name']}.jsonl"
        common = (
            endpoint["address"],
            str(ENDPOINT_PORT),
            f"--name={endpoint['name']}",
            f"--record_file={record}",
        )
        if endpoint["kind"] == "service":
            self.running.start(
                endpoint["name"], "standins", "service", *common
            )
            return
        shape = self.layout.engines[number]
        flags = [
            f"--{key}={value}"
            for key, value in shape.items()
            if key not in ("name", "models", "data_centre")
        ]
        self.running.start(
            endpoint["name"], "standins", "engine", *common, *flags
        )

    def start_instance(self, name: str) -> None:
        """Write an instance's settings file and start the instance."""
        instance = next(i for i in self.instances if i["name"] == name)
        path = self.folder / f"{name}.yaml"
        listeners = {
            part: {"address": instance["address"], "port": port}
            for part, port in (
                ("callers", CALLER_PORT),
                ("peers", PEER_PORT),
                ("operators", OPERATOR_PORT),
            )
        }
        settings = {
            "instance": name,
            "data_centre": instance["data_centre"],
            **listeners,
            "platform": [
                {
                    "address": self.get_published_address(self.platform),
                    "port": PLATFORM_PORT,
                }
            ],
        }
        if self.layout.traced:
            settings["trace_file"] = str(self.folder / f"{name}.spans.jsonl")
        if self.layout.trace_events:
            settings["event_file"] = str(self.folder / f"{name}.events.jsonl")
        path.write_text(yaml.safe_dump(settings))
        self.run_instance(name, str(path))

    def run_instance(self, name: str, settings_file: str) -> None:
        """Start the process of an instance."""
        self.running.start(name, "citronport", "serve", settings_file)

    def get_published_address(self, address: str) -> str:
        """Return the address to publish for a real address."""
        return address

    def publish_catalogue(self) -> None:
        """Publish the next version of the catalogue."""
        self.versions[PATH_CATALOGUE] += 1
        catalogue = {
            "version": self.versions[PATH_CATALOGUE],
            "key_salt": KEY_SALT,
            "data_centres": self.data_centres,
            "endpoints": [
                self._with_published_address(e) for e in self.endpoints
            ],
            "entries": [_replace_key_by_hash(e) for e in self.entries],
        }
        text = yaml.safe_dump(catalogue)
        self._catalogues.append(text)
        self._put(PATH_CATALOGUE, text)

    def republish_previous_catalogue(self) -> None:
        """Publish the last but one catalogue again, to simulate a fault."""
        version = len(self._catalogues) - 1
        _post(
            self.platform,
            PLATFORM_PORT,
            f"/admin/put?path={PATH_CATALOGUE}&version={version}",
            self._catalogues[-2],
        )

    def publish_instances(self) -> None:
        """Publish the next version of the instance list."""
        self.versions[PATH_INSTANCES] += 1
        listed = {
            "version": self.versions[PATH_INSTANCES],
            "instances": [
                self._with_published_address(i) for i in self.instances
            ],
        }
        self._put(PATH_INSTANCES, yaml.safe_dump(listed))

    def set_data_centre(self, name: str, state: str) -> None:
        """Take a data centre in or out of service."""
        for data_centre in self.data_centres:
            if data_centre["name"] == name:
                data_centre["state"] = state
        self.publish_catalogue()

    def set_platform(self, mode: str) -> None:
        """Set the platform's mode: "down", "stale" or "up"."""
        _post(self.platform, PLATFORM_PORT, f"/admin/mode?mode={mode}", "")

    def post_to_engine(self, name: str, path: str) -> None:
        """Send an admin request to an engine at its real address."""
        found = next(e for e in self.endpoints if e["name"] == name)
        _post(found["address"], ENDPOINT_PORT, path, "")

    def stop_instances(self, seconds: float = 30.0) -> list[int | None]:
        """Stop all running instances gracefully; return their exit codes."""
        names = [i["name"] for i in self.instances]
        live = [n for n in names if self.running.is_running(n)]
        for name in live:
            self.running.signal(name, signal.SIGTERM)
        return [self.running.wait(name, seconds) for name in live]

    def get_callers_addresses(self) -> list[str]:
        """Return the "ip:port" of each instance for callers."""
        return [
            f"{self.get_published_address(i['address'])}:{CALLER_PORT}"
            for i in self.instances
        ]

    def _with_published_address(self, item: dict[str, Any]) -> dict[str, Any]:
        return {**item, "address": self.get_published_address(item["address"])}

    def _put(self, path: str, value: str) -> None:
        query = f"path={path}&version={self.versions[path]}"
        order = f"/admin/put?{query}"
        _post(self.platform, PLATFORM_PORT, order, value)

    def _make_instance(self, number: int) -> dict[str, Any]:
        centres = self.layout.data_centres
        return {
            "name": f"entry-{number + 1}",
            "data_centre": centres[number % len(centres)],
            "address": f"127.{self.layout.subnet}.{number + 1}",
            "caller_port": CALLER_PORT,
            "peer_port": PEER_PORT,
            "operator_port": OPERATOR_PORT,
            "state": "in",
        }

    def _make_endpoint(
        self, number: int, shape: dict[str, Any]
    ) -> dict[str, Any]:
        centres = self.layout.data_centres
        known = {
            "concurrency": shape.get("batch", 8),
            "cold_concurrency": shape.get("cold_concurrency", 1),
            "cold_prompt_tokens": shape.get("cold_prompt_tokens", 2000),
            "prefill_rate": shape.get("prefill_rate", 20000.0),
            "decode_rate": shape.get("decode_rate", 200.0),
            "cache_tokens": shape.get("cache_tokens", 100_000),
        }
        return {
            "name": shape["name"],
            "kind": "engine",
            "models": list(shape["models"]),
            "data_centre": shape.get(
                "data_centre", centres[number % len(centres)]
            ),
            "address": f"127.{self.layout.subnet}.{number + 101}",
            "port": ENDPOINT_PORT,
            "state": "in",
            **known,
        }

    def _make_service(self, number: int, name: str) -> dict[str, Any]:
        return {
            "name": name,
            "kind": "service",
            "models": [name],
            "data_centre": self.layout.data_centres[0],
            "address": f"127.{self.layout.subnet}.{number + 201}",
            "port": ENDPOINT_PORT,
            "concurrency": 32,
            "cold_concurrency": 32,
            "state": "in",
        }


def _post(address: str, port: int, path: str, body: str) -> None:
    client = geventhttpclient.HTTPClient(address, port)
    client.post(path, body).read()
    client.close()


def _replace_key_by_hash(entry: dict[str, Any]) -> dict[str, Any]:
    shown = {k: v for k, v in entry.items() if k != "key"}
    shown["key_sha256"] = catalogue_models.hash_key(KEY_SALT, entry["key"])
    return shown
