"""Takes the limits that endpoints name in their answers."""

import result

from citronport import errors
from citronport.platform import const
from citronport.platform import requests
from citronport.relay import events
from citronport.relay import jobs


def record_limit(
    context: jobs.RelayContext, endpoint: str, text: str | None
) -> None:
    """Take what an endpoint's answer says of its limit.

    Args:
        context: shared by all requests.
        endpoint: which answered.
        text: the limit as it came; None if none is named.
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
            key=f"{const.ENDPOINT_LIMIT} of {endpoint}",
            revision=0,
            reason=reason,
        )
    )
