"""The unmodified openai client and its retries; real processes."""

import signal

import gevent
import openai
import testtools

from citronport import errors
from standins import caller
from standins import journal
from tests import addresses
from tests.callers import fleets


class OpenAITest(testtools.TestCase):
    """Calls of the openai client with only the base URL changed."""

    def setUp(self):
        """Start two entries; the engine is in the first data centre."""
        super().setUp()
        self.fleet = fleets.start_fleet(self, addresses.choose_subnet(5))
        self.addresses = self.fleet.get_callers_addresses()

    def make_client(self, address, path="/v1", **options):
        """Return a client of an entry."""
        client = openai.OpenAI(
            base_url=f"http://{address}{path}",
            api_key=fleets.KEY,
            **options,
        )
        self.addCleanup(client.close)
        return client

    def count_received(self, tokens):
        """Return how often the engine received a prompt of this length."""
        return fleets.count_lines(
            self.fleet, "engine-1", "received", prompt_tokens=tokens
        )

    def wait_for(self, condition):
        """Wait until a condition holds."""
        with gevent.Timeout(20, AssertionError("condition not met in 20 s")):
            while not condition():
                gevent.sleep(0.02)

    def read_refusals(self, name):
        """Return the codes of all refusals in the event file of an entry."""
        lines = journal.read_lines(self.fleet.folder / f"{name}.events.jsonl")
        return [
            action["code"]
            for line in lines
            for action in line["actions"]
            if action["kind"] == "Refuse"
        ]

    def test_models_and_both_answer_forms(self):
        """Model list, complete response, stream and a keyed repeat.

        A ticket in the base URL is sufficient for a client that sets no
        header but the key: its repeat at another entry reads the stream of
        the first run.
        """
        first, second = self.addresses
        client = self.make_client(first)
        self.assertEqual(["small"], [m.id for m in client.models.list().data])
        body = caller.make_chat("small", "drawing tags", 20, stream=False)
        whole = client.chat.completions.create(**body)
        self.assertEqual(
            caller.make_expected(body), whole.choices[0].message.content
        )
        body = caller.make_chat("small", "drawing tags", 20)
        ticket = caller.look_up(first, fleets.KEY).ticket
        ids = set()
        for address in (first, second):
            client = self.make_client(address, f"/t/{ticket}/v1")
            chunks = list(
                client.chat.completions.create(
                    **body, extra_headers={"Idempotency-Key": "tags-7"}
                )
            )
            texts = [c.choices[0].delta.content or "" for c in chunks]
            self.assertEqual(caller.make_expected(body), "".join(texts))
            ids.add(chunks[0].id)
        self.assertEqual(1, len(ids))

    def test_client_retries_as_told(self):
        """The client itself retries after a "not run" refusal.

        The data centre of the only engine is out of service: the entry in
        it refers callers to the other one, which sends a retry time. The
        client follows it and is served once the data centre is back.
        """
        self.fleet.set_data_centre("dc-1", "out")
        outcome = caller.Outcome(status=200)
        body = caller.make_chat("small", "status of press 4", 5, stream=False)
        while outcome.code != errors.Code.LEAVING:
            outcome = caller.send(
                self.addresses[0], fleets.KEY, fleets.CHAT, body
            )
        self.assertEqual(str(errors.Ran.NOT_RUN), outcome.ran)
        error = self.assertRaises(
            openai.InternalServerError,
            self.make_client(self.addresses[0]).chat.completions.create,
            **body,
        )
        headers = error.response.headers
        self.assertEqual(self.addresses[1], headers["x-citronport-go-to"])
        self.assertEqual("false", headers["x-should-retry"])
        ran = self.count_received(5)
        client = self.make_client(self.addresses[1], max_retries=20)
        task = gevent.spawn(client.chat.completions.create, **body)
        self.wait_for(lambda: self.read_refusals("entry-2"))
        self.fleet.set_data_centre("dc-1", "in")
        answer = task.get(timeout=30)
        self.assertEqual(
            caller.make_expected(body), answer.choices[0].message.content
        )
        self.assertEqual(ran + 1, self.count_received(5))

    def test_unknown_outcome_is_not_repeated(self):
        """The client does not retry after "outcome unknown".

        The engine dies during a non-streamed response: 502. The ticket is
        from an earlier incarnation: 409. The client retries both statuses by
        default, but must not do so here.
        """
        client = self.make_client(self.addresses[0], max_retries=5)
        body = caller.make_chat("small", "long review of a die", 2000)
        body["stream"] = False
        task = gevent.spawn(client.chat.completions.create, **body)
        self.wait_for(lambda: self.count_received(6))
        self.fleet.running.signal("engine-1", signal.SIGKILL)
        self.assert_not_repeated(errors.Code.ENDPOINT_LOST, task)
        self.assertEqual(1, self.count_received(6))
        headers = {
            "Idempotency-Key": "press-4",
            "X-Citronport-Ticket": "entry-1.earlier.7",
        }
        task = gevent.spawn(
            client.chat.completions.create, **body, extra_headers=headers
        )
        self.assert_not_repeated(errors.Code.HOME_GONE, task)

    def assert_not_repeated(self, code, task):
        """Check that a call failed with a code at its first attempt."""
        error = self.assertRaises(openai.APIStatusError, task.get, timeout=30)
        self.assertEqual(str(int(code)), error.code)
        sent = error.response.request.headers
        self.assertEqual("0", sent["x-stainless-retry-count"])
