"""Answers that break off, with or without a frame that shows their end."""

import contextlib
import socket
from unittest import mock

import gevent
from gevent import event as gevent_event

from citronport.callers import replies
from citronport.relay import sender
from citronport.scheduler.direct import causes
from citronport.scheduler.direct import models
from citronport.scheduler.direct import suspects
from tests.relay import fakes
from tests.relay import instances
from tests.relay import senders

PAUSE_SECONDS = 0.02
RESET_PAUSE_SECONDS = 0.2
"""Time for the data to be read before a reset, which discards the rest."""

CONTENT = suspects.Content(fingerprint="f1")
LAST_CHUNK = b"0\r\n\r\n"
LARGE = b"x" * (2 * sender.BUFFERED_BYTES)


def make_crlf_event(number):
    """Return an event whose lines end with CR LF."""
    return fakes.make_event(number).replace(b"\n", b"\r\n")


def list_beginnings(event):
    """Return what a crash may leave of an event, by where it struck."""
    second_line = event.index(b"data")
    return [
        event[:2],
        event[:second_line],
        event[: second_line + 3],
        event.rstrip(),
        event[:-1],
    ]


class CloseDelimitedStreamTest(senders.SenderCase):
    """Streams without length and chunks, which end with their connection."""

    def serve(self, *scripts, **route):
        """Prepare one endpoint for each script; the last one is tried first.

        Args:
            scripts: what the endpoints answer.
            route: fields of the route that differ.
        """
        endpoints = [fakes.Endpoint(self, script) for script in scripts]
        fields = {"repeat": models.RepeatPolicy.STREAM, **route}
        self.prepare(*endpoints, **fields)
        for number in range(1, len(endpoints)):
            now = self.room.ticker.now()
            self.room.health.record_answer(f"e{number}", False, now)
        return endpoints

    def check_cut(self, script, received, **route):
        """Check that an answer is cut after the given events."""
        self.serve(script, **route)
        self.assertRaises(replies.StreamCutError, self.ask)
        self.assertEqual(received, self.body)
        self.assertEqual("cut", self.sender.progress.outcome)

    def test_closed_inside_a_later_event(self):
        """Guards against a crash that looks like the end of the stream."""
        one = fakes.make_event(1)
        for rest in list_beginnings(fakes.make_event(2)):
            self.check_cut(
                fakes.close_delimited(one, rest, pause=PAUSE_SECONDS), one
            )

    def test_closed_inside_a_later_event_with_cr_lf(self):
        """Guards against half a blank line that counts as a whole one."""
        one = make_crlf_event(1)
        for rest in list_beginnings(make_crlf_event(2)):
            self.check_cut(
                fakes.close_delimited(one, rest, pause=PAUSE_SECONDS), one
            )

    def test_closed_inside_an_event_that_came_with_the_first(self):
        """Guards against a cut that depends on how the bytes arrive."""
        one = fakes.make_event(1)
        for rest in list_beginnings(fakes.make_event(2)):
            self.check_cut(fakes.close_delimited(one + rest), one)

    def test_reset(self):
        """Guards against a reset that looks like the end of the stream."""
        one, two = (fakes.make_event(n) for n in (1, 2))
        for rest in (two, two[:5]):
            script = fakes.close_delimited(
                one, rest, reset=True, pause=RESET_PAUSE_SECONDS
            )
            received = one + two if rest == two else one
            self.check_cut(script, received)

    def test_closed_inside_the_first_event(self):
        """Guards against a success status for a stream without events."""
        for event in (fakes.make_event(1), make_crlf_event(1)):
            for rest in list_beginnings(event):
                self.serve(fakes.close_delimited(rest))
                self.assertEqual(502, self.ask())
                self.assertEqual(1, len(self.started))
                self.assertEqual("refused", self.sender.progress.outcome)

    def test_closed_before_the_first_event(self):
        """Guards against a crash that looks like an empty stream."""
        self.serve(fakes.close_delimited())
        self.assertEqual(502, self.ask())

    def test_closed_between_events(self):
        """Guards against a whole stream that is called broken."""
        for make in (fakes.make_event, make_crlf_event):
            events = [make(n) for n in (1, 2)]
            self.serve(fakes.close_delimited(*events))
            self.assertEqual(200, self.ask())
            self.assertEqual(b"".join(events), self.body)
            self.assertEqual("answered", self.sender.progress.outcome)

    def test_whole_body_that_is_no_stream(self):
        """Guards against a whole answer without events called broken."""
        body = b'{"done": true}'
        script = fakes.close_delimited(
            body, kind="Application/JSON; charset=utf-8"
        )
        self.serve(script)
        self.assertEqual(200, self.ask())
        self.assertEqual(body, self.body)

    def test_blank_lines_after_the_last_event(self):
        """Guards against a whole stream that is called broken."""
        body = fakes.make_event(1) + b"\n"
        self.serve(fakes.close_delimited(body))
        self.assertEqual(200, self.ask())
        self.assertEqual(body, self.body)

    def test_events_arrive_at_once(self):
        """Guards against events that wait for the end of the stream."""
        came = gevent_event.Event()
        one, two = (fakes.make_event(n) for n in (1, 2))

        def script(sock, headers):
            fakes.close_delimited(one)(sock, headers)
            came.wait(1.0)
            sock.sendall(two)

        self.serve(script)
        task = gevent.spawn(self.ask)
        while not task.ready() and self.is_waiting_for(one):
            gevent.sleep(0.01)
        self.assertFalse(task.ready())
        came.set()
        self.assertEqual(200, task.get())
        self.assertEqual(one + two, self.body)

    def is_waiting_for(self, event):
        """Return whether the caller has not received an event."""
        return event not in getattr(self, "body", b"")

    def test_events_with_cr_lf_are_counted(self):
        """Guards against an engine whose speed is never learned."""
        for make in (fakes.make_event, make_crlf_event):
            events = [make(n) for n in range(5)]
            self.serve(fakes.close_delimited(*events, pause=PAUSE_SECONDS))
            record = mock.Mock()
            self.room.board.record_events = record
            self.assertEqual(200, self.ask())
            counts = [call.args[2] for call in record.call_args_list]
            self.assertEqual(5, sum(counts))

    def test_resumed_after_a_close_inside_an_event(self):
        """Guards against a crash whose remaining events are not fetched."""
        one, two, three = (fakes.make_event(n) for n in (1, 2, 3))
        for rest in list_beginnings(two):
            first, second = self.serve(
                fakes.close_delimited(one, rest, pause=PAUSE_SECONDS),
                fakes.close_delimited(two, three),
                resumable=True,
            )
            self.assertEqual(200, self.ask())
            self.assertEqual(one + two + three, self.body)
            self.assertEqual("1", second.requests[0][2]["last-event-id"])
            self.assertEqual(1, len(self.started))

    def test_run_elsewhere_after_a_close_inside_the_first_event(self):
        """Guards against a failure that another run could have avoided."""
        one, two = (fakes.make_event(n) for n in (1, 2))
        for rest in (b"", *list_beginnings(one)):
            _, second = self.serve(
                fakes.close_delimited(rest),
                fakes.close_delimited(one, two),
                resumable=True,
            )
            self.assertEqual(200, self.ask())
            self.assertEqual(one + two, self.body)
            self.assertNotIn("last-event-id", second.requests[0][2])

    def test_broken_again_after_it_was_resumed(self):
        """Guards against a second crash that looks like the end."""
        one, two, three = (fakes.make_event(n) for n in (1, 2, 3))
        for rest in (b"", *list_beginnings(three)):
            _, second = self.serve(
                fakes.close_delimited(one, two[:4], pause=PAUSE_SECONDS),
                fakes.close_delimited(two, rest, pause=PAUSE_SECONDS)
                if rest
                else fakes.close_delimited(),
                resumable=True,
            )
            self.assertRaises(replies.StreamCutError, self.ask)
            self.assertEqual(one + two if rest else one, self.body)
            self.assertEqual(1, len(second.requests))

    def test_stream_without_ids_is_not_resumed(self):
        """Guards against events that come twice."""
        event = b"data: x\n\n"
        _, second = self.serve(
            fakes.close_delimited(event, b"da", pause=PAUSE_SECONDS),
            fakes.close_delimited(event, event),
            resumable=True,
        )
        self.assertRaises(replies.StreamCutError, self.ask)
        self.assertEqual(event, self.body)
        self.assertEqual([], second.requests)

    def test_broken_stream_counts_as_a_crash(self):
        """Guards against a crash that is recorded as a good answer."""
        for rest in (b"id", fakes.make_event(1) + b"id"):
            self.serve(fakes.close_delimited(rest))
            for number in range(causes.REQUEST_THRESHOLD - 1):
                self.suspects.record_crash(
                    CONTENT,
                    senders.samples.make_endpoint(f"other-{number}"),
                    self.room.ticker.now(),
                )
            with contextlib.suppress(replies.StreamCutError):
                self.ask()
            now = self.room.ticker.now()
            self.assertTrue(self.suspects.is_barred(CONTENT, now))
            self.assertEqual({}, dict(self.context.counts.body_ends))
            self.assertEqual(1, self.context.counts.cut_sends)
            self.assertEqual(0, self.room.board.get_load("e0").requests)

    def test_whole_stream_is_recorded_as_one(self):
        """Guards against a whole answer that counts as a crash."""
        self.serve(fakes.close_delimited(fakes.make_event(1)))
        self.assertEqual(200, self.ask())
        self.assertEqual({"closed": 1}, dict(self.context.counts.body_ends))
        self.assertEqual(0, self.context.counts.cut_sends)


