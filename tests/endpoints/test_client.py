"""Tests of the endpoint client: single sends, streams, resume, cancel."""

import json
import socket

import gevent
from gevent import event
from gevent import pywsgi
from gevent import server
import result
import testtools

from citronport import errors
from citronport.endpoints import client
from citronport.endpoints import connection
from citronport.endpoints import messages
from citronport.endpoints import pool
from standins import caller
from standins import engine
from tests.relay import fakes

ADDRESS = "127.72.0.1"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
END = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"


class ConnectionTest(testtools.TestCase):
    """Connections to endpoints."""

    def test_silence_ends_no_connection(self):
        """Guards against answers lost at a sound endpoint that is silent.

        A user timeout of a library would also decide when keep-alive probes
        give up.
        """
        listening = server.StreamServer((ADDRESS, 0), lambda *_: None)
        listening.start()
        self.addCleanup(listening.stop, 1)
        opened = connection.connect(f"{ADDRESS}:{listening.server_port}")
        self.addCleanup(opened.close)
        options = [
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        ]
        for level, name in options:
            self.assertEqual(0, opened._sock.getsockopt(level, name))
        self.assertIsNone(opened._sock.gettimeout())


class MemoryJournal:
    """An in-memory journal for the stand-in engine."""

    def __init__(self):
        self.kinds = []

    def add(self, kind, **_):
        """Record the kind of a line."""
        self.kinds.append(kind)


