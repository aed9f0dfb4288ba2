"""What a request is expected to cost; wrong guesses mend themselves."""

import collections

from citronport.scheduler import budget
from citronport.scheduler import const
from citronport.scheduler import models

BLOCK_TOKENS = 128
"""Prompt tokens in one block of ``Request.prefix``, about."""


class LengthEstimates:
    """Mean answer length and cached part, by catalogue entry.

    Load: callers ask for the longest answer they could bear, most are a
    tenth of it. Harm: work ahead counted by the request's limit refuses
    what would have been in time. A mean of the answers seen is used, and
    nothing that must hold depends on it.
    """

    def __init__(self) -> None:
        self._output: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._cached: dict[str, float] = {}

    def record_output(self, entry: str, tokens: float) -> None:
        """Take in the length of an answer."""
        known = self._output.get(entry, tokens)
        self._output[entry] = known + const.MOVING_AVERAGE_WEIGHT * (
            tokens - known
        )
        self._output.move_to_end(entry)
        while len(self._output) > const.MAX_REMEMBERED_ENTRIES:
            dropped, _ = self._output.popitem(last=False)
            self._cached.pop(dropped, None)

    def record_cached(self, entry: str, part: float) -> None:
        """Take in which part of a prompt was cached."""
        known = self._cached.get(entry, part)
        self._cached[entry] = known + const.MOVING_AVERAGE_WEIGHT * (
            part - known
        )

    def estimate_output(self, request: models.Request) -> float:
        """Return the expected answer tokens."""
        known = self._output.get(request.entry, const.DEFAULT_OUTPUT_TOKENS)
        return min(known, float(request.max_tokens or known))

    def estimate_uncached(self, request: models.Request) -> float:
        """Return the prompt tokens that are expected to need prefill."""
        return request.prompt_tokens * (
            1 - self._cached.get(request.entry, 0.0)
        )


class PrefixCache:
    """The prefix blocks that an endpoint likely holds.

    The owner alone sends to the endpoint, so that its own sends tell the
    cache's content; the endpoint's late cache events only correct it.
    """

    def __init__(self, tokens: int) -> None:
        self._size = max(1, tokens // BLOCK_TOKENS)
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def count_cached(self, request: models.Request) -> int:
        """Return the prompt tokens likely held."""
        count = 0
        for block in request.prefix:
            if block not in self._blocks:
                break
            count += 1
        return min(max(0, request.prompt_tokens - 1), count * BLOCK_TOKENS)

    def store(self, blocks: tuple[int, ...]) -> None:
        """Note blocks that were sent or reported."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._size:
            self._blocks.popitem(last=False)

    def evict(self, blocks: tuple[int, ...]) -> None:
        """Forget blocks that the endpoint no longer holds."""
        for block in blocks:
            self._blocks.pop(block, None)

    def clear(self) -> None:
        """Forget all: the endpoint started over."""
        self._blocks.clear()


def estimate_prefill(
    state: budget.EndpointState, request: models.Request, cached: int
) -> float:
    """Return the expected seconds of prefill at an endpoint."""
    uncached = max(0, request.prompt_tokens - cached)
    return uncached / state.spec.prefill_rate * state.slowdown
