"""Fleet-wide rate limits of workspaces, without a shared counter.

Each instance counts the units that it admits and reports its running totals
to the others. Each charges its own buckets with the usage of all instances.
"""

import collections.abc

from citronport.scheduler.direct import buckets as bucket_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import row_budget
from citronport.scheduler.direct import usage

TOLERANCE_SHARE = 0.8
"""Share of the operators' tolerance that is used if reports have no delay.

Totals of other instances are one report late, so that buckets enforcing the
exact limit would refuse requests within it. Admitting more is harmless as
long as the sum stays within the tolerance; the rest is for the units admitted
between two reports.
"""

TOLERANCE_SHARE_PER_LAG_SECOND = 0.3
"""Share of the tolerance that is held back per second between reports."""

MIN_TOLERANCE_SHARE = 0.5
"""Share of the tolerance that is used regardless of the reports' delay."""

MIN_RETRY_SECONDS = 0.1
"""Shortest retry delay, so that callers do not busy-loop."""

MAX_RETRY_SECONDS = 5.0
"""Longest retry delay; callers wait for only a part of their deadline."""

STARTUP_SECONDS = 2.0
"""How long an instance counts as new. It gets the totals of the others within
one or two reports, which is half a second in a fleet of seven."""

MIN_STARTUP_INSTANCES = 8
"""Smallest number of instances among which a new one divides limits."""

STARTUP_GROWTH_FACTOR = 2
"""Number of instances that a new one assumes, as a multiple of those that it
knows: if all have started at once, it does not know most of them yet."""

STARTUP_LAG_SECONDS = 0.5
"""Smallest report delay that a new instance assumes, since it knows only a
part of a large fleet."""

MAJORITY = 0.5
"""Share of the instances above which a partition is the majority; there is
at most one such partition."""

MINORITY_SHARE = 0.5
"""Share of its proportional part of a limit that a minority uses.

The majority continues with the full limit, since callers leave instances
that the others can't reach. All minorities together are less than half of the
fleet, so that the sum stays below one and a quarter times the limit, which is
what operators tolerate.
"""


