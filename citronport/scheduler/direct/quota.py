"""Limits of workspaces over all instances, without a shared counter.

Each instance counts what it let pass and tells the others its running
total; each charges its own bucket with what all of them let pass.
"""

import dataclasses
import math

from citronport.scheduler.direct import models

TOLERANCE_SHARE = 0.8
"""Part of the operators' tolerance that is used in a fleet whose instances
hear each other at once.

Totals of other instances are a report late, so that a bucket drained at the
very limit refuses requests that are within it. Erring upwards costs nobody
anything while the sum stays in the tolerance; the rest is for what is let
pass between two reports.
"""

LAG_SHARE = 0.3
"""Part of the tolerance that is kept back for each second between reports."""

MIN_TOLERANCE_SHARE = 0.5
"""Part of the tolerance that is used however late the reports are."""

RETRY_FLOOR_SECONDS = 0.1
"""Shortest time to come back, so that a caller does not spin."""

RETRY_CEILING_SECONDS = 5.0
"""Longest time to come back; a caller waits for a part of its deadline."""


NEW_SECONDS = 2.0
"""How long an instance counts as new: it and the others hear each other
within a report or two, half a second in a fleet of seven."""

NEW_INSTANCES = 8
"""Instances among which a new one divides limits, at least."""

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


@dataclasses.dataclass(slots=True)
class _Heard:
    incarnation: str
    totals: dict[str, float]


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    at: float
    promised: float = 0.0
    # What this instance has let pass that others can't have heard of yet.
    recent: float = 0.0
    recent_until: float = 0.0
    # What all instances have let pass of late, older units counting less.
    flow: float = 0.0
    flow_at: float = 0.0

    def note_flow(self, units: float, now: float) -> None:
        """Count units that passed somewhere."""
        self.flow = self._compute_sum(now) + units
        self.flow_at = now

    def compute_flow(self, now: float) -> float:
        """Return the units that pass a second, of late."""
        return math.log(2) / FLOW_SECONDS * self._compute_sum(now)

    def _compute_sum(self, now: float) -> float:
        age = max(0.0, now - self.flow_at)
        return self.flow * 0.5 ** (age / FLOW_SECONDS)


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
        self._buckets: dict[str, _Bucket] = {}
        self._totals: dict[str, float] = {}
        self._heard: dict[str, _Heard] = {}
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
        if age < NEW_SECONDS and not self._heard:
            rate, burst = divide(workspace, instances)
        else:
            rate, burst = self._share(workspace, reach, lag)
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = divide(workspace, instances)[1] + age * rate
            bucket = _Bucket(min(burst, level), now)
            self._buckets[workspace.name] = bucket
        _refill(bucket, rate, burst, lag, now)
        # Load: large requests among many small ones, over the limit. Harm:
        # the small ones take each unit as it comes, and the large ones of
        # the same workspace never find enough. Whoever comes while there
        # is something left may pass; what it takes beyond that is paid by
        # those that come after it.
        needed = min(1.0, units)
        if bucket.level >= needed and _has_part(bucket, instances, lag, now):
            _note_recent(bucket, units, lag, now)
            bucket.note_flow(units, now)
            bucket.level -= units
            bucket.promised = max(0.0, bucket.promised - units)
            name = workspace.name
            self._totals[name] = self._totals.get(name, 0.0) + units
            return None
        # Load: a workspace far beyond its limit. Harm: refused callers who
        # all hear when the next unit is free come back at once, and all but
        # one are refused again. Each is told a later time than the one
        # before, at the pace at which the limit lets them pass.
        wait = (needed - bucket.level + bucket.promised) / rate
        bucket.promised += units
        return min(max(wait, RETRY_FLOOR_SECONDS), RETRY_CEILING_SECONDS)

    def hear(
        self,
        sender: str,
        incarnation: str,
        totals: dict[str, float],
        now: float,
    ) -> None:
        """Charge what another instance has let pass since its last word.

        Load: an instance that has just started, among others that run for
        long. Harm: charged with all that they ever let pass, it refuses
        every workspace for as long as a burst takes to come back. The
        first word of an instance only tells where its totals stand; one
        that is known and has started anew counts from nothing.

        Args:
            sender: name of the other instance.
            incarnation: of that start of it.
            totals: its running totals by workspace.
            now: clock time, seconds.
        """
        heard = self._heard.get(sender)
        if heard is None:
            self._heard[sender] = _Heard(incarnation, dict(totals))
            return
        if heard.incarnation != incarnation:
            heard.incarnation = incarnation
            heard.totals.clear()
        for name, total in totals.items():
            # A total falls where a request was refused after all.
            known = heard.totals.get(name, 0.0)
            heard.totals[name] = total
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.level -= total - known
                bucket.note_flow(max(0.0, total - known), now)

    def give_back(self, workspace: models.Workspace, units: float) -> None:
        """Undo an admission whose request was refused and has not run.

        Load: full endpoints. Harm: callers that are told to come back
        would find their limit spent on requests that nobody ran.
        """
        bucket = self._buckets.get(workspace.name)
        if bucket is None or workspace.rate <= 0:
            return
        bucket.level += units
        self._totals[workspace.name] -= units

    def get_totals(self) -> dict[str, float]:
        """Return what this instance has let pass, by workspace."""
        return self._totals

    def _share(
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
            used = max(MIN_TOLERANCE_SHARE, TOLERANCE_SHARE - LAG_SHARE * lag)
            others = (1.0 - reach) * MINORITY_SHARE
            over = max(1.0, 1.0 + self._over * used - others)
            slack = self._slack * used
        else:
            over, slack = reach * MINORITY_SHARE, 0.0
        return workspace.rate * over, workspace.burst * over + slack


def _refill(
    bucket: _Bucket, rate: float, burst: float, lag: float, now: float
) -> None:
    gained = max(0.0, now - bucket.at) * rate
    deepest = -max(burst, DEBT_REPORTS * lag * rate)
    bucket.level = max(deepest, min(burst, bucket.level + gained))
    bucket.promised = max(0.0, bucket.promised - gained)
    bucket.at = now


def _has_part(bucket: _Bucket, instances: int, lag: float, now: float) -> bool:
    """Return whether this instance has not yet let pass its part for now.

    Load: a workspace at many times its limit in a fleet whose reports are
    a second old. Harm: each instance sees the same units left and hands
    them out; together they let pass many times what is there. Parts count
    only where less is left than passes until the next report, as callers
    do not come to instances in equal parts. The size of the request does
    not matter, as for the limit itself.
    """
    if now >= bucket.recent_until:
        return True
    if bucket.level >= FLOW_MARGIN * bucket.compute_flow(now) * lag:
        return True
    left = bucket.level + bucket.recent
    return bucket.recent <= SPREAD * left / instances


def _note_recent(
    bucket: _Bucket, units: float, lag: float, now: float
) -> None:
    if now >= bucket.recent_until:
        bucket.recent = 0.0
        bucket.recent_until = now + lag
    bucket.recent += units


def divide(workspace: models.Workspace, instances: int) -> tuple[float, float]:
    """Return the rate and burst of an instance that has just started.

    Load: all instances are killed and start again while one workspace is
    far beyond its limit. Harm: they forget what they let pass, and until
    they hear of each other each of them hands out a whole burst more. Each
    begins with its part of a burst, and keeps to its part of the rate
    until it hears another one.
    """
    share = 1.0 / max(NEW_INSTANCES, instances)
    return workspace.rate * share, workspace.burst * share
