"""Rendezvous hashing: all instances choose the same few without a message."""

import collections.abc
import math

import xxhash

_HASHES = 1 << 64


def compute_hash(text: str) -> int:
    """Return a hash that is the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


def choose(key: str, names: tuple[str, ...], number: int) -> tuple[str, ...]:
    """Return some names for a key, other ones for each key.

    One name more or less changes at most one of those that are chosen.

    Args:
        key: what they are chosen for.
        names: to choose from.
        number: how many, at most.
    """
    if len(names) <= number:
        return names
    ranked = sorted(names, key=lambda name: compute_hash(f"{key} {name}"))
    return tuple(ranked[:number])


def choose_by_weight(
    key: str, weights: collections.abc.Mapping[str, float], number: int
) -> tuple[str, ...]:
    """Return some names for a key, heavy ones more often.

    Over many keys each name is chosen about in proportion to its weight.

    Args:
        key: what they are chosen for.
        weights: of the names to choose from, above 0.
        number: how many, at most.
    """
    if len(weights) <= number:
        return tuple(weights)

    def rank(name: str) -> float:
        drawn = (compute_hash(f"{key} {name}") + 1) / (_HASHES + 1)
        return -math.log(drawn) / weights[name]

    return tuple(sorted(weights, key=rank)[:number])
