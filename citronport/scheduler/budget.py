"""How much of an endpoint its owner may use.

Only the owner sends to an endpoint, so that the sum over all instances is
the owner's own count. What the owner cannot count are requests that an
earlier owner, or a broken connection, left behind: until a report younger
than the takeover counts them, nothing is sent.
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
        sent_at: when it was sent, clock seconds.
        prefill_seconds: expected seconds of prefill.
        expected_at: expected time of its first token, clock seconds.
        first_token_at: when that came.
        measures_speed: whether it found room, so its time shows the speed.
    """

    request: models.Request
    sent_at: float
    prefill_seconds: float
    expected_at: float
    first_token_at: float | None = None
    measures_speed: bool = True


@dataclasses.dataclass(kw_only=True)
class EndpointState:
    """What an owner knows of an endpoint.

    Attributes:
        spec: the catalogue's description.
        connected: whether there is a connection.
        suspended: whether the right to send is in doubt.
        cold_share: part of what a cold start bears that may be used.
        warm: whether it was shown warm since its start.
        evidence_since: evidence must be younger than this, clock seconds.
        warm_at: when it last was warm for certain: when a report was made
            that says so, or when a request left whose answer has begun.
        answered_at: when it last answered a request, clock seconds.
        foreign_count: requests that others left there; None if not known.
        counted_at: only younger reports count foreign requests.
        running: own requests in progress.
        running_by_tier: how many of these there are, by tier.
        limit: requests it may have at once now.
        slowdown: times slower than the catalogue says.
        decode_rate: measured answer tokens a second of one request.
        prefill_free_at: when the prefill that was sent ends.
        mean_service_seconds: mean seconds that a request stays.
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
    """Return the state of an endpoint that was just taken over."""
    state = EndpointState(spec=spec, decode_rate=spec.decode_rate * 0.7)
    take_over(state, now)
    return state


def has_cold_start(spec: models.Endpoint) -> bool:
    """Return whether an endpoint starts cold; plain services do not."""
    return spec.kind == models.Kind.ENGINE


def has_warm_evidence(state: EndpointState, now: float) -> bool:
    """Return whether young evidence says that an endpoint is warm.

    An instance that was stopped wakes with an old view: the endpoint may
    have turned cold, and have another owner, meanwhile. What it saw before
    counts for no longer than its lease.
    """
    if not has_cold_start(state.spec):
        return True
    return state.warm and now - state.warm_at <= const.WARM_EVIDENCE_SECONDS


def take_over(state: EndpointState, now: float) -> None:
    """Start counting: another instance may have work in progress there."""
    _mark_cold(state, now)
    state.foreign_count = None if has_cold_start(state.spec) else 0
    state.counted_at = now


def record_connection(state: EndpointState, now: float) -> None:
    """Take a new connection for a new start."""
    state.connected = True
    _mark_cold(state, now)
    state.counted_at = now


def record_disconnection(state: EndpointState) -> None:
    """The connection broke: nothing is sent until there is a new one."""
    state.connected = False


def assume_cold(state: EndpointState, now: float) -> None:
    """Fall back to the cold budget at once; evidence must be younger."""
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
    """Learn from a load report; what is older than the start is ignored.

    A report says what was so when it was made, not when it came: one that
    was made before a restart says "warm" of a start that is cold.
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
    # A request whose first token came before the report was made was
    # inside then; all others may be foreign. The count only ever falls,
    # since nobody else sends.
    inside = sum(
        1
        for sent in state.running.values()
        if sent.first_token_at is not None and sent.first_token_at <= made_at
    )
    foreign_count = max(0, report.running + report.queued - inside)
    state.foreign_count = (
        foreign_count
        if state.foreign_count is None
        else min(state.foreign_count, foreign_count)
    )


def _raise_limit_by_report(state: EndpointState, made_at: float) -> None:
    # Load: answers that come in one piece, after long. Harm: a slow start
    # that waits for them keeps an endpoint nearly idle meanwhile. A report
    # that was made while one of them ran says that it was borne.
    if any(sent.sent_at < made_at for sent in state.running.values()):
        state.limit = min(state.spec.concurrency, 2 * state.limit)


