"""Messages from a dispatch task to the task that responds to the caller."""

import dataclasses

from citronport import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class Started:
    """The endpoint's response began."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chunk:
    """A part of the response body.

    Attributes:
        offset: position in the body, in bytes.
        data: content of the part.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Interrupted:
    """The connection failed; the rest may follow over another one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished:
    """The response is complete.

    Attributes:
        size: size of the body in bytes.
    """

    size: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """There is no response, or no more of it."""

    refusal: errors.Refusal


Message = Started | Chunk | Interrupted | Finished | Refused
