"""Stand-in for the platform: publishes values that clients can watch."""

import json
import time
import urllib.parse

import gevent
from gevent import event
import msgpack

from standins import journal
from standins import listener

DOWN = "down"
STALE = "stale"
UP = "up"


class Platform:
    """Serves the catalogue and the instance list.

    ``/admin/put?path=P&version=N`` publishes the body as a value.
    ``/admin/mode?mode=M`` sets the mode: "down" answers 503, "stale"
    serves the values of the moment when the mode was set, "up" serves the
    current ones. Every other request counts as a read.
    """

    def __init__(self, request_journal: journal.Journal) -> None:
        self._journal = request_journal
        self._values: dict[str, tuple[int, str]] = {}
        self._stale: dict[str, tuple[int, str]] = {}
        self._mode = UP
        self._changed = event.Event()
        self.reads = 0

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one HTTP request."""
        query = urllib.parse.parse_qs(environ["QUERY_STRING"])
        path = environ["PATH_INFO"]
        if path.startswith("/admin/"):
            return self._serve_admin(path, query, environ, start_response)
        self.reads += 1
        if self._mode == DOWN:
            start_response("503 Down", [("Content-Length", "0")])
            return []
        after = int(query["after"][0])
        wait = float(query["wait"][0])
        found = self._wait_for_value(path, after, wait)
        if found is None:
            start_response("304 Not Modified", [])
            return []
        body = msgpack.packb({"version": found[0], "value": found[1]})
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def _wait_for_value(
        self, path: str, after: int, wait: float
    ) -> tuple[int, str] | None:
        end = time.monotonic() + wait
        while True:
            held = self._stale if self._mode == STALE else self._values
            found = held.get(path)
            if found is not None and found[0] != after:
                return found
            left = end - time.monotonic()
            if left <= 0 or self._mode == DOWN:
                return None
            self._changed.wait(left)

    def _serve_admin(self, path, query, environ, start_response):  # noqa: ANN001, ANN202
        if path == "/admin/put":
            body = environ["wsgi.input"].read().decode()
            version = int(query["version"][0])
            self._values[query["path"][0]] = (version, body)
            self._journal.add("put", path=query["path"][0], version=version)
        elif path == "/admin/mode":
            self._mode = query["mode"][0]
            self._stale = dict(self._values)
            self._journal.add("mode", mode=self._mode)
        self._changed.set()
        gevent.sleep(0)
        self._changed.clear()
        body = json.dumps({"reads": self.reads}).encode()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]


def serve(address: str, port: int, record_file: str | None = None) -> None:
    """Serve until killed."""
    application = Platform(journal.Journal(record_file, "platform"))
    listener.serve(address, port, application)
