"""Slots at endpoints that an owner has leased to other instances."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import row_budget

RENEW_INTERVAL_SECONDS = 0.5
"""Interval at which a holder renews all its leases."""

EXPIRE_SECONDS = 1.6
"""Time after which a lease expires without renewal. Two renewals may be lost,
and the slots of a dead instance are free within two seconds."""

RENEW_GRACE_SECONDS = 0.3
"""Age from which a lease has to be included in renewals; a younger one may
have been granted after the renewal was sent."""


LEASE_BYTES = 700
"""Memory of a lease that its holder has reported."""

_TABLE = "leases"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HeldLease:
    """A lease as reported by its holder.

    Attributes:
        request_id: id of the request.
        endpoint: name of the endpoint.
        prefill_tokens: prompt tokens if there was no first event yet, else
            0.
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
    """Leases granted by one owner, counted in its load tracker.

    Leases only count requests at endpoints. A lost lease makes an endpoint
    look less loaded than it is, and has no other effect. Holders and owners
    may change without a handover, since each holder periodically reports all
    its leases to the current owner.

    Args:
        loads: tracker in which leased requests are counted.
        budget: limits the leases that other instances report.
    """

    def __init__(
        self,
        loads: load_tracker.LoadTracker,
        budget: row_budget.RowBudget | None = None,
    ) -> None:
        self._loads = loads
        self._budget = budget or row_budget.RowBudget()
        self._budget.add_table(_TABLE, self._drop_holder)
        # Instances that have reported leases.
        self._holders: set[str] = set()
        self._leases: dict[tuple[str, str], _Lease] = {}

    def __len__(self) -> int:
        """Return the number of leases."""
        return len(self._leases)

    def has(self, request_id: str, endpoint: str) -> bool:
        """Return whether a lease exists."""
        return (request_id, endpoint) in self._leases

    def get_granted_at(self, request_id: str, endpoint: str) -> float | None:
        """Return the clock time at which a lease was granted."""
        lease = self._leases.get((request_id, endpoint))
        return lease.granted_at if lease else None

    def grant(
        self, request_id: str, endpoint: str, holder: str, now: float
    ) -> None:
        """Add a lease whose request is already counted in the tracker."""
        self._leases[request_id, endpoint] = _Lease(holder, now, now)

    def end(
        self, request_id: str, endpoint: str, now: float | None = None
    ) -> None:
        """End a lease, if it exists.

        Args:
            request_id: id of the request.
            endpoint: name of the endpoint.
            now: clock time, seconds, if the holder returned the lease.
        """
        if self._leases.pop((request_id, endpoint), None) is not None:
            self._loads.record_end(endpoint, request_id, now)

    def record_first_event(
        self, request_id: str, endpoint: str, now: float
    ) -> None:
        """Record the first event of a leased request."""
        self._loads.overdue.record_begun(endpoint, request_id, now)
        self._loads.record_first_event(endpoint, request_id, now)

    def renew(
        self,
        holder: str,
        held: collections.abc.Iterable[HeldLease],
        now: float,
    ) -> None:
        """Replace the leases of a holder by those that it reports.

        Corrects the effects of lost datagrams and owner failures: a lease
        whose end was lost blocks a free slot, and a new owner assumes that
        full endpoints are idle.

        Args:
            holder: name of the instance.
            held: all leases that it holds.
            now: clock time, seconds.
        """
        reported = {(h.request_id, h.endpoint): h for h in held}
        if not self._budget.hold(_TABLE, holder, LEASE_BYTES * len(reported)):
            return
        self._holders.add(holder)
        for key, reported_lease in reported.items():
            lease = self._leases.get(key)
            if lease is None:
                self._loads.record_remote_request(
                    reported_lease.endpoint,
                    reported_lease.request_id,
                    reported_lease.prefill_tokens,
                )
                self._leases[key] = _Lease(holder, now, now)
                if reported_lease.prefill_tokens:
                    self._loads.overdue.record_takeover(
                        reported_lease.endpoint, reported_lease.request_id, now
                    )
                continue
            lease.renewed_at = now
            self._loads.overdue.record_renewal(
                reported_lease.endpoint,
                reported_lease.request_id,
                now,
                has_prompt=bool(reported_lease.prefill_tokens),
            )
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
        """End the leases that have not been renewed in time."""
        for key, lease in list(self._leases.items()):
            if now - lease.renewed_at > EXPIRE_SECONDS:
                self.end(*key)
        left = {lease.holder for lease in self._leases.values()}
        for holder in self._holders - left:
            self._budget.hold(_TABLE, holder, 0)
        self._holders &= left

    def _drop_holder(self, holder: str) -> None:
        for key, lease in list(self._leases.items()):
            if lease.holder == holder:
                self.end(*key)
