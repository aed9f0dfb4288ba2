"""Queue of requests that wait for an endpoint."""

import bisect
import collections
import collections.abc
import dataclasses
from typing import Any

from citronport.scheduler.direct import fair_shares
from citronport.scheduler.direct import models

MAX_WAIT_OBJECTIVES = 2.0
"""Longest wait as a multiple of a request's objective. Callers of streams
disconnect after at most four objectives; the endpoint needs the rest for the
first event."""

MAX_WAIT_DEADLINE_SHARE = 0.5
"""Longest wait as a share of the time until the deadline."""

MIN_RETRY_AFTER_SECONDS = 0.5
"""Shortest retry delay for a request that got no slot in time."""

MIN_ASK_SECONDS = 0.05
"""Time to wait for an owner's answer to a request that may not wait. Shorter
than ``lease_client.ANSWER_TIMEOUT_SECONDS``, so that a missing answer does not
mark the owner as unresponsive."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """A waiting request.

    Attributes:
        work: the request.
        waiting_since: clock time at which it started to wait, seconds.
        tried: endpoints to which it must not be sent again.
        paused: endpoints that want no request of the other instance that it
            belongs to.
        handle: object with which the runtime wakes it.
        leased: whether it belongs to another instance, which leases its
            slot from this one.
        cost: expected time in a slot, in steps of an engine; 1 for a plain
            service. It is set by a queue with shares.
    """

    work: models.Work
    waiting_since: float
    tried: frozenset[str] = frozenset()
    paused: frozenset[str] = frozenset()
    handle: Any = None
    leased: bool = False
    cost: float = 1.0


def compute_max_wait(work: models.Work, now: float) -> float:
    """Return how long a request may wait from now on, seconds."""
    objective = MAX_WAIT_OBJECTIVES * work.route.objective
    left = work.deadline - now
    spent = now - work.arrived
    return max(0.0, min(objective - spent, MAX_WAIT_DEADLINE_SHARE * left))


def expect_no_delay(work: models.Work) -> float:
    """Return 0 as the time to the first event, for plain services."""
    del work
    return 0.0


class WaitQueue:
    """Waiting requests of one service, ordered by urgency.

    Args:
        expect: returns the time from a send to the first event, seconds.
        shares: shares of the workspaces; None to serve the requests of one
            urgency in order of arrival.

    Attributes:
        shares: as passed in.
    """

    def __init__(
        self,
        expect: collections.abc.Callable[[models.Work], float] = (
            expect_no_delay
        ),
        shares: fair_shares.FairShares | None = None,
    ) -> None:
        self._expect_first_event = expect
        self.shares = shares
        self._waiters: list[Waiter] = []
        # Order of the latest match; with shares, an estimate needs no sort.
        self._order: list[Waiter] | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Add a request."""
        if self.shares is None:
            self._waiters.append(waiter)
            return
        waiter.cost = self.shares.compute_cost(waiter.work)
        bisect.insort(self._waiters, waiter, key=lambda w: w.work.arrived)
        self.shares.record_added(waiter.work)
        self._order = None

    def contains(self, waiter: Waiter) -> bool:
        """Return whether a request is still waiting."""
        return waiter in self._waiters

    def remove(self, waiter: Waiter) -> None:
        """Remove a request, if it is still waiting."""
        if waiter in self._waiters:
            self._remove(waiter)

    def count_by_workspace(self) -> collections.Counter[str]:
        """Return the number of waiting requests of each workspace."""
        return collections.Counter(w.work.workspace for w in self._waiters)

    def list_by_urgency(self, now: float) -> list[Waiter]:
        """Return all waiting requests, most urgent first.

        During some seconds of overload, order of arrival would make all
        requests late, and put short requests of a low tier ahead of the most
        valuable ones. Higher tiers go first, and within a tier the more
        urgent route, since its late answers are still worth more than timely
        ones of the next route. Within a route, streams that are taken up
        again go first: they can use only the endpoints of one software
        version, and others would take each slot there as it becomes free.
        Then requests that can still meet their objective go before those
        that are late. With shares, the workspace with the least service for
        its weight is next, and order of arrival decides within a workspace.
        """
        if self.shares is not None:
            return self.shares.arrange(self.group_by_urgency(now))
        return sorted(
            self._waiters, key=lambda w: self._compute_sort_key(w, now)
        )

    def group_by_urgency(
        self, now: float
    ) -> dict[fair_shares.Urgency, list[Waiter]]:
        """Return the requests of each urgency; with shares, by arrival."""
        groups: dict[fair_shares.Urgency, list[Waiter]] = {}
        for waiter in self._waiters:
            urgency = self._compute_sort_key(waiter, now)[:4]
            groups.setdefault(urgency, []).append(waiter)
        return groups

    def estimate_wait(
        self, waiter: Waiter, slot_rate: float, now: float
    ) -> float:
        """Return the least time that a request will wait, seconds.

        Allows refusing a request at once if an overload lasts longer than
        requests may wait. Otherwise those at the end of the queue would be
        told to retry only after their longest wait, when the time in which
        they could have been served is over.

        Counts only requests that are already ahead in the queue. A
        prediction of more urgent arrivals from the recent rate would refuse
        requests in two-second bursts, which end before these time out.

        Args:
            waiter: the request; it may be in the queue already, and must be
                with shares.
            slot_rate: slots that become free per second.
            now: clock time, seconds.

        Returns:
            The time; infinite if no slot becomes free.
        """
        ahead = self._count_ahead(waiter, now)
        if not ahead:
            return 0.0
        return ahead / slot_rate if slot_rate > 0 else float("inf")

    def match(
        self,
        choose: collections.abc.Callable[[Waiter], Any],
        now: float,
        is_full: collections.abc.Callable[[], bool] = lambda: False,
    ) -> list[tuple[Waiter, Any]]:
        """Remove and return the requests that get a slot now.

        Args:
            choose: reserves and returns a slot for a request, or None.
            now: clock time, seconds.
            is_full: returns whether no slot is left for any request.
        """
        matched = []
        self._order = None
        order = self.list_by_urgency(now)
        for waiter in order:
            if is_full():
                break
            slot = choose(waiter)
            if slot is not None:
                if self.shares is not None:
                    is_late = self._compute_sort_key(waiter, now)[3]
                    self.shares.charge(waiter, is_late=is_late)
                self._remove(waiter)
                matched.append((waiter, slot))
        if self.shares is not None:
            granted = {id(waiter) for waiter, _ in matched}
            self._order = [w for w in order if id(w) not in granted]
        return matched

    def _remove(self, waiter: Waiter) -> None:
        self._waiters.remove(waiter)
        if self.shares is not None:
            self.shares.record_removed(waiter.work)
        if self._order is not None and waiter in self._order:
            self._order.remove(waiter)

    def _count_ahead(self, waiter: Waiter, now: float) -> int:
        if self.shares is not None:
            if self._order is None:
                self._order = self.list_by_urgency(now)
            return self._order.index(waiter)
        own = self._compute_sort_key(waiter, now)
        return sum(
            w is not waiter and self._compute_sort_key(w, now) <= own
            for w in self._waiters
        )

    def _compute_sort_key(
        self, waiter: Waiter, now: float
    ) -> tuple[int, int, bool, bool, float]:
        work = waiter.work
        expected_start = now + self._expect_first_event(work)
        late = expected_start > work.arrived + work.route.objective
        is_new = not work.is_bound
        return (work.tier, work.route.tier, is_new, late, work.arrived)