def may_start(
    state: EndpointState, request: models.Request, now: float
) -> bool:
    """Return whether the endpoint may be given a request now."""
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
    # An endpoint in cold start falls over when it gets more than it can
    # bear: the sum of what is in progress there counts, requests and
    # prompt tokens. The tokens of foreign requests are not known, so that
    # any of them fills the budget.
    spec = state.spec
    if state.suspended or state.foreign_count:
        return False
    share = state.cold_share
    if len(state.running) >= get_share(spec.cold_concurrency, share):
        return False
    tokens = sum(s.request.prompt_tokens for s in state.running.values())
    max_tokens = get_share(spec.cold_prompt_tokens, share)
    return tokens + request.prompt_tokens <= max_tokens


def get_share(whole: int, share: models.ColdShare) -> int:
    """Return the part of a number that a share stands for.

    The two halves add up to the whole, whoever holds them.
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
    """Return the requests in progress there of tiers below one."""
    return sum(state.running_by_tier[tier + 1 :])


def may_overcommit(state: EndpointState, request: models.Request) -> bool:
    """Return whether a request may take the room of lower ones.

    Load: a burst of a higher tier finds endpoints full of a lower one.
    Harm: it is shed while the lower one is served. As many lower requests
    as it displaces run there, and the endpoint only queues it for a
    moment; half the concurrency bounds what one that answers no more can
    swallow.
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
    """Count a request that is sent now."""
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
    # An answer in one piece comes when its last token does. Taken for a
    # first token that is late, it would count as a sign of a cold start,
    # and the endpoint would be fed as one.
    if request.streamed:
        return 0.0
    return request.max_tokens / max(1.0, state.decode_rate)


def _apply_slow_start(state: EndpointState, now: float) -> None:
    # Load: a burst that meets an endpoint which has been idle. Harm: one
    # that turned cold without a word would get all of it before its next
    # report, which comes late, and fall over. It starts with as many as a
    # cold start bears, and each first token allows one more: the first
    # that breaks ends it. While an endpoint is busy this costs nothing.
    silent = now - state.answered_at > const.FIRST_TOKEN_EVIDENCE_SECONDS
    if silent and not state.running and has_cold_start(state.spec):
        state.limit = min(state.limit, state.spec.cold_concurrency)


def _remove(state: EndpointState, request_id: str) -> SentRequest | None:
    sent = state.running.pop(request_id, None)
    if sent is not None:
        state.running_by_tier[sent.request.tier] -= 1
    return sent


def record_first_token(
    state: EndpointState, request_id: str, now: float
) -> None:
    """Learn the speed, and that the endpoint bears its load."""
    sent = state.running.get(request_id)
    if sent is None or sent.first_token_at is not None:
        return
    sent.first_token_at = now
    state.answered_at = now
    state.warm_at = max(state.warm_at, sent.sent_at)
    if sent.measures_speed:
        _update_slowdown(state, sent, now)
    # Prefill is serial: what was sent before is over now, too.
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
    # A short wait says little: a hop and a turn of the loop weigh as much.
    if actual_seconds < 0.05 and expected_seconds < 0.05:
        sample = 1.0
    weight = const.MOVING_AVERAGE_WEIGHT
    state.slowdown += weight * (sample - state.slowdown)
    state.slowdown = min(const.MAX_SLOWDOWN, max(0.5, state.slowdown))


def record_end(
    state: EndpointState, request_id: str, now: float, output_tokens: int
) -> SentRequest | None:
    """Count a request out whose answer is whole, or that left."""
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
    """Count a request out whose dispatch failed.

    One that was sent may still be in progress there, and a broken answer
    is the first that is seen of an endpoint that started over: the budget
    is the cold one from here on, and the request stays in it until a
    younger report shows that it is gone.
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
    """Count a cancelled request as foreign until it is surely gone."""
    if _remove(state, request_id) is None:
        return
    if has_cold_start(state.spec) and not state.warm:
        if state.foreign_count is not None:
            state.foreign_count += 1
        state.counted_at = now


def has_overdue_first_token(state: EndpointState, now: float) -> bool:
    """Return whether a first token is far later than expected."""
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
    """Return the seconds until a new request's prefill would begin."""
    backlog = max(0.0, state.prefill_free_at - now)
    load = len(state.running) + (state.foreign_count or 0)
    if load < state.limit:
        return backlog
    return backlog + state.mean_service_seconds / max(1.0, state.limit)
