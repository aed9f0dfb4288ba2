"""Constants of the decisions, each with its reason."""

from typing import Final

MAX_PREFILL_BACKLOG_SECONDS: Final = (2.0, 1.0, 0.5, 0.3)
"""Prefill that may lie ahead of a new request at an endpoint, by tier.

An endpoint prefills in the order of arrival, whatever the tier: what a
lower tier has piled up there is what a higher tier waits for."""

CONCURRENCY_FRACTIONS: Final = (1.0, 0.95, 0.85, 0.7)
"""Part of an endpoint's concurrency that a tier may fill.

The rest is there at once when a higher tier comes; without it a status
read waits until a long review gives its place up."""

OVERCOMMIT_FRACTION: Final = 0.5
"""Part of the concurrency by which a tier may overfill an endpoint.

Only where as many lower requests run there, and only for a request that
could not be in time otherwise."""

SLOW_START_FRACTION: Final = 0.25
"""Part of the concurrency that a newly warm endpoint starts with."""

FIRST_TOKEN_GRACE_SECONDS: Final = 3.0
"""A first token is overdue after its expected time and so many seconds."""

MOVING_AVERAGE_WEIGHT: Final = 0.2
"""Weight of the newest sample in moving averages of speeds and lengths."""

MAX_SLOWDOWN: Final = 20.0
"""Bound of the measured slowdown, so that one sample can't remove it."""

DEFAULT_OUTPUT_TOKENS: Final = 30.0
"""Expected answer tokens of an entry that has not answered yet.

Low, so that no first request is refused for a length that nobody knows."""

AFFINITY_CANDIDATES: Final = 2
"""Endpoints that a prefix may live on; a third copy is prefill wasted."""

RANDOM_CANDIDATES: Final = 2
"""Further endpoints looked at; two of them remove most of the imbalance."""

AFFINITY_BLOCK_INDEX: Final = 7
"""Prefix block that chooses the endpoint, counted from 0.

Earlier blocks are the instructions that all of a workspace's requests
begin with; all of them on one endpoint would overload it."""

RING_POINTS_PER_ENDPOINT: Final = 24
"""Points of a mean endpoint on the ring; the spread is about a fifth."""

MIN_RING_POINTS_PER_ENDPOINT: Final = 4
RING_POINTS_TOTAL: Final = 8192
"""Bounds for large fleets: least points of an endpoint, points in all."""

MAX_REFUSED_FORWARDS: Final = 8
"""Times that instances may say "not run" before the caller is told.

Bounds the hops of a request that no owner can serve in time."""

AVOIDED_INSTANCES: Final = 2
"""Instances that refused last and are not asked again at once."""

UNREPORTED_WAIT_SECONDS: Final = 0.5
"""Seconds taken for the wait at an instance that has not reported."""

COLD_WAIT_SECONDS: Final = 3.0
"""Seconds added to the wait where only cold endpoints are left."""

SUMMARY_MAX_AGE_SECONDS: Final = 2.0
"""An older summary of another instance counts no more."""

URGENT_SLACK_FRACTION: Final = 0.25
"""Part of its slack after which a request counts as urgent."""

PRESSURE_SLACK_FRACTIONS: Final = (0.3, 0.15, 0.12, 1.0)
"""Part of its slack that a tier may wait before lower tiers stop.

The rest is what the lower tiers in progress need to end by themselves: a
review under way lasts nearly as long as a summary may wait. The top tier
always finds the room that is kept for it, so that it needs least."""

FLOOR_HOLD_SECONDS: Final = (0.2, 1.0, 2.0, 0.0)
"""Time without pressure before the tier below this one starts again."""

MAX_FLOOR_HOLD_DOUBLINGS: Final = 2
"""How often that time doubles when pressure comes back soon."""

MAX_QUEUED_REQUESTS: Final = 2000
"""Requests that may wait in one instance; bounds its memory."""

MIN_RETRY_AFTER_SECONDS: Final = 0.5
MAX_RETRY_AFTER_SECONDS: Final = 60.0
"""Bounds of the time to come back, seconds."""

FORWARD_GRACE_SECONDS: Final = 1.0
"""How long after its deadline a forwarded request is given up here."""

MAX_REMEMBERED_ENTRIES: Final = 4096
"""Catalogue entries whose lengths are remembered."""

PREFILL_WEIGHT: Final = 4.0
"""Seconds of waiting that a second of prefill is worth.

Prefill is what saturated engines run out of: prefilling again what
another endpoint holds takes capacity from all who wait."""

DEADLINE_DECODE_FRACTION: Final = 1.0
"""Part of the expected decoding that must fit before the deadline.

Less starts what is cut at its deadline, its prefill in vain; more refuses
what would have been in time."""

MOVE_MIN_WAIT_SECONDS: Final = 0.5
"""A request that waited for so long may go to a less loaded instance."""

MOVE_MIN_SLACK_FRACTION: Final = 0.12
"""It has waited for this part of its slack, too, so that the bounded
number of tries lasts until its deadline."""

MOVE_MAX_WAIT_RATIO: Final = 0.5
"""The wait there must be shorter than this part of the wait here."""

MAX_MOVES_PER_CHECK: Final = 2
"""Requests handed back at one look, so that they do not all move at once
by the same summary."""

COLD_PREFILL_FACTOR: Final = 4.0
"""Times that prefill is taken to be slower in cold start."""

AFFINITY_SLACK_FRACTION: Final = 0.3
"""Part of its slack that a request waits for the endpoint that holds its
prefix, before any other one will do."""

BELOW_FLOOR_RETRY_SECONDS: Final = 5.0
"""Seconds added to the time to come back where a tier does not start."""

RECHECK_SECONDS: Final = 0.25
"""A request that is too late, but must not be shed yet, is looked at
again after so long; the lower tier may have ended by then."""

VIEW_MAX_AGE_SECONDS: Final = 0.05
"""Age at which the sum over all other instances is made anew."""

MAX_DISPATCH_RETRIES: Final = 2
"""Further dispatches after one of which nothing was sent.

An endpoint that refuses each connection would else be asked in a loop."""

WARM_EVIDENCE_SECONDS: Final = 3.0
"""How old evidence of warmth may be for a send without a lease; the length
of a lease, so that both run out in the same pause."""

FIRST_TOKEN_EVIDENCE_SECONDS: Final = 0.5
"""How long a first token proves that an endpoint is as warm as it was; about
the lag of a report, which is seen instead after that."""
