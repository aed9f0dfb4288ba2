"""Infers which contents of requests cause the crashes of endpoints."""

import collections
import collections.abc

from citronport.scheduler.direct import fingerprints

REQUEST_THRESHOLD = 3
"""Endpoint crashes after which a whole request counts as their cause. A crash
counts for all requests on the endpoint, so that a harmless request may well be
involved in one or two."""

PART_THRESHOLD = 2
"""Crashes after which parts of prompts count as their cause. They count only
for requests of which no answer has begun, and not for parts that a begun
answer has cleared, so that few harmless parts are involved even in one."""

SAME_MOMENT_SECONDS = 0.05
"""Crashes of several endpoints within this time count once for a part: a
failure of a rack or a network takes down many endpoints at one moment."""

Crashes = collections.abc.Mapping[int, float]
"""Clock time of the crash, in seconds, by endpoint start."""

Keys = frozenset[str]


def find_causes(
    suspects: collections.abc.Mapping[str, Crashes],
) -> list[Keys]:
    """Return the contents that explain the crashes.

    Each crash has one cause. Contents that were only there are involved in
    fewer crashes than the cause, or in crashes that another one explains.
    Parts that were involved in exactly the same crashes are indistinguishable:
    only a request that holds all of them is known to be harmful.

    Args:
        suspects: the crashes by the key of each content involved.

    Returns:
        Sets of keys; a request that holds all keys of one set is harmful.
    """
    unexplained = {
        key: dict(crashes)
        for key, crashes in suspects.items()
        if len(crashes) >= PART_THRESHOLD
    }
    causes: list[Keys] = []
    while True:
        group = _find_strongest_group(unexplained)
        if not group:
            return causes
        causes += _split_group(group)
        explained = set(unexplained[group[0]])
        for crashes in unexplained.values():
            for start in explained & crashes.keys():
                del crashes[start]


def _find_strongest_group(
    unexplained: collections.abc.Mapping[str, Crashes],
) -> list[str]:
    """Return the contents that explain most crashes; empty if none do."""
    groups: dict[frozenset[int], list[str]] = collections.defaultdict(list)
    for key, crashes in sorted(unexplained.items()):
        groups[frozenset(crashes)].append(key)
    sufficient = [
        keys
        for keys in groups.values()
        if _is_sufficient(keys, unexplained[keys[0]])
    ]
    # The order of keys makes all instances choose the same group.
    return max(
        sufficient, key=lambda keys: len(unexplained[keys[0]]), default=[]
    )


def _is_sufficient(keys: list[str], crashes: Crashes) -> bool:
    if all(map(fingerprints.is_part, keys)):
        return _count_moments(crashes.values()) >= PART_THRESHOLD
    return len(crashes) >= REQUEST_THRESHOLD


def _split_group(keys: list[str]) -> list[Keys]:
    """Return the causes in a group of indistinguishable contents."""
    requests = [key for key in keys if not fingerprints.is_part(key)]
    if requests:
        # The same requests were involved in all these crashes, which is no
        # evidence against other requests that hold the same parts.
        return [frozenset((key,)) for key in requests]
    return [frozenset(keys)]


def _count_moments(times: collections.abc.Iterable[float]) -> int:
    count = 0
    moment = float("-inf")
    for at in sorted(times):
        if at - moment > SAME_MOMENT_SECONDS:
            moment = at
            count += 1
    return count
