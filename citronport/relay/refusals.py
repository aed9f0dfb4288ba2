"""Renders refusals in the format that the platform's callers expect."""

from citronport import errors
from citronport.callers import replies
from citronport.platform import requests


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
