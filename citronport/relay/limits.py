"""Records the rate limits that endpoints announce in their responses."""

import result

from citronport import errors
from citronport.platform import const
from citronport.platform import requests
from citronport.relay import events
from citronport.relay import jobs


def record_limit(
    context: jobs.RelayContext, endpoint: str, text: str | None
) -> None:
    """Record the rate limit in an endpoint's response.

    Args:
        context: components shared by all requests.
        endpoint: name of the endpoint that answered.
        text: unparsed header value; None if the response names no limit.
    """
    rate = None
    if text is not None:
        match requests.parse_limit(text):
            case result.Err(reason):
                _log_invalid_limit(context, endpoint, reason)
                return
            case result.Ok(rate):
                pass
    if context.limits.record_limit(endpoint, rate, context.ticker.now()):
        context.log.write(
            events.EndpointLimited(
                endpoint=endpoint, rate=-1.0 if rate is None else rate
            )
        )


def _log_invalid_limit(
    context: jobs.RelayContext, endpoint: str, reason: str
) -> None:
    context.log.write(
        events.InputRejected(
            code=int(errors.InputFault.BAD_LIMIT),
            key=f"{const.HEADER_ENDPOINT_LIMIT} of {endpoint}",
            revision=0,
            reason=reason,
        )
    )
