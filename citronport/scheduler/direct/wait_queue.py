"""Requests that wait for an endpoint, and their order."""

import collections.abc
import dataclasses
from typing import Any

from citronport.scheduler.direct import models

MAX_WAIT_OBJECTIVES = 2.0
"""How long a request may wait, in its objectives. Callers of streams leave
after four objectives at most; the rest is for the endpoint to begin."""

MAX_WAIT_DEADLINE_SHARE = 0.5
"""Longest wait as a share of the time until the deadline."""

MIN_RETRY_AFTER_SECONDS = 0.5
"""When a request that waited in vain should come back, at least."""


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes:
        work: the request.
        since: clock time since when it waits, seconds.
        tried: endpoints that it must not go to again.
        handle: what the runtime needs to wake it.
        leased: whether it is another instance's, which leases its place.
    """

    work: models.Work
    waiting_since: float
    tried: frozenset[str] = frozenset()
    handle: Any = None
    leased: bool = False


def compute_max_wait(work: models.Work, now: float) -> float:
    """Return how long a request may wait from now, seconds."""
    objective = MAX_WAIT_OBJECTIVES * work.route.objective
    left = work.deadline - now
    spent = now - work.arrived
    return max(0.0, min(objective - spent, MAX_WAIT_DEADLINE_SHARE * left))


def expect_no_delay(work: models.Work) -> float:
    """Return no time at all until a first event, for plain services."""
    del work
    return 0.0


class WaitQueue:
    """Requests of one service that wait, most urgent first.

    Args:
        expect: returns the time from a send to the first event, seconds.
    """

    def __init__(
        self,
        expect: collections.abc.Callable[[models.Work], float] = (
            expect_no_delay
        ),
    ) -> None:
        self._expect_first_event = expect
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Let a request wait."""
        self._waiters.append(waiter)

    def contains(self, waiter: Waiter) -> bool:
        """Return whether a request still waits."""
        return waiter in self._waiters

    def remove(self, waiter: Waiter) -> None:
        """Take a request out that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def list_by_urgency(self, now: float) -> list[Waiter]:
        """Return all, most urgent first.

        Load: more work than the endpoints take for some seconds. Harm: in
        order of arrival all would be late, and short work of a low tier
        would go ahead of what costs its caller most. A higher tier goes
        first, and within a tier the more urgent route: a late answer of
        it is still worth more than one in time of the next. Of one route
        those that can still be in time go before those that are late.
        """
        return sorted(
            self._waiters, key=lambda w: self._compute_sort_key(w, now)
        )

    def estimate_wait(
        self, waiter: Waiter, slot_rate: float, now: float
    ) -> float:
        """Return how long a request will wait at least, seconds.

        Load: more work than the endpoints take, for longer than requests
        wait. Harm: those at the end of the queue wait as long as they may
        and then hear that they have to come back: the time in which they
        could have been served is gone. What goes before a request is known
        when it comes. More urgent ones that come later are not foreseen:
        counted at the rate of late, they turned away requests in bursts
        of two seconds that were over before their patience was.

        Args:
            waiter: the request; it may stand in the queue already.
            slot_rate: places that come free a second.
            now: clock time, seconds.

        Returns:
            The time; infinite if no place comes free.
        """
        own = self._compute_sort_key(waiter, now)
        ahead = sum(
            w is not waiter and self._compute_sort_key(w, now) <= own
            for w in self._waiters
        )
        if not ahead:
            return 0.0
        return ahead / slot_rate if slot_rate > 0 else float("inf")

    def match(
        self,
        choose: collections.abc.Callable[[Waiter], Any],
        now: float,
        is_full: collections.abc.Callable[[], bool] = lambda: False,
    ) -> list[tuple[Waiter, Any]]:
        """Take out the requests for which there is a place now.

        Args:
            choose: returns and books the place of a request, or None.
            now: clock time, seconds.
            is_full: whether nobody else can get a place.
        """
        matched = []
        for waiter in self.list_by_urgency(now):
            if is_full():
                break
            place = choose(waiter)
            if place is not None:
                self._waiters.remove(waiter)
                matched.append((waiter, place))
        return matched

    def _compute_sort_key(
        self, waiter: Waiter, now: float
    ) -> tuple[int, int, bool, float]:
        work = waiter.work
        begun = now + self._expect_first_event(work)
        late = begun > work.arrived + work.route.objective
        return (work.tier, work.route.tier, late, work.arrived)
