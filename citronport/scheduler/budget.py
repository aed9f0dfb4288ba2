"""Concurrency budget of an endpoint and the state it is derived from.

Only the owner sends to an endpoint, so its own count of requests in progress
covers all instances. It does not cover foreign requests: those that an
earlier owner or a broken connection left at the endpoint. After a takeover
nothing is sent until a load report made since then has counted them.
"""

import dataclasses
import math

from citronport import const as common
from citronport.scheduler import const
from citronport.scheduler import models


@dataclasses.dataclass(kw_only=True)
class SentRequest:
    """A request in progress at an endpoint.

    Attributes:
        request: the request.
        sent_at: send time, clock seconds.
        prefill_seconds: expected duration of prefill.
        expected_at: expected time of its first token, clock seconds.
        first_token_at: time of its first token; None before it arrives.
        measures_speed: whether its first-token delay is a sample of the
            endpoint's speed: streamed, and sent while there was room.
    """

    request: models.Request
    sent_at: float
    prefill_seconds: float
    expected_at: float
    first_token_at: float | None = None
    measures_speed: bool = True


@dataclasses.dataclass(kw_only=True)
class EndpointState:
    """State of an endpoint as its owner knows it.

    Attributes:
        spec: endpoint as the catalogue describes it.
        connected: whether there is a connection.
        suspended: whether the right to send to it while cold is uncertain.
        cold_share: usable share of the cold-start capacity.
        warm: whether there was evidence of warmth since its start.
        evidence_since: evidence must be newer than this, clock seconds.
        warm_at: last time at which it was certainly warm: when a report
            saying so was made, or when a request was sent whose answer
            has begun.
        answered_at: time of the last first token, clock seconds.
        foreign_count: requests left there by others; None if unknown.
        counted_at: only reports newer than this count foreign requests.
        running: own requests in progress, by id.
        running_by_tier: number of own requests in progress, by tier.
        limit: current limit of concurrent requests.
        slowdown: measured factor by which it is slower than its catalogue
            entry states.
        decode_rate: measured answer tokens per second of one request.
        prefill_free_at: expected end of all prefill sent so far.
        mean_service_seconds: moving average of request durations.
    """

    spec: models.Endpoint
    connected: bool = False
    suspended: bool = False
    cold_share: models.ColdShare = models.ColdShare.ALL
    warm: bool = False
    evidence_since: float = -math.inf
    warm_at: float = -math.inf
    answered_at: float = -math.inf
    foreign_count: int | None = None
    counted_at: float = -math.inf
    running: dict[str, SentRequest] = dataclasses.field(default_factory=dict)
    running_by_tier: list[int] = dataclasses.field(
        default_factory=lambda: [0] * common.TIERS
    )
    limit: float = 0.0
    slowdown: float = 1.0
    decode_rate: float = 0.0
    prefill_free_at: float = 0.0
    mean_service_seconds: float = 2.0


def make_state(spec: models.Endpoint, now: float) -> EndpointState:
    """Return the initial state of an endpoint after a takeover."""
    state = EndpointState(spec=spec, decode_rate=spec.decode_rate * 0.7)
    take_over(state, now)
    return state


def has_cold_start(spec: models.Endpoint) -> bool:
    """Return whether an endpoint starts cold; plain services do not."""
    return spec.kind == models.Kind.ENGINE


def has_warm_evidence(state: EndpointState, now: float) -> bool:
    """Return whether recent evidence shows that an endpoint is warm.

    A process that was paused resumes with outdated state: the endpoint may
    since have restarted or been given another owner. Evidence therefore
    expires after the length of a lease.
    """
    if not has_cold_start(state.spec):
        return True
    return state.warm and now - state.warm_at <= const.WARM_EVIDENCE_SECONDS


def take_over(state: EndpointState, now: float) -> None:
    """Reset the state: another instance may have requests in progress."""
    _mark_cold(state, now)
    state.foreign_count = None if has_cold_start(state.spec) else 0
    state.counted_at = now


def record_connection(state: EndpointState, now: float) -> None:
    """Treat a new connection as a new, cold start of the endpoint."""
    state.connected = True
    _mark_cold(state, now)
    state.counted_at = now


def record_disconnection(state: EndpointState) -> None:
    """Record a lost connection; nothing is sent until there is a new one."""
    state.connected = False


def assume_cold(state: EndpointState, now: float) -> None:
    """Fall back to the cold budget until there is newer evidence."""
    _mark_cold(state, now)


def _mark_cold(state: EndpointState, now: float) -> None:
    state.evidence_since = now
    state.warm = not has_cold_start(state.spec)
    state.limit = state.spec.cold_concurrency
    if state.warm:
        state.limit = state.spec.concurrency


def _mark_warm(state: EndpointState) -> None:
    if state.warm:
        return
    state.warm = True
    state.limit = max(
        state.spec.cold_concurrency + 1,
        state.spec.concurrency * const.SLOW_START_FRACTION,
    )


