"""Answers whose bytes never end, from endpoints, the store and peers."""

import contextlib
import pathlib
import resource
import time

import gevent
from gevent import socket
import result
import testtools

from citronport import settings
from citronport.callers import replies
from citronport.callers import server
from citronport.catalogue import client as catalogue_client
from citronport.endpoints import connection
from citronport.platform import client
from citronport.relay import message_limits
from citronport.relay import refusals
from citronport.relay import replication
from citronport.scheduler.direct import models
from tests.relay import fakes
from tests.relay import senders

PIECE = 65536
TOTAL_BYTES = 400_000_000
"""Where the fakes stop, so that a test ends if nothing else ends them."""

MAX_SECONDS = 4.0
MAX_GROWTH_BYTES = 40_000_000
MAX_PAUSE_SECONDS = 0.5
"""Longest time for which other tasks may wait."""

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"

HEADS = {
    "header lines": (HEAD, b"X-Filler: 0123456789abcdef\r\n"),
    "header value": (HEAD + b"X-Filler: ", b"v"),
    "header name": (HEAD, b"n"),
    "reason phrase": (b"HTTP/1.1 200 ", b"O"),
    "empty lines": (b"", b"\r\n"),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
BODIES = {
    "chunk extension": (HEAD + CHUNKED + b"5;", b"e"),
    "trailer lines": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"X-T: 0\r\n"),
    "trailer value": (HEAD + CHUNKED + b"1\r\nx\r\n0\r\nX-T: ", b"t"),
}
EVENTS = {
    "event": (STREAM + b"\r\ndata: ", b"d"),
    "event of many lines": (STREAM + b"\r\n", b"data: line\n"),
    "event in chunks": (STREAM + CHUNKED, fakes.chunk(b"d" * 1000)),
}
ENDLESS_BODIES = {
    "body": (HEAD + b"\r\n", b"b"),
    "body in chunks": (HEAD + CHUNKED, fakes.chunk(b"b" * 1000)),
    "events": (STREAM + b"\r\n", b"data: x\n\n"),
}

REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\n"
REQUESTS = {
    "header lines": (REQUEST, b"X-Filler: 0123456789abcdef\r\n"),
    "header value": (REQUEST + b"X-Filler: ", b"v"),
    "target": (b"POST /", b"t"),
    "empty lines": (b"", b"\r\n"),
    "chunk extension": (REQUEST + CHUNKED + b"5;", b"e"),
    "trailer lines": (REQUEST + CHUNKED + b"0\r\n", b"X-T: 0\r\n"),
    "trailer value": (REQUEST + CHUNKED + b"0\r\nX-T: ", b"t"),
    "body in chunks": (REQUEST + CHUNKED, fakes.chunk(b"b" * 1000)),
}


