"""Limits the bytes that a process holds for its clients, on all ports."""

import collections
import collections.abc

from gevent import event

from citronport import clock
from citronport import resources

SMALL_BYTES = 32_768
"""Beginning of each request, for which a part of the budget is kept."""

PROGRESS_BYTES = 1024
"""Bytes after which a client counts as making progress."""

RELEASE_SECONDS = 1.0
"""How long a request waits for others to make room."""

STALL_SECONDS = 2.0
"""Time without progress after which any other request goes first."""


class Holding:
    """The bytes that are held for one request.

    Args:
        budget: the budget that they are part of.
        address: address of the client.
        evict: called to stop reading the request; it must not block.

    Attributes:
        size: bytes held.
        evicted: whether they had to make room for others.
        progressed_at: clock time of the latest progress, seconds.
    """

    def __init__(
        self,
        budget: "ByteBudget",
        address: str,
        evict: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._unmarked = 0
        self.address = address
        self.evict = evict
        self.size = 0
        self.evicted = False
        self.progressed_at = budget.ticker.now()

    @property
    def largest(self) -> int:
        """The most bytes that the request may have."""
        return self._budget.largest

    @property
    def large(self) -> int:
        """The bytes beyond the beginning."""
        return self.size - self.small

    @property
    def small(self) -> int:
        """The bytes of the beginning."""
        return min(self.size, self._budget.beginning)

    def reserve(self, size: int) -> bool:
        """Hold more bytes; return False if there is no room for them.

        Waits briefly while others make room.
        """
        if not self._budget.reserve(self, size):
            return False
        self._unmarked += size
        if self._unmarked >= PROGRESS_BYTES:
            self._unmarked = 0
            self._budget.record_progress(self)
        return True

    def keep(self) -> bool:
        """Protect a complete request; return False if it was evicted."""
        if not self.evicted:
            self._budget.keep(self)
        return not self.evicted

    def release(self) -> None:
        """Hold no bytes any more."""
        self._budget.release(self)


class ByteBudget:
    """Bytes of all requests, with a part that is kept for small ones.

    A client that stops in the middle of a large request keeps its bytes, and
    a few of those would keep all others out. So an incomplete request makes
    room for others: first one without progress, then one of the address that
    holds most, if that is more than the other one would hold.

    Args:
        total: bytes of all requests beyond their beginnings.
        small: bytes of the beginnings of all requests.
        largest: bytes of one request while no other one is large.
        beginning: bytes of each request that count as its beginning.
        ticker: the clock.
    """

    def __init__(
        self,
        total: int,
        small: int,
        largest: int,
        beginning: int = SMALL_BYTES,
        ticker: clock.Clock | None = None,
    ) -> None:
        self.beginning = beginning
        self.ticker = ticker or clock.RuntimeClock()
        self._total = total
        self._small_total = small
        self._largest = largest
        self._large = 0
        self._small = 0
        self._by_address: collections.Counter[str] = collections.Counter()
        # Requests that still hold bytes, and no longer may.
        self._evicted: set[Holding] = set()
        self._released = event.Event()
        # Incomplete requests, those without progress for longest first.
        self._incomplete: collections.OrderedDict[Holding, None] = (
            collections.OrderedDict()
        )

    @property
    def largest(self) -> int:
        """The most bytes that any request may have."""
        return max(self._total, self._largest)

    def open(
        self, address: str, evict: collections.abc.Callable[[], None]
    ) -> Holding:
        """Return a holding without bytes, of a request that is being read."""
        return Holding(self, address, evict)

    def reserve(self, holding: Holding, size: int) -> bool:
        """Hold more bytes of a request; return False if there is no room."""
        small = min(size, self.beginning - holding.small)
        large = size - small
        while not self._has_room(holding, small, large):
            if not self._make_room(holding, small, large):
                return False
        if holding.evicted:
            return False
        if not holding.size:
            self._incomplete[holding] = None
        self._small += small
        self._large += large
        self._by_address[holding.address] += size
        holding.size += size
        return True

    def record_progress(self, holding: Holding) -> None:
        """Let all others be evicted before a request."""
        holding.progressed_at = self.ticker.now()
        if holding in self._incomplete:
            self._incomplete.move_to_end(holding)

    def keep(self, holding: Holding) -> None:
        """Evict a request no longer; it is complete."""
        self._incomplete.pop(holding, None)

    def release(self, holding: Holding) -> None:
        """Count the bytes of a request no more."""
        self.keep(holding)
        self._evicted.discard(holding)
        self._small -= holding.small
        self._large -= holding.large
        self._by_address[holding.address] -= holding.size
        if not self._by_address[holding.address]:
            del self._by_address[holding.address]
        holding.size = 0
        self._released.set()

    def _has_room(self, holding: Holding, small: int, large: int) -> bool:
        if self._small + small > self._small_total and small:
            return False
        if self._large + large <= self._total or not large:
            return True
        is_alone = self._large == holding.large
        return is_alone and holding.size + large <= self._largest

    def _make_room(self, holding: Holding, small: int, large: int) -> bool:
        """Evict a request, or wait until one that was evicted is gone."""
        # Its bytes are held until its task ends the read.
        leaving_large = sum(each.large for each in self._evicted)
        leaving_small = sum(each.small for each in self._evicted)
        is_large = self._large + large - leaving_large > self._total
        is_small = self._small + small - leaving_small > self._small_total
        if (large and is_large) or (small and is_small):
            return self._evict_one(
                holding, small + large, is_large=bool(large and is_large)
            )
        self._released.clear()
        return self._released.wait(RELEASE_SECONDS) and not holding.evicted

    def _evict_one(
        self, holding: Holding, size: int, *, is_large: bool
    ) -> bool:
        others = [
            each
            for each in self._incomplete
            if each is not holding and (each.large or not is_large)
        ]
        if not others:
            return False
        victim = others[0]
        stalled = self.ticker.now() - victim.progressed_at
        if stalled < STALL_SECONDS:
            victim = max(others, key=lambda h: self._by_address[h.address])
            own = self._by_address[holding.address] + size
            if self._by_address[victim.address] <= own:
                return False
        victim.evicted = True
        self.keep(victim)
        self._evicted.add(victim)
        victim.evict()
        return True


def make_budget(shares: resources.Shares) -> ByteBudget:
    """Return the budget of a process for the requests of all its ports."""
    return ByteBudget(
        shares.request_bytes,
        shares.small_request_bytes,
        shares.largest_request_bytes,
    )
