"""Who hands out the places of which endpoints, as this instance sees it."""

import collections.abc

from citronport.relay import eventlog
from citronport.relay import events
from citronport.relay import membership as membership_module
from citronport.relay import world as world_module
from citronport.scheduler.direct import ownership

VIEW_SECONDS = 0.2
"""Age up to which a list of the candidates is used again: reports come
every 0.75 s in a fleet of 60, and each request needs the list."""

SUSPECT_SECONDS = 1.5
"""How long an owner that does not answer is passed over. It is out of reach
for all after about as long, if it is dead."""


class Owners:
    """Names the owner of each pool of endpoints.

    Args:
        own: name of this instance.
        capacity: processor cores of this instance.
        members: the other instances.
        world: which endpoints there are.
        is_ready: whether this instance may own endpoints.
        log: where changes of owners are told.
        note_change: called when an owner has changed.
    """

    def __init__(
        self,
        own: str,
        capacity: float,
        members: membership_module.Membership,
        world: world_module.World,
        is_ready: collections.abc.Callable[[], bool],
        log: eventlog.Log,
        note_change: collections.abc.Callable[[], None],
    ) -> None:
        self._own = own
        self._capacity = capacity
        self._members = members
        self._world = world
        self._is_ready = is_ready
        self._log = log
        self._note_change = note_change
        self._suspects: dict[str, float] = {}
        self._candidates: tuple[ownership.Candidate, ...] = ()
        self._owners: dict[ownership.Pool, str | None] = {}
        self._viewed = float("-inf")
        self._told: dict[ownership.Pool, str | None] = {}
        self._since: dict[ownership.Pool, float] = {}

    def find(self, pool: ownership.Pool, now: float) -> str | None:
        """Return the owner of a pool; None if each decides for itself."""
        self._view(now)
        if pool not in self._owners:
            owner = ownership.choose_owner(pool, self._candidates)
            self._owners[pool] = owner
            self._note(pool, owner, now)
        return self._owners[pool]

    def find_of(self, service: str, endpoint: str, now: float) -> str | None:
        """Return the owner of one endpoint."""
        pools = self.count_pools(service)
        return self.find(ownership.find_pool(service, endpoint, pools), now)

    def count_pools(self, service: str) -> int:
        """Return the number of pools of a service."""
        return ownership.count_pools(len(self._world.list_endpoints(service)))

    def get_tenure(self, service: str, now: float) -> float | None:
        """Return how long this instance has owned endpoints of a service.

        Returns:
            The time in seconds; None if it owns none.
        """
        longest = None
        for number in range(self.count_pools(service)):
            pool = ownership.Pool(service=service, number=number)
            if self.find(pool, now) == self._own:
                longest = max(longest or 0.0, now - self._since[pool])
        return longest

    def suspect(self, instance: str, now: float) -> None:
        """Pass over an owner that does not answer, for a while."""
        self._suspects[instance] = now + SUSPECT_SECONDS
        self._viewed = float("-inf")

    def _view(self, now: float) -> None:
        if now - self._viewed < VIEW_SECONDS:
            return
        self._viewed = now
        self._suspects = {
            name: until
            for name, until in self._suspects.items()
            if now < until
        }
        candidates = self._list_candidates(now)
        if candidates != self._candidates:
            self._candidates = candidates
            self._owners.clear()

    def _list_candidates(self, now: float) -> tuple[ownership.Candidate, ...]:
        if len(self._members.list_known(now)) < ownership.MIN_INSTANCES:
            return ()
        found = [
            ownership.Candidate(instance=r.instance, capacity=r.capacity)
            for r in self._members.list_fresh(now)
            if r.ready and not r.leaving and r.instance not in self._suspects
        ]
        if self._is_ready():
            found.append(
                ownership.Candidate(
                    instance=self._own, capacity=self._capacity
                )
            )
        return tuple(sorted(found, key=lambda c: c.instance))

    def _note(
        self, pool: ownership.Pool, owner: str | None, now: float
    ) -> None:
        if self._told.get(pool) == owner:
            return
        self._told[pool] = owner
        self._since[pool] = now
        self._log.write(
            events.OwnerChanged(
                service=pool.service,
                pool=pool.number,
                owner=owner or "",
                candidates=len(self._candidates),
            )
        )
        self._note_change()
