"""Writes the responses of runs to callers."""

import collections.abc
import json

from absl import logging

from citronport import const as common
from citronport import errors
from citronport import eventstream
from citronport import runs
from citronport.callers import replies
from citronport.endpoints import messages

LOG = "callers:"


def answer_run(
    start_response: replies.StartResponse,
    run: runs.Run,
    answer: collections.abc.Iterable[messages.Message],
    complete_refusal: collections.abc.Callable[
        [errors.Refusal], errors.Refusal
    ],
) -> collections.abc.Iterator[bytes]:
    """Write the response of a run as it arrives.

    Args:
        start_response: the WSGI callable.
        run: the run.
        answer: the messages of its response, from the first one.
        complete_refusal: adds missing fields to a refusal, such as the
            addresses of other entries.

    Raises:
        replies.StreamCutError: the response failed after its first byte.
    """
    head: messages.Started | None = None
    begun = False
    rest = b""
    for message in answer:
        match message:
            case messages.Started():
                # Headers are held back until the first byte of the body: a
                # refusal before it can still be sent with its own status.
                head = message
                continue
            case messages.Chunk() if run.work.call.stream:
                data, rest = eventstream.split_events(rest + message.data)
                if not data:
                    continue
            case messages.Chunk():
                data = message.data
            case messages.Finished():
                data = rest
            case messages.Refused() if begun:
                yield from _cut_stream(run, message.refusal)
            case messages.Refused():
                refusal = complete_refusal(message.refusal)
                yield from replies.answer_refusal(start_response, refusal)
                return
        if not begun and head is not None:
            _start(start_response, run, head)
            begun = True
        yield data


def _start(
    start_response: replies.StartResponse,
    run: runs.Run,
    head: messages.Started,
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
    # A truncated response with a regular end would look complete to the
    # caller. An event stream gets an error event first; then the connection
    # closes without the final chunk, which every HTTP client reports.
    if run.work.call.stream:
        event = json.dumps(replies.describe_refusal(refusal))
        yield f"data: {event}\n\n".encode()
    logging.warning("%s response truncated: %s.", LOG, refusal.code.name)
    raise replies.StreamCutError(refusal.code.name)
