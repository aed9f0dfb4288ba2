"""Chooses the instance that leases out the slots of an endpoint."""

import dataclasses
import math

from citronport.scheduler.direct import rendezvous

MIN_LEASING_INSTANCES = 2
"""Smallest fleet in which slots are leased. Even seven instances with fresh
reports benefit: one queue orders the requests of all, and in a burst several
instances do not choose the same idle endpoint."""

POOL_ENDPOINTS = 64
"""Endpoints of one owner. A choice among 45 takes 0.3 ms, and an engine ends
about one request per second for each of its slots, so that an owner gets a
few hundred lease requests per second at most."""

MIN_CAPACITY_SHARE = 0.5
"""Smallest capacity of an owner, relative to the largest instance. Small
instances are busy with their own callers."""


LOADS_UNKNOWN_SECONDS = 2.0
"""Time after its start in which an instance has too few load reports to choose
endpoints by itself if an owner may answer."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An instance that may own endpoints.

    Attributes:
        instance: name of the instance.
        capacity: number of processor cores.
        starting: whether it still discovers the other instances.
        seed: whether it is one of the seeds of the fleet.
    """

    instance: str
    capacity: float
    starting: bool = False
    seed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """Endpoints of one service that have the same owner.

    Attributes:
        service: name of the service.
        number: index of the pool, from 0.
    """

    service: str
    number: int


def count_pools(endpoints: int) -> int:
    """Return how many pools the endpoints of a service are divided into."""
    return max(1, math.ceil(endpoints / POOL_ENDPOINTS))


def find_pool(service: str, endpoint: str, pools: int) -> Pool:
    """Return the pool that an endpoint belongs to."""
    return Pool(
        service=service, number=rendezvous.compute_hash(endpoint) % pools
    )


def list_fleet_start_owners(
    candidates: tuple[Candidate, ...],
) -> tuple[Candidate, ...]:
    """Return the candidates that own endpoints while a whole fleet starts.

    All instances contact the seeds first and therefore know the same seeds.
    Other candidates of other data centres become known only with summaries;
    if they counted, each data centre would choose its own owner, and each
    owner would grant all slots.

    Returns:
        The seeds; all candidates if no seed is one.
    """
    return tuple(c for c in candidates if c.seed) or candidates


def choose_owner(pool: Pool, candidates: tuple[Candidate, ...]) -> str | None:
    """Return the instance that owns a pool; None without candidates.

    Without owners, each of sixty instances would see a sixtieth of the
    requests and learn of the rest 0.75 s later. All would send to the same
    idle-looking endpoint, and urgent requests would queue behind those of
    other instances. An owner learns of each change in the load of its
    endpoints within a few milliseconds.

    All instances choose the same owner by rendezvous hashing, without
    coordination. While their views differ, two instances may lease out slots
    of an endpoint, which then queues a few more requests. Limits, cold starts
    and retry budgets do not depend on a single owner.
    """
    if not candidates:
        return None
    max_capacity = max(c.capacity for c in candidates)
    eligible = [
        c
        for c in candidates
        if c.capacity >= MIN_CAPACITY_SHARE * max_capacity
    ]
    key = f"{pool.service} {pool.number}"
    return max(
        eligible, key=lambda c: rendezvous.compute_hash(f"{key} {c.instance}")
    ).instance
