"""Which instance alone sends to an endpoint."""

import collections.abc

import xxhash


def rank_instances(
    key: str, names: collections.abc.Iterable[str]
) -> list[str]:
    """Return instance names by rendezvous hash for a key, highest first.

    A change of one instance moves only the keys that it held.
    """
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()),
            name,
        ),
        reverse=True,
    )
