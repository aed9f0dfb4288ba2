"""Stand-in for a plain service, such as die reservations."""

import json

import gevent

from standins import answers
from standins import journal
from standins import listener


class Service:
    """Records each call in the journal; answers with a hash of its body."""

    def __init__(
        self, request_journal: journal.Journal, seconds: float
    ) -> None:
        self._journal = request_journal
        self._seconds = seconds
        self._running = 0
        self._received = 0

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one HTTP request."""
        if environ["PATH_INFO"] == "/load":
            report = {"running": self._running, "received": self._received}
            return _respond_json(start_response, report)
        body = environ["wsgi.input"].read()
        self._received += 1
        self._journal.add(
            "received",
            request=environ.get("HTTP_X_REQUEST_ID"),
            key=environ.get("HTTP_IDEMPOTENCY_KEY"),
            body=body.decode(errors="replace"),
        )
        self._running += 1
        gevent.sleep(self._seconds)
        self._running -= 1
        return _respond_json(
            start_response, {"receipt": answers.make_receipt(body)}
        )


def _respond_json(start_response, body: dict) -> list[bytes]:  # noqa: ANN001
    data = json.dumps(body).encode()
    start_response(
        "200 OK",
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]


def serve(
    address: str,
    port: int,
    name: str = "service",
    seconds: float = 0.02,
    record_file: str | None = None,
) -> None:
    """Serve until killed."""
    application = Service(journal.Journal(record_file, name), seconds)
    listener.serve(address, port, application)
