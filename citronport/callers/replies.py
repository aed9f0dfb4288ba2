"""Refusals and JSON responses to callers."""

import collections.abc
import json
import math
from typing import Any

from citronport import const as common
from citronport import errors

StartResponse = collections.abc.Callable[..., Any]
Header = tuple[str, str]


class StreamCutError(Exception):
    """The response is truncated; the connection must not end regularly."""


def answer_json(
    start_response: StartResponse, body: dict[str, Any]
) -> list[bytes]:
    """Respond with a JSON body."""
    data = json.dumps(body).encode()
    start_response("200 OK", _make_headers(data))
    return [data]


def answer_refusal(
    start_response: StartResponse,
    refusal: errors.Refusal,
    *,
    close: bool = False,
) -> list[bytes]:
    """Respond with a refusal.

    Args:
        start_response: the WSGI callable.
        refusal: the refusal.
        close: whether the connection cannot be reused.
    """
    status, headers, data = render_refusal(refusal)
    if close:
        headers.append(("Connection", "close"))
    start_response(status, headers)
    return [data]


def render_refusal(
    refusal: errors.Refusal,
) -> tuple[str, list[Header], bytes]:
    """Return the status line, headers and body of a refusal."""
    meaning = refusal.meaning
    data = json.dumps(describe_refusal(refusal)).encode()
    headers = _make_headers(data)
    # A client that retries automatically uses the same address, where a
    # refusal that names other addresses would only be repeated.
    repeats_here = meaning.may_retry and not refusal.go_to
    headers += [
        (common.HEADER_CODE, str(int(refusal.code))),
        (common.HEADER_RAN, str(meaning.ran)),
        (common.HEADER_SHOULD_RETRY, "true" if repeats_here else "false"),
    ]
    if refusal.retry_after is not None:
        # Retry-After only takes whole seconds. The header in milliseconds,
        # which the openai client prefers, spreads retries over time.
        milliseconds = math.ceil(refusal.retry_after * 1000)
        headers += [
            ("Retry-After", str(math.ceil(refusal.retry_after))),
            (common.HEADER_RETRY_AFTER_MS, str(milliseconds)),
        ]
    if refusal.go_to:
        headers.append((common.HEADER_GO_TO, ", ".join(refusal.go_to)))
    return f"{meaning.status} Refused", headers, data


def describe_refusal(refusal: errors.Refusal) -> dict[str, Any]:
    """Return the body of a refusal in the OpenAI error format."""
    meaning = refusal.meaning
    text = meaning.text
    if refusal.detail:
        text = f"{text}: {refusal.detail}"
    return {
        "error": {
            "message": text,
            "type": "citronport_refusal",
            "code": int(refusal.code),
            "name": refusal.code.name.lower(),
            "ran": str(meaning.ran),
            "retry_after": refusal.retry_after,
            "go_to": list(refusal.go_to),
        }
    }


def _make_headers(data: bytes) -> list[Header]:
    return [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
