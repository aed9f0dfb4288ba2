"""Fakes of the platform's store and of an endpoint."""

import base64
import json
import socket
import struct
import time

import gevent
from gevent import server as gevent_server

STORE_RANGE = "/citronport/kv-range"
STORE_WATCH = "/citronport/kv-watch"


def read_request(file):
    """Return method, target, headers and body of a request, if any."""
    line = file.readline().decode()
    if not line.strip():
        return None
    method, target, _ = line.split()
    headers = {}
    while (line := file.readline().decode().strip()) != "":
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = file.read(int(headers.get("content-length", 0)))
    return method, target, headers, body


def render(status, body=b"", **headers):
    """Return the bytes of a response with a Content-Length header."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join((*lines, "", "")).encode() + body


def chunk(data):
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number, text="x"):
    """Return one event of a stream."""
    return f"id: {number}\ndata: {text}\n\n".encode()


class Server:
    """A server on a free local port.

    Args:
        test: the test at whose end the server is stopped.
        serve: called with socket and file of each connection.
    """

    def __init__(self, test, serve):
        self._serve = serve
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self._run)
        self.server.start()
        test.addCleanup(self.server.stop, 0)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _run(self, sock, _):
        file = sock.makefile("rb")
        try:
            self._serve(sock, file)
        except OSError:
            # Tests close connections early on purpose.
            pass
        finally:
            file.close()
            sock.close()


PAGE_BYTES = 1_000_000
"""Bytes of values after which a page of the store ends."""


class Store(Server):
    """The part of the platform's store that an instance reads.

    Attributes:
        mode: "well", "silent", "stalled" (in the middle of a response),
            "busy", "garbage", "compacted" (for one call) or "endless" (each
            page is the first one, and says that another follows).
        era: how often it was restored from a copy.
        oldest: revision before which its history is discarded.
    """

    def __init__(self, test):
        self.revision = 1
        self.era = 0
        self.oldest = 0
        self.items = {}
        self.events = []
        self.mode = "well"
        self.calls = []
        self.page = 500
        super().__init__(test, self._serve_calls)

    def put(self, key, value):
        """Write an item."""
        self.revision += 1
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createdRev": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def delete(self, key):
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.events.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def copy_items(self, other, replacements):
        """Take over the content of another store.

        Args:
            other: the other store.
            replacements: texts in its values to replace.
        """
        self.revision = other.revision
        for key, item in other.items.items():
            value = base64.b64decode(item["value"]).decode()
            for old, new in replacements.items():
                value = value.replace(f'"{old}"', f'"{new}"')
            copied = {
                **item,
                "value": base64.b64encode(value.encode()).decode(),
            }
            self.items[key] = copied
            self.events.append(copied)

    def copy(self):
        """Return a copy of its content, see ``restore``."""
        return self.revision, dict(self.items), list(self.events)

    def restore(self, copied):
        """Come back from a copy; what was written since then is lost."""
        self.revision, items, events = copied
        self.items, self.events = dict(items), list(events)
        self.era += 1

    def discard_history(self):
        """Discard all changes that were made so far."""
        self.oldest = self.revision
        self.events.clear()

    def _serve_calls(self, sock, file):
        while (request := read_request(file)) is not None:
            _, target, _, _ = request
            path, _, query = target.partition("?")
            fields = dict(f.split("=") for f in query.split("&") if f)
            self.calls.append(path)
            match self.mode:
                case "silent":
                    gevent.sleep(60)
                case "stalled":
                    sock.sendall(render(200, b"{}" * 50)[:-20])
                    gevent.sleep(60)
                case "busy":
                    sock.sendall(self._render(503))
                case "garbage":
                    sock.sendall(self._render(200, b"{"))
                case _ if path == STORE_RANGE:
                    sock.sendall(self._render(200, self._range(fields)))
                case "compacted":
                    self.mode = "well"
                    sock.sendall(self._render(410))
                case _ if (
                    not self.oldest <= int(fields["after"]) <= self.revision
                ):
                    sock.sendall(self._render(410))
                case _:
                    sock.sendall(self._render(200, self._watch(fields)))

    def _render(self, status, body=b""):
        return render(status, body, Store_Era=self.era)

    def _range(self, fields):
        is_endless = self.mode == "endless"
        after = fields.get("after", "").replace("%2F", "/")
        keys = sorted(k for k in self.items if k > after or is_endless)
        listed = keys[: self._count_page(keys)]
        return json.dumps(
            {
                "items": [self.items[k] for k in listed],
                "morePages": len(keys) > len(listed) or is_endless,
                "currentRev": self.revision,
            }
        ).encode()

    def _count_page(self, keys):
        """Return how many of some keys fit into a page."""
        size = 0
        for number, key in enumerate(keys[: self.page]):
            if size > PAGE_BYTES:
                return number
            size += len(self.items[key]["value"])
        return self.page

    def _watch(self, fields):
        after = int(fields["after"])
        era = self.era
        until = time.monotonic() + int(fields["waitMs"]) / 1000
        while time.monotonic() < until and self.revision <= after:
            if self.era != era:
                # The store was restored meanwhile; it cuts its watches.
                raise ConnectionResetError
            gevent.sleep(0.01)
        prefix = fields.get("prefix", "").replace("%2F", "/")
        events = [
            e
            for e in self.events
            if e["revision"] > after and e["key"].startswith(prefix)
        ]
        return json.dumps(
            {"events": events, "currentRev": self.revision}
        ).encode()


class Endpoint(Server):
    """An endpoint that answers each request with the next script.

    Attributes:
        scripts: functions of socket and headers, one for each request; the
            last one serves all further requests.
        requests: method, target, headers and body of each received request.
    """

    def __init__(self, test, *scripts):
        self.scripts = list(scripts)
        self.requests = []
        super().__init__(test, self._serve_request)

    def _serve_request(self, sock, file):
        request = read_request(file)
        if request is None:
            return
        self.requests.append(request)
        script = self.scripts[0]
        if len(self.scripts) > 1:
            self.scripts.pop(0)
        script(sock, request[2])


def answer(status=200, body=b"done", signed=True, **extra):
    """Return a script that answers at once."""

    def script(sock, headers):
        fields = {"X_Attempt_Id": headers["x-attempt-id"], **extra}
        if signed:
            fields["X_Response_Seal"] = "seal"
        sock.sendall(render(status, body, **fields))

    return script


def stream(*events, complete=True, pause=0.0):
    """Return a script that streams events; it breaks off unless complete."""

    def script(sock, headers):
        sock.sendall(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n"
                f"X-Attempt-Id: {headers['x-attempt-id']}\r\n"
                "X-Response-Seal: seal\r\n\r\n"
            ).encode()
        )
        for event in events:
            sock.sendall(chunk(event))
            gevent.sleep(pause)
        if complete:
            sock.sendall(b"0\r\n\r\n")

    return script


def close_delimited(*pieces, reset=False, pause=0.0, kind="text/event-stream"):
    """Return a script whose answer has no length and no chunks.

    Args:
        pieces: parts of the body.
        reset: whether the connection is reset at the end, not closed.
        pause: seconds after each part.
        kind: content type of the body.
    """

    def script(sock, headers):
        sock.sendall(
            (
                f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\n"
                f"X-Attempt-Id: {headers['x-attempt-id']}\r\n"
                "X-Response-Seal: seal\r\n\r\n"
            ).encode()
        )
        for piece in pieces:
            sock.sendall(piece)
            gevent.sleep(pause)
        if reset:
            reset_at_close(sock)

    return script


def reset_at_close(sock):
    """Let a socket reset its connection when it is closed."""
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def close_unanswered(sock, headers):
    """Close the connection without an answer."""
    del headers
    sock.close()


def never_answer(sock, headers):
    """Never answer."""
    del sock, headers
    gevent.sleep(60)
