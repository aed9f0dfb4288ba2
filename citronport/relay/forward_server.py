"""Takes requests of instances that have lost their path to endpoints."""

import collections.abc
import dataclasses

import result

from citronport import clock
from citronport import errors
from citronport.callers import replies
from citronport.platform import requests
from citronport.relay import application as application_module
from citronport.relay import forwarding
from citronport.relay import jobs
from citronport.relay import messages
from citronport.relay import refusals


class ForwardServer:
    """The WSGI application for requests that other instances forward.

    The other instance has validated the request and charged its workspace.
    This one sends it like a request of its own caller, within its own share
    of each limit, but never forwards it once more.

    Args:
        application: serves requests of callers.
        context: components shared by all requests.
        is_closing: returns whether new requests are refused.
        ticker: the clock.
    """

    def __init__(
        self,
        application: application_module.Application,
        context: jobs.RelayContext,
        is_closing: collections.abc.Callable[[], bool],
        ticker: clock.Clock,
    ) -> None:
        self._application = application
        self._context = context
        self._is_closing = is_closing
        self._ticker = ticker

    def __call__(
        self,
        environ: application_module.Environ,
        start_response: replies.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Answer one forwarded request."""
        match environ["wsgi.input"].read_all():
            case result.Err(refusal):
                return refusals.answer(start_response, refusal, close=True)
            case result.Ok(body):
                pass
        job = self._make_job(body)
        if job is None:
            start_response(
                f"{forwarding.STATUS_DECLINED} Declined",
                [("Content-Length", "0")],
            )
            return [b""]
        return self._application.serve(job, start_response)

    def _make_job(self, body: bytes) -> jobs.Job | None:
        """Return the forwarded request; None if it can't be sent on."""
        if self._is_closing() or self._context.paths.is_lost:
            return None
        try:
            forward = _decode(body)
        except ValueError as error:
            self._context.log.reject(
                errors.InputFault.BAD_FORWARD, forwarding.PATH, str(error)
            )
            return None
        self._context.renew_view()
        configuration = self._context.cluster_state.configuration
        # Its own configuration may be older here, or newer, and say of the
        # route something else than what the request was validated by.
        if configuration is None or configuration.version < forward.version:
            return None
        route = configuration.find_route(forward.route)
        workspace = configuration.workspaces.get(forward.workspace or "")
        if route is None or forward.service not in (
            share.service for share in route.shares
        ):
            return None
        if forward.workspace is not None and workspace is None:
            return None
        match requests.parse_request(forward.headers):
            case result.Err():
                return None
            case result.Ok(head):
                pass
        now = self._ticker.now()
        work = application_module.make_work(
            head, route, workspace, now, self._context.data_centre
        )
        return jobs.Job(
            work=dataclasses.replace(
                work,
                arrived=now - forward.elapsed_seconds,
                deadline=now + forward.remaining_seconds,
                software=forward.software,
                is_assigned=(
                    head.resumption is None and forward.last_event_id is None
                ),
            ),
            service=forward.service,
            method=forward.method,
            target=forward.target,
            headers=forward.headers,
            body=forward.body,
            fingerprint=forward.fingerprint,
            workspace=workspace,
            units=0.0,
            version=forward.version,
            parts=application_module.make_parts(
                work, configuration.services.get(forward.service)
            ),
            resumption=head.resumption,
            origin=jobs.Origin(
                instance=forward.instance,
                tried=frozenset(forward.tried),
                paused=frozenset(forward.paused),
                possible_runs=forward.possible_runs,
                is_counted=forward.is_counted,
                last_event_id=forward.last_event_id,
            ),
        )


def _decode(body: bytes) -> messages.Forward:
    """Return the message in the body of a forwarded request.

    Raises:
        ValueError: it is no such message, or of another protocol.
    """
    message = messages.CODEC.unpack(body)
    if not isinstance(message, messages.Forward):
        raise ValueError(f"expected Forward, got {type(message).__name__}")
    if message.protocol != messages.PROTOCOL:
        raise ValueError(f"protocol {message.protocol}")
    return message
