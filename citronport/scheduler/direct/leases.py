"""Places at endpoints that an owner has handed out."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import load_tracker

RENEW_INTERVAL_SECONDS = 0.5
"""Pause between two renewals of all leases that an instance holds."""

EXPIRE_SECONDS = 1.6
"""Time after which a lease that is not renewed ends: three renewals may get
lost, and the places of a dead instance are free within two seconds."""

RENEW_GRACE_SECONDS = 0.3
"""Age from which on a lease has to stand in a renewal; a younger one may
have been granted after the renewal was sent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldLease:
    """A lease as its holder tells it.

    Attributes:
        request_id: of the request that runs there.
        endpoint: where.
        unread: tokens of its prompt if it has not begun, else 0.
    """

    request_id: str
    endpoint: str
    prefill_tokens: int


@dataclasses.dataclass(slots=True)
class _Lease:
    holder: str
    granted_at: float
    renewed_at: float


class Leases:
    """Leases of one owner; what they hold counts on its board.

    A lease is only a count of what runs at an endpoint: one that is lost
    makes an endpoint look emptier than it is, and harms nothing else. So
    that holders and owners may come and go without a handover, each holder
    tells all its leases again and again to whoever is the owner now.

    Args:
        board: where the requests count.
    """

    def __init__(self, loads: load_tracker.LoadTracker) -> None:
        self._loads = loads
        self._leases: dict[tuple[str, str], _Lease] = {}

    def __len__(self) -> int:
        """Return how many leases there are."""
        return len(self._leases)

    def has(self, request_id: str, endpoint: str) -> bool:
        """Return whether a lease is known."""
        return (request_id, endpoint) in self._leases

    def grant(
        self, request_id: str, endpoint: str, holder: str, now: float
    ) -> None:
        """Note a lease whose request counts on the board already."""
        self._leases[request_id, endpoint] = _Lease(holder, now, now)

    def end(
        self, request_id: str, endpoint: str, now: float | None = None
    ) -> None:
        """End a lease; one that is not known changes nothing.

        Args:
            request_id: of the request.
            endpoint: where it was.
            now: clock time, seconds, if its holder gave it back.
        """
        if self._leases.pop((request_id, endpoint), None) is not None:
            self._loads.record_end(endpoint, request_id, now)

    def record_first_event(
        self, request_id: str, endpoint: str, now: float
    ) -> None:
        """Note that the request of a lease has got its first event."""
        self._loads.record_first_event(endpoint, request_id, now)

    def renew(
        self,
        holder: str,
        held: collections.abc.Iterable[HeldLease],
        now: float,
    ) -> None:
        """Take all leases of an instance as it tells them.

        Load: lost datagrams, and owners that die. Harm: a lease whose end
        got lost fills a slot that is free; a new owner takes full
        endpoints for idle. What the holder tells replaces what is known.
        """
        reported = {(h.request_id, h.endpoint): h for h in held}
        for key, reported_lease in reported.items():
            lease = self._leases.get(key)
            if lease is None:
                self._loads.record_remote_request(
                    reported_lease.endpoint,
                    reported_lease.request_id,
                    reported_lease.prefill_tokens,
                )
                self._leases[key] = _Lease(holder, now, now)
                continue
            lease.renewed_at = now
            if not reported_lease.prefill_tokens:
                self._loads.record_first_event(
                    reported_lease.endpoint, reported_lease.request_id, now
                )
        for key, lease in list(self._leases.items()):
            if lease.holder != holder or key in reported:
                continue
            if now - lease.granted_at > RENEW_GRACE_SECONDS:
                self.end(*key)

    def remove_expired(self, now: float) -> None:
        """End the leases that nobody renews."""
        for key, lease in list(self._leases.items()):
            if now - lease.renewed_at > EXPIRE_SECONDS:
                self.end(*key)
