"""What a dispatch task sends to the task that answers the caller."""

import dataclasses

from citronport import errors


@dataclasses.dataclass(frozen=True, kw_only=True)
class Started:
    """The endpoint's answer began."""

    status: int
    content_type: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Chunk:
    """A piece of the answer.

    Attributes:
        offset: bytes of the answer before this piece.
        data: the piece.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Interrupted:
    """The connection broke; the rest may still come over another one."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished:
    """The answer is whole.

    Attributes:
        size: bytes of the answer.
    """

    size: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refused:
    """There will be no answer, or no more of it."""

    refusal: errors.Refusal


Message = Started | Chunk | Interrupted | Finished | Refused
