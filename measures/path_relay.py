"""Baseline relay without scheduling: WSGI server and HTTP client."""

import collections.abc
import itertools
from typing import Any

import geventhttpclient

from standins import listener

EVENT_END = b"\n\n"


class Relay:
    """Relays requests to the endpoints in turn on persistent connections.

    Args:
        addresses: "ip:port" of the endpoints.
        concurrency: size of the connection pool of each endpoint.
    """

    def __init__(self, addresses: list[str], concurrency: int) -> None:
        self._clients = itertools.cycle(
            [_connect(address, concurrency) for address in addresses]
        )

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: collections.abc.Callable[..., Any],
    ) -> collections.abc.Iterable[bytes]:
        """Relay one HTTP request."""
        body = environ["wsgi.input"].read()
        answer = next(self._clients).request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            body,
            {"Content-Type": environ.get("CONTENT_TYPE", "")},
        )
        headers = [("Content-Type", answer.get("content-type", ""))]
        length = answer.get("content-length")
        if length is None:
            start_response(f"{answer.status_code} OK", headers)
            return _read_events(answer)
        headers.append(("Content-Length", length))
        start_response(f"{answer.status_code} OK", headers)
        return [answer.read()]


def _connect(address: str, concurrency: int) -> geventhttpclient.HTTPClient:
    host, port = address.rsplit(":", 1)
    return geventhttpclient.HTTPClient(
        host, int(port), concurrency=concurrency, network_timeout=60.0
    )


def _read_events(answer: Any) -> collections.abc.Iterator[bytes]:
    while event := answer.readline(EVENT_END):
        yield event


def run(address: str, port: int, endpoints: str, concurrency: int) -> None:
    """Serve until killed.

    Args:
        address: where to listen.
        port: where to listen.
        endpoints: "ip:port" of each endpoint, joined by "+".
        concurrency: connections kept to each.
    """
    relay = Relay(endpoints.split("+"), concurrency)
    listener.serve(address, port, relay)
