"""Takes the limits that endpoints name in their answers."""

import result

from citronport import errors
from citronport.platform import const
from citronport.platform import requests
from citronport.relay import events
from citronport.relay import jobs


def note_answer(parts: jobs.Parts, endpoint: str, text: str | None) -> None:
    """Take what an endpoint's answer says of its limit.

    Args:
        parts: shared by all requests.
        endpoint: which answered.
        text: the limit as it came; None if none is named.
    """
    rate = None
    if text is not None:
        match requests.parse_limit(text):
            case result.Err(reason):
                _reject(parts, endpoint, reason)
                return
            case result.Ok(rate):
                pass
    if parts.limits.note_answer(endpoint, rate, parts.ticker.now()):
        parts.log.write(
            events.EndpointLimited(
                endpoint=endpoint, rate=-1.0 if rate is None else rate
            )
        )


def _reject(parts: jobs.Parts, endpoint: str, reason: str) -> None:
    parts.log.write(
        events.InputRejected(
            code=int(errors.InputFault.BAD_LIMIT),
            key=f"{const.ENDPOINT_LIMIT} of {endpoint}",
            revision=0,
            reason=reason,
        )
    )
