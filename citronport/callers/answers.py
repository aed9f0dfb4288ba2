"""Writes answers and refusals to callers."""

import collections.abc
import json
import math
from typing import Any

from absl import logging

from citronport import const as common
from citronport import errors
from citronport import runs
from citronport.endpoints import messages

LOG = "callers:"

_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")

StartResponse = collections.abc.Callable[..., Any]
Header = tuple[str, str]


class StreamCutError(Exception):
    """The answer ended early; the connection must end uncleanly."""


def answer_json(
    start_response: StartResponse, body: dict[str, Any]
) -> list[bytes]:
    """Answer with a JSON body."""
    data = json.dumps(body).encode()
    start_response("200 OK", _make_headers(data))
    return [data]


def answer_refusal(
    start_response: StartResponse,
    refusal: errors.Refusal,
    *,
    close: bool = False,
) -> list[bytes]:
    """Answer with a refusal.

    Args:
        start_response: of WSGI.
        refusal: what to tell.
        close: whether the connection can not be used again.
    """
    status, headers, data = render_refusal(refusal)
    if close:
        headers.append(("Connection", "close"))
    start_response(status, headers)
    return [data]


def render_refusal(
    refusal: errors.Refusal,
) -> tuple[str, list[Header], bytes]:
    """Return status line, headers and body of a refusal."""
    meaning = refusal.meaning
    data = json.dumps(describe_refusal(refusal)).encode()
    headers = _make_headers(data)
    # A client that repeats by itself does so at the same address, where a
    # refusal that names others would only be given again.
    repeats_here = meaning.may_retry and not refusal.go_to
    headers += [
        (common.HEADER_CODE, str(int(refusal.code))),
        (common.HEADER_RAN, str(meaning.ran)),
        (common.HEADER_SHOULD_RETRY, "true" if repeats_here else "false"),
    ]
    if refusal.retry_after is not None:
        # The usual header takes whole seconds; the other one, which the
        # openai client reads first, keeps callers spread over the time.
        milliseconds = math.ceil(refusal.retry_after * 1000)
        headers += [
            ("Retry-After", str(math.ceil(refusal.retry_after))),
            (common.HEADER_RETRY_AFTER_MS, str(milliseconds)),
        ]
    if refusal.go_to:
        headers.append((common.HEADER_GO_TO, ", ".join(refusal.go_to)))
    return f"{meaning.status} Refused", headers, data


def describe_refusal(refusal: errors.Refusal) -> dict[str, Any]:
    """Return a refusal in the form that OpenAI-style clients read."""
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


def answer_run(
    start_response: StartResponse,
    run: runs.Run,
    answer: collections.abc.Iterable[messages.Message],
    complete: collections.abc.Callable[[errors.Refusal], errors.Refusal],
) -> collections.abc.Iterator[bytes]:
    """Write out the answer of a run as it comes.

    Args:
        start_response: of WSGI.
        run: the run.
        answer: its messages, from the first.
        complete: adds what a refusal lacks, such as where to go.

    Raises:
        StreamCutError: the answer broke after its first byte.
    """
    head: messages.Started | None = None
    begun = False
    rest = b""
    for message in answer:
        match message:
            case messages.Started():
                # Held back until the first byte: a refusal before it can
                # still be told in full.
                head = message
                continue
            case messages.Chunk() if run.work.call.stream:
                data, rest = split_events(rest + message.data)
                if not data:
                    continue
            case messages.Chunk():
                data = message.data
            case messages.Finished():
                data = rest
            case messages.Refused() if begun:
                yield from _cut_stream(run, message.refusal)
            case messages.Refused():
                refusal = complete(message.refusal)
                yield from answer_refusal(start_response, refusal)
                return
        if not begun and head is not None:
            _start(start_response, run, head)
            begun = True
        yield data


def split_events(data: bytes) -> tuple[bytes, bytes]:
    """Return the whole events of a stream, and the beginning of the next.

    An event that is cut in the middle can't be told from the error event
    that follows the cut: clients would fail to parse both.
    """
    ends = [
        found + len(mark)
        for mark in _EVENT_ENDS
        if (found := data.rfind(mark)) >= 0
    ]
    end = max(ends, default=0)
    return data[:end], data[end:]


def _start(
    start_response: StartResponse, run: runs.Run, head: messages.Started
) -> None:
    start_response(
        f"{head.status} OK",
        [
            ("Content-Type", head.content_type),
            (common.HEADER_REQUEST_ID, run.request_id),
        ],
    )


def _cut_stream(
    run: runs.Run, refusal: errors.Refusal
) -> collections.abc.Iterator[bytes]:
    # A truncated answer with a clean end looks whole to the caller. A
    # stream of events gets an error event first; then the connection ends
    # without the closing chunk, which every HTTP client reports.
    if run.work.call.stream:
        event = json.dumps(describe_refusal(refusal))
        yield f"data: {event}\n\n".encode()
    logging.warning("%s answer cut: %s.", LOG, refusal.code.name)
    raise StreamCutError(refusal.code.name)


def _make_headers(data: bytes) -> list[Header]:
    return [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
