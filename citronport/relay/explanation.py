"""Explains from log lines why a request ended as it did."""

import collections.abc
import dataclasses
import json
import pathlib
from typing import Any

import result

from citronport import errors
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import request_events

CONTEXT_SECONDS = 5.0
"""Time before a request's first line from which other events are shown as
context. It is longer than a watch of the store, a report interval and a cold
start together."""

_REQUEST_EVENTS = frozenset(
    eventlog.get_event_name(kind)
    for kind in (
        events.RequestRefused,
        events.RequestSent,
        events.RepeatDecided,
        events.RequestForwarded,
        events.ForwardFailed,
        events.SendFailed,
        events.RequestBarred,
        request_events.RequestEnded,
    )
)

_DOMINANT_SHARE = 0.5
"""Share of the time to the first byte from which the time in the queue counts
as the cause of a late answer."""

Line = dict[str, Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explanation:
    """Log lines and cause of one request.

    Attributes:
        request: id of the request.
        request_lines: lines of the request, in order of time.
        context: other lines of the same instance from that time.
        cause: the cause, in one sentence.
    """

    request: str
    request_lines: tuple[Line, ...]
    context: tuple[Line, ...]
    cause: str


def explain(
    request: str, paths: collections.abc.Iterable[pathlib.Path]
) -> result.Result[Explanation, str]:
    """Explain a request from the log files of instances.

    Args:
        request: id of the request.
        paths: log files; lines that hold no event are skipped.

    Returns:
        The explanation, or the reason why there is none.
    """
    lines: list[Line] = []
    for path in paths:
        try:
            with path.open(errors="replace") as file:
                lines += filter(None, map(parse_line, file))
        except OSError as error:
            return result.Err(f"{path}: {error.strerror}")
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return result.Err(
            f"no line of request {request}: it reached none of these "
            "instances, or its lines were dropped (see lines_dropped)"
        )
    request_lines.sort(key=lambda line: line["at"])
    return result.Ok(
        Explanation(
            request=request,
            request_lines=tuple(request_lines),
            context=tuple(_find_context(lines, request_lines)),
            cause=_find_cause(request_lines),
        )
    )


def parse_line(text: str) -> Line | None:
    """Return the event of a log line, or None if it holds none."""
    start = text.find('{"at":')
    if start < 0:
        return None
    try:
        line = json.loads(text[start:])
    except ValueError:
        # The line is truncated, as in a copy of a file that is being
        # written. The other lines are still valid.
        return None
    return line if "event" in line and "instance" in line else None


def render(explanation: Explanation) -> str:
    """Return an explanation as readable text."""
    rows = [f"request {explanation.request}", "", "its way:"]
    rows += [_render_line(line) for line in explanation.request_lines]
    rows += ["", f"on the same instance, from {CONTEXT_SECONDS:g} s before:"]
    rows += [_render_line(line) for line in explanation.context] or ["  -"]
    rows += ["", f"cause: {explanation.cause}"]
    return "\n".join(rows)


def _find_context(
    lines: list[Line], request_lines: list[Line]
) -> collections.abc.Iterator[Line]:
    first, last = (
        request_lines[0]["at"] - CONTEXT_SECONDS,
        request_lines[-1]["at"],
    )
    instance = request_lines[0]["instance"]
    context = [
        line
        for line in lines
        if line["instance"] == instance
        and line["event"] not in _REQUEST_EVENTS
        and first <= line["at"] <= last
    ]
    yield from sorted(context, key=lambda line: line["at"])


def _render_line(line: Line) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("at", "time", "instance", "event", "request")
    )
    head = f"  {line['at']:.3f} {line['instance']} {line['event']}"
    return f"{head} {fields}"


def _find_cause(request_lines: list[Line]) -> str:
    refused = [x for x in request_lines if x["event"] == "request_refused"]
    if refused:
        return _explain_refusal(refused[-1])
    ended = [x for x in request_lines if x["event"] == "request_ended"]
    failed = [x for x in request_lines if x["event"] == "send_failed"]
    if not ended:
        return (
            "the instance ended before the request did: see whether it was "
            "killed or replaced"
        )
    end = ended[-1]
    what = f"; last failure: {failed[-1]['what']}" if failed else ""
    match end["outcome"]:
        case "answered" if end["status"] >= 500:
            return (
                f"endpoint {end['endpoint']} itself answered "
                f"{end['status']} after {end['attempts']} sends{what}"
            )
        case "answered":
            return _explain_time(end, request_lines)
        case "left":
            return (
                f"the caller left after {end['seconds']:.2f} s, before the "
                f"end of its answer ({_explain_time(end, request_lines)})"
            )
        case "cut":
            return (
                f"the answer of {end['endpoint']} broke off after its first "
                f"byte: {_name_code(end)}{what}"
            )
    return f"refused: {_name_code(end)}{what}" + _explain_wait(end)


def _explain_refusal(line: Line) -> str:
    if not line["version"]:
        return f"refused: {_name_code(line)}; no configuration was known"
    cause = (
        f"refused: {_name_code(line)}; by version {line['version']}, the "
        f"store's last answer was {line['store_seconds']:.1f} s old"
    )
    if line["code"] == errors.Code.TOKEN_LIMIT:
        cause += f", {line['reach']:.2f} of the instances were in reach"
    return cause


def _explain_time(end: Line, request_lines: list[Line]) -> str:
    if end["first"] < 0:
        return f"no byte of an answer came{_explain_wait(end)}"
    if end["waited"] > _DOMINANT_SHARE * end["first"]:
        return (
            f"first byte after {end['first']:.2f} s, of which "
            f"{end['waited']:.2f} s in the queue: all places were taken"
        )
    sent = [x for x in request_lines if x["event"] == "request_sent"]
    more = ""
    if sent:
        more = (
            f" ({sent[-1]['expected']:.2f} s expected at load "
            f"{sent[-1]['load']}, pace {sent[-1]['pace']:.2f})"
        )
    return (
        f"first byte after {end['first']:.2f} s at {end['endpoint']}{more}, "
        f"longest pause {end['longest']:.2f} s"
    )


def _explain_wait(end: Line) -> str:
    if end["waited"] <= 0:
        return ""
    return f"; waited {end['waited']:.2f} s for a place"


def _name_code(end: Line) -> str:
    try:
        code = errors.Code(end["code"])
    except ValueError:
        return f"code {end['code']}"
    return f"{int(code)} {code.name.lower()}, {errors.MEANINGS[code].text}"
