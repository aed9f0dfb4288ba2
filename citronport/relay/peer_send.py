"""One request that another instance is asked to send to an endpoint."""

import collections.abc

from citronport import errors
from citronport.endpoints import connection
from citronport.platform import requests
from citronport.relay import forwarding
from citronport.relay import jobs
from citronport.relay import progress as progress_module
from citronport.relay import upstream

DECLINING_CODES = frozenset(
    (
        errors.Code.TOO_MANY_CALLERS,
        errors.Code.BODY_TOO_LARGE,
        errors.Code.BODY_TOO_SLOW,
        errors.Code.HEAD_TOO_SLOW,
    )
)
"""Refusals of another instance's server, before it knows the request. Another
instance may take it."""


class PeerSend:
    """Sends one request by way of other instances.

    Args:
        context: components shared by all requests.
        job: the request.
        progress: state of the request.

    Attributes:
        exchange: the exchange with the instance that answered last.
    """

    def __init__(
        self,
        context: jobs.RelayContext,
        job: jobs.Job,
        progress: progress_module.Progress,
    ) -> None:
        self._context = context
        self._job = job
        self._progress = progress
        self.exchange: upstream.Exchange | None = None

    def send(
        self,
        tried: collections.abc.Iterable[str],
        is_counted: bool,
        last_event_id: str | None,
        software: str | None,
    ) -> requests.EndpointAnswer | errors.Refusal | None:
        """Ask instances until one takes the request.

        Args:
            tried: names of the endpoints that were tried here.
            is_counted: whether the request was sent to an endpoint here.
            last_event_id: id of the last event that the caller has
                received; None if it has received none.
            software: the only software version that may run it; None if any
                may.

        Returns:
            The answer or the refusal of the instance that took it; None if
            none did.
        """
        for peer in self._context.forwarder.choose_peers():
            exchange = self._context.forwarder.open(
                peer, self._job.work.request_id
            )
            if exchange is None:
                self._record_failure(peer.instance, "unreachable", "no")
                continue
            self.exchange = exchange
            self._progress.attempts += 1
            progress_module.record_forwarded(
                self._context, self._job, self._progress, peer.instance
            )
            match exchange.send(
                self._encode(tried, is_counted, last_event_id, software)
            ):
                case upstream.Answered(answer=answer):
                    refusal = forwarding.parse_refusal(answer)
                    if refusal is None:
                        self._progress.possible_runs += 1
                        return answer
                    if refusal.code not in DECLINING_CODES:
                        return self._check_refusal(refusal)
                    declined = refusal.code.name
                case upstream.Broken(reason=reason):
                    return self.handle_loss(reason)
                case _:
                    declined = "declined"
            self._record_failure(peer.instance, declined, "no")
            exchange.close()
        return None

    def close(self) -> None:
        """Close the exchange; the other instance ends the request."""
        if self.exchange is not None:
            self.exchange.close()
            self.exchange = None

    def handle_loss(self, reason: str) -> errors.Refusal:
        """Return the refusal after the instance broke off."""
        # It may have sent the request to as many endpoints as the route
        # allows, so that no further one may run it.
        self._progress.possible_runs += 1
        self._record_failure(self._progress.peer, reason, "maybe")
        return errors.Refusal(code=errors.Code.INSTANCE_LOST)

    def _encode(
        self,
        tried: collections.abc.Iterable[str],
        is_counted: bool,
        last_event_id: str | None,
        software: str | None,
    ) -> connection.OutgoingRequest:
        return self._context.forwarder.encode(
            self._job,
            tried,
            self._context.dispatcher.exclusions.list_paused(self._job.service),
            self._progress.possible_runs,
            is_counted,
            last_event_id,
            software,
        )

    def _check_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        # The other instance can say "not run" only of its own attempts.
        if self._progress.possible_runs:
            return errors.Refusal(code=errors.Code.ENDPOINT_LOST)
        return refusal

    def _record_failure(self, peer: str, what: str, ran: str) -> None:
        progress_module.record_forward_failed(
            self._context, self._job, peer, what, ran
        )