def apply_report(
    state: EndpointState, report: models.LoadReport, now: float
) -> None:
    """Update the state from a load report made since the last start.

    A report describes the time at which it was made, not its arrival. One
    made before a restart may say "warm" of an endpoint that is cold now.
    """
    made_at = now - report.age
    if not state.connected or made_at <= state.evidence_since:
        return
    if report.cold and state.warm and has_cold_start(state.spec):
        assume_cold(state, made_at)
    if not report.cold:
        state.warm_at = max(state.warm_at, made_at)
        _mark_warm(state)
        _raise_limit_by_report(state, made_at)
    if made_at <= state.counted_at:
        return
    # A request whose first token arrived before the report was made is
    # part of the reported load; everything else may be foreign. The
    # foreign count never grows here, since no other instance sends.
    own_reported = sum(
        1
        for sent in state.running.values()
        if sent.first_token_at is not None and sent.first_token_at <= made_at
    )
    foreign_count = max(0, report.running + report.queued - own_reported)
    state.foreign_count = (
        foreign_count
        if state.foreign_count is None
        else min(state.foreign_count, foreign_count)
    )


def _raise_limit_by_report(state: EndpointState, made_at: float) -> None:
    # Answers that are not streamed give no first token for a long time. A
    # slow start that waits for them keeps the endpoint nearly idle. A
    # report made while a request runs shows that the endpoint handles it.
    if any(sent.sent_at < made_at for sent in state.running.values()):
        state.limit = min(state.spec.concurrency, 2 * state.limit)


def may_start(
    state: EndpointState, request: models.Request, now: float
) -> bool:
    """Return whether a request may be sent to the endpoint now."""
    if not state.connected or state.foreign_count is None:
        return False
    if not state.warm:
        return _may_start_cold(state, request)
    spec = state.spec
    load = len(state.running) + state.foreign_count
    room = min(
        state.limit,
        spec.concurrency * const.CONCURRENCY_FRACTIONS[request.tier],
    )
    if load >= max(1.0, room):
        return False
    backlog = state.prefill_free_at - now
    return backlog <= const.MAX_PREFILL_BACKLOG_SECONDS[request.tier]


def _may_start_cold(state: EndpointState, request: models.Request) -> bool:
    # An endpoint in cold start crashes if the requests or the prompt
    # tokens in progress exceed its cold-start capacity. The prompt tokens
    # of foreign requests are unknown, so a single one uses up the budget.
    spec = state.spec
    if state.suspended or state.foreign_count:
        return False
    share = state.cold_share
    if len(state.running) >= get_share(spec.cold_concurrency, share):
        return False
    tokens = sum(s.request.prompt_tokens for s in state.running.values())
    token_limit = get_share(spec.cold_prompt_tokens, share)
    return tokens + request.prompt_tokens <= token_limit


def get_share(whole: int, share: models.ColdShare) -> int:
    """Return the amount that a share of ``whole`` stands for.

    The two halves add up to the whole, whichever instances hold them.
    """
    match share:
        case models.ColdShare.ALL:
            return whole
        case models.ColdShare.UPPER_HALF:
            return whole - whole // 2
        case models.ColdShare.LOWER_HALF:
            return whole // 2
        case models.ColdShare.NONE:
            return 0


def count_lower_tiers(state: EndpointState, tier: int) -> int:
    """Return the number of running requests of tiers below ``tier``."""
    return sum(state.running_by_tier[tier + 1 :])


def may_overcommit(state: EndpointState, request: models.Request) -> bool:
    """Return whether a request may exceed the limit at a lower tier's cost.

    Otherwise a burst of a higher tier that finds the endpoints full of a
    lower one is shed while the lower one is served. The excess is at most
    the number of lower requests running there, so the endpoint queues it
    only briefly. It is also at most half the concurrency, which bounds the
    requests lost to an endpoint that has stopped answering.
    """
    if not state.connected or not state.warm or state.foreign_count is None:
        return False
    lower = count_lower_tiers(state, request.tier)
    extra = min(lower, int(state.spec.concurrency * const.OVERCOMMIT_FRACTION))
    load = len(state.running) + state.foreign_count
    return load < min(state.limit, state.spec.concurrency) + extra


def record_send(
    state: EndpointState, request: models.Request, prefill: float, now: float
) -> None:
    """Record a request that is sent now."""
    _apply_slow_start(state, now)
    begin_at = max(now, state.prefill_free_at)
    load = len(state.running) + (state.foreign_count or 0)
    state.prefill_free_at = begin_at + prefill
    state.running_by_tier[request.tier] += 1
    state.running[request.request_id] = SentRequest(
        request=request,
        sent_at=now,
        prefill_seconds=prefill,
        expected_at=begin_at + prefill + _estimate_decode(state, request),
        measures_speed=request.streamed and load < state.spec.concurrency,
    )


