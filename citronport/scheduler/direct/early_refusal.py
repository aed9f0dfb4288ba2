"""Finds waiting requests that get no slot before their longest wait ends."""

import collections
import collections.abc
import dataclasses
import heapq
import math

from citronport.scheduler.direct import fair_shares
from citronport.scheduler.direct import wait_queue


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Unservable:
    """A request that can't get a slot in time.

    Attributes:
        waiter: the request.
        seconds: time until a slot would be free for it.
    """

    waiter: wait_queue.Waiter
    seconds: float


class Forecast:
    """Forecast of which waiting requests get a slot, without new arrivals.

    Slots become free at a constant rate, and go to requests in the order of
    the queue. A request that becomes late, or whose wait ends before its
    turn, leaves its place to the next one.

    A request is certain if it takes a slot at its turn. It is uncertain if it
    may decline the slot, become late or expire first; then all later requests
    of its workspace and level are uncertain too. Only certain requests count
    as ahead of others, so that a wait is never overestimated.

    Args:
        shares: tags of the workspaces.
        slot_rate: slots that become free per second; above 0.
        idle_slots: slots that are idle, but can't be used now. They may
            become usable at once.
        now: clock time, seconds.
        get_late_at: returns the clock time after which a request can't meet
            its objective, seconds.
        get_may_decline_until: returns the clock time until which a request may
            decline a free slot, seconds.
    """

    def __init__(
        self,
        shares: fair_shares.FairShares,
        slot_rate: float,
        idle_slots: int,
        now: float,
        get_late_at: collections.abc.Callable[[wait_queue.Waiter], float],
        get_may_decline_until: collections.abc.Callable[
            [wait_queue.Waiter], float
        ],
    ) -> None:
        self._shares = shares
        self._slot_rate = slot_rate
        self._now = now
        self._get_late_at = get_late_at
        self._get_may_decline_until = get_may_decline_until
        self._idle_slots = idle_slots
        self._certain_ahead = 0
        self._uncertain_ahead = 0
        self._key: fair_shares.TagKey = (0, 0, False)
        self._weights: collections.abc.Mapping[str, float] = {}
        self._uncertain: set[tuple[fair_shares.Level, str]] = set()
        self._tags: dict[tuple[fair_shares.TagKey, str], float] = {}
        self._found: list[Unservable] = []

    def find_unservable(
        self,
        groups: collections.abc.Mapping[
            fair_shares.Urgency, list[wait_queue.Waiter]
        ],
    ) -> list[Unservable]:
        """Return the requests that get no slot in time.

        Args:
            groups: requests of each urgency, in order of arrival.
        """
        for key in sorted({urgency[:3] for urgency in groups}):
            moved = self._serve(groups.get((*key, False), []), is_late=False)
            late = [*groups.get((*key, True), []), *moved]
            late.sort(key=lambda w: w.work.arrived)
            self._serve(late, is_late=True)
        return self._found

    def _serve(
        self, waiters: list[wait_queue.Waiter], *, is_late: bool
    ) -> list[wait_queue.Waiter]:
        """Serve requests of one urgency; return those that become late."""
        if not waiters:
            return []
        level = fair_shares.get_level(waiters[0].work)
        self._weights = self._shares.get_level_weights(level)
        self._key = (*level, is_late)
        flows: dict[str, collections.deque[wait_queue.Waiter]] = {}
        for waiter in waiters:
            flows.setdefault(
                waiter.work.workspace, collections.deque()
            ).append(waiter)
        self._apply_uncertainty(level, flows)
        heap = [self._make_entry(flow) for flow in flows.values()]
        heapq.heapify(heap)
        became_late = []
        while heap:
            name = heapq.heappop(heap)[2]
            waiter = flows[name].popleft()
            late_at = math.inf if is_late else self._get_late_at(waiter)
            if self._turn_at > late_at:
                became_late.append(waiter)
            else:
                self._take_turn(waiter, late_at, len(flows[name]))
            if flows[name]:
                heapq.heappush(heap, self._make_entry(flows[name]))
        return became_late

    def _apply_uncertainty(
        self,
        level: fair_shares.Level,
        flows: collections.abc.Mapping[
            str, collections.deque[wait_queue.Waiter]
        ],
    ) -> None:
        """Count the requests of workspaces that are uncertain already."""
        if self._shares.has_mixed_weights(level):
            # The weights change when those without a limit wait no more.
            self._uncertain |= {(level, name) for name in flows}
        for name, flow in flows.items():
            if (level, name) in self._uncertain:
                self._uncertain_ahead += len(flow)

    @property
    def _wait_seconds(self) -> float:
        return max(0, self._certain_ahead - self._idle_slots) / self._slot_rate

    @property
    def _turn_at(self) -> float:
        return self._now + self._wait_seconds

    @property
    def _latest_turn_at(self) -> float:
        requests = self._certain_ahead + self._uncertain_ahead
        return self._now + requests / self._slot_rate

    def _make_entry(
        self, flow: collections.deque[wait_queue.Waiter]
    ) -> tuple[float, float, str]:
        work = flow[0].work
        return self._get_tag(work.workspace), work.arrived, work.workspace

    def _get_tag(self, workspace: str) -> float:
        tag = self._tags.get((self._key, workspace))
        if tag is None:
            return self._shares.get_start_tag(self._key, workspace)
        return tag

    def _take_turn(
        self, waiter: wait_queue.Waiter, late_at: float, following: int
    ) -> None:
        """Refuse a request, or count it if it surely takes its turn.

        Args:
            waiter: the request.
            late_at: time at which it loses its turn by becoming late.
            following: number of further requests of its flow.
        """
        work = waiter.work
        flow = (fair_shares.get_level(work), work.workspace)
        seconds = self._wait_seconds
        wait_end = wait_queue.compute_wait_end(waiter)
        if seconds and self._turn_at > wait_end:
            self._found.append(Unservable(waiter=waiter, seconds=seconds))
            return
        if flow in self._uncertain:
            return
        may_decline = self._turn_at < self._get_may_decline_until(waiter)
        if may_decline or self._latest_turn_at > min(wait_end, late_at):
            self._uncertain.add(flow)
            self._uncertain_ahead += 1 + following
            return
        weight = self._weights.get(work.workspace, 1.0)
        tag = self._get_tag(work.workspace)
        self._tags[self._key, work.workspace] = tag + waiter.cost / weight
        self._certain_ahead += 1
