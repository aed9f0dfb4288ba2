"""Records what endpoints state about themselves in response headers."""

from typing import TypeVar

import result

from citronport import errors
from citronport.platform import const
from citronport.platform import requests
from citronport.relay import events
from citronport.relay import jobs
from citronport.scheduler.direct import models

_Value = TypeVar("_Value")


def record_headers(
    context: jobs.RelayContext,
    endpoint: models.Endpoint,
    answer: requests.EndpointAnswer,
) -> None:
    """Record the statements in the headers of an endpoint's response.

    Args:
        context: components shared by all requests.
        endpoint: the endpoint that answered.
        answer: its response, to any request.
    """
    _record_limit(context, endpoint.name, answer.limit)
    _record_brittle(context, endpoint.name, answer)
    if answer.leaving is not None:
        _record_leaving(context, endpoint, answer.leaving)
    if answer.pause is not None:
        _record_pause(context, endpoint, answer.pause)


def _record_limit(
    context: jobs.RelayContext, endpoint: str, text: str | None
) -> None:
    rate = None
    if text is not None:
        rate = _get_valid(
            context,
            requests.parse_limit(text),
            errors.InputFault.BAD_LIMIT,
            f"{const.HEADER_ENDPOINT_LIMIT} of {endpoint}",
        )
        if rate is None:
            return
    if context.limits.record_limit(endpoint, rate, context.ticker.now()):
        context.log.write(
            events.EndpointLimited(
                endpoint=endpoint, rate=-1.0 if rate is None else rate
            )
        )


def _record_brittle(
    context: jobs.RelayContext, endpoint: str, answer: requests.EndpointAnswer
) -> None:
    now = context.ticker.now()
    brittle = context.limits.brittle
    tolerated = None
    if answer.brittle is not None:
        tolerated = _get_valid(
            context,
            requests.parse_brittle(answer.brittle),
            errors.InputFault.BAD_BRITTLE,
            f"{const.HEADER_BRITTLE} of {endpoint}",
        )
        if tolerated is None:
            return
    if brittle.record_statement(endpoint, tolerated, now):
        context.log.write(
            events.EndpointBrittle(
                endpoint=endpoint,
                rejections=-1.0 if tolerated is None else tolerated,
            )
        )
    if answer.turned_away:
        brittle.record_rejection(endpoint, now)


def _record_leaving(
    context: jobs.RelayContext, endpoint: models.Endpoint, text: str
) -> None:
    leaving = _get_valid(
        context,
        requests.parse_leaving(text),
        errors.InputFault.BAD_LEAVING,
        f"{const.HEADER_LEAVING} of {endpoint.name}",
    )
    if leaving and context.cluster_state.record_leaving(endpoint.start_id):
        context.dispatcher.report_leaving(endpoint)


def _record_pause(
    context: jobs.RelayContext, endpoint: models.Endpoint, text: str
) -> None:
    seconds = _get_valid(
        context,
        requests.parse_pause(text),
        errors.InputFault.BAD_PAUSE,
        f"{const.HEADER_RETRY_AFTER} of {endpoint.name}",
    )
    if seconds is None:
        return
    now = context.ticker.now()
    if context.pauses.record(endpoint.start_id, seconds, now):
        context.log.write(
            events.EndpointPaused(endpoint=endpoint.name, seconds=seconds)
        )


def _get_valid(
    context: jobs.RelayContext,
    parsed: result.Result[_Value, str],
    fault: errors.InputFault,
    key: str,
) -> _Value | None:
    """Return a decoded value; record the fault and return None without."""
    match parsed:
        case result.Ok(value):
            return value
        case result.Err(reason):
            context.log.reject(fault, key, reason)
    return None
