"""Refusals and their times to come back."""

from citronport import errors
from citronport.scheduler import const
from citronport.scheduler import models
from citronport.scheduler import placement


def make_refusal(
    request: models.Request, code: errors.Code, wait: float | None
) -> models.Refuse:
    """Return the final answer of a request that is given up.

    Load: a burst whose refused callers all come again. Harm: the same
    retry time for all makes the next burst. The time follows the work
    that waits, and a part drawn from the request's id spreads callers by
    half of it either way.

    Args:
        request: the request.
        code: why.
        wait: seconds until the work that waits now is done; None where
            it makes no sense to come back.
    """
    retry_after = None
    if wait is not None:
        spread = 0.75 + 0.5 * placement.hash_to_fraction(request.request_id)
        bounded = max(const.MIN_RETRY_AFTER_SECONDS, wait) * spread
        retry_after = round(min(const.MAX_RETRY_AFTER_SECONDS, bounded), 2)
    return models.Refuse(
        request_id=request.request_id,
        refusal=errors.Refusal(code=code, retry_after=retry_after),
    )
