"""Sends requests by way of another instance while the own path is lost."""

import collections.abc
import random

from citronport import clock
from citronport import const
from citronport import errors
from citronport.endpoints import connection
from citronport.platform import requests
from citronport.relay import jobs
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import upstream

PATH = "/forward"

STATUS_DECLINED = 421
"""Status of an instance that did not and will not send a request on."""

MAX_PEERS = 2
"""Instances that are asked for one request; none of them may have a path."""


class Forwarder:
    """Finds instances that have a path and hands requests to them.

    Args:
        own: name of this instance.
        data_centre: data centre of this instance.
        port: TCP port at which instances take requests of others.
        members: the other instances.
        ticker: the clock.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        port: int,
        members: membership_module.Membership,
        ticker: clock.Clock,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._port = port
        self._members = members
        self._ticker = ticker

    def has_peers(self) -> bool:
        """Return whether another instance may have a path."""
        return any(map(_may_forward, self._list_fresh()))

    def choose_peers(self) -> list[messages.Report]:
        """Return the instances to ask, those of this data centre first."""
        peers = [r for r in self._list_fresh() if _may_forward(r)]
        random.shuffle(peers)
        peers.sort(key=lambda r: r.data_centre != self._data_centre)
        return peers[:MAX_PEERS]

    def open(
        self, peer: messages.Report, request_id: str
    ) -> upstream.Exchange | None:
        """Connect to an instance; return None if it can't be reached."""
        host = peer.peer_address.rpartition(":")[0]
        exchange = upstream.Exchange(f"{host}:{self._port}", request_id)
        return exchange if exchange.open() is None else None

    def encode(
        self,
        job: jobs.Job,
        tried: collections.abc.Iterable[str],
        paused: collections.abc.Iterable[str],
        possible_runs: int,
        is_counted: bool,
        last_event_id: str | None,
        software: str | None,
    ) -> connection.OutgoingRequest:
        """Return the encoded request to another instance.

        Args:
            job: the request of a caller.
            tried: names of the endpoints that it was sent to.
            paused: names of the endpoints that want no request of this
                instance, by whatever way.
            possible_runs: endpoints that have run it or may have.
            is_counted: whether it was sent to an endpoint before.
            last_event_id: id of the last event that the caller has
                received; None if there is none.
            software: the only software version that may run it; None if any
                may.
        """
        work = job.work
        now = self._ticker.now()
        forward = messages.Forward(
            protocol=messages.PROTOCOL,
            instance=self._own,
            route=work.route.name,
            service=job.service,
            version=job.version,
            method=job.method,
            target=job.target,
            headers=dict(job.headers),
            body=job.body,
            fingerprint=job.fingerprint,
            workspace=job.workspace.name if job.workspace else None,
            elapsed_seconds=now - work.arrived,
            remaining_seconds=work.deadline - now,
            tried=list(tried),
            paused=list(paused),
            possible_runs=possible_runs,
            is_counted=is_counted,
            last_event_id=last_event_id,
            software=software,
        )
        before, after = messages.CODEC.encode_around(forward, "body")
        size = len(before) + len(job.body) + len(after)
        head = connection.encode_head(
            self._own, "POST", PATH, headers={"Content-Length": str(size)}
        )
        return connection.OutgoingRequest(
            head=head + before, body=job.body, tail=after
        )

    def _list_fresh(self) -> list[messages.Report]:
        return self._members.list_fresh(self._ticker.now())


def parse_refusal(answer: requests.EndpointAnswer) -> errors.Refusal | None:
    """Return the refusal of another instance; None for an endpoint's answer.

    The caller gets the same refusal from this instance.
    """
    headers = {name.lower(): value for name, value in answer.headers}
    code = headers.get(const.HEADER_CODE.lower())
    if code is None or answer.signature:
        return None
    try:
        retry_after = headers.get(requests.HEADER_RETRY_AFTER)
        return errors.Refusal(
            code=errors.Code(int(code)),
            retry_after=None if retry_after is None else float(retry_after),
        )
    except ValueError:
        # Not a refusal of this protocol, so that nothing is known.
        return errors.Refusal(code=errors.Code.INSTANCE_LOST)


def _may_forward(report: messages.Report) -> bool:
    return report.ready and not report.leaving and not report.path_lost
