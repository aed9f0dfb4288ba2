"""Detection of starved tiers and of requests to move to other instances."""

import collections.abc
import itertools

from citronport.scheduler import const
from citronport.scheduler import owner as owner_module
from citronport.scheduler import queue


def find_starved_tier(
    owner: owner_module.Owner,
    get_peer_wait: collections.abc.Callable[[str, int], float],
    now: float,
) -> int | None:
    """Return the highest tier that waits too long, or None.

    Args:
        owner: queue and endpoints of this instance.
        get_peer_wait: returns the shortest wait at another instance for a
            model and a tier, seconds. If it is short, the request can move
            there and lower tiers need not stop.
        now: clock time, seconds.
    """
    for tier, group in sorted(
        (tier, group) for group, tier in owner.queue.get_groups()
    ):
        wait = owner.get_queue_wait(group, tier)
        for waiting in itertools.islice(
            owner.queue.iterate_heads(group, tier),
            owner_module.MAX_HEADS_CHECKED,
        ):
            slack = waiting.request.deadline - waiting.queued_at
            longest = max(now - waiting.queued_at, wait)
            if longest <= slack * const.PRESSURE_SLACK_FRACTIONS[tier]:
                continue
            if (
                get_peer_wait(group[1], tier)
                > longest * const.MOVE_MAX_WAIT_RATIO
            ):
                return tier
    return None


def find_movable(
    owner: owner_module.Owner,
    get_peer_wait: collections.abc.Callable[[str, int], float],
    now: float,
) -> list[queue.QueuedRequest]:
    """Return a few requests that would wait far less elsewhere.

    Requests are forwarded on summaries that are slightly out of date, and
    an endpoint may slow down afterwards. Without moves, requests would then
    wait for one endpoint while others are idle.
    """
    found = []
    for tier, group in sorted(
        (tier, group) for group, tier in owner.queue.get_groups()
    ):
        ahead = sum(owner.queue.get_cost(group, t) for t in range(tier + 1))
        wait = owner.estimate_wait(group, ahead, now)
        if get_peer_wait(group[1], tier) > wait * const.MOVE_MAX_WAIT_RATIO:
            continue
        for waiting in itertools.islice(
            owner.queue.iterate_tails(group, tier),
            owner_module.MAX_HEADS_CHECKED,
        ):
            remaining = waiting.request.deadline - now
            waited = now - waiting.queued_at
            if waited < max(
                const.MOVE_MIN_WAIT_SECONDS,
                const.MOVE_MIN_SLACK_FRACTION * (waited + remaining),
            ):
                continue
            if wait > remaining * const.AFFINITY_SLACK_FRACTION:
                found.append(waiting)
            if len(found) >= const.MAX_MOVES_PER_CHECK:
                return found
    return found