class FramedStreamTest(senders.SenderCase):
    """Streams whose length or last chunk says that they are complete."""

    def prepare_one(self, script):
        """Prepare one endpoint before a route of streams."""
        self.prepare(
            fakes.Endpoint(self, script), repeat=models.RepeatPolicy.STREAM
        )

    def test_ended_inside_an_event(self):
        """Guards against a crash behind a proxy that ends the chunks."""
        one = fakes.make_event(1)
        for rest in list_beginnings(fakes.make_event(2)):
            self.prepare_one(fakes.stream(one, rest, pause=PAUSE_SECONDS))
            self.assertRaises(replies.StreamCutError, self.ask)
            self.assertEqual(one, self.body)

    def test_ended_inside_the_first_event(self):
        """Guards against a success status for a stream without events."""
        for rest in list_beginnings(fakes.make_event(1)):
            self.prepare_one(fakes.stream(rest))
            self.assertEqual(502, self.ask())

    def test_without_events(self):
        """Guards against a whole stream that is called broken."""
        self.prepare_one(fakes.stream())
        self.assertEqual(200, self.ask())
        self.assertEqual(b"", self.body)


class PlainAnswerTest(senders.SenderCase):
    """Answers that are no streams, small ones and larger than the buffer."""

    def test_whole_without_a_frame(self):
        """Guards against a whole answer that is called broken."""
        for body in (b"", b"done", LARGE):
            self.prepare(fakes.Endpoint(self, fakes.close_delimited(body)))
            self.assertEqual(200, self.ask())
            self.assertEqual(body, self.body)
            self.assertEqual("answered", self.sender.progress.outcome)

    def test_small_one_that_is_reset(self):
        """Guards against a part of an answer that gets a length."""
        broken = fakes.close_delimited(b"do", reset=True, pause=PAUSE_SECONDS)
        self.prepare(
            fakes.Endpoint(self, broken),
            repeat=models.RepeatPolicy.NON_IDEMPOTENT,
        )
        self.assertEqual(502, self.ask())

    def check_cut_past_the_buffer(self, script):
        """Check that a large answer is cut and not run again."""
        first = fakes.Endpoint(self, script)
        second = fakes.Endpoint(self, fakes.close_delimited(LARGE))
        self.prepare(first, second)
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.assertRaises(replies.StreamCutError, self.ask)
        self.assertEqual(1, len(self.started))
        self.assertTrue(LARGE.startswith(self.body))
        self.assertEqual([], second.requests)

    def test_large_one_that_is_reset(self):
        """Guards against a second answer after a part of the first."""
        self.check_cut_past_the_buffer(
            fakes.close_delimited(LARGE, reset=True, pause=RESET_PAUSE_SECONDS)
        )

    def test_large_one_shorter_than_its_length(self):
        """Guards against a second answer after a part of the first."""

        def script(sock, headers):
            whole = fakes.render(
                200,
                LARGE + LARGE,
                X_Attempt_Id=headers["x-attempt-id"],
                X_Response_Seal="seal",
            )
            sock.sendall(whole[: -len(LARGE)])

        self.check_cut_past_the_buffer(script)


