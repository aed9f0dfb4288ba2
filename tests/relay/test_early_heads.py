"""Heads of answers that arrive while a large request is being sent."""

import gevent
import testtools

from citronport.endpoints import connection
from citronport.relay import upstream
from tests.relay import fakes

INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
ANSWER = fakes.render(
    200, b"done", X_Attempt_Id="id-1", X_Response_Seal="seal"
)
BODY = b"x" * 8_000_000
REQUEST = connection.OutgoingRequest(
    head=b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(BODY),
    body=BODY,
)
PAUSE_SECONDS = 0.05
HEAD_SECONDS = 0.2
END_SECONDS = 5.0


class EarlyHeadTest(testtools.TestCase):
    """An endpoint that sends before it has read the whole request."""

    def send(self, *pieces, reads=True):
        """Send a request; return the outcome and how much arrived of it.

        Args:
            pieces: what the endpoint sends before it reads on.
            reads: whether it then reads the request and answers.
        """
        self.arrived = 0

        def serve(sock, file):
            while file.readline().strip():
                pass
            for piece in pieces:
                sock.sendall(piece)
                gevent.sleep(PAUSE_SECONDS)
            if reads:
                self.arrived = len(file.read(len(BODY)))
                sock.sendall(ANSWER)
            gevent.sleep(2 * HEAD_SECONDS)

        server = fakes.Server(self, serve)
        self.exchange = upstream.Exchange(server.address, "id-1")
        self.addCleanup(self.exchange.close)
        self.assertIsNone(self.exchange.open())
        timeout = upstream.HeadTimeout(
            seconds=HEAD_SECONDS, should_stop=lambda: True
        )
        with gevent.Timeout(END_SECONDS, AssertionError("no end")):
            return self.exchange.send(REQUEST, timeout)

    def check_answered(self, outcome):
        """Check that the answer arrived."""
        self.assertIsInstance(outcome, upstream.Answered)
        self.assertEqual(200, outcome.answer.status)
        self.assertEqual(b"done", self.exchange.read())
        self.assertEqual(b"", self.exchange.read())

    def test_interim_heads(self):
        """Guards against a request that is cut by an interim head."""
        for pieces in ([INTERIM], [INTERIM * 2, INTERIM[:9], INTERIM[9:]]):
            self.check_answered(self.send(*pieces))
            self.assertEqual(len(BODY), self.arrived)

    def test_answer_before_the_request_is_read(self):
        """Guards against an answer that is missed while sending."""
        for pieces in ([ANSWER], [INTERIM + ANSWER], [ANSWER[:9], ANSWER[9:]]):
            self.check_answered(self.send(*pieces, reads=False))

    def test_closed_in_a_head(self):
        """Guards against a part of a head that counts as an answer."""
        for pieces in ([ANSWER[:30]], [INTERIM], [INTERIM[:30]], []):
            outcome = self.send(*pieces, reads=False)
            self.assertIsInstance(outcome, upstream.Broken)
