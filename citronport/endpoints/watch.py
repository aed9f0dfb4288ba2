"""Watches endpoints: one task and one long-lived connection for each.

Only the owner of an endpoint watches it. The connection carries the load
reports, and it is the evidence of the endpoint's start: a process that
ends closes it, which is seen at once and not at the next report.
"""

import collections.abc
import json
from typing import Any

from absl import logging
import gevent
from geventhttpclient import response as http_response

from citronport import clock
from citronport.endpoints import connection
from citronport.endpoints import const
from citronport.scheduler import models

LOG = "endpoints:"


class Watch:
    """Watches one endpoint.

    Args:
        endpoint: its name.
        address: "ip:port".
        ticker: the clock.
        post: takes the events.
        make_start: gives each start that is seen its number.
    """

    def __init__(
        self,
        endpoint: str,
        address: str,
        ticker: clock.Clock,
        post: collections.abc.Callable[[models.Event], None],
        make_start: collections.abc.Callable[[], int],
    ) -> None:
        self.address = address
        self._endpoint = endpoint
        self._ticker = ticker
        self._post = post
        self._make_start = make_start
        self._opened: connection.Connection | None = None
        self._start = 0
        self._told = ""
        self._cache_number = 0

    def is_current(self, start: int) -> bool:
        """Return whether a start of the endpoint still runs.

        Asks the socket, so that an end is seen also when the task that
        watches has not had its turn.
        """
        opened = self._opened
        return opened is not None and start == self._start and opened.is_open()

    def serve(self) -> None:
        """Watch until killed."""
        try:
            while True:
                self._follow()
                self._ticker.sleep(const.REDIAL_SECONDS)
        finally:
            self._lose()

    def _follow(self) -> None:
        try:
            self._opened = connection.dial(self.address)
            while True:
                asked = self._ticker.now()
                with gevent.Timeout(const.CONNECT_SECONDS, TimeoutError()):
                    raw = self._ask(self._opened)
                self._take_report(raw, asked)
                if self._opened.wait_until_closed(const.REPORT_SECONDS):
                    return
        except (OSError, http_response.HTTPParseError, ValueError) as error:
            logging.info(
                "%s %s: %s.", LOG, self._endpoint, type(error).__name__
            )
        finally:
            self._lose()

    def _ask(self, opened: connection.Connection) -> dict[str, Any]:
        path = f"{const.PATH_LOAD}?cache_after={self._cache_number}"
        opened.send(connection.make_request(self.address, "GET", path))
        answer = opened.read_head()
        parts = []
        while data := opened.read():
            parts.append(data)
        raw = json.loads(b"".join(parts))
        if answer.status_code != 200 or not isinstance(raw, dict):
            raise ValueError("no load report")
        return raw

    def _take_report(self, raw: dict[str, Any], asked: float) -> None:
        told = str(raw.get("start", ""))
        if self._start and told != self._told:
            # Another process answers behind the same connection, as
            # behind a relay: a start all the same.
            self._lose()
            raise ConnectionResetError("another start")
        if not self._start:
            self._told = told
            self._start = self._make_start()
            self._post(
                models.EndpointConnected(
                    endpoint=self._endpoint, start=self._start
                )
            )
        # The answer may have lain in a buffer while this process was
        # stopped: it is as old as the question.
        report = make_report(raw, self._ticker.now() - asked)
        self._post(
            models.EndpointReported(endpoint=self._endpoint, report=report)
        )
        if "cache" in raw:
            self._take_cache(raw["cache"])

    def _take_cache(self, raw: dict[str, Any]) -> None:
        events = raw["events"]
        numbers = [int(event["number"]) for event in events]
        if not numbers:
            return
        expected = self._cache_number + 1
        self._cache_number = numbers[-1]
        self._post(
            models.CacheReported(
                endpoint=self._endpoint,
                stored=_join(events, "stored"),
                evicted=_join(events, "evicted"),
                gap=numbers != list(range(expected, numbers[-1] + 1)),
            )
        )

    def _lose(self) -> None:
        opened, self._opened = self._opened, None
        known, self._start = self._start, 0
        self._cache_number = 0
        if opened is not None:
            opened.close()
        if known:
            self._post(models.EndpointLost(endpoint=self._endpoint))


class Watches:
    """The watches of the endpoints that this instance owns."""

    def __init__(
        self,
        ticker: clock.Clock,
        post: collections.abc.Callable[[models.Event], None],
    ) -> None:
        self._ticker = ticker
        self._post = post
        self._starts = 0
        self._watches: dict[str, tuple[Watch, gevent.Greenlet]] = {}

    def assign(self, endpoints: dict[str, str]) -> None:
        """Watch these endpoints, by name and "ip:port", and no others."""
        for name, (watch, task) in list(self._watches.items()):
            if endpoints.get(name) != watch.address:
                del self._watches[name]
                task.kill(block=False)
        for name, address in endpoints.items():
            if name not in self._watches:
                watch = Watch(
                    name, address, self._ticker, self._post, self._make_start
                )
                self._watches[name] = (watch, gevent.spawn(watch.serve))

    def is_current(self, endpoint: str, start: int) -> bool:
        """Return whether a start of an endpoint still runs."""
        known = self._watches.get(endpoint)
        return known is not None and known[0].is_current(start)

    def _make_start(self) -> int:
        self._starts += 1
        return self._starts


def make_report(raw: dict[str, Any], waited: float) -> models.LoadReport:
    """Return a load report as the decisions see it.

    Args:
        raw: the report.
        waited: seconds since it was asked for.
    """
    return models.LoadReport(
        running=int(raw.get("running", 0)),
        queued=int(raw.get("queued", 0)),
        cold=bool(raw.get("cold", False)),
        age=float(raw.get("age", 0.0)) + waited,
        received=int(raw.get("received", 0)),
    )


def _join(events: list[dict[str, Any]], part: str) -> tuple[int, ...]:
    return tuple(int(b) for event in events for b in event.get(part, ()))
