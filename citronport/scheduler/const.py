"""Constants of the decisions, each with its reason."""

from typing import Final

BACKLOG_SECONDS: Final = (2.0, 1.0, 0.5, 0.3)
"""Prefill that may lie ahead of a new request at an endpoint, by tier.

An endpoint prefills in the order of arrival, whatever the tier: what a
lower tier has piled up there is what a higher tier waits for."""

ROOM: Final = (1.0, 0.95, 0.85, 0.7)
"""Part of an endpoint's concurrency that a tier may fill.

The rest is there at once when a higher tier comes; without it a status
read waits until a long review gives its place up."""

OVERCOMMIT: Final = 0.5
"""Part of the concurrency by which a tier may overfill an endpoint.

Only where as many lower requests run there, and only for a request that
could not be in time otherwise."""

SLOW_START: Final = 0.25
"""Part of the concurrency that a newly warm endpoint starts with."""

FIRST_TOKEN_SLACK: Final = 3.0
"""A first token is overdue after its expected time and so many seconds."""

SPEED_GAIN: Final = 0.2
"""Weight of the newest sample in moving averages of speeds and lengths."""

SLOWEST: Final = 20.0
"""Bound of the measured slowdown, so that one sample can't remove it."""

DEFAULT_OUTPUT: Final = 30.0
"""Expected answer tokens of an entry that has not answered yet.

Low, so that no first request is refused for a length that nobody knows."""

AFFINE_CANDIDATES: Final = 2
"""Endpoints that a prefix may live on; a third copy is prefill wasted."""

RANDOM_CANDIDATES: Final = 2
"""Further endpoints looked at; two of them remove most of the imbalance."""

AFFINITY_BLOCK: Final = 7
"""Prefix block that chooses the endpoint, counted from 0.

Earlier blocks are the instructions that all of a workspace's requests
begin with; all of them on one endpoint would overload it."""

RING_POINTS: Final = 24
"""Points of a mean endpoint on the ring; the spread is about a fifth."""

RING_FEWEST: Final = 4
RING_TOTAL: Final = 8192
"""Bounds for large fleets: least points of an endpoint, points in all."""

TRIES: Final = 8
"""Times that instances may say "not run" before the caller is told.

Bounds the hops of a request that no owner can serve in time."""

AVOIDED: Final = 2
"""Instances that refused last and are not asked again at once."""

UNKNOWN_WAIT: Final = 0.5
"""Seconds taken for the wait at an instance that has not reported."""

COLD_WAIT: Final = 3.0
"""Seconds added to the wait where only cold endpoints are left."""

SUMMARY_SECONDS: Final = 2.0
"""An older summary of another instance counts no more."""

PRESSURE: Final = 0.25
"""Part of its slack after which a request counts as urgent."""

FLOOR_PRESSURE: Final = (0.3, 0.15, 0.12, 1.0)
"""Part of its slack that a tier may wait before lower tiers stop.

The rest is what the lower tiers in progress need to end by themselves: a
review under way lasts nearly as long as a summary may wait. The top tier
always finds the room that is kept for it, so that it needs least."""

HOLD_SECONDS: Final = (0.2, 1.0, 2.0, 0.0)
"""Time without pressure before the tier below this one starts again."""

HOLD_DOUBLINGS: Final = 2
"""How often that time doubles when pressure comes back soon."""

MAX_QUEUED: Final = 2000
"""Requests that may wait in one instance; bounds its memory."""

RETRY_SHORTEST: Final = 0.5
RETRY_LONGEST: Final = 60.0
"""Bounds of the time to come back, seconds."""

OVERDUE_SECONDS: Final = 1.0
"""How long after its deadline a forwarded request is given up here."""

MEMORY_ENTRIES: Final = 4096
"""Catalogue entries whose lengths are remembered."""

PREFILL_WEIGHT: Final = 4.0
"""Seconds of waiting that a second of prefill is worth.

Prefill is what saturated engines run out of: prefilling again what
another endpoint holds takes capacity from all who wait."""

LATE: Final = 1.0
"""Part of the expected decoding that must fit before the deadline.

Less starts what is cut at its deadline, its prefill in vain; more refuses
what would have been in time."""

MOVE_SECONDS: Final = 0.5
"""A request that waited for so long may go to a less loaded instance."""

MOVE_PART: Final = 0.12
"""It has waited for this part of its slack, too, so that the bounded
number of tries lasts until its deadline."""

MOVE_GAIN: Final = 0.5
"""The wait there must be shorter than this part of the wait here."""

MOVES: Final = 2
"""Requests handed back at one look, so that they do not all move at once
by the same summary."""

COLD_FACTOR: Final = 4.0
"""Times that prefill is taken to be slower in cold start."""

PATIENCE: Final = 0.3
"""Part of its slack that a request waits for the endpoint that holds its
prefix, before any other one will do."""

RETRY_FLOORED: Final = 5.0
"""Seconds added to the time to come back where a tier does not start."""

LOOK_SECONDS: Final = 0.25
"""A request that is too late, but must not be shed yet, is looked at
again after so long; the lower tier may have ended by then."""

VIEW_SECONDS: Final = 0.05
"""Age at which the sum over all other instances is made anew."""

RETRIES: Final = 2
"""Further dispatches after one of which nothing was sent.

An endpoint that refuses each connection would else be asked in a loop."""

SHOWN_SECONDS: Final = 3.0
"""How old evidence of warmth may be for a send without a lease; the length
of a lease, so that both run out in the same pause."""

PROOF_SECONDS: Final = 0.5
"""How long a first token proves that an endpoint is as warm as it was; about
the lag of a report, which is seen instead after that."""
