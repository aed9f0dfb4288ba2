"""Decoding and encoding of the headers of requests and responses."""

import collections.abc
import dataclasses
import math

import result

from citronport import errors
from citronport import inputs
from citronport.endpoints import connection
from citronport.platform import const
from citronport.scheduler.direct import models

Headers = collections.abc.Mapping[str, str]
"""Header values by lower-case name."""

HEADER_RETRY_AFTER = const.HEADER_RETRY_AFTER

_MAX_ID_CHARS = 200


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Resumption:
    """A stream that a caller takes up again after it broke off.

    Attributes:
        begun_by: id of the attempt that brought its first event; empty if
            the caller does not name it.
        after: id of the last event that the caller has received; empty if
            the caller does not name it.
    """

    begun_by: str
    after: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """Decoded headers of a caller's request.

    Attributes:
        request_id: id of this attempt of the caller.
        key: the caller's API key; empty if there is none.
        timeout_seconds: how long the caller waits; None if not given.
        prompt_tokens: number of tokens in the prompt.
        output_tokens: maximum number of output tokens.
        expected_tokens: number of output tokens that the caller expects;
            the maximum if it gives no estimate.
        has_token_counts: whether the request gives its token counts.
        prompt_parts: id and token count of each part of the prompt, in
            order.
        resumption: the stream that the caller takes up again, if any.
    """

    request_id: str
    key: str
    timeout_seconds: float | None
    prompt_tokens: int
    output_tokens: int
    expected_tokens: int
    has_token_counts: bool
    prompt_parts: tuple[tuple[str, int], ...]
    resumption: Resumption | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointAnswer:
    """Decoded headers of an endpoint's response.

    Attributes:
        status: HTTP status.
        request_id: id of the request that it answers; empty if not given.
        signature: the endpoint's signature; empty if there is none.
        ran: False only if the endpoint states that the request did not run.
        misdirected: whether an endpoint other than the expected one
            responded at the same address.
        limit: requests a second that the endpoint accepts from all
            instances together, undecoded; None if it states no limit.
        leaving: whether the endpoint is about to stop, undecoded; None if
            it does not say.
        brittle: requests that the endpoint stands to turn away in a second,
            undecoded; None if it does not say that it is brittle.
        turned_away: whether the endpoint had no room for the request.
        pause: seconds for which the endpoint, which turned the request
            away, wants no further request of this instance, undecoded; None
            if it states no time.
        headers: headers to pass to the caller, with unchanged names.
        content_type: type of the body without parameters, in lower case;
            empty if not given.
    """

    status: int
    request_id: str
    signature: str
    ran: bool
    misdirected: bool
    limit: str | None
    leaving: str | None
    brittle: str | None
    turned_away: bool
    pause: str | None
    headers: tuple[tuple[str, str], ...]
    content_type: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the endpoint answered with a success status."""
        return 200 <= self.status < 300

    @property
    def is_event_stream(self) -> bool:
        """Whether the endpoint says that the body is an event stream."""
        return self.content_type == const.TYPE_EVENT_STREAM

    @property
    def may_hold_events(self) -> bool:
        """Whether the body is an event stream or of no stated type."""
        return self.is_event_stream or not self.content_type


def parse_request(
    fields: Headers,
) -> result.Result[CallerRequest, errors.Refusal]:
    """Decode the headers of a caller's request."""
    request_id = fields.get(const.HEADER_REQUEST_ID, "")
    if not request_id or len(request_id) > _MAX_ID_CHARS:
        return _make_refusal("request id")
    try:
        prompt, output, has_token_counts = _parse_tokens(
            fields.get(const.HEADER_TOKEN_COUNTS)
        )
        parts = _parse_parts(fields.get(const.HEADER_PROMPT_PARTS, ""))
        expected = output
        if const.HEADER_LENGTH_HINT in fields:
            # An estimate may be wrong in either direction, even below zero.
            expected = int(fields[const.HEADER_LENGTH_HINT])
            expected = min(max(0, expected), inputs.MAX_COUNT)
        timeout_seconds = _parse_timeout(fields.get(const.HEADER_DEADLINE))
    except ValueError:
        return _make_refusal("a number is not valid")
    return result.Ok(
        CallerRequest(
            request_id=request_id,
            key=fields.get(const.HEADER_API_KEY, ""),
            timeout_seconds=timeout_seconds,
            prompt_tokens=prompt,
            output_tokens=output,
            expected_tokens=expected,
            has_token_counts=has_token_counts,
            prompt_parts=parts,
            resumption=_parse_resumption(fields),
        )
    )


