"""Numbered result codes and their meaning for the caller."""

import dataclasses
import enum


class Ran(enum.StrEnum):
    """Whether a refused request ran."""

    NOT_RUN = "not run"
    OUTCOME_UNKNOWN = "outcome unknown"


class Code(enum.IntEnum):
    """Result codes; docs/ERRORS.md documents them."""

    MALFORMED = 1001
    UNKNOWN_KEY = 1002
    UNKNOWN_MODEL = 1003
    UNKNOWN_PATH = 1004
    BODY_TOO_LARGE = 1005
    BODY_TOO_SLOW = 1006
    BAD_HEADER = 1007
    TOO_MANY_CALLERS = 1008
    HEAD_TOO_SLOW = 1009
    HEAD_TOO_LARGE = 1010
    TICKET_NEEDED = 1101
    TICKET_EXPIRED = 1102
    HOME_GONE = 1103
    KEY_REUSED = 1104
    ANSWER_NOT_KEPT = 1105
    HOME_UNREACHABLE = 1106
    TOO_MANY_KEYS = 1107
    ABANDONED = 1108
    ABANDONED_WAITING = 1109
    RATE_LIMIT = 2001
    CONCURRENCY_LIMIT = 2002
    TOKEN_LIMIT = 2003
    OVERLOADED = 2101
    DEADLINE_TOO_NEAR = 2102
    NO_ENDPOINT = 2103
    DEADLINE_PASSED_WAITING = 2104
    NO_CATALOGUE = 2105
    BARRED = 2106
    VERSION_GONE = 2107
    STREAM_UNKNOWN = 2108
    LEAVING = 2201
    ENDPOINT_LOST = 3001
    INSTANCE_LOST = 3002
    DEADLINE_PASSED_RUNNING = 3003
    ENDPOINT_FAULT = 3004
    INTERNAL = 9001


class InputFault(enum.IntEnum):
    """Codes of rejected inputs; docs/ERRORS.md documents them."""

    BAD_SETTINGS = 4001
    BAD_CONFIGURATION = 4002
    BAD_ENDPOINT = 4003
    BAD_LIMIT = 4004
    BAD_LEAVING = 4005
    BAD_PAUSE = 4006
    BAD_FORWARD = 4007
    BAD_BRITTLE = 4008
    BAD_ITEM = 4009
    BAD_MESSAGE = 4010


@dataclasses.dataclass(frozen=True, kw_only=True)
class Meaning:
    """The HTTP status and the meaning of a result code."""

    status: int
    ran: Ran
    text: str
    may_retry: bool = False


def _not_run(status: int, text: str, *, may_retry: bool = False) -> Meaning:
    return Meaning(
        status=status, ran=Ran.NOT_RUN, text=text, may_retry=may_retry
    )


def _unknown(status: int, text: str) -> Meaning:
    return Meaning(status=status, ran=Ran.OUTCOME_UNKNOWN, text=text)


MEANINGS: dict[Code, Meaning] = {
    Code.MALFORMED: _not_run(400, "the request body is not valid"),
    Code.UNKNOWN_KEY: _not_run(401, "the workspace key is not known"),
    Code.UNKNOWN_MODEL: _not_run(404, "no endpoint offers this model"),
    Code.UNKNOWN_PATH: _not_run(404, "there is nothing at this path"),
    Code.BODY_TOO_LARGE: _not_run(413, "the request body is too large"),
    Code.BODY_TOO_SLOW: _not_run(408, "the request body came too slowly"),
    Code.BAD_HEADER: _not_run(400, "a request header is not valid"),
    Code.TOO_MANY_CALLERS: _not_run(
        503, "too many open connections", may_retry=True
    ),
    Code.HEAD_TOO_SLOW: _not_run(408, "the request head came too slowly"),
    Code.HEAD_TOO_LARGE: _not_run(431, "the request head is too large"),
    Code.TICKET_NEEDED: _not_run(
        428, "a non-idempotent request needs a ticket and an idempotency key"
    ),
    Code.TICKET_EXPIRED: _unknown(409, "the ticket is past its lifetime"),
    Code.HOME_GONE: _unknown(
        409, "the instance that holds this request is gone"
    ),
    Code.KEY_REUSED: _not_run(
        422, "the idempotency key belongs to another request body"
    ),
    Code.ANSWER_NOT_KEPT: _unknown(
        409, "the request was taken before and its answer is not kept"
    ),
    Code.HOME_UNREACHABLE: _unknown(
        409, "the instance that holds this request cannot be reached"
    ),
    Code.TOO_MANY_KEYS: _not_run(
        503,
        "too many keyed requests are remembered here",
        may_retry=True,
    ),
    Code.ABANDONED: _unknown(
        409, "the request was stopped, for its caller had gone"
    ),
    Code.ABANDONED_WAITING: _not_run(
        503,
        "the request was dropped while it waited, for its caller had gone",
        may_retry=True,
    ),
    Code.RATE_LIMIT: _not_run(
        429, "the request rate is over the limit", may_retry=True
    ),
    Code.CONCURRENCY_LIMIT: _not_run(
        429, "too many requests at once for this entry", may_retry=True
    ),
    Code.TOKEN_LIMIT: _not_run(
        429, "the token rate is over the limit", may_retry=True
    ),
    Code.OVERLOADED: _not_run(
        503, "the work of this tier exceeds the capacity", may_retry=True
    ),
    Code.DEADLINE_TOO_NEAR: _not_run(
        503, "the work ahead ends after the deadline", may_retry=True
    ),
    Code.NO_ENDPOINT: _not_run(
        503, "no endpoint is in service for this request", may_retry=True
    ),
    Code.DEADLINE_PASSED_WAITING: _not_run(
        504, "the deadline passed while the request waited", may_retry=True
    ),
    Code.NO_CATALOGUE: _not_run(
        503, "this instance has no catalogue yet", may_retry=True
    ),
    Code.BARRED: _not_run(
        503, "several endpoints ended while they had this request or its parts"
    ),
    Code.VERSION_GONE: _not_run(
        503,
        "no endpoint serves the software version that began this stream",
        may_retry=True,
    ),
    Code.STREAM_UNKNOWN: _not_run(
        503,
        "several software versions serve, and which of them began this"
        " stream is not known here",
        may_retry=True,
    ),
    Code.LEAVING: _not_run(503, "this instance is leaving", may_retry=True),
    Code.ENDPOINT_LOST: _unknown(
        502, "the connection to the endpoint broke after the request was sent"
    ),
    Code.INSTANCE_LOST: _unknown(
        502, "the connection to the instance that ran the request broke"
    ),
    Code.DEADLINE_PASSED_RUNNING: _unknown(
        504, "the deadline passed while the request ran"
    ),
    Code.ENDPOINT_FAULT: _unknown(502, "the endpoint answered with an error"),
    Code.INTERNAL: _unknown(500, "an internal error"),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """A final response other than success.

    Attributes:
        code: the result code.
        detail: additional text for the caller; never content or keys.
        retry_after: seconds after which to retry; None where a retry is of
            no use.
        go_to: addresses ("ip:port") to use instead, best first.
    """

    code: Code
    detail: str = ""
    retry_after: float | None = None
    go_to: tuple[str, ...] = ()

    @property
    def meaning(self) -> Meaning:
        """The meaning of the code."""
        return MEANINGS[self.code]
