"""Estimates of request cost, corrected by the answers seen."""

import collections

from citronport.scheduler import budget
from citronport.scheduler import const
from citronport.scheduler import models

BLOCK_TOKENS = 128
"""Approximate prompt tokens in one block of ``Request.prefix``."""


class LengthEstimates:
    """Moving averages of answer length and cached fraction, by entry.

    Callers set ``max_tokens`` to the longest answer they accept; most
    answers have a tenth of that length. Counting queued work by that limit
    would refuse requests that finish in time. The averages are estimates
    only; no guarantee depends on them.
    """

    def __init__(self) -> None:
        self._output: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cached: dict[str, float] = {}

    def record_output(self, entry: str, tokens: float) -> None:
        """Record the length of an answer."""
        mean = self._output.get(entry, tokens)
        self._output[entry] = mean + const.MOVING_AVERAGE_WEIGHT * (
            tokens - mean
        )
        self._output.move_to_end(entry)
        while len(self._output) > const.MAX_REMEMBERED_ENTRIES:
            dropped, _ = self._output.popitem(last=False)
            self._cached.pop(dropped, None)

    def record_cached(self, entry: str, fraction: float) -> None:
        """Record the cached fraction of a prompt."""
        mean = self._cached.get(entry, fraction)
        self._cached[entry] = mean + const.MOVING_AVERAGE_WEIGHT * (
            fraction - mean
        )

    def estimate_output(self, request: models.Request) -> float:
        """Return the expected number of answer tokens."""
        mean = self._output.get(request.entry, const.DEFAULT_OUTPUT_TOKENS)
        return min(mean, float(request.max_tokens or mean))

    def estimate_uncached(self, request: models.Request) -> float:
        """Return the expected number of prompt tokens to prefill."""
        return request.prompt_tokens * (
            1 - self._cached.get(request.entry, 0.0)
        )


class PrefixCache:
    """LRU model of the prefix blocks in an endpoint's cache.

    Only the owner sends to the endpoint, so the cache's content follows
    from its own sends. Cache events of the endpoint arrive with a delay
    and only correct the model.
    """

    def __init__(self, tokens: int) -> None:
        self._size = max(1, tokens // BLOCK_TOKENS)
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def count_cached(self, request: models.Request) -> int:
        """Return the number of prompt tokens that are probably cached."""
        count = 0
        for block in request.prefix:
            if block not in self._blocks:
                break
            count += 1
        return min(max(0, request.prompt_tokens - 1), count * BLOCK_TOKENS)

    def store(self, blocks: tuple[int, ...]) -> None:
        """Add blocks that were sent, or reported as stored."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._size:
            self._blocks.popitem(last=False)

    def evict(self, blocks: tuple[int, ...]) -> None:
        """Remove blocks that the endpoint reported as evicted."""
        for block in blocks:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Remove all blocks after a restart of the endpoint."""
        self._blocks.clear()


def estimate_prefill(
    state: budget.EndpointState, request: models.Request, cached: int
) -> float:
    """Return the expected seconds of prefill at an endpoint."""
    uncached = max(0, request.prompt_tokens - cached)
    return uncached / state.spec.prefill_rate * state.slowdown
