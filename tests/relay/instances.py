"""Instances as processes with a fake store, for tests."""

import itertools
import json
import pathlib
import tempfile
import time
import urllib.error
import urllib.request

import gevent
import testtools

from standins import processes
from tests import addresses
from tests.platform import test_models as wire_samples
from tests.relay import fakes

PORTS = {
    "callers": 8221,
    "readiness": 8224,
    "lookups": 8220,
    "peers": 8229,
}
REPORTS, METRICS = 7600, 9464
SECONDS = 8.0
"""Timeout for steps that should be nearly instant."""


class InstanceCase(testtools.TestCase):
    """Test case with a store that holds a configuration, and an endpoint.

    Attributes:
        program: module that runs an instance.
        scheduling: optional rules of scheduling in the settings, as YAML.
        bounds: bounds in the settings, as YAML.
        resources: memory and descriptors in the settings, as lines of YAML.
    """

    program = "citronport"
    scheduling = ""
    bounds = "grace_seconds: 8, retry_ratio: 0.2"
    resources = ()

    def setUp(self):
        """Start a store with a configuration, and an endpoint."""
        super().setUp()
        self.subnet = addresses.choose_subnet(14)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.numbers = itertools.count()
        self.running = processes.Processes(self.folder)
        self.running.__enter__()
        self.addCleanup(self.running.__exit__)
        self.store = fakes.Store(self)
        self.endpoint = fakes.Endpoint(self, fakes.answer())
        self.put_configuration(7)
        self.put_endpoint()

    def put_configuration(self, version, tenant=None, limits=None, **changes):
        """Publish a version of the sample configuration.

        Args:
            version: its number.
            tenant: fields of the workspace that differ.
            limits: limits on callers that differ.
            changes: fields of the route that differ.
        """
        route = {
            **wire_samples.ROUTE,
            "trafficSplit": [{"service": "llm", "weight": 1}],
            **changes,
        }
        value = {
            **wire_samples.CONFIGURATION,
            "version": version,
            "routes": [route],
            "limits": {
                **wire_samples.CONFIGURATION["limits"],
                **(limits or {}),
            },
            "tenants": [
                {**wire_samples.CONFIGURATION["tenants"][0], **(tenant or {})}
            ],
        }
        self.store.put("op/config", value)

    def put_endpoint(self, name="i-1", **changes):
        """Add an endpoint to the list in the store."""
        entry = {
            **wire_samples.ENTRY,
            "address": self.endpoint.address,
            "coldLeftMs": 0,
            **changes,
        }
        self.store.put(f"servers/{name}", entry)

    def start(self, number, store=None):
        """Start an instance and wait until it listens."""
        host = self.launch(number, store)
        processes.wait_for_port(host, METRICS)
        return host

    def launch(self, number, store=None):
        """Start an instance without waiting for it."""
        host = f"127.{self.subnet}.{number}"
        lines = [f"{k}: {host}:{port}" for k, port in PORTS.items()]
        text = "\n".join(
            (
                f"instance: entry-{number}",
                "data_centre: a",
                f"store: {store or self.store.address}",
                f"seeds: 127.{self.subnet}.1:{PORTS['peers']}",
                f"reports: {REPORTS}",
                f"metrics: {METRICS}",
                f"bounds: {{{self.bounds}}}",
                f"scheduling: {{{self.scheduling}}}",
                *lines,
                *self.resources,
            )
        )
        path = self.folder / f"entry-{number}.yaml"
        path.write_text(text + "\n")
        self.running.start(f"entry-{number}", self.program, "relay", str(path))
        return host

    def start_all(self, number):
        """Start instances that know each other."""
        hosts = [self.start(n + 1) for n in range(number)]
        for host in hosts:
            self.wait_for(
                "peer discovery",
                lambda host=host: len(self.lookup(host)) == number,
            )
        return hosts

    def fetch(self, host, port, target, **headers):
        """Return status, headers and body of a GET or POST."""
        request = urllib.request.Request(
            f"http://{host}:{port}{target}",
            headers=headers,
            method="POST" if headers else "GET",
        )
        try:
            with urllib.request.urlopen(request, timeout=SECONDS) as answer:
                return answer.status, answer.headers, answer.read()
        except urllib.error.HTTPError as error:
            return error.code, error.headers, error.read()

    def ask(self, host, request_id="id-1", key="key-1", path="/review/x"):
        """Send a request as a caller; return status, headers and body."""
        return self.fetch(
            host,
            PORTS["callers"],
            path,
            **{
                "Host": "shop.example",
                "X-Attempt-Id": request_id,
                "X-Api-Key": key,
                "X-Deadline-Ms": "6000",
                "X-Token-Counts": "100,10",
            },
        )

    def apply_load(self, hosts, seconds, rate):
        """Send requests to some instances in turn; return their statuses.

        Args:
            hosts: the instances.
            seconds: how long to send requests.
            rate: requests per second.
        """
        end = time.monotonic() + seconds
        asks = []
        for host in itertools.cycle(hosts):
            if time.monotonic() >= end:
                break
            asks.append(gevent.spawn(self.ask_once, host))
            gevent.sleep(1 / rate)
        gevent.joinall(asks)
        return [task.value for task in asks]

    def ask_once(self, host):
        """Send a request that was not sent before; return the status."""
        number = next(self.numbers)
        path = f"/review/{number}"
        return self.ask(host, f"id-{number}", path=path)[0]

    def lookup(self, host):
        """Return the addresses in the answer to a lookup."""
        target = "/citronport/resolve?name=shop.example&region=r&zone=a"
        status, _, body = self.fetch(host, PORTS["lookups"], target)
        return json.loads(body)["addresses"] if status == 200 else []

    def is_ready(self, host):
        """Return whether an instance reports that it is ready."""
        status, _, _ = self.fetch(
            host, PORTS["readiness"], "/citronport/readyz"
        )
        return status == 200

    def wait_for(self, what, check):
        """Wait until a check returns true; fail after ``SECONDS``."""
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            if check():
                return
            gevent.sleep(0.05)
        self.fail(f"{what} took too long")

    def read_log(self, number):
        """Return the events in the log of an instance."""
        text = (self.folder / f"entry-{number}.log").read_text()
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{"at"')
        ]
