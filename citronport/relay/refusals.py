"""Refusals of a request, and how the platform's callers get them."""

from citronport import errors
from citronport.callers import replies
from citronport.platform import requests
from citronport.scheduler.direct import suspects


def answer(
    start_response: replies.StartResponse,
    refusal: errors.Refusal,
    *,
    close: bool = False,
) -> list[bytes]:
    """Answer with a refusal.

    Args:
        start_response: WSGI function that starts the response.
        refusal: the refusal; its retry time may be fractional.
        close: whether the connection must be closed after the response.
    """
    status, headers, data = replies.render_refusal(refusal)
    headers = [
        h for h in headers if h[0].lower() != requests.HEADER_RETRY_AFTER
    ]
    headers += requests.make_refusal_headers(refusal)
    if close:
        headers.append(("Connection", "close"))
    start_response(status, headers)
    return [data]


def make_overloaded(possible_runs: int, retry_after: float) -> errors.Refusal:
    """Return the refusal of a request for which no endpoint has room.

    Args:
        possible_runs: endpoints that have run the request or may have.
        retry_after: seconds after which the caller may come back.
    """
    if possible_runs:
        return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
    return errors.Refusal(code=errors.Code.OVERLOADED, retry_after=retry_after)


def make_barred(possible_runs: int) -> errors.Refusal:
    """Return the refusal of a request that may crash endpoints.

    Args:
        possible_runs: endpoints that have run the request or may have.
    """
    if possible_runs:
        return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
    return errors.Refusal(
        code=errors.Code.BARRED, retry_after=suspects.KEEP_SECONDS
    )


def make_past_deadline(attempts: int) -> errors.Refusal:
    """Return the refusal of a request whose deadline has passed.

    Args:
        attempts: sends to endpoints, including failed connects.
    """
    if attempts:
        code = errors.Code.DEADLINE_PASSED_RUNNING
    else:
        code = errors.Code.DEADLINE_PASSED_WAITING
    return errors.Refusal(code=code)
