"""Tuning constants of the scheduler and the reasons behind them.

A "tier" tuple holds one value per tier, the highest tier first. The slack of
a request is the time between its arrival and its deadline.
"""

from typing import Final

MAX_PREFILL_BACKLOG_SECONDS: Final = (2.0, 1.0, 0.5, 0.3)
"""Prefill backlog at an endpoint above which a tier sends no more, by tier.

An endpoint runs prefill in the order of arrival, whatever the tier. Backlog
from a lower tier therefore delays requests of a higher one."""

CONCURRENCY_FRACTIONS: Final = (1.0, 0.95, 0.85, 0.7)
"""Fraction of an endpoint's concurrency that each tier may fill.

The remainder is free for a higher tier at once. Without it, a short status
read waits until a long review has finished."""

OVERCOMMIT_FRACTION: Final = 0.5
"""Fraction of the concurrency by which a tier may exceed the limit.

Applies only while the endpoint runs at least as many requests of lower
tiers, and only to a request that would otherwise miss its deadline."""

SLOW_START_FRACTION: Final = 0.25
"""Fraction of the concurrency at which a newly warm endpoint starts."""

FIRST_TOKEN_GRACE_SECONDS: Final = 3.0
"""Delay after its expected time at which a first token is overdue."""

MOVING_AVERAGE_WEIGHT: Final = 0.2
"""Weight of the newest sample in moving averages of speeds and lengths."""

MAX_SLOWDOWN: Final = 20.0
"""Upper bound of the measured slowdown factor.

Keeps a single sample from taking an endpoint out of use."""

DEFAULT_OUTPUT_TOKENS: Final = 30.0
"""Expected answer length of an entry that has no finished answer yet.

Low, so that a first request is not refused for a length that is unknown."""

AFFINITY_CANDIDATES: Final = 2
"""Candidate endpoints per prefix; a third cached copy wastes prefill."""

RANDOM_CANDIDATES: Final = 2
"""Additional random candidates; two remove most of the load imbalance."""

AFFINITY_BLOCK_INDEX: Final = 7
"""Index, from 0, of the prefix block that selects the endpoint.

Earlier blocks hold the instructions with which all requests of a workspace
begin. Selecting by them would send all of these to one endpoint and overload
it."""

RING_POINTS_PER_ENDPOINT: Final = 24
"""Points on the hash ring for an endpoint of mean speed.

The load of equal endpoints then varies by about a fifth."""

MIN_RING_POINTS_PER_ENDPOINT: Final = 4
RING_POINTS_TOTAL: Final = 8192
"""Bounds for large fleets: points per endpoint, points on the whole ring."""

MAX_REFUSED_FORWARDS: Final = 8
"""Times that instances may answer "not run" before the caller is refused.

Bounds the hops of a request that no owner can serve in time."""

AVOIDED_INSTANCES: Final = 2
"""Most recent refusing instances that are not tried again at once."""

UNREPORTED_WAIT_SECONDS: Final = 0.5
"""Wait assumed for an instance that has not reported any."""

COLD_WAIT_SECONDS: Final = 3.0
"""Added to the expected wait if all usable endpoints are cold."""

SUMMARY_MAX_AGE_SECONDS: Final = 2.0
"""Age above which the summary of another instance is ignored."""

URGENT_SLACK_FRACTION: Final = 0.25
"""Fraction of its slack after which a waiting request counts as urgent."""

PRESSURE_SLACK_FRACTIONS: Final = (0.3, 0.15, 0.12, 1.0)
"""Fraction of its slack that a tier may wait before lower tiers stop.

The remaining slack is the time that running requests of lower tiers need to
finish: a running review lasts nearly as long as a summary may wait. The top
tier has reserved room at every endpoint and needs the least time."""

FLOOR_HOLD_SECONDS: Final = (0.2, 1.0, 2.0, 0.0)
"""Time without pressure before the next lower tier starts again, by floor."""

MAX_FLOOR_HOLD_DOUBLINGS: Final = 2
"""Times that the hold may double when pressure returns soon."""

MAX_QUEUED_REQUESTS: Final = 2000
"""Requests that may wait in one instance; bounds its memory."""

MIN_RETRY_AFTER_SECONDS: Final = 0.5
MAX_RETRY_AFTER_SECONDS: Final = 60.0
"""Bounds of the retry delay given to refused callers."""

FORWARD_GRACE_SECONDS: Final = 1.0
"""Time after its deadline at which a forwarded request is abandoned here."""

MAX_REMEMBERED_ENTRIES: Final = 4096
"""Size of each LRU map: catalogue entries by answer length, prefixes by
endpoint."""

PREFILL_WEIGHT: Final = 4.0
"""Seconds of waiting that count as much as one second of prefill.

Prefill is the scarce resource of saturated engines: repeating prefill that
another endpoint has cached takes capacity from all waiting requests."""

DEADLINE_DECODE_FRACTION: Final = 1.0
"""Fraction of the expected decoding that must fit before the deadline.

A lower value starts requests that are cut at their deadline and waste their
prefill; a higher value refuses requests that would finish in time."""

MOVE_MIN_WAIT_SECONDS: Final = 0.5
"""Time after which a waiting request may move to a less loaded instance."""

MOVE_MIN_SLACK_FRACTION: Final = 0.12
"""Fraction of its slack that a request also has to wait before it moves.

Makes the bounded number of moves last until the deadline."""

MOVE_MAX_WAIT_RATIO: Final = 0.5
"""Wait at the other instance over the wait here, above which none moves."""

MAX_MOVES_PER_CHECK: Final = 2
"""Requests moved in one check.

Keeps many requests from moving at once on the same summary."""

COLD_PREFILL_FACTOR: Final = 4.0
"""Factor by which prefill is assumed to be slower during a cold start."""

AFFINITY_SLACK_FRACTION: Final = 0.3
"""Fraction of its slack that a request waits for its best endpoint.

The best endpoint usually holds its prefix. After this time any other one is
used."""

BELOW_FLOOR_RETRY_SECONDS: Final = 5.0
"""Added to the retry delay of a tier below the floor in force."""

RECHECK_SECONDS: Final = 0.25
"""Delay before a late request that must not be shed yet is checked again.

The lower tier may have finished by then."""

VIEW_MAX_AGE_SECONDS: Final = 0.05
"""Age at which the merged view of all other instances is rebuilt."""

MAX_DISPATCH_RETRIES: Final = 2
"""Further dispatches after one that failed before any byte was sent.

Without a bound, an endpoint that refuses each connection is tried in a
loop."""

WARM_EVIDENCE_SECONDS: Final = 3.0
"""Maximum age of evidence of warmth for a send without a lease.

Equal to the length of a lease, so that a pause of the process invalidates
both at the same time."""

FIRST_TOKEN_EVIDENCE_SECONDS: Final = 0.5
"""Time for which a first token proves that an endpoint is as warm as before.

About the delay of a load report, which shows the state after that."""