def make_request(
    method: str,
    target: str,
    fields: Headers,
    body: bytes | bytearray,
    endpoint: models.Endpoint,
    workspace: str | None,
    timeout_seconds: float,
    resume_after: str | None = None,
) -> connection.OutgoingRequest:
    """Encode a request to an endpoint.

    Args:
        method: HTTP method of the caller's request.
        target: path and query of the caller's request.
        fields: headers of the caller's request.
        body: body of the caller's request.
        endpoint: the only endpoint that may run the request.
        workspace: workspace of the request; None if no keys are used.
        timeout_seconds: time left for the response.
        resume_after: id of the last event that the caller has received;
            None to leave the caller's own header unchanged.
    """
    headers = {
        name: value
        for name, value in fields.items()
        if name not in const.HOP_BY_HOP_HEADERS
        and name not in const.RESERVED_HEADERS
    }
    for name in fields.get("connection", "").split(","):
        headers.pop(name.strip().lower(), None)
    headers["host"] = fields.get("host", endpoint.address)
    headers[const.HEADER_DEADLINE] = str(max(1, int(timeout_seconds * 1000)))
    headers[const.HEADER_EXPECTED_ENDPOINT] = endpoint.name
    if workspace is not None:
        headers[const.HEADER_WORKSPACE] = workspace
    if resume_after is not None:
        headers[const.HEADER_RESUME_AFTER] = resume_after
    if body or method not in ("GET", "DELETE", "HEAD"):
        headers["content-length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    head = "\r\n".join((*lines, "", "")).encode("latin-1")
    return connection.OutgoingRequest(head=head, body=body)


def parse_answer(answer: connection.Answer) -> EndpointAnswer:
    """Decode the headers of an endpoint's response."""
    status = answer.status_code
    not_run = (
        const.HEADER_NOT_RUN in answer or status == const.STATUS_MISDIRECTED
    )
    turned_away = status == const.STATUS_UNAVAILABLE
    headers = tuple(
        (name, value)
        for name, value in answer.items()
        if name.lower() not in const.HOP_BY_HOP_HEADERS
    )
    return EndpointAnswer(
        status=status,
        request_id=str(answer.get(const.HEADER_REQUEST_ID, "")),
        signature=str(answer.get(const.HEADER_SIGNATURE, "")),
        ran=not not_run,
        misdirected=status == const.STATUS_MISDIRECTED,
        limit=answer.get(const.HEADER_ENDPOINT_LIMIT),
        leaving=answer.get(const.HEADER_LEAVING),
        brittle=answer.get(const.HEADER_BRITTLE),
        turned_away=turned_away and not_run,
        pause=answer.get(const.HEADER_RETRY_AFTER) if turned_away else None,
        headers=headers,
        content_type=_parse_content_type(answer),
    )


def parse_limit(text: str) -> result.Result[float, str]:
    """Decode the limit stated by an endpoint, in requests a second."""
    return inputs.parse_number(text, inputs.MAX_COUNT)


def parse_leaving(text: str) -> result.Result[bool, str]:
    """Decode whether an endpoint is about to stop."""
    match text.strip():
        case "1":
            return result.Ok(True)
        case "0":
            return result.Ok(False)
        case _:
            return result.Err("neither 0 nor 1")


def parse_brittle(text: str) -> result.Result[float, str]:
    """Decode how many rejections in a second an endpoint stands."""
    return inputs.parse_number(text, inputs.MAX_COUNT)


def parse_pause(text: str) -> result.Result[float, str]:
    """Decode how long an endpoint wants no request, in seconds."""
    return inputs.parse_number(text, inputs.MAX_SECONDS)


def make_refusal_headers(refusal: errors.Refusal) -> list[tuple[str, str]]:
    """Return the headers that state when to retry a refused request."""
    if refusal.retry_after is None:
        return []
    return [(HEADER_RETRY_AFTER, f"{refusal.retry_after:.3f}")]


def _parse_content_type(answer: connection.Answer) -> str:
    text = str(answer.get(const.HEADER_CONTENT_TYPE, ""))
    return text.partition(";")[0].strip().lower()


def _parse_tokens(text: str | None) -> tuple[int, int, bool]:
    if text is None:
        return 0, 0, False
    prompt, _, output = text.partition(",")
    return inputs.parse_count(prompt), inputs.parse_count(output or "0"), True


def _parse_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for entry in text.split(","):
        if entry.strip():
            name, _, tokens = entry.strip().partition(":")
            parts.append((name, inputs.parse_count(tokens)))
    return tuple(parts)


def _parse_resumption(fields: Headers) -> Resumption | None:
    begun_by = fields.get(const.HEADER_RESUMES)
    after = fields.get(const.HEADER_RESUME_AFTER)
    if begun_by is None and after is None:
        return None
    return Resumption(begun_by=begun_by or "", after=after or "")


def _parse_timeout(text: str | None) -> float | None:
    if text is None:
        return None
    seconds = float(text) / 1000.0
    if not math.isfinite(seconds):
        raise ValueError("deadline is not finite")
    return min(max(0.0, seconds), inputs.MAX_SECONDS)


def _make_refusal(detail: str) -> result.Result[CallerRequest, errors.Refusal]:
    return result.Err(
        errors.Refusal(code=errors.Code.BAD_HEADER, detail=detail)
    )
