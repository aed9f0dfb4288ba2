"""Read-only client of the values that the platform publishes."""

import collections.abc
import contextlib
import dataclasses
import random
from typing import Any

from absl import logging
import gevent
from geventhttpclient import response as http_response
import msgpack
import result

from citronport import clock
from citronport import resources
from citronport import settings
from citronport.catalogue import const
from citronport.endpoints import connection

LOG = "platform:"

_CONNECTION_ERRORS = (OSError, http_response.HTTPParseError)
_VALUE_ERRORS = (ValueError, KeyError, TypeError)
"""Errors of a body that is no published value."""

_MAX_ANSWER_BYTES = const.MAX_VALUE_BYTES + connection.MAX_FRAMING_BYTES
"""Most bytes of an answer, of which a part frames the value."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Published:
    """One published value.

    Attributes:
        path: path of the value at the platform.
        version: version of the value; increases with each change.
        value: YAML text as received from the platform.
    """

    path: str
    version: int
    value: str


def watch(
    path: str,
    wait: float,
    addresses: tuple[settings.Listener, ...],
    ticker: clock.Clock,
    deliver: collections.abc.Callable[[Published], None],
    confirm: collections.abc.Callable[[float, int], None],
    record_outcome: collections.abc.Callable[[str, str], None],
    is_reader: collections.abc.Callable[[str], bool] = lambda path: True,
) -> None:
    """Watch one published value; never returns.

    At most one watch is open at a time.

    Args:
        path: path of the value at the platform.
        wait: seconds for which the platform may hold a watch open.
        addresses: the platform's addresses, used in rotation on failure.
        ticker: the clock.
        deliver: called with each new version of the value.
        confirm: called after each response with the clock time at which
            the request was sent, since the response is at least that
            fresh, and with the version that the platform holds.
        record_outcome: called with the path and the outcome of each request.
        is_reader: whether this instance watches the value continuously;
            other instances only poll it at long intervals.
    """
    version = 0
    address_index = 0
    requested_at = float("-inf")
    max_delay = const.MIN_RETRY_SECONDS
    failing = False
    while True:
        if not is_reader(path) and ticker.now() - requested_at < (
            const.FALLBACK_POLL_SECONDS
        ):
            ticker.sleep(const.READER_CHECK_SECONDS)
            continue
        requested_at = ticker.now()
        address = addresses[address_index % len(addresses)]
        # A platform that recovers never answers the requests that were
        # open while it did not respond, so recovery is noticed only after
        # the open request times out. Without a hold time that is sooner.
        hold_seconds = 0.0 if failing else wait
        match fetch(path, address, version, hold_seconds):
            case result.Ok(published):
                failing = False
                record_outcome(
                    path, "unchanged" if published is None else "changed"
                )
                max_delay = const.MIN_RETRY_SECONDS
                if published is not None:
                    version = published.version
                    deliver(published)
                confirm(requested_at, version)
            case result.Err(reason):
                failing = True
                record_outcome(path, "failed")
                logging.warning("%s read of %s failed: %s.", LOG, path, reason)
                address_index += 1
                max_delay = min(2 * max_delay, const.MAX_RETRY_SECONDS)
                ticker.sleep(random.uniform(max_delay / 2, max_delay))


def fetch(
    path: str, address: settings.Listener, version: int, wait: float
) -> result.Result[Published | None, str]:
    """Request a value newer than a given version, once.

    Args:
        path: path of the value at the platform.
        address: address of the platform.
        version: the version already known; 0 for none.
        wait: seconds for which the platform may hold the request.

    Returns:
        The newer value, None if there was none in time, or the reason of a
        failure.
    """
    timeout = wait + const.CONNECT_TIMEOUT_SECONDS
    target = f"{path}?after={version}&wait={wait if version else 0}"
    try:
        with gevent.Timeout(timeout, TimeoutError):
            status, body = _get(str(address), target)
        if status == 304:
            return result.Ok(None)
        if status != 200:
            return result.Err(f"status {status}")
        return _read_published(path, body)
    except (*_CONNECTION_ERRORS, *_VALUE_ERRORS) as error:
        return result.Err(type(error).__name__)


def _get(address: str, target: str) -> tuple[int, bytes]:
    """Return status and body of the answer to a request.

    Raises:
        OSError: the connection failed.
        HTTPParseError: the answer is not valid HTTP, or too long.
    """
    with contextlib.closing(
        connection.connect(
            address,
            max_bytes=_MAX_ANSWER_BYTES,
            unread_bytes=resources.STORE_BUFFER_BYTES,
        )
    ) as opened:
        opened.send(connection.encode_request(address, "GET", target))
        status = opened.read_head().status_code
        return status, b"".join(iter(opened.read, b""))


def _read_published(
    path: str, body: bytes
) -> result.Result[Published | None, str]:
    if len(body) > const.MAX_VALUE_BYTES:
        return result.Err("value exceeds the size limit")
    raw: Any = msgpack.unpackb(body)
    return result.Ok(
        Published(path=path, version=raw["version"], value=raw["value"])
    )
