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
class Sent:
    """A request in progress at an endpoint.

    Attributes:
        request: the request.
        at: when it was sent, clock seconds.
        prefill: expected seconds of prefill.
        expected: expected time of its first token, clock seconds.
        first_token: when that came.
        usual: whether it found room, so that its time tells the speed.
    """

    request: models.Request
    at: float
    prefill: float
    expected: float
    first_token: float | None = None
    usual: bool = True


@dataclasses.dataclass(kw_only=True)
class State:
    """What an owner knows of an endpoint.

    Attributes:
        spec: the catalogue's description.
        connected: whether there is a connection.
        suspended: whether the right to send is in doubt.
        cold_share: part of what a cold start bears that may be used.
        warm: whether it was shown warm since its start.
        since: evidence must be younger than this, clock seconds.
        shown: when it last was warm for certain: when a report was made
            that says so, or when a request left whose answer has begun.
        answered: when it last answered a request, clock seconds.
        foreign: requests that others left there; None if not known.
        counted: only younger reports count foreign requests.
        running: own requests in progress.
        by_tier: how many of these there are, by tier.
        limit: requests it may have at once now.
        slow: times slower than the catalogue says.
        decode: measured answer tokens a second of one request.
        prefill_free: when the prefill that was sent ends.
        turnover: mean seconds that a request stays.
    """

    spec: models.Endpoint
    connected: bool = False
    suspended: bool = False
    cold_share: models.ColdShare = models.ColdShare.ALL
    warm: bool = False
    since: float = -math.inf
    shown: float = -math.inf
    answered: float = -math.inf
    foreign: int | None = None
    counted: float = -math.inf
    running: dict[str, Sent] = dataclasses.field(default_factory=dict)
    by_tier: list[int] = dataclasses.field(
        default_factory=lambda: [0] * common.TIERS
    )
    limit: float = 0.0
    slow: float = 1.0
    decode: float = 0.0
    prefill_free: float = 0.0
    turnover: float = 2.0


def make_state(spec: models.Endpoint, now: float) -> State:
    """Return the state of an endpoint that was just taken over."""
    state = State(spec=spec, decode=spec.decode_rate * 0.7)
    take_over(state, now)
    return state


def has_cold_start(spec: models.Endpoint) -> bool:
    """Return whether an endpoint starts cold; plain services do not."""
    return spec.kind == models.Kind.ENGINE


def is_shown_warm(state: State, now: float) -> bool:
    """Return whether young evidence says that an endpoint is warm.

    An instance that was stopped wakes with an old view: the endpoint may
    have turned cold, and have another owner, meanwhile. What it saw before
    counts for no longer than its lease.
    """
    if not has_cold_start(state.spec):
        return True
    return state.warm and now - state.shown <= const.SHOWN_SECONDS


def take_over(state: State, now: float) -> None:
    """Start counting: another instance may have work in progress there."""
    _turn_cold(state, now)
    state.foreign = None if has_cold_start(state.spec) else 0
    state.counted = now


def connect(state: State, now: float) -> None:
    """Take a new connection for a new start."""
    state.connected = True
    _turn_cold(state, now)
    state.counted = now


def lose(state: State) -> None:
    """The connection broke: nothing is sent until there is a new one."""
    state.connected = False


def suspect(state: State, now: float) -> None:
    """Fall back to the cold budget at once; evidence must be younger."""
    _turn_cold(state, now)


def _turn_cold(state: State, now: float) -> None:
    state.since = now
    state.warm = not has_cold_start(state.spec)
    state.limit = state.spec.cold_concurrency
    if state.warm:
        state.limit = state.spec.concurrency


def _turn_warm(state: State) -> None:
    if state.warm:
        return
    state.warm = True
    state.limit = max(
        state.spec.cold_concurrency + 1,
        state.spec.concurrency * const.SLOW_START,
    )


