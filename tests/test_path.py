"""End-to-end tests of the request path with separate processes."""

import testtools

from standins import answers
from standins import caller
from standins import fleet
from tests import addresses
from tests import fleets

LAYOUT = fleet.Layout(
    # Depends on the process id, so that two runs on one machine do not
    # conflict.
    subnet=addresses.choose_subnet(2),
    data_centres=("dc-1", "dc-2"),
    instances=3,
    engines=(
        {"name": "engine-1", "models": ("small",), "cold_seconds": 0.1},
        {"name": "engine-2", "models": ("small", "large")},
    ),
    services=("reservations",),
    entries=(
        {
            "name": "shop-floor",
            "owner": "extruder-1",
            "class": 0,
            "key": "key-1",
        },
    ),
)


class PathTest(testtools.TestCase):
    """Requests pass from a caller to an endpoint and back."""

    def setUp(self):
        """Start a small fleet."""
        super().setUp()
        self.fleet = fleets.start_fleet(self, LAYOUT)

    def send_chat(self, address, **options):
        """Send a chat call and check its answer."""
        body = caller.make_chat("large", "what is due?", 20, **options)
        path = "/v1/chat/completions"
        outcome = caller.send_until_run(address, "key-1", path, body)
        self.assertEqual(caller.make_expected(body), outcome.text)
        self.assertTrue(outcome.whole)

    def test_each_instance_answers_completely(self):
        """Each instance serves streams and complete answers."""
        for address in self.fleet.get_callers_addresses():
            self.send_chat(address, stream=True)
            self.send_chat(address, stream=False)

    def test_repeated_service_call_runs_once(self):
        """A repeated call with an idempotency key gets the first answer."""
        address = self.fleet.get_callers_addresses()[0]
        self.send_chat(address)
        entries = caller.look_up(address, "key-1")
        headers = {
            "X-Non-Idempotent": "true",
            "Idempotency-Key": "press-4",
            "X-Citronport-Ticket": entries.ticket,
        }
        body = {"die": 7}
        path = "/services/reservations/book"
        for _ in range(2):
            outcome = caller.send(
                address, "key-1", path, body, headers=headers
            )
            self.assertEqual(answers.make_receipt(b'{"die": 7}'), outcome.text)
        journal = self.fleet.folder / "reservations.jsonl"
        self.assertEqual(1, journal.read_text().count('"received"'))
