"""HTTP server for operators: metrics, status, readiness and drain."""

import collections.abc
import dataclasses
import json
from typing import Any

from absl import logging

from citronport import settings
from citronport import telemetry
from citronport.callers import connections
from citronport.callers import server as caller_server
from citronport.operators import const
from citronport.operators import metrics
from citronport.operators import models

LOG = "operators:"

StartResponse = collections.abc.Callable[..., Any]


class Application:
    """The WSGI application for operators.

    Args:
        read_status: returns the status of this instance.
        counts: counts since the start of the process.
        drain: starts a graceful shutdown.
    """

    def __init__(
        self,
        read_status: collections.abc.Callable[[], models.Status],
        counts: telemetry.Counts,
        drain: collections.abc.Callable[[], None],
    ) -> None:
        self._read_status = read_status
        self._counts = counts
        self._drain = drain

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Handle one HTTP request."""
        match (environ["REQUEST_METHOD"], environ["PATH_INFO"]):
            case ("GET", const.PATH_METRICS):
                body, content_type = metrics.render(
                    self._read_status(), self._counts
                )
                return _respond(start_response, "200 OK", body, content_type)
            case ("GET", const.PATH_STATUS):
                status = dataclasses.asdict(self._read_status())
                return _respond_json(start_response, "200 OK", status)
            case ("GET", const.PATH_READY):
                return self._respond_ready(start_response)
            case ("POST", const.PATH_DRAIN):
                return self._respond_drain(start_response)
            case (_, const.PATH_DRAIN):
                return _respond_json(
                    start_response, "405 Method Not Allowed", {"use": "POST"}
                )
            case _:
                return _respond_json(start_response, "404 Not Found", {})

    def _respond_ready(self, start_response: StartResponse) -> list[bytes]:
        status = self._read_status()
        missing = [
            name
            for name, is_missing in (
                ("catalogue", not status.catalogue_version),
                ("instance list", not status.list_version),
                ("leaving", status.leaving),
            )
            if is_missing
        ]
        status_line = "503 Service Unavailable" if missing else "200 OK"
        body = {"ready": not missing, "because": missing}
        return _respond_json(start_response, status_line, body)

    def _respond_drain(self, start_response: StartResponse) -> list[bytes]:
        logging.info("%s drain requested by an operator.", LOG)
        self._drain()
        return _respond_json(start_response, "202 Accepted", {"leaving": True})


def make_server(
    listener: settings.Listener, application: Application, max_connections: int
) -> caller_server.Server:
    """Return a server for operators; call ``start`` to listen.

    Args:
        listener: address to listen on.
        application: the WSGI application.
        max_connections: connections that may be open.
    """
    return caller_server.make_server(
        str(listener.address),
        listener.port,
        application,
        connections.Limits(connections=max_connections),
    )


def _respond_json(
    start_response: StartResponse, status_line: str, body: dict[str, Any]
) -> list[bytes]:
    data = json.dumps(body).encode() + b"\n"
    return _respond(start_response, status_line, data, "application/json")


def _respond(
    start_response: StartResponse,
    status_line: str,
    body: bytes,
    content_type: str,
) -> list[bytes]:
    headers = [
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    start_response(status_line, headers)
    return [body]
