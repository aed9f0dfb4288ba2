"""WSGI applications that validate callers' requests and answer them."""

import collections.abc
import random
from typing import Any

import result

from citronport import clock
from citronport import errors
from citronport.callers import const as caller_const
from citronport.callers import replies
from citronport.platform import const as wire
from citronport.platform import models as wire_models
from citronport.platform import requests
from citronport.relay import events
from citronport.relay import jobs
from citronport.relay import metrics
from citronport.relay import refusals
from citronport.relay import sender
from citronport.relay import stream_records
from citronport.scheduler.direct import fingerprints
from citronport.scheduler.direct import models
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import routing

LOOKUP_TTL_SECONDS = 2.0
"""How long a caller may cache a lookup response. Some cache it three times as
long; a stopping instance serves its callers in the meantime."""

NO_CONFIGURATION_RETRY_SECONDS = 0.5
"""Retry time announced while an instance has no configuration yet."""

START_WAIT_SECONDS = 1.0
"""How long a request may wait for the first configuration and for peer
discovery. A reachable store delivers the configuration within a tenth of a
second. A store that recovers from an outage takes up to a second, which is
the time after which an unanswered query is repeated."""

START_WAIT_SHARE = 0.25
"""The same limit as a share of the caller's timeout, so that the caller can
still retry and be served."""

START_POLL_SECONDS = 0.02
"""Interval at which a waiting request checks whether the start is complete."""

LEAVING_RETRY_SECONDS = 0.1
"""Retry time announced by a stopping instance; the caller retries at another
instance."""

PATH_METRICS = "/metrics"

Environ = dict[str, Any]


