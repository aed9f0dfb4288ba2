"""Refusals in the form that callers on the platform read."""

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
        start_response: of WSGI.
        refusal: what to tell; its pause may be parts of a second.
        close: whether the connection can not be used again.
    """
    status, headers, data = replies.render_refusal(refusal)
    headers = [h for h in headers if h[0].lower() != requests.RETRY_AFTER]
    headers += requests.make_refusal_headers(refusal)
    if close:
        headers.append(("Connection", "close"))
    start_response(status, headers)
    return [data]
