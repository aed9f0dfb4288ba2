"""Rendezvous hashing: all instances agree on a choice without messages."""

import collections.abc
import math

import xxhash

HASHES = 1 << 64
"""Number of different hashes."""


def compute_hash(text: str) -> int:
    """Return a hash that is equal in all processes."""
    return xxhash.xxh3_64_intdigest(text.encode())


def choose(key: str, names: tuple[str, ...], number: int) -> tuple[str, ...]:
    """Return a subset of names that depends on a key.

    Adding or removing a name changes at most one of the chosen names.

    Args:
        key: key of the choice.
        names: names to choose from.
        number: most names to choose.
    """
    if len(names) <= number:
        return names
    ranked = sorted(names, key=lambda name: compute_hash(f"{key} {name}"))
    return tuple(ranked[:number])


def choose_by_weight(
    key: str, weights: collections.abc.Mapping[str, float], number: int
) -> tuple[str, ...]:
    """Return a subset of weighted names that depends on a key.

    Over many keys, each name is chosen about in proportion to its weight.

    Args:
        key: key of the choice.
        weights: weights of the names to choose from, above 0.
        number: most names to choose.
    """
    if len(weights) <= number:
        return tuple(weights)

    def rank(name: str) -> float:
        drawn = (compute_hash(f"{key} {name}") + 1) / (HASHES + 1)
        return -math.log(drawn) / weights[name]

    return tuple(sorted(weights, key=rank)[:number])
