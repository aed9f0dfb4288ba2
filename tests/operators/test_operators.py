"""Tests of the operators' interface and commands with real processes."""

import json
import signal
import subprocess
import sys

import geventhttpclient
import testtools

from standins import caller
from standins import fleet
from standins import journal
from tests import addresses
from tests import fleets

LAYOUT = fleet.Layout(
    subnet=addresses.choose_subnet(0),
    data_centres=("dc-1", "dc-2"),
    instances=2,
    engines=({"name": "engine-1", "models": ("small",), "cold_seconds": 0.1},),
    services=(),
    entries=(
        {"name": "floor", "owner": "extruder-1", "class": 1, "key": "key-1"},
    ),
    traced=True,
)
CHAT = "/v1/chat/completions"
PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
OTHER_PARENT = PARENT.replace("af", "be")
OWNER_SPANS = ("admission", "queue", "dispatch", "stream")


def call(address, path, method="GET"):
    """Send an HTTP request; return the status code and the body."""
    host, port = address.split(":")
    client = geventhttpclient.HTTPClient(host, int(port), network_timeout=10)
    answer = client.request(method, path)
    body = bytes(answer.read())
    client.close()
    return answer.status_code, body.decode()


def run_program(*arguments):
    """Run a command of the program; return its exit code and output."""
    done = subprocess.run(
        [sys.executable, "-m", "citronport", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
    )
    return done.returncode, done.stdout


class OperatorsTest(testtools.TestCase):
    """Status, metrics, traces and drain of two instances and one engine."""

    def setUp(self):
        """Start the fleet and find the owner of the engine."""
        super().setUp()
        self.fleet = fleets.start_fleet(self, LAYOUT)
        self.operators = [
            f"{i['address']}:{fleet.OPERATOR_PORT}"
            for i in self.fleet.instances
        ]
        self.callers = self.fleet.get_callers_addresses()
        self.body = caller.make_chat("small", "what is due?", 5)
        for address in self.callers:
            self.send(address)
        statuses = [json.loads(call(a, "/status")[1]) for a in self.operators]
        self.owner = 0 if statuses[0]["endpoints"] else 1

    def send(self, address, **headers):
        """Send a chat request and check that its response is complete."""
        outcome = caller.send_until_run(
            address, "key-1", CHAT, self.body, headers=headers
        )
        self.assertTrue(outcome.whole)
        return outcome

    def stop(self, number, *names):
        """Send a signal to instances and wait for their exit."""
        for name in names:
            self.fleet.running.signal(name, number)
            self.assertIsNotNone(self.fleet.running.wait(name, 20))

    def read_spans(self, trace_id):
        """Return the spans of a trace from all instances, by start time."""
        spans = [
            json.loads(line)
            for path in self.fleet.folder.glob("*.spans.jsonl")
            for line in path.read_text().splitlines()
        ]
        self.assertIn("lookup", {s["name"] for s in spans})
        found = [s for s in spans if s["trace_id"] == trace_id]
        return sorted(found, key=lambda s: s["start_ns"])

    def check_spans(self, spans, instance, hops, parent):
        """Check one instance's spans of a trace; return them by name."""
        own = [s for s in spans if s["instance"] == instance]
        names = [s["name"] for s in own]
        self.assertEqual(["request", *hops], names)
        root = own[0]
        self.assertEqual(parent, root["parent_id"])
        for span in own[1:]:
            self.assertEqual(root["span_id"], span["parent_id"])
        return {s["name"]: s for s in own}

    def check_metrics(self):
        """Check that the metrics count the responses to callers."""
        caller.send(self.callers[0], "wrong-key", CHAT, self.body)
        code, body = call(self.operators[0], "/metrics")
        self.assertEqual(200, code)
        for line in (
            'citronport_requests_total{outcome="whole",tier="1"} 1',
            'citronport_refusals_total{code="1002"} 1',
            'citronport_first_token_seconds_count{tier="1"} 1.0',
            "citronport_catalogue_version 1",
            "citronport_peer_links 1",
            'citronport_platform_reads_total{outcome="changed",'
            'path="/v1/catalogue"} 1',
        ):
            self.assertIn(f"{line}\n", body)

    def test_forwarded_request_is_one_trace(self):
        """All hops of a forwarded request have spans in the caller's trace.

        The caller sends to the instance that does not own the engine. That
        instance admits and forwards the request; the owner admits, queues,
        dispatches and streams it, and the engine receives the owner's
        dispatch span as its parent.
        """
        entry = self.fleet.instances[1 - self.owner]["name"]
        owner = self.fleet.instances[self.owner]["name"]
        address = self.callers[1 - self.owner]
        self.send(address, traceparent=PARENT)
        ticket = caller.look_up(self.callers[self.owner], "key-1").ticket
        keyed = {"Idempotency-Key": "k", "X-Citronport-Ticket": ticket}
        self.send(address, traceparent=OTHER_PARENT, **keyed)
        self.stop(signal.SIGTERM, entry, owner)

        _, trace_id, parent_id, _ = PARENT.split("-")
        spans = self.read_spans(trace_id)
        first = self.check_spans(
            spans, entry, ("admission", "queue", "forward"), parent_id
        )
        forward = first["forward"]["span_id"]
        second = self.check_spans(spans, owner, OWNER_SPANS, forward)
        self.assertEqual("whole", first["request"]["attributes"]["outcome"])
        self.assertEqual(
            "engine-1", second["dispatch"]["attributes"]["endpoint"]
        )
        self.assertNotIn("what is due?", json.dumps(spans))
        lines = journal.read_lines(self.fleet.folder / "engine-1.jsonl")
        parent_headers = [n["parent"] for n in lines if n["kind"] == "traced"]
        dispatch = second["dispatch"]["span_id"]
        self.assertIn(f"00-{trace_id}-{dispatch}-01", parent_headers)

        # With a ticket of the owner it is forwarded without scheduling.
        _, trace_id, parent_id, _ = OTHER_PARENT.split("-")
        spans = self.read_spans(trace_id)
        first = self.check_spans(
            spans, entry, ("admission", "forward"), parent_id
        )
        forward = first["forward"]["span_id"]
        self.check_spans(spans, owner, OWNER_SPANS, forward)

    def test_status_and_metrics(self):
        """The status command shows the fleet, including dead instances.

        It starts from one address while one of the two instances is dead.
        The dead one gets a row in the table, and the command succeeds.
        """
        self.check_metrics()
        code, output = run_program("status", self.operators[0], "--json")
        self.assertEqual(0, code, output)
        shown = json.loads(output)
        self.assertEqual(2, len(shown["instances"]))
        whole = sum(
            i["tiers"][1]["outcomes"].get("whole", 0)
            for i in shown["instances"]
        )
        self.assertEqual(2, whole)
        self.stop(signal.SIGKILL, "entry-2")
        code, output = run_program("status", self.operators[0])
        self.assertEqual(0, code, output)
        lines = output.splitlines()
        self.assertIn("serving", next(n for n in lines if "entry-1" in n))
        self.assertIn("unreachable", next(n for n in lines if "entry-2" in n))
        self.assertNotIn("\033", output)
        code, _ = run_program("status", self.operators[1])
        self.assertEqual(1, code)

    def test_drain_stops_gracefully(self):
        """A drain ends the process, and only POST starts it."""
        self.assertEqual(200, call(self.operators[0], "/ready")[0])
        self.assertEqual(405, call(self.operators[0], "/drain")[0])
        self.assertEqual(404, call(self.operators[0], "/other")[0])
        code, output = run_program("drain", self.operators[0], "--wait")
        self.assertEqual(0, code)
        self.assertIn("is leaving", output)
        self.assertIn("has ended", output)
        self.assertEqual(0, self.fleet.running.wait("entry-1", 20))
        code, _ = run_program("drain", self.operators[0])
        self.assertEqual(1, code)
