"""The token bucket of one workspace, as one of many instances keeps it."""

import dataclasses
import math

SPREAD = 1.25
"""How much more than its part of what is left of a limit an instance lets
pass before the others hear of it: callers draw instances by chance, so that
one gets more of a workspace's requests than another for a while."""

FLOW_SECONDS = 4.0
"""Time in which half of what passed is forgotten: longer than a debt that
keeps a flood out, after which it would come in as one again."""

FLOW_MARGIN = 2.0
"""How much more than of late may pass until the next report."""

DEBT_REPORTS = 6.0
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
    at: float
    promised: float = 0.0
    recent: float = 0.0
    recent_until: float = 0.0
    flow: float = 0.0
    flow_at: float = 0.0

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
        gained = max(0.0, now - self.at) * rate
        deepest = -max(burst, DEBT_REPORTS * lag * rate)
        self.level = max(deepest, min(burst, self.level + gained))
        self.promised = max(0.0, self.promised - gained)
        self.at = now

    def take(self, units: float, lag: float, now: float) -> None:
        """Let units pass here."""
        if now >= self.recent_until:
            self.recent = 0.0
            self.recent_until = now + lag
        self.recent += units
        self.note_flow(units, now)
        self.level -= units
        self.promised = max(0.0, self.promised - units)

    def has_part(self, instances: int, lag: float, now: float) -> bool:
        """Return whether this instance has not let pass its part for now.

        Load: a workspace at many times its limit in a fleet whose reports
        are a second old. Harm: each instance sees the same units left and
        hands them out; together they let pass many times what is there.
        Parts count only where less is left than passes until the next
        report, as callers do not come to instances in equal parts. The
        size of the request does not matter, as for the limit itself.
        """
        if now >= self.recent_until:
            return True
        if self.level >= FLOW_MARGIN * self._compute_flow(now) * lag:
            return True
        left = self.level + self.recent
        return self.recent <= SPREAD * left / instances

    def note_flow(self, units: float, now: float) -> None:
        """Count units that passed somewhere."""
        self.flow = self._compute_sum(now) + units
        self.flow_at = now

    def _compute_flow(self, now: float) -> float:
        """Return the units that pass a second, of late."""
        return math.log(2) / FLOW_SECONDS * self._compute_sum(now)

    def _compute_sum(self, now: float) -> float:
        age = max(0.0, now - self.flow_at)
        return self.flow * 0.5 ** (age / FLOW_SECONDS)
