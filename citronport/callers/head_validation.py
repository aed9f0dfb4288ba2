"""Validates the head of a request before it is used.

If two programs interpret a head differently, a caller can hide a second
request in the body of the first (request smuggling). Ambiguous heads are
therefore refused, not repaired.
"""

import re
import string

import result

from citronport import const as common
from citronport import errors
from citronport.callers import const

_HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_HEADER_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_TARGET_CHARS = frozenset(string.ascii_letters + string.digits) | frozenset(
    "-._~:/?#[]@!$&'()*+,;=%"
)
SINGLETON_HEADERS = frozenset(
    name.lower().encode()
    for name in (
        "Authorization",
        "Content-Length",
        "Content-Type",
        "Host",
        "Transfer-Encoding",
        common.HEADER_DEADLINE,
        common.HEADER_IDEMPOTENCY_KEY,
        common.HEADER_NON_IDEMPOTENT,
        common.HEADER_TICKET,
    )
)


class HeadError(ValueError):
    """The head of a request is refused.

    Attributes:
        refusal: the refusal for the caller.
    """

    def __init__(self, refusal: errors.Refusal) -> None:
        super().__init__(refusal.code.name)
        self.refusal = refusal


def check_request_line(line: str) -> result.Result[None, errors.Refusal]:
    """Check the method, target and version of a request line."""
    if len(line) >= const.MAX_LINE_BYTES:
        return result.Err(errors.Refusal(code=errors.Code.HEAD_TOO_LARGE))
    words = line.removesuffix("\r\n").split(" ")
    if len(words) != 3 or not line.endswith("\r\n"):
        return _refuse("request line")
    method, target, version = words
    # HTTP/1.0 has no chunked encoding, so a truncated response would look
    # complete to the caller.
    if version != "HTTP/1.1":
        return _refuse("HTTP/1.1 is needed")
    if method not in const.METHODS:
        return _refuse("method")
    if not target.startswith("/") or not _TARGET_CHARS.issuperset(target):
        return _refuse("target")
    return result.Ok(None)


def check_headers(
    lines: list[bytes], singletons: frozenset[bytes] = SINGLETON_HEADERS
) -> result.Result[None, errors.Refusal]:
    """Check the header lines of a request.

    Args:
        lines: the header lines, without the final empty one.
        singletons: lower-case names of headers that may occur only once.
    """
    seen: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.removesuffix(b"\r\n").partition(b":")
        lowered = name.lower()
        if not (
            line.endswith(b"\r\n")
            and colon
            and _HEADER_NAME.fullmatch(name)
            and _HEADER_VALUE.fullmatch(value)
        ):
            return _refuse("header line")
        if lowered in seen and lowered in singletons:
            return _refuse(f"{lowered.decode()} stands twice")
        seen[lowered] = value.strip()
    return _check_framing(seen)


def _check_framing(
    seen: dict[bytes, bytes],
) -> result.Result[None, errors.Refusal]:
    length = seen.get(b"content-length")
    encoding = seen.get(b"transfer-encoding")
    if b"host" not in seen:
        return _refuse("host is missing")
    if length is not None and encoding is not None:
        return _refuse("content-length and transfer-encoding")
    if encoding is not None and encoding.lower() != b"chunked":
        return _refuse("transfer-encoding")
    if length is not None and not re.fullmatch(rb"[0-9]{1,15}", length):
        return _refuse("content-length")
    return result.Ok(None)


def _refuse(detail: str) -> result.Result[None, errors.Refusal]:
    return result.Err(
        errors.Refusal(code=errors.Code.BAD_HEADER, detail=detail)
    )