class WireTest(instances.InstanceCase):
    """What callers get on their connections to an instance."""

    def prepare(self, script, **route):
        """Start an instance before an endpoint; connect to it."""
        self.endpoint.scripts = [script]
        fields = {"resumable": False, **route}
        self.put_configuration(8, {"ratePerS": 0}, **fields)
        host = self.start(1)
        self.wait_for("the start", lambda: self.is_ready(host))
        self.sock = socket.create_connection(
            (host, instances.PORTS["callers"]), timeout=instances.SECONDS
        )
        self.addCleanup(self.sock.close)

    def send(self, number):
        """Send one request over the connection."""
        self.sock.sendall(
            (
                f"POST /review/{number} HTTP/1.1\r\nHost: shop.example\r\n"
                f"X-Attempt-Id: id-{number}\r\nX-Api-Key: key-1\r\n"
                "X-Deadline-Ms: 6000\r\nX-Token-Counts: 100,10\r\n"
                "Content-Length: 0\r\n\r\n"
            ).encode()
        )

    def receive(self, end):
        """Receive up to some bytes, or until the connection ends."""
        received = b""
        while not received.endswith(end):
            data = self.sock.recv(65536)
            if not data:
                break
            received += data
        return received

    def test_broken_stream(self):
        """Guards against a broken stream with the end of a whole one."""
        one = fakes.make_event(1)
        self.prepare(
            fakes.close_delimited(one, b"id: 2\nda", pause=PAUSE_SECONDS),
            kind="streaming",
        )
        self.send(1)
        received = self.receive(LAST_CHUNK)
        self.assertTrue(received.startswith(b"HTTP/1.1 200"))
        self.assertTrue(received.endswith(fakes.chunk(one)))

    def test_whole_stream(self):
        """Guards against a connection that ends with a whole stream."""
        one = fakes.make_event(1)
        self.prepare(fakes.close_delimited(one), kind="streaming")
        for number in (1, 2):
            self.send(number)
            received = self.receive(LAST_CHUNK)
            self.assertTrue(received.startswith(b"HTTP/1.1 200"))
            self.assertTrue(received.endswith(fakes.chunk(one) + LAST_CHUNK))

    def test_whole_plain_answer(self):
        """Guards against a connection that ends with a whole answer."""
        self.prepare(fakes.close_delimited(b"done"), kind="idempotent")
        for number in (1, 2):
            self.send(number)
            received = self.receive(b"\r\n\r\ndone")
            self.assertIn(b"Content-Length: 4\r\n", received)
