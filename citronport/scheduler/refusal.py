"""Refusals and their retry delays."""

from citronport import errors
from citronport.scheduler import const
from citronport.scheduler import models
from citronport.scheduler import placement


def make_refusal(
    request: models.Request, code: errors.Code, wait: float | None
) -> models.Refuse:
    """Return the refusal of a request.

    If all callers refused during a burst had the same retry delay, they
    would return as the next burst. The delay follows the queued work and is
    multiplied by a factor from 0.75 to 1.25, derived from the request id.

    Args:
        request: the request.
        code: reason of the refusal.
        wait: seconds until the work queued now is done; None if a retry
            makes no sense.
    """
    retry_after = None
    if wait is not None:
        spread = 0.75 + 0.5 * placement.hash_to_fraction(request.request_id)
        delay = max(const.MIN_RETRY_AFTER_SECONDS, wait) * spread
        retry_after = round(min(const.MAX_RETRY_AFTER_SECONDS, delay), 2)
    return models.Refuse(
        request_id=request.request_id,
        refusal=errors.Refusal(code=code, retry_after=retry_after),
    )