def _estimate_decode(state: EndpointState, request: models.Request) -> float:
    # An answer that is not streamed arrives with its last token. Measured
    # against the expected first token it would look overdue, which counts
    # as a sign of a cold start and reduces the endpoint's budget.
    if request.streamed:
        return 0.0
    return request.max_tokens / max(1.0, state.decode_rate)


def _apply_slow_start(state: EndpointState, now: float) -> None:
    # An idle endpoint may have restarted cold without notice. Its next
    # report is delayed, so a burst would reach it in full and crash it.
    # It is therefore limited to its cold-start concurrency at first; each
    # first token raises the limit by one, and the first broken answer
    # stops the increase. A busy endpoint is not affected.
    no_recent_token = (
        now - state.answered_at > const.FIRST_TOKEN_EVIDENCE_SECONDS
    )
    if no_recent_token and not state.running and has_cold_start(state.spec):
        state.limit = min(state.limit, state.spec.cold_concurrency)


def _remove(state: EndpointState, request_id: str) -> SentRequest | None:
    sent = state.running.pop(request_id, None)
    if sent is not None:
        state.running_by_tier[sent.request.tier] -= 1
    return sent


def record_first_token(
    state: EndpointState, request_id: str, now: float
) -> None:
    """Record a first token; update the speed and raise the limit."""
    sent = state.running.get(request_id)
    if sent is None or sent.first_token_at is not None:
        return
    sent.first_token_at = now
    state.answered_at = now
    state.warm_at = max(state.warm_at, sent.sent_at)
    if sent.measures_speed:
        _update_slowdown(state, sent, now)
    # Prefill is serial, so that of earlier requests is done as well.
    later = sum(
        s.prefill_seconds
        for s in state.running.values()
        if s.first_token_at is None and s.request.streamed
    )
    state.prefill_free_at = now + later
    if not state.warm:
        return
    state.limit = min(state.spec.concurrency, state.limit + 1)


def _update_slowdown(
    state: EndpointState, sent: SentRequest, now: float
) -> None:
    expected_seconds = max(0.02, sent.expected_at - sent.sent_at)
    actual_seconds = max(0.001, now - sent.sent_at)
    sample = state.slowdown * min(
        4.0, max(0.25, actual_seconds / expected_seconds)
    )
    # Delays this short are mostly network hop and event loop latency.
    if actual_seconds < 0.05 and expected_seconds < 0.05:
        sample = 1.0
    weight = const.MOVING_AVERAGE_WEIGHT
    state.slowdown += weight * (sample - state.slowdown)
    state.slowdown = min(const.MAX_SLOWDOWN, max(0.5, state.slowdown))


def record_end(
    state: EndpointState, request_id: str, now: float, output_tokens: int
) -> SentRequest | None:
    """Remove a request that has ended; update the speed estimates."""
    sent = _remove(state, request_id)
    if sent is None:
        return None
    weight = const.MOVING_AVERAGE_WEIGHT
    state.mean_service_seconds += weight * (
        now - sent.sent_at - state.mean_service_seconds
    )
    timed = sent.first_token_at is not None and sent.request.streamed
    if output_tokens and timed:
        rate = output_tokens / max(0.01, now - sent.first_token_at)
        state.decode_rate += weight * (rate - state.decode_rate)
    return sent


def record_failure(
    state: EndpointState, request_id: str, now: float, *, sent: bool
) -> SentRequest | None:
    """Remove a request whose dispatch failed.

    A request that was sent may still be in progress, and a broken answer
    is the first visible sign of a restart. The endpoint falls back to the
    cold budget, and the request counts as foreign until a newer report
    shows that it has ended.
    """
    failed = _remove(state, request_id)
    if failed is None or not sent or not has_cold_start(state.spec):
        return failed
    if state.foreign_count is not None:
        state.foreign_count += 1
    state.counted_at = now
    assume_cold(state, now)
    return failed


def record_cancel(state: EndpointState, request_id: str, now: float) -> None:
    """Remove a cancelled request.

    While the endpoint is cold, the request counts as foreign until a newer
    report shows that it has ended.
    """
    if _remove(state, request_id) is None:
        return
    if has_cold_start(state.spec) and not state.warm:
        if state.foreign_count is not None:
            state.foreign_count += 1
        state.counted_at = now


def has_overdue_first_token(state: EndpointState, now: float) -> bool:
    """Return whether any first token is long overdue."""
    return any(
        sent.first_token_at is None
        and now
        > sent.expected_at
        + max(
            const.FIRST_TOKEN_GRACE_SECONDS,
            2 * (sent.expected_at - sent.sent_at),
        )
        and sent.sent_at > state.evidence_since
        for sent in state.running.values()
    )


def get_wait(state: EndpointState, now: float) -> float:
    """Return the seconds until prefill of a new request would begin."""
    backlog = max(0.0, state.prefill_free_at - now)
    load = len(state.running) + (state.foreign_count or 0)
    if load < state.limit:
        return backlog
    return backlog + state.mean_service_seconds / max(1.0, state.limit)
