"""Enforcement of catalogue entry limits across the fleet."""

import dataclasses

from citronport import errors
from citronport.scheduler import models
from citronport.scheduler import pressure

WINDOW_SECONDS = 1.0
"""Burst size of rate limits, in seconds of the limit's rate."""


@dataclasses.dataclass(kw_only=True)
class Usage:
    """Usage of one entry at this instance.

    Attributes:
        running: ids of requests in progress.
        requests: level of the token bucket that counts requests.
        tokens: level of the token bucket that counts tokens.
        rate: requests per second admitted, decaying average.
        token_rate: tokens per second admitted, decaying average.
        updated_at: time of the last update, clock seconds.
    """

    running: set[str] = dataclasses.field(default_factory=set)
    requests: float = 0.0
    tokens: float = 0.0
    rate: float = 0.0
    token_rate: float = 0.0
    updated_at: float = 0.0


class Limiter:
    """Enforces entry limits by own usage and that of other instances.

    Callers of one entry may use several instances. If each of these
    granted the whole limit, the fleet would grant a multiple of it. An
    instance therefore grants what the others leave according to their last
    summaries, but at least its equal share of a rate. If n instances start
    from no usage at the same time, they exceed the limit by at most n - 1
    windows until the next summaries. If callers follow the order of the
    lookup, one instance sees all of them and the limit is not exceeded.
    """

    def __init__(self) -> None:
        self._usage: dict[str, Usage] = {}

    def admit(
        self,
        request: models.Request,
        entry: models.Entry,
        view: pressure.PeerView,
        now: float,
    ) -> tuple[errors.Code, float] | None:
        """Count a request, or return the error code and the retry delay.

        Args:
            request: the request; counted with its maximum of tokens.
            entry: the catalogue entry.
            view: merged summaries of the other instances.
            now: clock time, seconds.
        """
        limits = entry.limits
        if limits == models.Limits():
            return None
        usage = self._usage.get(entry.name)
        if usage is None:
            usage = Usage(updated_at=now - WINDOW_SECONDS)
            self._usage[entry.name] = usage
        others = view.usage_by_entry.get(entry.name, pressure.EntryUsage())
        count = view.instance_count + 1
        rate = _get_share(limits.requests_per_second, others.rate, count)
        token_rate = _get_share(
            limits.tokens_per_second, others.token_rate, count
        )
        _refill(usage, rate, token_rate, now)
        tokens = request.prompt_tokens + request.max_tokens
        if (
            limits.concurrency is not None
            and len(usage.running) + others.running >= limits.concurrency
        ):
            return errors.Code.CONCURRENCY_LIMIT, 1.0
        if rate is not None and usage.requests < 1:
            return errors.Code.RATE_LIMIT, (1 - usage.requests) / rate
        # A request larger than the window is admitted when the bucket is
        # full and leaves it negative; otherwise it would never be admitted.
        if token_rate is not None and usage.tokens < min(
            tokens, token_rate * WINDOW_SECONDS
        ):
            shortfall = min(tokens, token_rate * WINDOW_SECONDS) - usage.tokens
            return errors.Code.TOKEN_LIMIT, shortfall / token_rate
        usage.requests -= 1
        usage.tokens -= tokens
        usage.rate += 1 / WINDOW_SECONDS
        usage.token_rate += tokens / WINDOW_SECONDS
        usage.running.add(request.request_id)
        return None

    def finish(self, request: models.Request) -> None:
        """Record that a request is no longer in progress."""
        usage = self._usage.get(request.entry)
        if usage is not None:
            usage.running.discard(request.request_id)

    def summarize(self, now: float) -> dict[str, tuple[int, float, float]]:
        """Return running requests and both rates of entries in use."""
        summary = {}
        for name, usage in list(self._usage.items()):
            _refill(usage, None, None, now)
            if not usage.running and usage.rate < 0.01:
                continue
            summary[name] = (len(usage.running), usage.rate, usage.token_rate)
        return summary


def _get_share(limit: float | None, others: float, count: int) -> float | None:
    if limit is None:
        return None
    return max(limit / count, limit - others)


def _refill(
    usage: Usage, rate: float | None, token_rate: float | None, now: float
) -> None:
    elapsed = max(0.0, now - usage.updated_at)
    usage.updated_at = now
    decay = max(0.0, 1 - elapsed / WINDOW_SECONDS)
    usage.rate *= decay
    usage.token_rate *= decay
    if rate is not None:
        capacity = max(1.0, rate * WINDOW_SECONDS)
        usage.requests = min(capacity, usage.requests + rate * elapsed)
    if token_rate is not None:
        capacity = token_rate * WINDOW_SECONDS
        usage.tokens = min(capacity, usage.tokens + token_rate * elapsed)
