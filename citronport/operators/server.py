"""Answers operators over HTTP: metrics, status, readiness, drain."""

import collections.abc
import dataclasses
import json
from typing import Any

from absl import logging
from gevent import pool
from gevent import pywsgi

from citronport import settings
from citronport import telemetry
from citronport.operators import const
from citronport.operators import metrics
from citronport.operators import models

LOG = "operators:"

StartResponse = collections.abc.Callable[..., Any]


class Application:
    """The WSGI application for operators.

    Args:
        describe: returns the status of this instance.
        counts: what was counted since its start.
        drain: orders a graceful stop.
    """

    def __init__(
        self,
        describe: collections.abc.Callable[[], models.Status],
        counts: telemetry.Counts,
        drain: collections.abc.Callable[[], None],
    ) -> None:
        self._describe = describe
        self._counts = counts
        self._drain = drain

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Answer one HTTP request."""
        match (environ["REQUEST_METHOD"], environ["PATH_INFO"]):
            case ("GET", const.PATH_METRICS):
                body, kind = metrics.render(self._describe(), self._counts)
                return _answer(start_response, "200 OK", body, kind)
            case ("GET", const.PATH_STATUS):
                status = dataclasses.asdict(self._describe())
                return _answer_json(start_response, "200 OK", status)
            case ("GET", const.PATH_READY):
                return self._answer_ready(start_response)
            case ("POST", const.PATH_DRAIN):
                return self._answer_drain(start_response)
            case (_, const.PATH_DRAIN):
                return _answer_json(
                    start_response, "405 Method Not Allowed", {"use": "POST"}
                )
            case _:
                return _answer_json(start_response, "404 Not Found", {})

    def _answer_ready(self, start_response: StartResponse) -> list[bytes]:
        status = self._describe()
        missing = [
            name
            for name, absent in (
                ("catalogue", not status.catalogue_version),
                ("instance list", not status.list_version),
                ("leaving", status.leaving),
            )
            if absent
        ]
        line = "503 Service Unavailable" if missing else "200 OK"
        body = {"ready": not missing, "because": missing}
        return _answer_json(start_response, line, body)

    def _answer_drain(self, start_response: StartResponse) -> list[bytes]:
        logging.info("%s drain ordered.", LOG)
        self._drain()
        return _answer_json(start_response, "202 Accepted", {"leaving": True})


def make_server(
    listener: settings.Listener, application: Application
) -> pywsgi.WSGIServer:
    """Return a server for operators; ``start`` makes it listen."""
    return pywsgi.WSGIServer(
        (str(listener.address), listener.port),
        application,
        log=None,
        spawn=pool.Pool(const.MAX_CONNECTIONS),
    )


def _answer_json(
    start_response: StartResponse, line: str, body: dict[str, Any]
) -> list[bytes]:
    data = json.dumps(body).encode() + b"\n"
    return _answer(start_response, line, data, "application/json")


def _answer(
    start_response: StartResponse, line: str, body: bytes, kind: str
) -> list[bytes]:
    headers = [
        ("Content-Type", kind),
        ("Content-Length", str(len(body))),
        # An idle connection would hold one of the few places.
        ("Connection", "close"),
    ]
    start_response(line, headers)
    return [body]
