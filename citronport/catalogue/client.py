"""Reads and watches what the platform publishes; writes nothing."""

import collections.abc
import dataclasses
import random
from typing import Any

from absl import logging
import geventhttpclient
import msgpack
import result

from citronport import clock
from citronport import settings
from citronport.catalogue import const

LOG = "platform:"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Published:
    """One published value.

    Attributes:
        path: which value.
        version: its version; grows with each change.
        value: the value as the platform gives it, YAML text.
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
    """Follow one published value for ever, one open watch at a time.

    Args:
        path: which value.
        wait: seconds for which a watch may be held open.
        addresses: the platform's addresses, tried in turn.
        ticker: the clock.
        deliver: called with each value that differs from the last one.
        confirm: called after each answer with the clock time at which the
            question was sent, since the answer is at least that fresh, and
            with the version that the platform holds.
        record_outcome: called with the path and the outcome of each question.
        is_reader: whether this instance is one of those that watch the
            value; others ask now and then only.
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
        # A question that is out when a silent platform comes back hides its
        # return until it is given up; one that waits for nothing is soon.
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
                logging.warning("%s %s failed: %s.", LOG, path, reason)
                address_index += 1
                max_delay = min(2 * max_delay, const.MAX_RETRY_SECONDS)
                ticker.sleep(random.uniform(max_delay / 2, max_delay))


def fetch(
    path: str, address: settings.Listener, version: int, wait: float
) -> result.Result[Published | None, str]:
    """Ask once for a value newer than a version.

    Args:
        path: which value.
        address: where the platform listens.
        version: the version already known; 0 for none.
        wait: seconds for which the platform may hold the question.

    Returns:
        The newer value, None if there was none in time, or the failure.
    """
    client = geventhttpclient.HTTPClient(
        str(address.address),
        address.port,
        connection_timeout=const.CONNECT_TIMEOUT_SECONDS,
        network_timeout=wait + const.CONNECT_TIMEOUT_SECONDS,
    )
    try:
        answer = client.get(
            f"{path}?after={version}&wait={wait if version else 0}"
        )
        body = answer.read()
        if answer.status_code == 304:
            return result.Ok(None)
        if answer.status_code != 200:
            return result.Err(f"status {answer.status_code}")
        return _read_published(path, body)
    except Exception as error:
        # The client raises socket, parser and timeout errors of several
        # families; whatever it is, the answer is to ask again.
        return result.Err(type(error).__name__)
    finally:
        client.close()


def _read_published(
    path: str, body: bytes
) -> result.Result[Published | None, str]:
    if len(body) > const.MAX_VALUE_BYTES:
        return result.Err("value too large")
    raw: Any = msgpack.unpackb(body)
    return result.Ok(
        Published(path=path, version=raw["version"], value=raw["value"])
    )
