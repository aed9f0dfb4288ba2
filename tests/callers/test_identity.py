"""One run per request, at whichever entry repeats arrive; real processes."""

import signal

import gevent
import openai
import testtools

from citronport import errors
from standins import answers
from standins import caller
from tests import addresses
from tests.callers import fleets

RECEIPT = answers.make_receipt(b'{"die": 7}')


class IdentityTest(testtools.TestCase):
    """Keyed requests at several entries and the loss of their home."""

    def setUp(self):
        """Start three entries."""
        super().setUp()
        self.fleet = fleets.start_fleet(
            self, addresses.choose_subnet(6), instances=3
        )
        self.addresses = self.fleet.get_callers_addresses()

    def book(self, address, headers, **options):
        """Send a reservation, which is non-idempotent."""
        all_headers = {"X-Non-Idempotent": "true", **headers}
        return caller.send(
            address,
            fleets.KEY,
            fleets.BOOK,
            {"die": 7},
            headers=all_headers,
            **options,
        )

    def count_bookings(self):
        """Return how many reservations reached the service."""
        return fleets.count_lines(self.fleet, "reservations", "received")

    def assert_unknown(self, codes, outcome):
        """Check for "outcome unknown" with one of the codes."""
        self.assertIn(outcome.code, [int(code) for code in codes])
        self.assertEqual(str(errors.Ran.OUTCOME_UNKNOWN), outcome.ran)

    def test_repeats_join_the_first_run(self):
        """Six concurrent copies at three entries are one reservation.

        Each caller gets the same receipt. A copy that arrives at another
        entry is forwarded to the home, where it joins the first run. A
        stream that is joined later is read from its start.
        """
        headers = fleets.make_headers(self.addresses[0], "press-4")
        tasks = [
            gevent.spawn(self.book, address, headers)
            for address in self.addresses * 2
        ]
        texts = [task.get(timeout=30).text for task in tasks]
        self.assertEqual([RECEIPT] * 6, texts)
        self.assertEqual(1, self.count_bookings())
        body = caller.make_chat("small", "review", 60)
        headers = fleets.make_headers(self.addresses[0], "review-1")
        tasks = [
            gevent.spawn_later(
                delay,
                caller.send,
                address,
                fleets.KEY,
                fleets.CHAT,
                body,
                headers=headers,
            )
            for delay, address in zip((0, 0.2, 5), self.addresses, strict=True)
        ]
        outcomes = [task.get(timeout=30) for task in tasks]
        self.assertEqual(1, len({each.answer_id for each in outcomes}))
        for outcome in outcomes:
            self.assertEqual(caller.make_expected(body), outcome.text)
            self.assertTrue(outcome.whole)

    def test_home_is_frozen_then_dies(self):
        """Without its home a request ends as "outcome unknown".

        While the home is suspended, a caller at another entry waits until
        its deadline and then gets "outcome unknown". The resumed home may
        run the request from its socket buffer once. A killed home is
        unreachable, and its successor has no record of the request: the
        home is gone. No other entry ever runs the request, since it cannot
        know whether it ran before.
        """
        home, other = self.addresses[:2]
        headers = fleets.make_headers(home, "press-5")
        self.fleet.running.signal("entry-1", signal.SIGSTOP)
        outcome = self.book(other, headers, deadline=1.0)
        self.assert_unknown(
            (
                errors.Code.DEADLINE_PASSED_RUNNING,
                errors.Code.INSTANCE_LOST,
                errors.Code.HOME_UNREACHABLE,
            ),
            outcome,
        )
        self.fleet.running.signal("entry-1", signal.SIGCONT)
        outcome = caller.send_until_run(
            other, fleets.KEY, fleets.BOOK, {"die": 7}, headers=headers
        )
        self.assertEqual(RECEIPT, outcome.text)
        self.fleet.running.signal("entry-1", signal.SIGKILL)
        self.fleet.running.wait("entry-1", 10)
        outcome = self.book(other, headers)
        self.assert_unknown(
            (errors.Code.HOME_UNREACHABLE, errors.Code.INSTANCE_LOST), outcome
        )
        self.fleet.start_instance("entry-1")
        with gevent.Timeout(20, AssertionError("home is not gone")):
            while outcome.code != errors.Code.HOME_GONE:
                self.assert_unknown((outcome.code,), outcome)
                gevent.sleep(0.1)
                outcome = self.book(other, headers)
        self.assertEqual(1, self.count_bookings())

    def test_home_dies_in_the_middle_of_an_answer(self):
        """A response whose home dies is truncated and is not run again.

        A caller at another entry has read a part of its stream when the
        link to the home fails. It gets an error event and no regular end;
        its repeat gets "outcome unknown".
        """
        headers = fleets.make_headers(self.addresses[0], "review-2")
        body = caller.make_chat("small", "long review", 2000)
        client = openai.OpenAI(
            base_url=f"http://{self.addresses[1]}/v1", api_key=fleets.KEY
        )
        stream = client.chat.completions.create(**body, extra_headers=headers)
        next(stream)
        self.fleet.running.signal("entry-1", signal.SIGKILL)
        error = self.assertRaises(openai.APIError, list, stream)
        self.assertEqual(str(int(errors.Code.INSTANCE_LOST)), error.code)
        outcome = caller.send(
            self.addresses[1], fleets.KEY, fleets.CHAT, body, headers=headers
        )
        self.assert_unknown((errors.Code.HOME_UNREACHABLE,), outcome)
        received = fleets.count_lines(
            self.fleet, "engine-1", "received", prompt_tokens=4
        )
        self.assertEqual(1, received)