def send_forever(start, repeated):
    """Return a script that sends a start and then the same again and again."""

    def script(sock, headers):
        del headers
        piece = repeated * (PIECE // len(repeated) + 1)
        sock.sendall(start)
        sent = 0
        with contextlib.suppress(OSError):
            while sent < TOTAL_BYTES:
                sock.sendall(piece)
                sent += len(piece)
                # The fake shares the event loop with what it sends to.
                gevent.sleep(0)

    return script


class Observer:
    """Measures what other tasks get while something runs.

    Attributes:
        longest_pause: longest time without a turn, seconds.
        growth: growth of the memory of the process, bytes.
    """

    def __init__(self):
        self.longest_pause = 0.0
        self.growth = 0

    def __enter__(self):
        """Begin to measure."""
        self._start = read_memory()
        self._task = gevent.spawn(self._observe)
        gevent.sleep(0)
        return self

    def __exit__(self, *_):
        """End the measurement."""
        gevent.sleep(0.01)
        self._task.kill()

    def _observe(self):
        last = time.monotonic()
        while True:
            gevent.sleep(0.01)
            now = time.monotonic()
            self.longest_pause = max(self.longest_pause, now - last)
            last = now
            self.growth = max(self.growth, read_memory() - self._start)


def read_memory():
    """Return the resident memory of this process, bytes."""
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


class EndlessCase(senders.SenderCase):
    """Checks of what an endless answer costs."""

    @contextlib.contextmanager
    def bounded(self, what):
        """Check time and memory, and that others are served meanwhile."""
        began = time.monotonic()
        with Observer() as observer:
            yield
        self.assertLess(time.monotonic() - began, MAX_SECONDS, what)
        self.assertLess(observer.longest_pause, MAX_PAUSE_SECONDS, what)
        self.assertLess(observer.growth, MAX_GROWTH_BYTES, what)


class EndlessAnswerTest(EndlessCase):
    """Endpoints whose answers never end."""

    def serve(self, start, repeated, **route):
        """Prepare an endpoint that sends something without end."""
        self.prepare(
            fakes.Endpoint(self, send_forever(start, repeated)),
            **{"max_endpoints": 1, "timeout": 3.0, **route},
        )

    def check_failed(self):
        """Check that the endpoint counts as failed, and has not crashed."""
        self.assertGreater(self.room.health._records["e0"].failure_share, 0)
        self.assertFalse(self.room.health._records["e0"].paused_until)

    def test_head(self):
        """Guards against heads that fill memory and stop the event loop."""
        for what, sent in HEADS.items():
            self.serve(*sent)
            with self.bounded(what):
                self.assertEqual(502, self.ask(), what)
            self.assertFalse(self.sender.progress.is_known_not_run, what)
            self.check_failed()

    def test_head_of_a_request_that_may_run_again(self):
        """Guards against requests that are lost to one endless endpoint."""
        for what, sent in HEADS.items():
            bad = fakes.Endpoint(self, send_forever(*sent))
            self.prepare(bad, fakes.Endpoint(self, fakes.answer()))
            self.room.health.record_answer("e1", False, 0.0)
            with self.bounded(what):
                self.assertEqual(200, self.ask(), what)

    def test_framing(self):
        """Guards against chunk lines and trailers without end."""
        for what, sent in BODIES.items():
            self.serve(*sent)
            with self.bounded(what):
                self.assertEqual(502, self.ask(), what)
            self.check_failed()

    def test_event(self):
        """Guards against one event that is kept in memory without end."""
        for what, sent in EVENTS.items():
            self.serve(*sent, repeat=models.RepeatPolicy.STREAM)
            with self.bounded(what):
                self.assertEqual(502, self.ask(), what)
            self.check_failed()

    def test_body(self):
        """Guards against bodies that stop the event loop, or never end."""
        for what, sent in ENDLESS_BODIES.items():
            repeat = (
                models.RepeatPolicy.STREAM
                if what == "events"
                else models.RepeatPolicy.IDEMPOTENT
            )
            self.serve(*sent, repeat=repeat)
            self.received = 0
            with self.bounded(what):
                self.assertRaises(replies.StreamCutError, self.drain)
            self.assertLessEqual(
                self.received, connection.MAX_ANSWER_BYTES, what
            )
            self.assertEqual("cut", self.sender.progress.outcome)
            self.check_failed()

    def drain(self):
        """Send a request and drop its answer as it comes."""
        self.started = []
        self.sender = senders.sender.Sender(self.context, self.make_job())
        for piece in self.sender.answer(self.start):
            self.received += len(piece)


class EndlessStoreTest(EndlessCase):
    """Stores whose answers never end."""

    def test_answers(self):
        """Guards against a store that fills the memory of all instances."""
        for what, sent in {**HEADS, **BODIES, **ENDLESS_BODIES}.items():
            server = fakes.Endpoint(self, send_forever(*sent))
            store = client.Client(server.address, 1.0)
            with self.bounded(what):
                self.assertIsInstance(store.read("servers/"), result.Err)


class EndlessPeerTest(EndlessCase):
    """Instances whose messages never end."""

    def test_message(self):
        """Guards against a message that fills the memory of the others."""

        def serve(sock, file):
            del file
            # A list whose second element is a text of 2 GB.
            send_forever(b"\x92\x00\xdb\x7f\xff\xff\xff", b"m")(sock, {})

        server = fakes.Server(self, serve)
        host, _, port = server.address.partition(":")
        reader = replication._MessageReader()
        with self.bounded("message"):
            sock = socket.create_connection((host, int(port)))
            error = None
            try:
                reader.read(sock)
            except replication.FETCH_ERRORS as caught:
                error = caught
            sock.close()
        self.assertIsNotNone(error)
        self.assertLessEqual(
            reader.received, 2 * message_limits.MAX_MESSAGE_BYTES
        )


class EndlessCallerTest(EndlessCase):
    """Callers whose requests never end."""

    def answer(self, environ, start_response):
        """Answer once the body was read, as the application does."""
        match environ["wsgi.input"].read_all():
            case result.Err(refusal):
                return refusals.answer(start_response, refusal, close=True)
        raise AssertionError("the body has an end")

    def test_requests(self):
        """Guards against callers that fill memory and stop the others."""
        instance = server.make_server("127.0.0.1", 0, self.answer)
        instance.start()
        self.addCleanup(instance.stop, 0)
        for what, sent in REQUESTS.items():
            with self.bounded(what):
                sock = socket.create_connection(instance.address)
                task = gevent.spawn(send_forever(*sent), sock, {})
                with contextlib.suppress(ConnectionResetError):
                    self.assertIn(b" 4", sock.recv(PIECE)[:13], what)
                task.join()
                sock.close()


class EndlessPlatformTest(EndlessCase):
    """Platforms of ``citronport serve`` whose answers never end."""

    def test_answers(self):
        """Guards against published values without end."""
        for what, sent in {**HEADS, **BODIES, **ENDLESS_BODIES}.items():
            platform = fakes.Endpoint(self, send_forever(*sent))
            host, _, port = platform.address.partition(":")
            address = settings.Listener(address=host, port=int(port))
            with self.bounded(what):
                found = catalogue_client.fetch("/catalogue", address, 0, 0.0)
            self.assertIsInstance(found, result.Err, what)


class SlowHeadTest(testtools.TestCase):
    """Heads that come byte by byte."""

    def test_whole_head(self):
        """A head that comes in single bytes is read like any other."""

        def serve(sock, file):
            fakes.read_request(file)
            for byte in HEAD + b"Content-Length: 0\r\n\r\n":
                sock.sendall(bytes([byte]))

        server = fakes.Server(self, serve)
        opened = connection.connect(server.address)
        opened.send(connection.encode_request("a", "GET", "/"))
        self.assertEqual(200, opened.read_head().status_code)
        opened.close()
