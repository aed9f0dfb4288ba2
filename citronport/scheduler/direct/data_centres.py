"""Prefers endpoints and instances of a data centre over remote ones."""

import collections.abc
import dataclasses
import random

from citronport.scheduler.direct import models

MIN_LOOKUP_INSTANCES = 2
"""Fewest instances that a lookup may name: callers need a second one if the
first one stops."""

MIN_CAPACITY_SHARE = 0.5
"""Smallest capacity of the instances that a lookup may name, relative to an
equal part of the whole capacity for each data centre."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """An instance that callers may use.

    Attributes:
        address: its address for callers, "ip:port".
        data_centre: its location.
        capacity: processor cores that it has, above 0.
    """

    address: str
    data_centre: str
    capacity: float


def is_remote(data_centre: str, other: str) -> bool:
    """Return whether two data centres differ; unknown ones never do."""
    return bool(data_centre and other) and data_centre != other


def draw_sample(
    endpoints: list[models.Endpoint], number: int, data_centre: str
) -> list[models.Endpoint]:
    """Return a random sample with endpoints in and out of a data centre.

    A sample without a local endpoint would send the request to another data
    centre for no reason. One with local endpoints only would keep it at a
    busy endpoint while there are free slots elsewhere.

    Args:
        endpoints: the endpoints to draw from.
        number: size of the sample; two more are added if it would hold
            local or remote endpoints only.
        data_centre: data centre that counts as local; if it is empty, the
            sample is drawn regardless of data centres.
    """
    drawn = random.sample(endpoints, number)
    if not data_centre:
        return drawn
    for wanted in (False, True):
        if any(is_remote(data_centre, e.data_centre) == wanted for e in drawn):
            continue
        others = [
            e
            for e in endpoints
            if is_remote(data_centre, e.data_centre) == wanted
        ]
        if others:
            drawn.append(random.choice(others))
    return drawn


def choose_entries(
    entries: collections.abc.Collection[Entry], data_centre: str
) -> list[Entry]:
    """Return the instances that a caller in a data centre should use.

    Those of its data centre, unless they are too few or too small for all
    of its callers; then all instances.

    Args:
        entries: all instances that callers may use.
        data_centre: data centre of the caller; may be unknown.
    """
    local = [e for e in entries if e.data_centre == data_centre]
    if len(local) < MIN_LOOKUP_INSTANCES:
        return list(entries)
    equal_part = _sum_capacity(entries) / len({e.data_centre for e in entries})
    if _sum_capacity(local) < MIN_CAPACITY_SHARE * equal_part:
        return list(entries)
    return local


def _sum_capacity(entries: collections.abc.Iterable[Entry]) -> float:
    return sum(e.capacity for e in entries)
