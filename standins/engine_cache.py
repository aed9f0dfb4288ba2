"""Prefix cache of limited size that publishes its changes as events."""

import collections
import time
from typing import Any

BLOCK_TOKENS = 128
MAX_EVENTS = 256


class Cache:
    """Holds block hashes and evicts the least recently used ones.

    Args:
        tokens: capacity.
        gap_every: every n-th event is dropped to simulate a gap; 0 drops
            none.
    """

    def __init__(self, tokens: int, gap_every: int) -> None:
        self._tokens = tokens
        self._gap_every = gap_every
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._number = 0
        self._events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=MAX_EVENTS)
        )

    def clear(self) -> None:
        """Drop all blocks without an event, so that the numbers show a gap."""
        self._blocks.clear()
        self._number += 1

    def count_cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the tokens of the leading blocks that are in the cache."""
        known = 0
        for block in blocks:
            if block not in self._blocks:
                break
            known += 1
        return known * BLOCK_TOKENS

    def add(self, blocks: tuple[int, ...]) -> None:
        """Add blocks, and evict others if the capacity is exceeded."""
        stored = [b for b in blocks if b not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) * BLOCK_TOKENS > self._tokens:
            evicted.append(self._blocks.popitem(last=False)[0])
        if stored or evicted:
            self._publish(stored, evicted)

    def get_events(self, after: int, until: float) -> list[dict[str, Any]]:
        """Return events after a number, published up to a monotonic time."""
        return [
            event
            for made, event in self._events
            if event["number"] > after and made <= until
        ]

    def _publish(self, stored: list[int], evicted: list[int]) -> None:
        self._number += 1
        if self._gap_every and self._number % self._gap_every == 0:
            return
        event = {
            "number": self._number,
            "stored": stored,
            "evicted": evicted,
        }
        self._events.append((time.monotonic(), event))