class Quotas:
    """Token buckets of all workspaces, as seen by one instance.

    Args:
        over: tolerated excess over a limit, as a share of it.
        slack: units that are tolerated in addition.
        started: clock time of this instance's start, seconds; in the
            distant past by default.
        budget: limits the rows of other instances.
    """

    def __init__(
        self,
        over: float = 0.0,
        slack: float = 0.0,
        started: float = float("-inf"),
        budget: row_budget.RowBudget | None = None,
    ) -> None:
        self._over = over
        self._slack = slack
        self._buckets: dict[str, bucket_module.Bucket] = {}
        # Units that other instances admitted, by workspace, until this new
        # instance creates the workspace's bucket.
        self._usage_without_bucket: usage.Units = {}
        self._usage = usage.Usage(budget)
        self._started = started
        # Whether this instance started while the others ran on.
        self._joined_fleet = False

    def admit(
        self,
        workspace: models.Workspace,
        units: float,
        reach: float,
        now: float,
        instances: int = 1,
        lag: float = 0.0,
    ) -> float | None:
        """Admit a request, or return when to retry.

        Args:
            workspace: workspace of the request.
            units: units of the request.
            reach: share of the instances with fresh totals, 0 to 1.
            now: clock time, seconds.
            instances: upper bound of the number of instances.
            lag: time until other instances learn of usage here, seconds.

        Returns:
            None if the request is admitted, else the retry delay in seconds.
        """
        if workspace.rate <= 0:
            return None
        age = now - self._started
        is_new = age < STARTUP_SECONDS and not self._joined_fleet
        if is_new:
            lag = max(lag, STARTUP_LAG_SECONDS)
            instances = max(
                STARTUP_GROWTH_FACTOR * instances, MIN_STARTUP_INSTANCES
            )
        rate, burst = self._compute_share(workspace, reach, lag)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            bucket = self._make_bucket(workspace, burst, instances, now)
            self._buckets[workspace.name] = bucket
        bucket.refill(rate, burst, lag, now)
        # A request is admitted if any units are left, and later requests pay
        # back what it takes beyond that. Otherwise, over the limit, small
        # requests would take each unit as it comes, and large ones of the
        # same workspace would never find enough.
        needed = min(1.0, units)
        if bucket.level >= needed and bucket.has_local_share(
            instances, lag, now, is_usage_known=not is_new
        ):
            bucket.take(units, lag, now)
            self._usage.add(workspace.name, units)
            return None
        # Refused callers get staggered retry delays, at the rate of the
        # limit. If all got the time of the next free unit, they would return
        # at the same time and all but one would be refused again.
        wait = (needed - bucket.level + bucket.reserved) / rate
        bucket.reserved += units
        return min(max(wait, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)

    def apply_totals(
        self,
        sender: str,
        incarnation: str,
        totals: usage.Units,
        now: float,
        up_seconds: float = float("inf"),
    ) -> None:
        """Charge the usage of another instance since its last report.

        Args:
            sender: name of the other instance.
            incarnation: id of its current start.
            totals: its running totals by workspace.
            now: clock time, seconds.
            up_seconds: time since its start.
        """
        self._record_age(up_seconds, now)
        increase = self._usage.apply_totals(
            sender, incarnation, totals, is_new=up_seconds < STARTUP_SECONDS
        )
        self._charge(increase, now)

    def apply_data_centre_totals(
        self,
        data_centre: str,
        envoy: str,
        incarnation: str,
        totals: usage.Units,
        now: float,
        up_seconds: float = float("inf"),
    ) -> None:
        """Charge the usage of another data centre since its last summary.

        Args:
            data_centre: name of the other data centre.
            envoy: the instance that reports for it.
            incarnation: id of the envoy's current start.
            totals: the envoy's ``get_data_centre_totals``.
            now: clock time, seconds.
            up_seconds: time since the envoy's start.
        """
        self._record_age(up_seconds, now)
        increase = self._usage.apply_data_centre_totals(
            data_centre,
            envoy,
            incarnation,
            totals,
            now,
            is_new=up_seconds < STARTUP_SECONDS,
        )
        self._charge(increase, now)

    def get_totals(self) -> usage.Units:
        """Return the units admitted by this instance, by workspace."""
        return self._usage.get_own_totals()

    def get_data_centre_totals(self) -> usage.Units:
        """Return the units admitted in its data centre, by workspace."""
        return self._usage.get_data_centre_totals()

    def retain(self, senders: collections.abc.Container[str]) -> None:
        """Forget the totals of all other senders, which are gone."""
        self._usage.retain(senders)

    def _make_bucket(
        self,
        workspace: models.Workspace,
        burst: float,
        instances: int,
        now: float,
    ) -> bucket_module.Bucket:
        """Return a bucket with what may be left of a limit.

        What operators tolerate beyond the burst may have been used up by a
        flood before a restart of all instances. In a fleet that has run on,
        the debt of a workspace is not known here, and only a part of the
        burst keeps a restart from giving it a second one.
        """
        used = self._usage_without_bucket.pop(workspace.name, 0.0)
        is_old = now - self._started >= STARTUP_SECONDS
        if is_old and not used:
            return bucket_module.Bucket(burst, now)
        if self._joined_fleet:
            share = 1.0 / max(MIN_STARTUP_INSTANCES, instances)
            level = workspace.burst * share - used
            return bucket_module.Bucket(level, self._started)
        since = self._started if used else now
        return bucket_module.Bucket(workspace.burst - used, since)

    def _record_age(self, up_seconds: float, now: float) -> None:
        """Record how long another instance has run, while this one is new."""
        if now - self._started < STARTUP_SECONDS <= up_seconds:
            self._joined_fleet = True

    def _charge(self, increase: usage.Units, now: float) -> None:
        for name, units in increase.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= units
                bucket.record_usage(max(0.0, units), now)
            elif (
                now - self._started < STARTUP_SECONDS
                and len(self._usage_without_bucket) < usage.MAX_WORKSPACES
            ):
                early = self._usage_without_bucket.get(name, 0.0)
                self._usage_without_bucket[name] = early + units

    def refund(self, workspace: models.Workspace, units: float) -> None:
        """Undo the admission of a request that was refused and has not run.

        Otherwise callers that retry because endpoints were full would find
        their limit spent on requests that were never run.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is None or workspace.rate <= 0:
            return
        bucket.refund(units)
        self._usage.add(workspace.name, -units)

    def _compute_share(
        self, workspace: models.Workspace, reach: float, lag: float
    ) -> tuple[float, float]:
        """Return the rate and burst that this instance may use.

        Keeps the sum within the tolerance during a network partition, when
        each partition would otherwise admit the full limit. The majority
        reserves what the minorities may use, and so keeps most of the
        tolerance if a single instance is unreachable. A minority uses only a
        share of its proportional part.
        """
        if reach > MAJORITY:
            tolerance_share = max(
                MIN_TOLERANCE_SHARE,
                TOLERANCE_SHARE - TOLERANCE_SHARE_PER_LAG_SECOND * lag,
            )
            minority_share = (1.0 - reach) * MINORITY_SHARE
            factor = max(
                1.0, 1.0 + self._over * tolerance_share - minority_share
            )
            slack = self._slack * tolerance_share
        else:
            factor, slack = reach * MINORITY_SHARE, 0.0
        return workspace.rate * factor, workspace.burst * factor + slack