class Application:
    """The WSGI application for callers' requests.

    Args:
        context: components shared by all requests.
        quotas: limits of workspaces.
        compute_reach: returns the share of the instances that are reachable.
        get_lag: returns the delay until reports of this instance reach the
            others, seconds.
        is_leaving: returns whether connections are closed after a response.
        is_closing: returns whether new requests are refused.
        get_store_age: returns the age of the newest response of the store,
            seconds.
        is_discovering_peers: returns whether peer discovery is incomplete.
        ticker: the clock.
    """

    def __init__(
        self,
        context: jobs.RelayContext,
        quotas: quota.Quotas,
        compute_reach: collections.abc.Callable[[], float],
        get_lag: collections.abc.Callable[[], float],
        is_leaving: collections.abc.Callable[[], bool],
        is_closing: collections.abc.Callable[[], bool],
        get_store_age: collections.abc.Callable[[], float],
        is_discovering_peers: collections.abc.Callable[[], bool],
        ticker: clock.Clock,
    ) -> None:
        self._context = context
        self._quotas = quotas
        self._compute_reach = compute_reach
        self._get_lag = get_lag
        self._is_leaving = is_leaving
        self._is_closing = is_closing
        self._get_store_age = get_store_age
        self._is_discovering_peers = is_discovering_peers
        self._ticker = ticker
        self.running = 0

    def __call__(
        self, environ: Environ, start_response: replies.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request."""
        arrived = self._ticker.now()
        if self._is_leaving():
            start_response = _add_connection_close(start_response)
        match environ["wsgi.input"].read_all():
            case result.Err(refusal):
                return self._refuse(
                    environ, start_response, refusal, close=True
                )
            case result.Ok(body):
                pass
        match self._check(environ, body, arrived):
            case result.Err(refusal):
                return self._refuse(environ, start_response, refusal)
            case result.Ok(job):
                return self.serve(job, start_response)

    def serve(
        self, job: jobs.Job, start_response: replies.StartResponse
    ) -> collections.abc.Iterator[bytes]:
        """Send a validated request and yield the response."""
        self.running += 1
        request_sender = sender.Sender(self._context, job)
        try:
            yield from request_sender.answer(start_response)
        finally:
            self.running -= 1
            if job.workspace and request_sender.progress.is_known_not_run:
                self._quotas.refund(job.workspace, job.units)

    def _check(
        self, environ: Environ, body: bytes, arrived: float
    ) -> result.Result[jobs.Job, errors.Refusal]:
        fields = environ[caller_const.ENVIRON_FIELDS]
        match requests.parse_request(fields):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(head):
                pass
        self._context.renew_view()
        configuration = self._await_start(head, arrived)
        if configuration is None:
            return _err(
                errors.Code.NO_CATALOGUE, NO_CONFIGURATION_RETRY_SECONDS
            )
        if self._is_closing():
            return _err(errors.Code.LEAVING, LEAVING_RETRY_SECONDS)
        path = environ["PATH_INFO"]
        route = self._context.cluster_state.routes.find(fields["host"], path)
        if route is None:
            return _err(errors.Code.UNKNOWN_PATH)
        workspace = None
        units = 0.0
        if configuration.keys is not None and not route.public:
            name = configuration.keys.get(head.key)
            if name is None:
                return _err(errors.Code.UNKNOWN_KEY)
            workspace = configuration.workspaces[name]
            units = count_units(workspace, head)
            refusal = self._charge(workspace, units, arrived)
            if refusal is not None:
                return result.Err(refusal)
        target = self._choose_version(head, route)
        if isinstance(target, errors.Refusal):
            if workspace is not None:
                self._quotas.refund(workspace, units)
            return result.Err(target)
        work = make_work(
            head,
            route,
            workspace,
            arrived,
            self._context.data_centre,
            target.software,
            is_assigned=head.resumption is None,
        )
        method = environ["REQUEST_METHOD"]
        service = target.service
        return result.Ok(
            jobs.Job(
                work=work,
                service=service,
                method=method,
                target=environ[caller_const.ENVIRON_TARGET],
                headers=fields,
                body=body,
                fingerprint=fingerprints.make_fingerprint(
                    workspace.name if workspace else "",
                    method,
                    route.host,
                    environ[caller_const.ENVIRON_TARGET],
                    body,
                ),
                workspace=workspace,
                units=units,
                version=configuration.version,
                parts=make_parts(work, configuration.services.get(service)),
                resumption=head.resumption,
            )
        )

    def _choose_version(
        self, head: requests.CallerRequest, route: models.Route
    ) -> stream_records.StreamVersion | errors.Refusal:
        """Return the service, and the only software version if need be."""
        is_stream = route.repeat == models.RepeatPolicy.STREAM
        if head.resumption is not None and is_stream:
            return self._context.stream_versions.resolve(
                head.resumption, route
            )
        if route.resumable and is_stream:
            return self._context.stream_versions.assign(head.request_id, route)
        return stream_records.StreamVersion(
            service=routing.choose_service(route, random.random()),
            software=None,
        )

    def _await_start(
        self, head: requests.CallerRequest, arrived: float
    ) -> models.Configuration | None:
        """Return the current configuration; wait for it briefly after a start.

        After a power loss all instances may restart while the store is
        unavailable, and callers connect at once. Some callers retry only
        once. If they were refused within the first second, their retry would
        meet an instance that still has no configuration, and the request
        would fail. The wait is short, since the store may be unavailable for
        any length of time.
        """
        max_wait = START_WAIT_SECONDS
        if head.timeout_seconds is not None:
            max_wait = min(max_wait, START_WAIT_SHARE * head.timeout_seconds)
        until = arrived + max_wait
        while (
            self._context.cluster_state.configuration is None
            or self._is_discovering_peers()
        ):
            if self._is_closing() or self._ticker.now() >= until:
                break
            self._ticker.sleep(START_POLL_SECONDS)
        return self._context.cluster_state.configuration

    def _charge(
        self,
        workspace: models.Workspace,
        units: float,
        now: float,
    ) -> errors.Refusal | None:
        wait = self._quotas.admit(
            workspace,
            units,
            self._compute_reach(),
            now,
            self._context.count_instances(),
            self._get_lag(),
        )
        if wait is None:
            return None
        return errors.Refusal(code=errors.Code.TOKEN_LIMIT, retry_after=wait)

    def _refuse(
        self,
        environ: Environ,
        start_response: replies.StartResponse,
        refusal: errors.Refusal,
        *,
        close: bool = False,
    ) -> list[bytes]:
        self._context.counts.refusals[refusal.code.name.lower()] += 1
        configuration = self._context.cluster_state.configuration
        keys = configuration.keys if configuration else None
        wait = refusal.retry_after
        fields = environ[caller_const.ENVIRON_FIELDS]
        route = self._context.cluster_state.routes.find(
            fields.get("host", ""), environ["PATH_INFO"]
        )
        self._context.log.write(
            events.RequestRefused(
                request=fields.get(wire.HEADER_REQUEST_ID, ""),
                route=route.name if route else "",
                code=int(refusal.code),
                status=refusal.meaning.status,
                retry_after=-1.0 if wait is None else wait,
                version=configuration.version if configuration else 0,
                store_seconds=self._get_store_age(),
                reach=self._compute_reach(),
                workspace=(keys or {}).get(
                    fields.get(wire.HEADER_API_KEY, ""), ""
                ),
            )
        )
        return refusals.answer(start_response, refusal, close=close)


class Lookups:
    """The WSGI application that returns the instances a caller should use.

    Args:
        list_addresses: returns the instance addresses for a caller's address.
    """

    def __init__(
        self, list_addresses: collections.abc.Callable[[str], tuple[str, ...]]
    ) -> None:
        self._list_addresses = list_addresses

    def __call__(
        self, environ: Environ, start_response: replies.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer a lookup request."""
        if environ["PATH_INFO"] != wire.PATH_LOOKUP:
            refusal = errors.Refusal(code=errors.Code.UNKNOWN_PATH)
            return refusals.answer(start_response, refusal)
        addresses = self._list_addresses(environ.get("REMOTE_ADDR", ""))
        if not addresses:
            refusal = errors.Refusal(
                code=errors.Code.NO_CATALOGUE,
                retry_after=NO_CONFIGURATION_RETRY_SECONDS,
            )
            return refusals.answer(start_response, refusal)
        body = wire_models.dump_lookup(addresses, LOOKUP_TTL_SECONDS)
        return replies.answer_json(start_response, body)


class Readiness:
    """The WSGI application of the readiness check.

    Args:
        is_ready: returns whether callers can be served.
    """

    def __init__(self, is_ready: collections.abc.Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: replies.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer a readiness check."""
        if environ["PATH_INFO"] == wire.PATH_READY and self._is_ready():
            return replies.answer_json(start_response, {})
        refusal = errors.Refusal(code=errors.Code.NO_CATALOGUE)
        return refusals.answer(start_response, refusal)


class Metrics:
    """The WSGI application that serves the metrics.

    Args:
        read: returns the current state of the instance.
        counts: counters of the instance.
    """

    def __init__(
        self,
        read: collections.abc.Callable[[], metrics.State],
        counts: metrics.Counts,
    ) -> None:
        self._read = read
        self._counts = counts

    def __call__(
        self, environ: Environ, start_response: replies.StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer a request for the metrics."""
        if environ["PATH_INFO"] != PATH_METRICS:
            refusal = errors.Refusal(code=errors.Code.UNKNOWN_PATH)
            return refusals.answer(start_response, refusal)
        body, content_type = metrics.render(self._read(), self._counts)
        start_response("200 OK", [("Content-Type", content_type)])
        return [body]


def make_work(
    head: requests.CallerRequest,
    route: models.Route,
    workspace: models.Workspace | None,
    arrived: float,
    data_centre: str,
    software: str | None = None,
    *,
    is_assigned: bool = False,
) -> models.Work:
    """Return the properties of a request that scheduling depends on.

    Args:
        head: decoded headers of the request.
        route: its route.
        workspace: its workspace; None if no keys are in use.
        arrived: clock time at which it arrived, seconds.
        data_centre: data centre of this instance.
        software: the only software version that may run it; None if any may.
        is_assigned: whether that version was assigned to a new stream.
    """
    tier = route.tier
    if workspace is not None and workspace.tier is not None:
        tier = workspace.tier
    seconds = route.timeout
    if head.timeout_seconds is not None:
        seconds = min(seconds, head.timeout_seconds)
    return models.Work(
        request_id=head.request_id,
        route=route,
        tier=tier,
        prompt_tokens=head.prompt_tokens,
        output_tokens=head.output_tokens,
        expected_tokens=head.expected_tokens,
        parts=tuple(name for name, _ in head.prompt_parts),
        arrived=arrived,
        deadline=arrived + seconds,
        software=software,
        is_assigned=is_assigned,
        workspace=workspace.name if workspace else "",
        data_centre=data_centre,
    )


def make_parts(
    work: models.Work, service: models.Service | None
) -> tuple[str, ...]:
    """Return the fingerprints of the parts that may crash an endpoint."""
    if service is None or service.engine is None:
        return ()
    return fingerprints.make_part_fingerprints(work.parts)


def count_units(
    workspace: models.Workspace, head: requests.CallerRequest
) -> float:
    """Return the units that a request uses of its workspace's limit."""
    if not workspace.counts_tokens:
        return 1.0
    if not head.has_token_counts:
        return workspace.plain_tokens
    return float(head.prompt_tokens + head.output_tokens)


def _add_connection_close(
    start_response: replies.StartResponse,
) -> replies.StartResponse:
    def start(status: str, headers: list, *rest: Any) -> Any:
        return start_response(
            status, [*headers, ("Connection", "close")], *rest
        )

    return start


def _err(
    code: errors.Code, retry_after: float | None = None
) -> result.Result[jobs.Job, errors.Refusal]:
    return result.Err(errors.Refusal(code=code, retry_after=retry_after))
