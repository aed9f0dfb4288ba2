"""Limits of workspaces over all instances, without a shared counter.

Each instance counts what it let pass and tells the others its running
total; each charges its own bucket with what all of them let pass.
"""

from citronport.scheduler.direct import buckets as bucket_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import usage

TOLERANCE_SHARE = 0.8
"""Part of the operators' tolerance that is used in a fleet whose instances
hear each other at once.

Totals of other instances are a report late, so that a bucket drained at the
very limit refuses requests that are within it. Erring upwards costs nobody
anything while the sum stays in the tolerance; the rest is for what is let
pass between two reports.
"""

TOLERANCE_SHARE_PER_LAG_SECOND = 0.3
"""Part of the tolerance that is kept back for each second between reports."""

MIN_TOLERANCE_SHARE = 0.5
"""Part of the tolerance that is used however late the reports are."""

MIN_RETRY_SECONDS = 0.1
"""Shortest time to come back, so that a caller does not spin."""

MAX_RETRY_SECONDS = 5.0
"""Longest time to come back; a caller waits for a part of its deadline."""


STARTUP_SECONDS = 2.0
"""How long an instance counts as new: it and the others hear each other
within a report or two, half a second in a fleet of seven."""

MIN_STARTUP_INSTANCES = 8
"""Instances among which a new one divides limits, at least."""

MAJORITY = 0.5
"""Share of the instances above which a part of the fleet is the only one
that is so large."""

MINORITY_SHARE = 0.5
"""Part of its share of a limit that a minority uses.

A majority goes on with the whole limit, since callers leave instances that
the others can't reach. All minorities together are less than half of the
fleet, so that the sum stays below one and a quarter times the limit, which
is what operators tolerate.
"""


class Quotas:
    """Token buckets of all workspaces, as seen by one instance.

    Args:
        over: share beyond a limit that the operators tolerate.
        slack: units beyond a limit that they tolerate besides.
        started: clock time of this instance's start, seconds; by default
            it runs for long.
    """

    def __init__(
        self,
        over: float = 0.0,
        slack: float = 0.0,
        started: float = float("-inf"),
    ) -> None:
        self._over = over
        self._slack = slack
        self._buckets: dict[str, bucket_module.Bucket] = {}
        self._usage = usage.Usage()
        self._started = started

    def admit(
        self,
        workspace: models.Workspace,
        units: float,
        reach: float,
        now: float,
        instances: int = 1,
        lag: float = 0.0,
    ) -> float | None:
        """Let a request pass, or tell when to come back.

        Args:
            workspace: the customer.
            units: what the request counts.
            reach: share of the instances whose totals are fresh, 0 to 1.
            now: clock time, seconds.
            instances: how many there may be.
            lag: time until the others hear of what passes, seconds.

        Returns:
            None if it may pass, else the pause in seconds.
        """
        if workspace.rate <= 0:
            return None
        age = now - self._started
        if age < STARTUP_SECONDS and self._usage.has_no_reports:
            rate, burst = compute_startup_share(workspace, instances)
        else:
            rate, burst = self._compute_share(workspace, reach, lag)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = compute_startup_share(workspace, instances)[1] + age * rate
            bucket = bucket_module.Bucket(min(burst, level), now)
            self._buckets[workspace.name] = bucket
        bucket.refill(rate, burst, lag, now)
        # Load: large requests among many small ones, over the limit. Harm:
        # the small ones take each unit as it comes, and the large ones of
        # the same workspace never find enough. Whoever comes while there
        # is something left may pass; what it takes beyond that is paid by
        # those that come after it.
        needed = min(1.0, units)
        if bucket.level >= needed and bucket.has_local_share(
            instances, lag, now
        ):
            bucket.take(units, lag, now)
            self._usage.add(workspace.name, units)
            return None
        # Load: a workspace far beyond its limit. Harm: refused callers who
        # all hear when the next unit is free come back at once, and all but
        # one are refused again. Each is told a later time than the one
        # before, at the pace at which the limit lets them pass.
        wait = (needed - bucket.level + bucket.reserved) / rate
        bucket.reserved += units
        return min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

    def apply_totals(
        self,
        sender: str,
        incarnation: str,
        totals: usage.Units,
        now: float,
    ) -> None:
        """Charge what another instance has let pass since its last word.

        Args:
            sender: name of the other instance.
            incarnation: of that start of it.
            totals: its running totals by workspace.
            now: clock time, seconds.
        """
        self._charge(
            self._usage.apply_totals(sender, incarnation, totals), now
        )

    def apply_data_centre_totals(
        self,
        data_centre: str,
        envoy: str,
        incarnation: str,
        totals: usage.Units,
        now: float,
    ) -> None:
        """Charge what another data centre has let pass since its last word.

        Args:
            data_centre: whose instances let it pass.
            envoy: the instance there that tells.
            incarnation: of that start of it.
            totals: its ``get_data_centre_totals``.
            now: clock time, seconds.
        """
        passed = self._usage.apply_data_centre_totals(
            data_centre, envoy, incarnation, totals, now
        )
        self._charge(passed, now)

    def get_totals(self) -> usage.Units:
        """Return what this instance has let pass, by workspace."""
        return self._usage.get_own_totals()

    def get_data_centre_totals(self) -> usage.Units:
        """Return what its data centre has let pass, by workspace."""
        return self._usage.get_data_centre_totals()

    def _charge(self, passed: usage.Units, now: float) -> None:
        for name, units in passed.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= units
                bucket.record_usage(max(0.0, units), now)

    def refund(self, workspace: models.Workspace, units: float) -> None:
        """Undo an admission whose request was refused and has not run.

        Load: full endpoints. Harm: callers that are told to come back
        would find their limit spent on requests that nobody ran.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is None or workspace.rate <= 0:
            return
        bucket.level += units
        self._usage.add(workspace.name, -units)

    def _compute_share(
        self, workspace: models.Workspace, reach: float, lag: float
    ) -> tuple[float, float]:
        """Return the rate and burst that this instance may count on.

        Load: one workspace at many times its limit while instances can
        not hear each other. Harm: each part of the fleet would let the
        whole limit pass. Only one part can be a majority; it leaves to
        the others what these may use, and so keeps most of the tolerance
        while a single instance is away. The others keep to a part of
        their share.
        """
        if reach > MAJORITY:
            used = max(
                MIN_TOLERANCE_SHARE,
                TOLERANCE_SHARE - TOLERANCE_SHARE_PER_LAG_SECOND * lag,
            )
            others = (1.0 - reach) * MINORITY_SHARE
            over = max(1.0, 1.0 + self._over * used - others)
            slack = self._slack * used
        else:
            over, slack = reach * MINORITY_SHARE, 0.0
        return workspace.rate * over, workspace.burst * over + slack


def compute_startup_share(
    workspace: models.Workspace, instances: int
) -> tuple[float, float]:
    """Return the rate and burst of an instance that has just started.

    Load: all instances are killed and start again while one workspace is
    far beyond its limit. Harm: they forget what they let pass, and until
    they hear of each other each of them hands out a whole burst more. Each
    begins with its part of a burst, and keeps to its part of the rate
    until it hears another one.
    """
    share = 1.0 / max(MIN_STARTUP_INSTANCES, instances)
    return workspace.rate * share, workspace.burst * share