def take_report(state: State, report: models.LoadReport, now: float) -> None:
    """Learn from a load report; what is older than the start is ignored.

    A report says what was so when it was made, not when it came: one that
    was made before a restart says "warm" of a start that is cold.
    """
    made = now - report.age
    if not state.connected or made <= state.since:
        return
    if report.cold and state.warm and has_cold_start(state.spec):
        suspect(state, made)
    if not report.cold:
        state.shown = max(state.shown, made)
        _turn_warm(state)
        _grow_by_report(state, made)
    if made <= state.counted:
        return
    # A request whose first token came before the report was made was
    # inside then; all others may be foreign. The count only ever falls,
    # since nobody else sends.
    inside = sum(
        1
        for sent in state.running.values()
        if sent.first_token is not None and sent.first_token <= made
    )
    left = max(0, report.running + report.queued - inside)
    state.foreign = left if state.foreign is None else min(state.foreign, left)


def _grow_by_report(state: State, made: float) -> None:
    # Load: answers that come in one piece, after long. Harm: a slow start
    # that waits for them keeps an endpoint nearly idle meanwhile. A report
    # that was made while one of them ran says that it was borne.
    if any(sent.at < made for sent in state.running.values()):
        state.limit = min(state.spec.concurrency, 2 * state.limit)


def may_start(state: State, request: models.Request, now: float) -> bool:
    """Return whether the endpoint may be given a request now."""
    if not state.connected or state.foreign is None:
        return False
    if not state.warm:
        return _may_start_cold(state, request)
    spec = state.spec
    load = len(state.running) + state.foreign
    room = min(state.limit, spec.concurrency * const.ROOM[request.tier])
    if load >= max(1.0, room):
        return False
    backlog = state.prefill_free - now
    return backlog <= const.BACKLOG_SECONDS[request.tier]


def _may_start_cold(state: State, request: models.Request) -> bool:
    # An endpoint in cold start falls over when it gets more than it can
    # bear: the sum of what is in progress there counts, requests and
    # prompt tokens. The tokens of foreign requests are not known, so that
    # any of them fills the budget.
    spec = state.spec
    if state.suspended or state.foreign:
        return False
    share = state.cold_share
    if len(state.running) >= take_share(spec.cold_concurrency, share):
        return False
    tokens = sum(s.request.prompt_tokens for s in state.running.values())
    bears = take_share(spec.cold_prompt_tokens, share)
    return tokens + request.prompt_tokens <= bears


def take_share(whole: int, share: models.ColdShare) -> int:
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


def count_lower(state: State, tier: int) -> int:
    """Return the requests in progress there of tiers below one."""
    return sum(state.by_tier[tier + 1 :])


def may_overcommit(state: State, request: models.Request) -> bool:
    """Return whether a request may take the room of lower ones.

    Load: a burst of a higher tier finds endpoints full of a lower one.
    Harm: it is shed while the lower one is served. As many lower requests
    as it displaces run there, and the endpoint only queues it for a
    moment; half the concurrency bounds what one that answers no more can
    swallow.
    """
    if not state.connected or not state.warm or state.foreign is None:
        return False
    lower = count_lower(state, request.tier)
    extra = min(lower, int(state.spec.concurrency * const.OVERCOMMIT))
    load = len(state.running) + state.foreign
    return load < min(state.limit, state.spec.concurrency) + extra


def record_send(
    state: State, request: models.Request, prefill: float, now: float
) -> None:
    """Count a request that is sent now."""
    _start_slowly(state, now)
    begin = max(now, state.prefill_free)
    load = len(state.running) + (state.foreign or 0)
    state.prefill_free = begin + prefill
    state.by_tier[request.tier] += 1
    state.running[request.request_id] = Sent(
        request=request,
        at=now,
        prefill=prefill,
        expected=begin + prefill + _estimate_decode(state, request),
        usual=request.streamed and load < state.spec.concurrency,
    )


def _estimate_decode(state: State, request: models.Request) -> float:
    # An answer in one piece comes when its last token does. Taken for a
    # first token that is late, it would count as a sign of a cold start,
    # and the endpoint would be fed as one.
    if request.streamed:
        return 0.0
    return request.max_tokens / max(1.0, state.decode)


