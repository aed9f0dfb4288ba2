"""A catalogue entry's limits, held across the fleet."""

import dataclasses

from citronport import errors
from citronport.scheduler import models
from citronport.scheduler import pressure

WINDOW_SECONDS = 1.0
"""Seconds of a limit's rate that may come at once."""


@dataclasses.dataclass(kw_only=True)
class Usage:
    """What this instance admitted under one entry.

    Attributes:
        running: ids in progress.
        requests: requests that may still come at once.
        tokens: tokens that may still come at once.
        rate: requests a second admitted, moving average.
        token_rate: tokens a second admitted, moving average.
        updated_at: time of the last update, clock seconds.
    """

    running: set[str] = dataclasses.field(default_factory=set)
    requests: float = 0.0
    tokens: float = 0.0
    rate: float = 0.0
    token_rate: float = 0.0
    updated_at: float = 0.0


class Limiter:
    """Own usage of limited entries beside what the others report.

    Load: callers of one entry at several instances. Harm: each instance
    alone would grant the whole limit, the fleet its multiple. An instance
    grants what the others have left by their last summaries, at least its
    equal share of a rate. A limit of n instances that all start at once
    from nothing is overshot by at most n - 1 windows' worth, until the
    next summaries; one at which callers follow the lookup's order is not
    overshot at all, since one instance sees them all.
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
        """Count a request in, or return why not and when to come back.

        Args:
            request: the request; its tokens are what it may use at most.
            entry: the catalogue entry.
            view: what the other instances tell.
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
        # A request larger than the window may go when the window is full
        # and leaves a debt; else it could never go.
        if token_rate is not None and usage.tokens < min(
            tokens, token_rate * WINDOW_SECONDS
        ):
            missing = min(tokens, token_rate * WINDOW_SECONDS) - usage.tokens
            return errors.Code.TOKEN_LIMIT, missing / token_rate
        usage.requests -= 1
        usage.tokens -= tokens
        usage.rate += 1 / WINDOW_SECONDS
        usage.token_rate += tokens / WINDOW_SECONDS
        usage.running.add(request.request_id)
        return None

    def finish(self, request: models.Request) -> None:
        """Count a request out."""
        usage = self._usage.get(request.entry)
        if usage is not None:
            usage.running.discard(request.request_id)

    def summarize(self, now: float) -> dict[str, tuple[int, float, float]]:
        """Return requests in progress and both rates, by entry in use."""
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
