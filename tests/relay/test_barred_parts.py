"""Requests with parts that are barred, on each way to an endpoint."""

import io

import result

from citronport import errors
from citronport.relay import forward_server
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import models
from citronport.scheduler.direct import suspects
from tests.relay import fakes
from tests.relay import samples
from tests.relay import senders

PART = fingerprints.make_part_fingerprint("bad")
PREFIX = {"x-prompt-prefix": "common:60,bad:20,own:10"}


class Body(io.BytesIO):
    """The body of a request as servers hand it to applications."""

    def read_all(self):
        """Return the whole body."""
        return result.Ok(self.read())


class BarredPartsTest(senders.SenderCase):
    """Single requests over real sockets."""

    def crash_others(self, number):
        """Record crashes, under unlike requests, of other endpoints."""
        # Crashes at one moment count once.
        now = self.room.ticker.now() - 1.0
        for each in range(number):
            self.suspects.record_crash(
                suspects.Content(
                    fingerprint=f"other-{each}", parts=(PART,), workspace="w"
                ),
                samples.make_endpoint(f"other-{each}"),
                now - each,
            )

    def test_request_reaches_no_endpoint(self):
        """Guards against one more crash for each unlike request."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        self.crash_others(2)
        self.assertEqual(503, self.ask(parts=(PART,)))
        self.assertEqual(int(errors.Code.BARRED), self.sender.progress.code)
        self.assertTrue(self.sender.progress.is_known_not_run)
        self.assertEqual([], endpoint.requests)
        self.assertEqual(200, self.ask())

    def test_request_that_connects_meanwhile_is_not_sent(self):
        """Guards against a bar that is missed after the reservation."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        cluster_state = self.room.cluster_state
        may_use = cluster_state.may_use

        def crash_then_check(endpoint):
            self.crash_others(2)
            return may_use(endpoint)

        cluster_state.may_use = crash_then_check
        self.assertEqual(503, self.ask(parts=(PART,)))
        self.assertEqual([], endpoint.requests)

    def test_stream_is_not_sent_to_a_second_endpoint(self):
        """Guards against a repeat after the crash that bars the part."""
        crashing = fakes.Endpoint(self, fakes.stream(complete=False))
        other = fakes.Endpoint(self, fakes.stream(fakes.make_event(1)))
        self.prepare(
            crashing, other, repeat=models.RepeatPolicy.STREAM, resumable=True
        )
        self.room.health.record_answer("e1", False, self.room.ticker.now())
        self.crash_others(1)
        self.assertEqual(502, self.ask(parts=(PART,)))
        self.assertEqual([], other.requests)

    def test_long_stream_clears_the_part(self):
        """Guards against blaming a part whose answers begin."""
        events = [fakes.make_event(n) for n in range(suspects.BEGUN_EVENTS)]
        endpoint = fakes.Endpoint(self, fakes.stream(*events))
        self.prepare(endpoint, repeat=models.RepeatPolicy.STREAM)
        self.assertEqual(200, self.ask(parts=(PART,)))
        self.crash_others(2)
        self.assertEqual(200, self.ask(parts=(PART,)))

    def test_closed_answer_does_not_clear_the_part(self):
        """Guards against a crash that looks like the end of an answer."""
        endpoint = fakes.Endpoint(
            self, fakes.close_delimited(fakes.make_event(1))
        )
        self.prepare(endpoint, repeat=models.RepeatPolicy.STREAM)
        self.assertEqual(200, self.ask(parts=(PART,)))
        self.crash_others(2)
        self.assertEqual(503, self.ask(parts=(PART,)))

    def test_instance_that_a_request_is_forwarded_to_refuses_it(self):
        """Guards against a way around the bar by another instance."""
        endpoint = fakes.Endpoint(self, fakes.answer())
        self.prepare(endpoint)
        sent = self.make_job(**PREFIX)
        self.room.cluster_state.configuration = samples.make_configuration(
            (self.route,),
            (samples.make_service(senders.PLAIN),),
            workspaces={sent.workspace.name: sent.workspace},
        )
        data = self.room.forwarder.encode(sent, (), (), 0, False, None, None)
        server = forward_server.ForwardServer(
            None, self.context, lambda: False, self.room.ticker
        )
        body = data.join().partition(b"\r\n\r\n")[2]
        job = server._make_job(body)
        self.crash_others(2)
        now = self.room.ticker.now()
        self.assertTrue(self.suspects.is_barred(job.content, now))
        self.assertIn(PART, job.parts)