def _start_slowly(state: State, now: float) -> None:
    # Load: a burst that meets an endpoint which has been idle. Harm: one
    # that turned cold without a word would get all of it before its next
    # report, which comes late, and fall over. It starts with as many as a
    # cold start bears, and each first token allows one more: the first
    # that breaks ends it. While an endpoint is busy this costs nothing.
    silent = now - state.answered > const.PROOF_SECONDS
    if silent and not state.running and has_cold_start(state.spec):
        state.limit = min(state.limit, state.spec.cold_concurrency)


def _take_out(state: State, request_id: str) -> Sent | None:
    sent = state.running.pop(request_id, None)
    if sent is not None:
        state.by_tier[sent.request.tier] -= 1
    return sent


def record_first_token(state: State, request_id: str, now: float) -> None:
    """Learn the speed, and that the endpoint bears its load."""
    sent = state.running.get(request_id)
    if sent is None or sent.first_token is not None:
        return
    sent.first_token = now
    state.answered = now
    state.shown = max(state.shown, sent.at)
    if sent.usual:
        _learn_speed(state, sent, now)
    # Prefill is serial: what was sent before is over now, too.
    later = sum(
        s.prefill
        for s in state.running.values()
        if s.first_token is None and s.request.streamed
    )
    state.prefill_free = now + later
    if not state.warm:
        return
    state.limit = min(state.spec.concurrency, state.limit + 1)


def _learn_speed(state: State, sent: Sent, now: float) -> None:
    planned = max(0.02, sent.expected - sent.at)
    took = max(0.001, now - sent.at)
    sample = state.slow * min(4.0, max(0.25, took / planned))
    # A short wait says little: a hop and a turn of the loop weigh as much.
    if took < 0.05 and planned < 0.05:
        sample = 1.0
    gain = const.SPEED_GAIN
    state.slow += gain * (sample - state.slow)
    state.slow = min(const.SLOWEST, max(0.5, state.slow))


def record_end(
    state: State, request_id: str, now: float, output_tokens: int
) -> Sent | None:
    """Count a request out whose answer is whole, or that left."""
    sent = _take_out(state, request_id)
    if sent is None:
        return None
    gain = const.SPEED_GAIN
    state.turnover += gain * (now - sent.at - state.turnover)
    timed = sent.first_token is not None and sent.request.streamed
    if output_tokens and timed:
        rate = output_tokens / max(0.01, now - sent.first_token)
        state.decode += gain * (rate - state.decode)
    return sent


def record_failure(
    state: State, request_id: str, now: float, *, sent: bool
) -> Sent | None:
    """Count a request out whose dispatch failed.

    One that was sent may still be in progress there, and a broken answer
    is the first that is seen of an endpoint that started over: the budget
    is the cold one from here on, and the request stays in it until a
    younger report shows that it is gone.
    """
    entry = _take_out(state, request_id)
    if entry is None or not sent or not has_cold_start(state.spec):
        return entry
    if state.foreign is not None:
        state.foreign += 1
    state.counted = now
    suspect(state, now)
    return entry


def record_cancel(state: State, request_id: str, now: float) -> None:
    """Count a cancelled request as foreign until it is surely gone."""
    if _take_out(state, request_id) is None:
        return
    if has_cold_start(state.spec) and not state.warm:
        if state.foreign is not None:
            state.foreign += 1
        state.counted = now


def find_overdue(state: State, now: float) -> bool:
    """Return whether a first token is far later than expected."""
    return any(
        sent.first_token is None
        and now
        > sent.expected
        + max(const.FIRST_TOKEN_SLACK, 2 * (sent.expected - sent.at))
        and sent.at > state.since
        for sent in state.running.values()
    )


def get_wait(state: State, now: float) -> float:
    """Return the seconds until a new request's prefill would begin."""
    backlog = max(0.0, state.prefill_free - now)
    load = len(state.running) + (state.foreign or 0)
    if load < state.limit:
        return backlog
    return backlog + state.turnover / max(1.0, state.limit)
