"""The token bucket of one workspace, as one of many instances keeps it."""

import dataclasses
import math

SKEW_FACTOR = 1.25
"""How much more than its part of what is left of a limit an instance lets
pass before the others hear of it: callers draw instances by chance, so that
one gets more of a workspace's requests than another for a while."""

USAGE_HALF_LIFE_SECONDS = 4.0
"""Time in which half of what passed is forgotten: longer than a debt that
keeps a flood out, after which it would come in as one again."""

USAGE_MARGIN = 2.0
"""How much more than of late may pass until the next report."""

MAX_DEBT_REPORTS = 6.0
"""Deepest debt of a bucket, in reports' worth of its rate, or a burst if
that is more. A flood that came in between two reports is paid back; a long
request in a fleet of fresh reports locks nobody out for seconds."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """What is left of a limit.

    Attributes:
        level: units; below 0 while a debt is paid back.
        at: clock time of the level, seconds.
        promised: units of callers that were told when to come back.
        recent: units let pass here that others can't have heard of yet.
        recent_until: clock time until which that holds, seconds.
        flow: units that all instances let pass of late, older ones
            counting less.
        flow_at: clock time of the flow, seconds.
    """

    level: float
    refilled_at: float
    reserved: float = 0.0
    unreported: float = 0.0
    unreported_until: float = 0.0
    recent_usage: float = 0.0
    recent_usage_at: float = 0.0

    def refill(
        self, rate: float, burst: float, lag: float, now: float
    ) -> None:
        """Add what has come since the last look.

        Args:
            rate: units a second.
            burst: highest level.
            lag: time until the others hear of what passes, seconds.
            now: clock time, seconds.
        """
        gained = max(0.0, now - self.refilled_at) * rate
        deepest = -max(burst, MAX_DEBT_REPORTS * lag * rate)
        self.level = max(deepest, min(burst, self.level + gained))
        self.reserved = max(0.0, self.reserved - gained)
        self.refilled_at = now

    def take(self, units: float, lag: float, now: float) -> None:
        """Let units pass here."""
        if now >= self.unreported_until:
            self.unreported = 0.0
            self.unreported_until = now + lag
        self.unreported += units
        self.record_usage(units, now)
        self.level -= units
        self.reserved = max(0.0, self.reserved - units)

    def has_local_share(self, instances: int, lag: float, now: float) -> bool:
        """Return whether this instance has not let pass its part for now.

        Load: a workspace at many times its limit in a fleet whose reports
        are a second old. Harm: each instance sees the same units left and
        hands them out; together they let pass many times what is there.
        Parts count only where less is left than passes until the next
        report, as callers do not come to instances in equal parts. The
        size of the request does not matter, as for the limit itself.
        """
        if now >= self.unreported_until:
            return True
        if self.level >= USAGE_MARGIN * self._compute_usage_rate(now) * lag:
            return True
        left = self.level + self.unreported
        return self.unreported <= SKEW_FACTOR * left / instances

    def record_usage(self, units: float, now: float) -> None:
        """Count units that passed somewhere."""
        self.recent_usage = self._compute_recent_usage(now) + units
        self.recent_usage_at = now

    def _compute_usage_rate(self, now: float) -> float:
        """Return the units that pass a second, of late."""
        return (
            math.log(2)
            / USAGE_HALF_LIFE_SECONDS
            * self._compute_recent_usage(now)
        )

    def _compute_recent_usage(self, now: float) -> float:
        age = max(0.0, now - self.recent_usage_at)
        return self.recent_usage * 0.5 ** (age / USAGE_HALF_LIFE_SECONDS)
