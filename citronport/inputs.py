"""Checks of values that other parties write.

Whoever writes a value chooses what its decoder raises, and how large its
numbers are. What is accepted can be used: it has a bound on each side.
"""

import collections.abc
import ipaddress
import math
from typing import Annotated
from typing import TypeVar

import msgspec
import result

MAX_NUMBER = 2**53
"""Largest magnitude of a number without a smaller bound. Whole numbers up to
it are exact as floats, and fit into a message to another instance."""

MAX_COUNT = 10**9
MAX_TIER = 10**6

MAX_SLOTS = 65535
"""Most requests at once at one address; each has a connection of its own."""

MAX_SECONDS = 366 * 86_400
"""Longest duration: a year."""

MAX_MILLISECONDS = 1000 * MAX_SECONDS

MAX_UNIX_MILLISECONDS = 253_402_300_799_999
"""The end of the year 9999."""

MAX_PORT = 65535

MAX_NAME_BYTES = 256
"""Longest name in the entry of an endpoint, encoded. Datagrams to other
instances hold many; one that is too long for a datagram is never sent."""

Whole = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Tier = Annotated[int, msgspec.Meta(ge=-MAX_TIER, le=MAX_TIER)]
UnixMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MILLISECONDS)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_MILLISECONDS)]
PositiveMilliseconds = Annotated[
    float, msgspec.Meta(gt=0, le=MAX_MILLISECONDS)
]
# What is left of a time may be below zero when it is written.
MillisecondsLeft = Annotated[
    float, msgspec.Meta(ge=-MAX_MILLISECONDS, le=MAX_MILLISECONDS)
]
# Characters that don't end a line of a request in which they are sent.
HeaderText = Annotated[str, msgspec.Meta(pattern=r"^[\x20-\x7e\xa0-\xff]*\Z")]

_Parsed = TypeVar("_Parsed")


class InvalidValueError(ValueError):
    """A value is of no use; the text of the error doesn't repeat it."""


def attempt(
    parse: collections.abc.Callable[[], _Parsed],
) -> result.Result[_Parsed, str]:
    """Return what a decoder returns, or the reason why it fails."""
    # A list of errors would be incomplete: deeply nested JSON raises
    # RecursionError, others come with each field that is added.
    try:
        return result.Ok(parse())
    except Exception as error:
        return result.Err(_describe(error))


def parse_number(text: str, maximum: float) -> result.Result[float, str]:
    """Decode a number from 0 to a maximum."""
    try:
        number = float(text)
    except ValueError:
        return result.Err("not a number")
    if not math.isfinite(number) or number < 0:
        return result.Err("not a finite, non-negative number")
    if number > maximum:
        return result.Err("number is too large")
    return result.Ok(number)


def parse_count(text: str) -> int:
    """Return a whole number from 0 to ``MAX_COUNT``.

    Raises:
        ValueError: the text is no such number.
    """
    count = int(text)
    if not 0 <= count <= MAX_COUNT:
        raise InvalidValueError("count is out of range")
    return count


def check_name(text: str) -> None:
    """Check that a name fits into messages to other instances.

    Raises:
        InvalidValueError: it does not.
    """
    if len(text.encode()) > MAX_NAME_BYTES:
        raise InvalidValueError(f"name is longer than {MAX_NAME_BYTES} bytes")


def check_address(text: str) -> None:
    """Check that a text is an "ip:port" to connect to.

    Raises:
        InvalidValueError: it is not.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise InvalidValueError('address is not "ip:port"') from error
    if not (port.isascii() and port.isdecimal()) or len(port) > 5:
        raise InvalidValueError("port is not a number of up to 5 digits")
    if not 1 <= int(port) <= MAX_PORT:
        raise InvalidValueError(f"port is not in 1 to {MAX_PORT}")


def _describe(error: Exception) -> str:
    # Reports only where and what kind an error is, never the value, since
    # that may contain a caller's key. Texts of validation errors name types,
    # bounds and the place.
    if isinstance(error, msgspec.ValidationError | InvalidValueError):
        return str(error)
    return type(error).__name__