class ClientTest(testtools.TestCase):
    """Calls of a client to an endpoint that runs in this process."""

    def setUp(self):
        """Create the client."""
        super().setUp()
        self.client = client.Client()
        self.pieces = []

    def serve(self, handle):
        """Serve connections with a handler; return the address."""
        listening = server.StreamServer((ADDRESS, 0), handle)
        listening.start()
        self.addCleanup(listening.stop, 1)
        return f"{ADDRESS}:{listening.server_port}"

    def serve_engine(self, **shape):
        """Start a stand-in engine; return it and its address."""
        self.journal = MemoryJournal()
        fast = {"name": "engine", "cold_seconds": 0.0, "decode_rate": 500.0}
        made = engine.Engine(engine.Shape(**fast, **shape), self.journal)
        listening = pywsgi.WSGIServer(
            (ADDRESS, 0), made, log=None, error_log=None
        )
        listening.start()
        self.addCleanup(listening.stop, 1)
        return made, f"{ADDRESS}:{listening.server_port}"

    def call(self, address, *, deliver=None, body=b"{}", **options):
        """Run one call and return its result."""
        fields = {
            "request_id": "request-1",
            "method": "POST",
            "path": "/v1/chat/completions",
            "body": body,
            "headers": {},
            "stream": True,
            "timeout": 10.0,
        }
        return self.client.run_call(
            address,
            1,
            client.Call(**{**fields, **options}),
            lambda: True,
            deliver or self.pieces.append,
        )

    def join_answer(self):
        """Return the response body; check that its offsets are gapless."""
        joined = b""
        for piece in self.pieces:
            if isinstance(piece, messages.Chunk):
                self.assertEqual(len(joined), piece.offset)
                joined += piece.data
        return joined

    def test_first_piece_comes_before_the_end(self):
        """The endpoint ends its stream only after the first delivery.

        Guards against a reader that delivers a stream only at its end.
        """
        came = event.Event()

        def handle(sock, _):
            sock.recv(65536)
            sock.sendall(CHUNKED + b"6\r\ndata: \r\n")
            came.wait(5)
            sock.sendall(END)

        def deliver(message):
            if isinstance(message, messages.Chunk):
                came.set()
            self.pieces.append(message)

        self.assertTrue(self.call(self.serve(handle), deliver=deliver).is_ok())
        self.assertEqual(b"data: data: [DONE]\n\n", self.join_answer())

    def test_interrupted_stream_is_resumed(self):
        """The caller gets a complete response and the engine runs it once.

        The connection to the engine breaks twice within the stream. The
        client requests the rest from its byte offset over a new connection;
        the engine continues the stream that it has kept.
        """
        made, address = self.serve_engine()
        body = caller.make_chat("small", "how warm?", 40)

        def deliver(message):
            self.pieces.append(message)
            if len(self.pieces) in (5, 15):
                for stream in made._streams.values():
                    stream.disconnect_readers()

        encoded = caller.encode_body(body)
        answer = self.call(address, deliver=deliver, body=encoded)
        self.assertEqual(40, answer.unwrap().output_tokens)
        events = [e for e in self.join_answer().split(b"\n\n") if e][:-1]
        tokens = [
            json.loads(e.removeprefix(b"data: "))["choices"][0]["delta"]
            for e in events
        ]
        text = "".join(token.get("content", "") for token in tokens)
        self.assertEqual(caller.make_expected(body), text)
        self.assertEqual(1, self.journal.kinds.count("received"))

    def test_stream_is_not_resumed_at_its_deadline(self):
        """Guards against a deadline that counts as a restarted endpoint.

        The endpoint would be used as a cold one, and the request for the rest
        would be waited for without a timeout.
        """
        requests = []

        def handle(sock, _):
            requests.append(sock.recv(65536))
            headers = b"X-Resumable: true\r\n"
            sock.sendall(CHUNKED.replace(HEAD, HEAD + headers))
            sock.sendall(b"6\r\ndata: \r\n")
            sock.recv(1)

        address = self.serve(handle)
        with gevent.Timeout(5.0, AssertionError("no end at the deadline")):
            answer = self.call(address, timeout=0.3)
        late = client.Failure(
            sent=True, code=errors.Code.DEADLINE_PASSED_RUNNING
        )
        self.assertEqual(result.Err(late), answer)
        self.assertNotIn(messages.Interrupted(), self.pieces)
        gevent.sleep(0.1)
        later = [request.split()[1] for request in requests[1:]]
        self.assertEqual([b"/cancel?id=request-1"], later)

    def test_resume_with_other_request_is_refused(self):
        """The resumed stream belongs to another request.

        The caller gets the data from before the interruption and then an
        "outcome unknown" refusal, but no byte of the other response.
        """

        def handle(sock, _):
            if sock.recv(65536).startswith(b"POST"):
                headers = b"X-Resumable: true\r\n"
                sock.sendall(CHUNKED.replace(HEAD, HEAD + headers))
                sock.sendall(b"6\r\ndata: \r\n")
            else:
                headers = b"X-Request-Id: request-2\r\nX-Offset: 6\r\n"
                sock.sendall(CHUNKED.replace(HEAD, HEAD + headers) + END)

        answer = self.call(self.serve(handle))
        lost = client.Failure(sent=True, code=errors.Code.ENDPOINT_LOST)
        self.assertEqual(result.Err(lost), answer)
        self.assertEqual(b"data: ", self.join_answer())

    def serve_broken(self, body, rest=None, reset=False):
        """Serve a close-delimited stream that ends early; return the address.

        Args:
            body: its bytes before its connection ends.
            rest: what a request for the rest gets; None if the engine keeps
                no streams.
            reset: whether the connection is reset, not closed.
        """
        resumable = b"" if rest is None else b"X-Resumable: true\r\n"

        def handle(sock, _):
            if sock.recv(65536).startswith(b"POST"):
                sock.sendall(HEAD + resumable + b"\r\n" + body)
                gevent.sleep(0.02)
            else:
                headers = f"X-Request-Id: request-1\r\nX-Offset: {len(body)}"
                head = HEAD + headers.encode() + b"\r\n\r\n"
                sock.sendall(head + rest)
            if reset:
                fakes.reset_at_close(sock)

        return self.serve(handle)

    def test_close_delimited_stream_that_breaks_off(self):
        """Guards against a broken stream that counts as a whole one."""
        event = b'data: {"text": "x"}\n\n'
        for body in (
            b"",
            b"data: {",
            event,
            event + b"data: {",
            event + b"data: [DONE]",
            event + b"data: [DONE]\n",
            (event + b"data: [DONE]\n").replace(b"\n", b"\r\n"),
            event + b'data: {"text": "data: [DONE]',
            event + b'data: {"text": "\\ndata: [DONE]',
        ):
            for reset in (False, True):
                self.pieces = []
                answer = self.call(self.serve_broken(body, reset=reset))
                lost = client.Failure(
                    sent=True, code=errors.Code.ENDPOINT_LOST
                )
                self.assertEqual((body, result.Err(lost)), (body, answer))

    def test_close_delimited_stream_that_is_whole(self):
        """Guards against a whole stream that counts as a broken one."""
        event = b'data: {"text": "x"}\n\n'
        for body in (
            event + b"data: [DONE]\n\n",
            event + b"data: [DONE]\n\n\n",
            (event + b"data: [DONE]\n\n").replace(b"\n", b"\r\n"),
        ):
            self.pieces = []
            self.assertTrue(self.call(self.serve_broken(body)).is_ok())
            self.assertEqual(body, self.join_answer())

    def test_close_delimited_stream_that_closes_early_is_resumed(self):
        """Guards against a kept stream whose rest is not fetched."""
        whole = b'data: {"text": "x"}\n\ndata: [DONE]\n\n'
        for size in (0, 5, 21, len(whole) - 1):
            self.pieces = []
            address = self.serve_broken(whole[:size], whole[size:])
            self.assertTrue(self.call(address).is_ok())
            self.assertEqual(whole, self.join_answer())

    def test_resumed_stream_that_closes_early(self):
        """Guards against a resumed stream that counts as a whole one."""
        address = self.serve_broken(b"data: {", b"}\n\ndata: [DO")
        lost = client.Failure(sent=True, code=errors.Code.ENDPOINT_LOST)
        self.assertEqual(result.Err(lost), self.call(address))
        self.assertEqual(b"data: {}\n\ndata: [DO", self.join_answer())

    def test_plain_answer_without_a_frame(self):
        """Guards against a plain answer that is reset and counts as whole."""
        for size in (2, 200_000):
            body = b"x" * size
            address = self.serve_broken(body)
            self.assertTrue(self.call(address, stream=False).is_ok())
            broken = self.serve_broken(body, reset=True)
            answer = self.call(broken, stream=False)
            self.assertTrue(answer.is_err())

    def test_call_is_never_sent_again(self):
        """A reused connection closes as soon as the second call is sent.

        The library's own client would retry a PUT, and a plain service
        would run it twice. Here the outcome is unknown.
        """
        arrived = []

        def handle(sock, _):
            arrived.append(sock.recv(65536))
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            arrived.append(sock.recv(65536))

        address = self.serve(handle)
        options = {"method": "PUT", "stream": False}
        self.assertTrue(self.call(address, **options).is_ok())
        second = self.call(address, **options)
        self.assertTrue(second.unwrap_err().sent)
        self.assertEqual(2, len(arrived))

    def test_call_is_not_sent_when_check_fails(self):
        """No byte is sent if the check after connecting fails."""
        arrived = []
        address = self.serve(lambda sock, _: arrived.append(sock.recv(9)))
        self.client.run_call(
            address,
            1,
            client.Call(
                request_id="request-1",
                method="POST",
                path="/",
                body=b"{}",
                headers={},
                stream=False,
                timeout=5.0,
            ),
            lambda: False,
            self.pieces.append,
        )
        gevent.sleep(0)
        gevent.sleep(0.01)
        self.assertNotIn(b"POST", b"".join(arrived))

    def test_call_ends_at_its_deadline_and_stops_the_engine(self):
        """The response would take 10 s; the caller's deadline is 0.2 s."""
        _, address = self.serve_engine(prefill_rate=0.1)
        body = caller.encode_body(caller.make_chat("small", "how?", 4))
        answer = self.call(address, body=body, timeout=0.2)
        self.assertEqual(
            errors.Code.DEADLINE_PASSED_RUNNING, answer.unwrap_err().code
        )
        with gevent.Timeout(5):
            while "stopped" not in self.journal.kinds:
                gevent.sleep(0.01)

    def test_kept_connection_belongs_to_one_start(self):
        """A connection to an earlier process start is not reused."""
        address = self.serve(lambda sock, _: sock.recv(9))
        kept = pool.Pool()
        first = kept.acquire(address, 1)
        first.is_reusable = lambda: True
        kept.release(address, first)
        self.assertIs(first, kept.acquire(address, 1))
        kept.release(address, first)
        self.assertIsNot(first, kept.acquire(address, 2))

    def test_answer_to_head_has_no_body(self):
        """The announced Content-Length of a HEAD response is not awaited."""

        def handle(sock, _):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            sock.recv(65536)

        options = {"method": "HEAD", "stream": False, "body": b""}
        answer = self.call(self.serve(handle), **options)
        self.assertEqual(0, answer.unwrap().size)

    def test_smuggled_header_is_not_sent(self):
        """A header value with a line break is rejected, not sent."""
        self.assertRaises(
            ValueError,
            connection.encode_request,
            "127.0.0.1:1",
            "POST",
            "/",
            b"",
            {"X-Request-Id": "a\r\nContent-Length: 0\r\n\r\nGET /"},
        )

    def test_only_long_streams_are_coalesced(self):
        """Reads of a long stream hold several tokens, the first only one.

        The engine generates 200 tokens, one every 2 ms. The first is
        delivered at once; later ones are coalesced up to the limit.
        """
        _, address = self.serve_engine()
        body = caller.make_chat("small", "how warm?", 200)
        self.call(address, body=caller.encode_body(body))
        sizes = [
            piece.data.count(b"data: ")
            for piece in self.pieces
            if isinstance(piece, messages.Chunk)
        ]
        self.assertEqual(1, sizes[0])
        self.assertLess(len(sizes), 100)
