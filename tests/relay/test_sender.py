"""Responses to callers when endpoints fail."""

import dataclasses

import gevent
from gevent import event as gevent_event
import testtools

from citronport import errors
from citronport import eventstream
from citronport.callers import replies
from citronport.relay import jobs
from citronport.scheduler.direct import causes
from citronport.scheduler.direct import models
from citronport.scheduler.direct import suspects
from tests.relay import fakes
from tests.relay import samples
from tests.relay import senders

CONTENT = suspects.Content(fingerprint="f1")


class SenderTest(senders.SenderCase):
    """Single requests over real sockets."""

    def test_request_reaches_the_endpoint_unchanged(self):
        """Only hop-by-hop headers and those of the instance differ."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        self.assertEqual(200, self.ask())
        method, target, headers, body = endpoint.requests[0]
        self.assertEqual(
            ("POST", "/review/1?a=b", b"body"), (method, target, body)
        )
        self.assertEqual("e0", headers["x-expect-instance"])
        self.assertEqual("w", headers["x-tenant"])
        self.assertEqual("kept", headers["x-other"])
        self.assertLessEqual(int(headers["x-deadline-ms"]), 2000)
        for name in ("x-api-key", "x-hold", "x-private"):
            self.assertNotIn(name, headers)

    def test_failed_idempotent_request_runs_elsewhere(self):
        """If the first endpoint fails, the second one's response is sent."""
        bad = fakes.Endpoint(self, fakes.answer(500))
        good = fakes.Endpoint(self, fakes.answer())
        self.prepare(bad, good)
        self.assertEqual(200, self.ask())
        self.assertEqual(1, len(bad.requests) + len(good.requests) - 1)

    def test_first_send_is_counted_once(self):
        """Guards against repeats that count as further first sends."""
        self.prepare(
            fakes.Endpoint(self, fakes.answer(500)),
            fakes.Endpoint(self, fakes.answer()),
        )
        self.assertEqual(200, self.ask())
        self.assertEqual(1, self.budget.first_sends)

    def test_first_send_after_a_failed_connection_is_counted(self):
        """Guards against requests that the budget of repeats misses."""
        self.prepare(fakes.Endpoint(self, fakes.answer()))
        listed = self.room.cluster_state.endpoints
        listed["e0"] = dataclasses.replace(listed["e0"], slots=1)
        listed["gone"] = samples.make_endpoint("gone", senders.PLAIN)
        self.room.cluster_state._index()
        statuses = {self.ask() for _ in range(4)}
        self.assertEqual({200}, statuses)
        self.assertEqual(4, self.budget.first_sends)

    def test_forwarded_request_that_was_sent_before(self):
        """Guards against a first send that two instances count."""
        self.prepare(fakes.Endpoint(self, fakes.answer()))
        for is_counted in (True, False):
            origin = jobs.Origin(
                instance="other",
                tried=frozenset(),
                paused=frozenset(),
                possible_runs=0,
                is_counted=is_counted,
                last_event_id=None,
            )
            self.assertEqual(200, self.ask(origin=origin))
        self.assertEqual(1, self.budget.first_sends)

    def test_both_fail_and_the_caller_gets_the_endpoints_answer(self):
        """The signed failure is forwarded; no third endpoint may run it."""
        bad = fakes.Endpoint(self, fakes.answer(500, b"broken"))
        worse = fakes.Endpoint(self, fakes.answer(500, b"broken"))
        spare = fakes.Endpoint(self, fakes.answer(500, b"broken"))
        self.prepare(bad, worse, spare)
        self.assertEqual(500, self.ask())
        self.assertEqual(b"broken", self.body)
        runs = [len(e.requests) for e in (bad, worse, spare)]
        self.assertEqual([0, 1, 1], sorted(runs))

    def test_non_idempotent_request_is_sent_once(self):
        """Guards against a non-idempotent request that runs twice.

        The connection breaks after the send, so the endpoint may have run
        the request. The caller gets "outcome unknown", and no other
        endpoint gets the request.
        """
        first = fakes.Endpoint(self, fakes.close_unanswered)
        second = fakes.Endpoint(self, fakes.answer())
        self.prepare(
            first,
            second,
            repeat=models.RepeatPolicy.NON_IDEMPOTENT,
        )
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.assertEqual(502, self.ask())
        self.assertEqual(1, len(first.requests))
        self.assertEqual(0, len(second.requests))

    def test_not_run_goes_to_another_whatever_its_kind(self):
        """A request that a full endpoint did not run is sent elsewhere."""
        full = fakes.Endpoint(self, fakes.answer(503, X_Not_Executed="1"))
        good = fakes.Endpoint(self, fakes.answer())
        self.prepare(full, good, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        self.assertEqual(200, self.ask())

    def test_all_full_is_a_refusal_with_a_retry_time(self):
        """A request that no endpoint ran is refused with a retry time."""
        full = fakes.Endpoint(self, fakes.answer(503, X_Not_Executed="1"))
        self.prepare(full, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        self.assertEqual(503, self.ask())
        self.assertIn("retry-after", self.started[-1][1])

    def test_misdirected_request_did_not_run(self):
        """The endpoint that took over an address reports the mismatch."""
        other = fakes.Endpoint(self, fakes.answer(421, signed=False))
        good = fakes.Endpoint(self, fakes.answer())
        self.prepare(other, good, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        self.assertEqual(200, self.ask())

    def test_replaced_endpoint_gets_no_more_requests(self):
        """Guards against requests to an endpoint that is gone but looks idle.

        Its successor has the same address and another name, and the list
        names the old endpoint for some seconds. It looks idle while the
        other one is full. After the first request fails there, later ones
        wait for the other endpoint.
        """
        other = fakes.Endpoint(self, fakes.answer(421, signed=False))
        full = fakes.Endpoint(self, fakes.answer())
        self.prepare(
            other,
            full,
            repeat=models.RepeatPolicy.NON_IDEMPOTENT,
            objective=0.04,
        )
        for number in range(3):
            work = samples.make_work(f"t{number}")
            self.room.board.record_send("e1", work, 0.0)
        for _ in range(3):
            self.assertEqual(503, self.ask())
        self.assertEqual(1, len(other.requests))

    def test_answer_to_another_request_is_not_forwarded(self):
        """A response with the id of another request is not forwarded."""
        crossed = fakes.Endpoint(self, fakes.answer(200, X_Attempt_Id="other"))
        self.prepare(crossed, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        self.assertEqual(502, self.ask())

    def test_success_without_a_signature_is_no_success(self):
        """An unsigned 200 from a faulty endpoint is not forwarded."""
        forged = fakes.Endpoint(self, fakes.answer(200, signed=False))
        self.prepare(forged, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        self.assertEqual(502, self.ask())

    def test_second_answer_is_dropped(self):
        """A second response on the same connection is not forwarded."""

        def twice(sock, headers):
            fakes.answer()(sock, headers)
            sock.sendall(fakes.render(200, b"not yours"))

        endpoint = fakes.Endpoint(self, twice)
        self.prepare(endpoint)
        self.assertEqual(200, self.ask())
        self.assertEqual(b"done", self.body)

    def test_silent_endpoint_ends_with_the_deadline(self):
        """The caller gets a final response at the deadline, not later."""
        endpoint = fakes.Endpoint(self, fakes.never_answer)
        self.prepare(endpoint, timeout=0.1)
        began = self.room.ticker.now()
        self.assertEqual(504, self.ask())
        self.assertLess(self.room.ticker.now() - began, 0.3)

    def test_early_refusal_of_a_long_body(self):
        """A refusal sent before the body was read is still received."""

        def refuse(sock, headers):
            sock.sendall(fakes.render(503, X_Not_Executed="1"))

        endpoint = fakes.Endpoint(self, refuse)
        self.prepare(endpoint, repeat=models.RepeatPolicy.NON_IDEMPOTENT)
        self.assertEqual(503, self.ask())

    def test_broken_stream_ends_uncleanly(self):
        """A stream that breaks off must not look complete."""
        events = [fakes.make_event(1), fakes.make_event(2)[:5]]
        endpoint = fakes.Endpoint(
            self, fakes.stream(*events, complete=False, pause=0.02)
        )
        self.prepare(endpoint, repeat=models.RepeatPolicy.STREAM)
        self.assertRaises(replies.StreamCutError, self.ask)
        self.assertEqual(fakes.make_event(1), self.body)
        self.assertEqual("cut", self.sender.progress.outcome)

    def test_resumable_stream_is_resumed_elsewhere(self):
        """Guards against lost or repeated events in a resumed stream.

        The first endpoint breaks off in the middle of an event. The second
        gets the id of the last complete event, and the caller gets each
        event once, after the head of the first response.
        """
        one, two, three = (fakes.make_event(n) for n in (1, 2, 3))
        first = fakes.Endpoint(
            self,
            fakes.stream(one, two + three[:4], complete=False, pause=0.02),
        )
        second = fakes.Endpoint(self, fakes.stream(three))
        self.prepare(
            first, second, repeat=models.RepeatPolicy.STREAM, resumable=True
        )
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.assertEqual(200, self.ask())
        self.assertEqual(one + two + three, self.body)
        self.assertEqual("2", second.requests[0][2]["last-event-id"])
        self.assertEqual(1, len(self.started))

    def test_resumable_stream_that_fails_at_once_runs_elsewhere(self):
        """Guards against a failure that another run could have avoided.

        The first endpoint answers 500 before any event. Nothing was sent to
        the caller yet and the route allows another run, so the caller gets
        the complete stream of the second endpoint.
        """
        one, two = (fakes.make_event(n) for n in (1, 2))
        first = fakes.Endpoint(self, fakes.answer(500, b"broken"))
        second = fakes.Endpoint(self, fakes.stream(one, two))
        self.prepare(
            first, second, repeat=models.RepeatPolicy.STREAM, resumable=True
        )
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.assertEqual(200, self.ask())
        self.assertEqual(one + two, self.body)
        self.assertNotIn("last-event-id", second.requests[0][2])

    def test_stream_that_may_run_once_fails_at_once(self):
        """The endpoint's failure is forwarded and nothing runs again."""
        first = fakes.Endpoint(self, fakes.answer(500, b"broken"))
        second = fakes.Endpoint(self, fakes.stream(fakes.make_event(1)))
        self.prepare(first, second, repeat=models.RepeatPolicy.STREAM)
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.assertEqual(500, self.ask())
        self.assertEqual([], second.requests)

    def test_resumed_stream_meets_a_failure(self):
        """Guards against an error response within a stream.

        The first endpoint crashes in the middle and the second answers 500.
        The caller already has a success status and some events. The error's
        body is not part of the stream, and a clean end after it would look
        complete, so the connection ends uncleanly.
        """
        one = fakes.make_event(1)
        first = fakes.Endpoint(
            self, fakes.stream(one, complete=False, pause=0.02)
        )
        second = fakes.Endpoint(self, fakes.answer(500, b"broken"))
        self.prepare(
            first, second, repeat=models.RepeatPolicy.STREAM, resumable=True
        )
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.assertRaises(replies.StreamCutError, self.ask)
        self.assertEqual(one, self.body)
        self.assertEqual(1, len(self.started))

    def test_caller_that_leaves_stops_the_work(self):
        """The connection to the endpoint is closed at once."""
        closed = gevent_event.Event()

        def wait(sock, headers):
            del headers
            sock.recv(1)
            closed.set()

        endpoint = fakes.Endpoint(self, wait)
        self.prepare(endpoint)
        task = gevent.spawn(self.ask)
        gevent.sleep(0.05)
        task.kill()
        self.assertTrue(closed.wait(1))
        self.assertEqual(0, self.room.board.get_load("e0").requests)

    def test_endpoint_that_leaves_during_the_connect_gets_nothing(self):
        """Guards against a send to an endpoint delisted during the connect."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint, objective=0.05)
        cluster_state = self.room.cluster_state
        cluster_state.may_use = lambda endpoint: False
        self.assertEqual(503, self.ask())
        self.assertEqual([], endpoint.requests)
        self.assertEqual(
            int(errors.Code.OVERLOADED), self.sender.progress.code
        )

    def is_barred(self):
        """Return whether the request of these tests is barred."""
        return self.suspects.is_barred(CONTENT, self.room.ticker.now())

    def crash_others(self, number):
        """Record crashes, under the request, of endpoints not listed here."""
        for each in range(number):
            self.suspects.record_crash(
                CONTENT,
                samples.make_endpoint(f"other-{each}"),
                self.room.ticker.now(),
            )

    def test_barred_request_reaches_no_endpoint(self):
        """Guards against one more crash for each retry of a caller."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        self.crash_others(causes.REQUEST_THRESHOLD)
        self.assertEqual(503, self.ask())
        self.assertEqual(
            suspects.KEEP_SECONDS, float(self.started[-1][1]["retry-after"])
        )
        self.assertTrue(self.sender.progress.is_known_not_run)
        self.assertEqual(200, self.ask(fingerprint="f2"))
        self.assertEqual(1, len(endpoint.requests))

    def test_request_barred_by_its_own_crash_is_not_sent_again(self):
        """Guards against a retry after the crash that bars the request."""
        ending = fakes.Endpoint(self, fakes.close_unanswered)
        other = fakes.Endpoint(self, fakes.answer())
        self.prepare(ending, other)
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.crash_others(causes.REQUEST_THRESHOLD - 1)
        self.assertEqual(502, self.ask())
        self.assertEqual(0, len(other.requests))

    def test_request_barred_while_it_connects_is_not_sent(self):
        """Guards against a bar that is missed after the reservation."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        cluster_state = self.room.cluster_state
        may_use = cluster_state.may_use

        def crash_then_check(endpoint):
            self.crash_others(causes.REQUEST_THRESHOLD)
            return may_use(endpoint)

        cluster_state.may_use = crash_then_check
        self.assertEqual(503, self.ask())
        self.assertEqual(0, len(endpoint.requests))

    def test_reset_by_a_live_endpoint_is_no_crash(self):
        """Guards against barring a request for a reset connection."""
        endpoint = fakes.Endpoint(self, fakes.close_unanswered, fakes.answer())
        self.prepare(endpoint, max_endpoints=1)
        self.crash_others(causes.REQUEST_THRESHOLD - 1)
        self.assertEqual(502, self.ask())
        self.assertTrue(self.is_barred())
        self.assertEqual(200, self.ask(fingerprint="f2"))
        self.assertFalse(self.is_barred())

    def test_failure_of_a_live_endpoint_is_no_crash(self):
        """Guards against barring a request for reported failures."""
        bad = fakes.Endpoint(self, fakes.answer(500))
        self.prepare(bad)
        self.crash_others(causes.REQUEST_THRESHOLD - 1)
        self.assertEqual(500, self.ask())
        self.assertFalse(self.is_barred())

    def test_endpoint_gone_without_a_reset_counts(self):
        """Guards against a missed crash whose connection reset is lost."""
        endpoint = fakes.Endpoint(self, fakes.never_answer)
        self.prepare(endpoint, timeout=0.1)
        self.crash_others(causes.REQUEST_THRESHOLD - 1)

        def clear():
            gevent.sleep(0.05)
            self.room.cluster_state.endpoints.clear()

        gevent.spawn(clear)
        self.assertEqual(504, self.ask())
        self.assertTrue(self.is_barred())


class EventsTest(testtools.TestCase):
    """Events whose lines end with LF, CR LF or CR."""

    def list_streams(self):
        """Return two events and a part of a third for each line end."""
        whole = fakes.make_event(7) + fakes.make_event(8)
        return [
            (whole.replace(b"\n", end), b"id: 9" + end)
            for end in (b"\n", b"\r\n", b"\r")
        ]

    def test_split(self):
        """Guards against events that wait for the end of their stream."""
        for events, rest in self.list_streams():
            self.assertEqual(
                (events, rest), eventstream.split_events(events + rest)
            )

    def test_count(self):
        """Guards against a speed that is never learned from events."""
        for events, _ in self.list_streams():
            self.assertEqual(2, eventstream.count_events(events))

    def test_last_id(self):
        """Guards against a stream that is resumed at a wrong event."""
        for events, _ in self.list_streams():
            self.assertEqual("8", eventstream.find_last_event_id(events))
        inner = fakes.make_event(7, "id: 9") + b"data: id:10\n\n"
        self.assertEqual("7", eventstream.find_last_event_id(inner))


class LastEventTest(testtools.TestCase):
    """Extraction of the id of the last complete event."""

    def test_ids(self):
        """The last id is returned, wherever it occurs."""
        both = fakes.make_event(7) + fakes.make_event(8)
        self.assertEqual("8", eventstream.find_last_event_id(both))
        self.assertEqual(
            "7", eventstream.find_last_event_id(fakes.make_event(7))
        )
        self.assertIsNone(eventstream.find_last_event_id(b"data: x\n\n"))
