"""Token bucket of one workspace, replicated on each instance."""

import dataclasses
import math

SKEW_FACTOR = 1.25
"""By how much an instance may exceed its share of the remaining units before
its next report. Callers choose instances at random, so that for a while one
gets more of a workspace's requests than another."""

USAGE_HALF_LIFE_SECONDS = 4.0
"""Half-life of the recent usage. Longer than it takes to pay back the debt of
a flood. Otherwise the usage would have decayed by then, instances would not
be held to their shares, and all would admit the flood again at once."""

USAGE_MARGIN = 2.0
"""Factor by which usage may exceed the recent rate until the next report."""

MAX_DEBT_REPORTS = 6.0
"""Largest debt, as a multiple of the units that the rate allows between two
reports; a burst if that is more. Enough to charge a flood between two
reports, while a long request does not block a workspace for seconds if
reports are frequent."""


@dataclasses.dataclass(slots=True)
class Bucket:
    """Token bucket that may go into debt.

    Attributes:
        level: units left; below 0 while a debt is paid back.
        refilled_at: clock time of the level, seconds.
        reserved: units of refused requests whose callers got a retry delay.
        unreported: units admitted here that other instances do not know yet.
        unreported_until: clock time at which they know them, seconds.
        recent_usage: units admitted by all instances, with exponential
            decay.
        recent_usage_at: clock time of the recent usage, seconds.
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
        """Add the units since the last refill.

        Args:
            rate: units per second.
            burst: highest level.
            lag: time until other instances learn of usage here, seconds.
            now: clock time, seconds.
        """
        gained = max(0.0, now - self.refilled_at) * rate
        min_level = -max(burst, MAX_DEBT_REPORTS * lag * rate)
        self.level = max(min_level, min(burst, self.level + gained))
        self.reserved = max(0.0, self.reserved - gained)
        self.refilled_at = now

    def take(self, units: float, lag: float, now: float) -> None:
        """Take units that are admitted here."""
        if now >= self.unreported_until:
            self.unreported = 0.0
            self.unreported_until = now + lag
        self.unreported += units
        self.record_usage(units, now)
        self.level -= units
        self.reserved = max(0.0, self.reserved - units)

    def refund(self, units: float) -> None:
        """Return units that were taken for a request that did not run."""
        self.level += units
        self.unreported = max(0.0, self.unreported - units)

    def has_local_share(
        self,
        instances: int,
        lag: float,
        now: float,
        *,
        is_usage_known: bool = True,
    ) -> bool:
        """Return whether this instance may use more of the remaining units.

        Guards against instances that all use the same remaining units:
        with reports that are a second old, they would admit a multiple of
        what is left for a workspace at many times its limit. Shares apply
        only if less is left than is used until the next report, since
        callers do not spread evenly over instances. As for the limit itself,
        the size of the request does not matter.

        Args:
            instances: number of instances that share the limit.
            lag: time until other instances learn of usage here, seconds.
            now: clock time, seconds.
            is_usage_known: whether the recent usage includes that of others;
                otherwise the share always applies.
        """
        if now >= self.unreported_until:
            return True
        usage = USAGE_MARGIN * self._compute_usage_rate(now) * lag
        if is_usage_known and self.level >= usage:
            return True
        remaining = self.level + self.unreported
        return self.unreported <= SKEW_FACTOR * remaining / instances

    def record_usage(self, units: float, now: float) -> None:
        """Add units admitted on any instance to the recent usage."""
        self.recent_usage = self._compute_recent_usage(now) + units
        self.recent_usage_at = now

    def _compute_usage_rate(self, now: float) -> float:
        """Return the recent rate of all instances, units per second."""
        return (
            math.log(2)
            / USAGE_HALF_LIFE_SECONDS
            * self._compute_recent_usage(now)
        )

    def _compute_recent_usage(self, now: float) -> float:
        age = max(0.0, now - self.recent_usage_at)
        return self.recent_usage * 0.5 ** (age / USAGE_HALF_LIFE_SECONDS)
