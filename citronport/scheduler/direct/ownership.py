"""Which instance hands out the places at an endpoint."""

import dataclasses
import math

from citronport.scheduler.direct import rendezvous

MIN_LEASING_INSTANCES = 2
"""Instances from which on places are leased. Seven gain too, though reports
between them are fresh: one queue orders the requests of all, and a burst
finds no idle endpoint that others have seen as well."""

POOL_ENDPOINTS = 64
"""Endpoints that one owner hands out. A choice among 45 takes 0.3 ms, and
an engine ends about one request a second for each of its slots, so that an
owner is asked some hundred times a second at most."""

MIN_CAPACITY_SHARE = 0.5
"""Part of the largest capacity from which on an instance may be an owner: a
small machine is kept busy by its own callers."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """An instance that may own endpoints.

    Attributes:
        instance: its name.
        capacity: processor cores that it has.
    """

    instance: str
    capacity: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pool:
    """Endpoints of one service that have the same owner.

    Attributes:
        service: the service.
        number: from 0.
    """

    service: str
    number: int


def count_pools(endpoints: int) -> int:
    """Return into how many pools the endpoints of a service fall."""
    return max(1, math.ceil(endpoints / POOL_ENDPOINTS))


def find_pool(service: str, endpoint: str, pools: int) -> Pool:
    """Return the pool that an endpoint belongs to."""
    return Pool(
        service=service, number=rendezvous.compute_hash(endpoint) % pools
    )


def choose_owner(pool: Pool, candidates: tuple[Candidate, ...]) -> str | None:
    """Return the instance that owns a pool; None without candidates.

    Load: sixty instances that each see a sixtieth of the work and hear of
    the rest 0.75 s late. Harm: all send to the endpoint that looks idle,
    and the urgent request waits behind others of instances that know
    nothing of it. One instance knows what runs at all endpoints of a pool
    to a few milliseconds. All name the same one by the same ranking, with
    no agreement: where views differ for a moment two hand out places, and
    an endpoint queues a few requests more. What must hold (limits, cold
    starts, budgets) does not rest on there being one.
    """
    if not candidates:
        return None
    most = max(c.capacity for c in candidates)
    able = [c for c in candidates if c.capacity >= MIN_CAPACITY_SHARE * most]
    key = f"{pool.service} {pool.number}"
    return max(
        able, key=lambda c: rendezvous.compute_hash(f"{key} {c.instance}")
    ).instance
