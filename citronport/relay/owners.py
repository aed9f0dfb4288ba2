"""Determines which instance owns which endpoints, as seen from this one.

The owner of an endpoint grants leases of its capacity to all instances.
"""

import collections.abc
import dataclasses

from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import ownership

CANDIDATES_CACHE_SECONDS = 0.2
"""How long the list of candidates is cached. Each request needs the list, and
in a fleet of 60 instances reports arrive every 0.75 s."""

UNRESPONSIVE_SECONDS = 1.5
"""How long an unresponsive owner is excluded from the candidates. If it is
dead, all instances see it as unreachable after about the same time."""

STARTING_CACHE_SECONDS = 0.02
"""Like ``CANDIDATES_CACHE_SECONDS``, but while this instance has just started
and reports of new candidates arrive in quick succession."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartupOwnership:
    """How instances that still discover the others own endpoints.

    Attributes:
        started_at: clock time at which this instance started, seconds.
        peer_address: address of this instance for other instances.
        seeds: addresses of the seeds for other instances.
        is_starting: returns whether this instance still discovers others.
    """

    started_at: float
    peer_address: str
    seeds: frozenset[str]
    is_starting: collections.abc.Callable[[], bool]


def make_startup_ownership(
    settings: settings_module.Settings,
    started_at: float,
    is_starting: collections.abc.Callable[[], bool],
) -> StartupOwnership | None:
    """Return the rules of the settings; None if there are none."""
    if not settings.scheduling.early_owners:
        return None
    return StartupOwnership(
        started_at=started_at,
        peer_address=str(settings.peers),
        seeds=frozenset(map(str, settings.seeds)),
        is_starting=is_starting,
    )


class Owners:
    """Finds the owner of each pool of endpoints.

    Args:
        own: name of this instance.
        capacity: processor cores of this instance.
        members: the other instances.
        cluster_state: source of the listed endpoints.
        is_ready: returns whether this instance may own endpoints.
        log: the event log.
        on_change: called after an owner has changed.
        early: rules for instances that still discover the others; None if
            only those that are ready for callers own endpoints.
    """

    def __init__(
        self,
        own: str,
        capacity: float,
        members: membership_module.Membership,
        cluster_state: cluster_state_module.ClusterState,
        is_ready: collections.abc.Callable[[], bool],
        log: eventlog.Log,
        on_change: collections.abc.Callable[[], None],
        early: StartupOwnership | None = None,
    ) -> None:
        self._own = own
        self._capacity = capacity
        self._members = members
        self._cluster_state = cluster_state
        self._is_ready = is_ready
        self._log = log
        self._on_change = on_change
        self._early = early
        self._unresponsive: dict[str, float] = {}
        self._candidates: tuple[ownership.Candidate, ...] = ()
        self._owners: dict[ownership.Pool, str | None] = {}
        self._is_fleet_start = False
        self._refreshed_at = float("-inf")
        self._logged: dict[ownership.Pool, str | None] = {}
        self._owner_since: dict[ownership.Pool, float] = {}

    def find_owner(self, pool: ownership.Pool, now: float) -> str | None:
        """Return the owner of a pool; None without candidates.

        Without an owner, each instance chooses endpoints by itself.
        """
        self._refresh_candidates(now)
        if pool not in self._owners:
            owner = ownership.choose_owner(pool, self._list_eligible(pool))
            self._owners[pool] = owner
            self._record_owner(pool, owner, now)
        return self._owners[pool]

    def find_endpoint_owner(
        self, service: str, endpoint: str, now: float
    ) -> str | None:
        """Return the owner of one endpoint."""
        pools = self.count_pools(service)
        return self.find_owner(
            ownership.find_pool(service, endpoint, pools), now
        )

    def list_owners(self, service: str, now: float) -> set[str]:
        """Return the owners of all endpoints of a service."""
        owners = {
            self.find_owner(ownership.Pool(service=service, number=n), now)
            for n in range(self.count_pools(service))
        }
        return {owner for owner in owners if owner is not None}

    def count_pools(self, service: str) -> int:
        """Return the number of pools of a service."""
        return ownership.count_pools(
            len(self._cluster_state.list_endpoints(service))
        )

    def get_owned_seconds(self, service: str, now: float) -> float | None:
        """Return how long this instance has owned endpoints of a service.

        Returns:
            The longest time over all pools, seconds; None if it owns none.
        """
        longest = None
        for number in range(self.count_pools(service)):
            pool = ownership.Pool(service=service, number=number)
            if self.find_owner(pool, now) == self._own:
                longest = max(longest or 0.0, now - self._owner_since[pool])
        return longest

    def has_just_started(self, now: float) -> bool:
        """Return whether this instance has just started.

        Returns:
            Whether it started less than ``ownership.LOADS_UNKNOWN_SECONDS``
            ago; always False unless ``early_owners`` is on.
        """
        return (
            self._early is not None
            and now - self._early.started_at < ownership.LOADS_UNKNOWN_SECONDS
        )

    def is_unowned_at_start(self, service: str, now: float) -> bool:
        """Return whether endpoints have no owner just after the start."""
        return self.has_just_started(now) and not self.list_owners(
            service, now
        )

    def knows_owners(self, now: float) -> bool:
        """Return whether the other instances that own endpoints are known.

        A seed in reach without a configuration will own endpoints soon if
        the whole fleet starts.
        """
        fresh = self._members.list_fresh(now)
        if not any(map(self._may_own, fresh)):
            return False
        return self._members.was_fleet_running_at_start() or all(
            r.leaving or self._may_own(r)
            for r in fresh
            if self._is_seed(r.peer_address)
        )

    def mark_unresponsive(self, instance: str, now: float) -> None:
        """Exclude an unresponsive owner from the candidates for a while."""
        self._unresponsive[instance] = now + UNRESPONSIVE_SECONDS
        self._refreshed_at = float("-inf")

    def _refresh_candidates(self, now: float) -> None:
        has_just_started = self.has_just_started(now)
        cache_seconds = (
            STARTING_CACHE_SECONDS
            if has_just_started
            else CANDIDATES_CACHE_SECONDS
        )
        if now - self._refreshed_at < cache_seconds:
            return
        self._refreshed_at = now
        self._unresponsive = {
            name: until
            for name, until in self._unresponsive.items()
            if now < until
        }
        candidates = self._list_candidates(now)
        is_fleet_start = (
            has_just_started and not self._members.was_fleet_running_at_start()
        )
        if (
            candidates != self._candidates
            or is_fleet_start != self._is_fleet_start
        ):
            self._candidates = candidates
            self._is_fleet_start = is_fleet_start
            self._owners.clear()

    def _list_candidates(self, now: float) -> tuple[ownership.Candidate, ...]:
        if (
            len(self._members.list_known(now))
            < ownership.MIN_LEASING_INSTANCES
        ):
            return ()
        found = [
            ownership.Candidate(
                instance=r.instance,
                capacity=r.capacity,
                starting=r.starting,
                seed=self._is_seed(r.peer_address),
            )
            for r in self._members.list_fresh(now)
            if self._may_own(r) and r.instance not in self._unresponsive
        ]
        if not found and self.has_just_started(now):
            # The others are starting too. If each instance took itself for
            # the owner, each would grant all slots.
            return ()
        ready = self._is_ready()
        starting = self._early is not None and self._early.is_starting()
        if ready or starting:
            found.append(
                ownership.Candidate(
                    instance=self._own,
                    capacity=self._capacity,
                    starting=starting,
                    seed=self._early is not None
                    and self._is_seed(self._early.peer_address),
                )
            )
        return tuple(sorted(found, key=lambda c: c.instance))

    def _may_own(self, report: messages.Report) -> bool:
        starting = self._early is not None and report.starting
        return (report.ready or starting) and not report.leaving

    def _is_seed(self, peer_address: str) -> bool:
        return self._early is not None and peer_address in self._early.seeds

    def _list_eligible(
        self, pool: ownership.Pool
    ) -> tuple[ownership.Candidate, ...]:
        # A service of several pools has more requests than the seeds of a
        # fleet could lease slots to.
        if self._is_fleet_start and self.count_pools(pool.service) == 1:
            return ownership.list_fleet_start_owners(self._candidates)
        return self._candidates

    def _record_owner(
        self, pool: ownership.Pool, owner: str | None, now: float
    ) -> None:
        if self._logged.get(pool) == owner:
            return
        self._logged[pool] = owner
        self._owner_since[pool] = now
        self._log.write(
            events.OwnerChanged(
                service=pool.service,
                pool=pool.number,
                owner=owner or "",
                candidates=len(self._candidates),
                starting=any(
                    c.starting and c.instance == owner
                    for c in self._candidates
                ),
            )
        )
        self._on_change()
