"""Client that reads the status of instances and requests drains."""

import collections.abc
import dataclasses
import errno
import os
import time

from gevent import pool
import geventhttpclient
import pydantic
import result

from citronport.operators import const
from citronport.operators import models

CONNECTION_REFUSED = os.strerror(errno.ECONNREFUSED)
"""Reason reported for an address on which nothing listens."""

_STATUS = pydantic.TypeAdapter(models.Status)

ProgressCallback = collections.abc.Callable[[int, int], None]


def fetch_statuses(
    addresses: list[str], report_progress: ProgressCallback
) -> list[models.Answer]:
    """Read the status of instances and of all peers that they list.

    Args:
        addresses: operator "ip:port" of the instances to start from.
        report_progress: called after each response with the number of
            instances that were read and the number that are known.

    Returns:
        One result for each instance, sorted by name.
    """
    known = {address: "" for address in addresses}
    answers: dict[str, models.Answer] = {}
    greenlets = pool.Pool(const.MAX_CONCURRENT_REQUESTS)
    while len(answers) < len(known):
        pending = [a for a in known if a not in answers]
        for address, answer in greenlets.imap_unordered(
            _fetch_status, pending
        ):
            answers[address] = answer
            if isinstance(answer, models.Status):
                for peer in answer.peers:
                    if peer.operators:
                        known[peer.operators] = peer.name
            report_progress(len(answers), len(known))
    named = [_add_name(a, known) for a in answers.values()]
    return sorted(named, key=_get_sort_key)


def request_drain(address: str) -> result.Result[None, str]:
    """Request a graceful shutdown of an instance."""
    return _call(address, "POST", const.PATH_DRAIN).map(lambda _: None)


def wait_for_exit(
    address: str, report_running: collections.abc.Callable[[int], None]
) -> bool:
    """Wait until a draining instance has exited; return whether it has.

    Args:
        address: operator "ip:port" of the instance.
        report_running: called at each poll with the number of requests in
            progress.
    """
    end = time.monotonic() + const.DRAIN_TIMEOUT_SECONDS
    while time.monotonic() < end:
        match _fetch_status(address):
            case (_, models.Status() as status):
                report_running(sum(tier.running for tier in status.tiers))
            case (_, models.Unreachable(reason=reason)) if (
                reason == CONNECTION_REFUSED
            ):
                return True
        time.sleep(const.DRAIN_POLL_SECONDS)
    return False


def _fetch_status(address: str) -> tuple[str, models.Answer]:
    match _call(address, "GET", const.PATH_STATUS):
        case result.Err(reason):
            return address, models.Unreachable(
                address=address, name="", reason=reason
            )
        case result.Ok(body):
            pass
    try:
        return address, _STATUS.validate_json(body)
    except pydantic.ValidationError:
        return address, models.Unreachable(
            address=address, name="", reason="response is not a valid status"
        )


def _add_name(answer: models.Answer, known: dict[str, str]) -> models.Answer:
    if isinstance(answer, models.Status):
        return answer
    return dataclasses.replace(answer, name=known[answer.address])


def _get_sort_key(answer: models.Answer) -> str:
    match answer:
        case models.Status():
            return answer.instance
        case models.Unreachable():
            return answer.name or answer.address


def _call(address: str, method: str, path: str) -> result.Result[bytes, str]:
    host, port = address.rsplit(":", 1)
    client = geventhttpclient.HTTPClient(
        host.strip("[]"),
        int(port),
        connection_timeout=const.REQUEST_TIMEOUT_SECONDS,
        network_timeout=const.REQUEST_TIMEOUT_SECONDS,
    )
    try:
        answer = client.request(method, path)
        body = bytes(answer.read(const.MAX_STATUS_BYTES))
    except Exception as error:
        # The HTTP client raises socket, parser and time-out errors without
        # a common base class; the operator is shown which one it was.
        text = getattr(error, "strerror", None) or type(error).__name__
        return result.Err(text)
    finally:
        client.close()
    if answer.status_code >= 300:
        return result.Err(f"status {answer.status_code}")
    return result.Ok(body)
