"""Monitors endpoints with one task and one long-lived connection each.

Only the instance that owns an endpoint monitors it. The connection carries
the load reports and identifies the start of the endpoint's process: a
process that ends closes it, which is noticed at once instead of at the next
report.
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


class EndpointMonitor:
    """Monitors one endpoint.

    Args:
        endpoint: its name.
        address: "ip:port".
        ticker: the clock.
        post: receives the events.
        allocate_start: returns a number for each observed process start.
    """

    def __init__(
        self,
        endpoint: str,
        address: str,
        ticker: clock.Clock,
        post: collections.abc.Callable[[models.Event], None],
        allocate_start: collections.abc.Callable[[], int],
    ) -> None:
        self.address = address
        self._endpoint = endpoint
        self._ticker = ticker
        self._post = post
        self._allocate_start = allocate_start
        self._connection: connection.Connection | None = None
        self._start = 0
        self._reported_start = ""
        self._last_cache_event = 0

    def is_current(self, start: int) -> bool:
        """Return whether a process start of the endpoint still runs.

        Checks the socket itself, so that an end is noticed even if the
        monitoring task has not been scheduled since.
        """
        opened = self._connection
        return opened is not None and start == self._start and opened.is_open()

    def run(self) -> None:
        """Monitor the endpoint until killed."""
        try:
            while True:
                self._poll_reports()
                self._ticker.sleep(const.RECONNECT_DELAY_SECONDS)
        finally:
            self._disconnect()

    def _poll_reports(self) -> None:
        try:
            self._connection = connection.connect(self.address)
            while True:
                requested_at = self._ticker.now()
                with gevent.Timeout(
                    const.CONNECT_TIMEOUT_SECONDS, TimeoutError()
                ):
                    raw = self._fetch_report(self._connection)
                self._handle_report(raw, requested_at)
                if self._connection.wait_until_closed(
                    const.REPORT_INTERVAL_SECONDS
                ):
                    return
        except (OSError, http_response.HTTPParseError, ValueError) as error:
            logging.info(
                "%s no load report from %s: %s.",
                LOG,
                self._endpoint,
                type(error).__name__,
            )
        finally:
            self._disconnect()

    def _fetch_report(self, opened: connection.Connection) -> dict[str, Any]:
        path = f"{const.PATH_LOAD}?cache_after={self._last_cache_event}"
        opened.send(connection.encode_request(self.address, "GET", path))
        answer = opened.read_head()
        parts = []
        while data := opened.read():
            parts.append(data)
        raw = json.loads(b"".join(parts))
        if answer.status_code != 200 or not isinstance(raw, dict):
            raise ValueError("response is not a load report")
        return raw

    def _handle_report(self, raw: dict[str, Any], requested_at: float) -> None:
        reported = str(raw.get("start", ""))
        if self._start and reported != self._reported_start:
            # Another process responds over the same connection, for
            # example behind a proxy: it counts as a new start.
            self._disconnect()
            raise ConnectionResetError("endpoint process has changed")
        if not self._start:
            self._reported_start = reported
            self._start = self._allocate_start()
            self._post(
                models.EndpointConnected(
                    endpoint=self._endpoint, start=self._start
                )
            )
        # The response may have been buffered while this process was
        # paused, so its age is counted from the request.
        report = parse_report(raw, self._ticker.now() - requested_at)
        self._post(
            models.EndpointReported(endpoint=self._endpoint, report=report)
        )
        if "cache" in raw:
            self._handle_cache_events(raw["cache"])

    def _handle_cache_events(self, raw: dict[str, Any]) -> None:
        events = raw["events"]
        numbers = [int(event["number"]) for event in events]
        if not numbers:
            return
        expected = self._last_cache_event + 1
        self._last_cache_event = numbers[-1]
        self._post(
            models.CacheReported(
                endpoint=self._endpoint,
                stored=_collect_hashes(events, "stored"),
                evicted=_collect_hashes(events, "evicted"),
                gap=numbers != list(range(expected, numbers[-1] + 1)),
            )
        )

    def _disconnect(self) -> None:
        opened, self._connection = self._connection, None
        known, self._start = self._start, 0
        self._last_cache_event = 0
        if opened is not None:
            opened.close()
        if known:
            self._post(models.EndpointLost(endpoint=self._endpoint))


class EndpointMonitors:
    """Monitors of the endpoints that this instance owns."""

    def __init__(
        self,
        ticker: clock.Clock,
        post: collections.abc.Callable[[models.Event], None],
    ) -> None:
        self._ticker = ticker
        self._post = post
        self._last_start = 0
        self._monitors: dict[str, tuple[EndpointMonitor, gevent.Greenlet]] = {}

    def assign(self, endpoints: dict[str, str]) -> None:
        """Monitor exactly these endpoints, given as "ip:port" by name."""
        for name, (monitor, task) in list(self._monitors.items()):
            if endpoints.get(name) != monitor.address:
                del self._monitors[name]
                task.kill(block=False)
        for name, address in endpoints.items():
            if name not in self._monitors:
                monitor = EndpointMonitor(
                    name,
                    address,
                    self._ticker,
                    self._post,
                    self._allocate_start,
                )
                self._monitors[name] = (monitor, gevent.spawn(monitor.run))

    def is_current(self, endpoint: str, start: int) -> bool:
        """Return whether a process start of an endpoint still runs."""
        known = self._monitors.get(endpoint)
        return known is not None and known[0].is_current(start)

    def _allocate_start(self) -> int:
        self._last_start += 1
        return self._last_start


def parse_report(raw: dict[str, Any], elapsed: float) -> models.LoadReport:
    """Return a load report in the form that the scheduler uses.

    Args:
        raw: the report.
        elapsed: seconds since it was requested.
    """
    return models.LoadReport(
        running=int(raw.get("running", 0)),
        queued=int(raw.get("queued", 0)),
        cold=bool(raw.get("cold", False)),
        age=float(raw.get("age", 0.0)) + elapsed,
        received=int(raw.get("received", 0)),
    )


def _collect_hashes(
    events: list[dict[str, Any]], field: str
) -> tuple[int, ...]:
    return tuple(int(b) for event in events for b in event.get(field, ()))
