"""Retry budgets: limits on sending requests to further endpoints."""

import collections
import dataclasses

WINDOW_SECONDS = 10.0
"""Default window in which sends are counted."""

SETTLING_SECONDS = 5.0
"""Time beyond the window for which an instance counts as new. Until then some
of the others may still divide the fixed budget among fewer instances."""

SAFETY_FACTOR = 0.75
"""Share of the configured budget that is used.

The bound applies to sliding windows over sends as endpoints see them, which
are off by a few hundred milliseconds from the windows here.
"""

NEW_INSTANCES_SHARE = 0.25
"""Share of the used budget that is added for new instances, all together.

The retries of a process that was killed still count, but no instance knows
their number: it may have used up its whole share just before.
"""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fleet:
    """The instances that share a budget, as one of them knows them.

    Attributes:
        instances: upper bound of their number; infinite if unknown.
        new_share: share of the instances in reach that are new, 0 to 1.
    """

    instances: float
    new_share: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """Whether a retry is allowed, and what that rests on.

    Attributes:
        allowed: whether the retry is allowed.
        first_sends: first sends in the window.
        retries: other retries that are allowed or were sent in the window.
        limit: number of retries that are allowed in the window.
        known_seconds: time since which all sends are known.
    """

    allowed: bool
    first_sends: int
    retries: int
    limit: float
    known_seconds: float


class RetryBudget:
    """Retry budget of one service on this instance.

    Retries add load to a service whose endpoints already fail or refuse
    requests. Their number per window is limited to a ratio of the first sends
    plus a fixed budget that is divided among the instances.

    A retry counts from the decision until a window after its send, however
    long it waits in between, so that those allowed earlier do not arrive
    beside those allowed at the time.

    Args:
        ratio: retries per first send.
        extra: additional retries per window, over all instances.
        window: length of the window, seconds.
        started: clock time from which on all sends are counted, seconds; in
            the distant past by default.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window: float = WINDOW_SECONDS,
        started: float = float("-inf"),
    ) -> None:
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra * SAFETY_FACTOR
        self._window = window
        self._started = started
        self._first_sends: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()
        self._unsent = 0

    def update(
        self, ratio: float, extra: float, window: float, now: float
    ) -> None:
        """Use a new configuration; what was sent still counts.

        Args:
            ratio: retries per first send.
            extra: additional retries per window, over all instances.
            window: length of the window, seconds.
            now: clock time, seconds.
        """
        if window > self._window:
            # Earlier sends are no longer known.
            self._started = max(self._started, now - self._window)
        self._ratio = ratio * SAFETY_FACTOR
        self._extra = extra * SAFETY_FACTOR
        self._window = window

    def record_first(self, now: float) -> None:
        """Count the first send of a request."""
        self._first_sends.append(now)
        self._trim(now)

    def take(self, fleet: Fleet, now: float) -> Decision:
        """Take a retry from the budget if one is left.

        Each one that is allowed must be passed to ``record_sent`` or to
        ``give_back``.

        Args:
            fleet: the instances that share the budget.
            now: clock time, seconds.
        """
        self._trim(now)
        retries = len(self._retries) + self._unsent
        limit = self._compute_limit(fleet, now)
        allowed = retries + 1 <= limit
        self._unsent += allowed
        return Decision(
            allowed=allowed,
            first_sends=len(self._first_sends),
            retries=retries,
            limit=limit,
            known_seconds=now - self._started,
        )

    def record_sent(self, now: float) -> None:
        """Record that an allowed retry is sent now, or has been sent."""
        self._unsent -= 1
        self._retries.append(now)
        self._trim(now)

    def give_back(self) -> None:
        """Return an allowed retry that is not sent."""
        self._unsent -= 1

    def _compute_limit(self, fleet: Fleet, now: float) -> float:
        share = self._extra / fleet.instances
        earned = self._ratio * len(self._first_sends)
        age = now - self._started
        settled_age = self._window + SETTLING_SECONDS
        if age >= settled_age:
            return share + earned
        # The fixed part grows from zero, so that an instance that is killed
        # again and again does not get a full one at each start.
        factor = NEW_INSTANCES_SHARE / max(
            NEW_INSTANCES_SHARE, fleet.new_share
        )
        return factor * (share * age / settled_age + earned)

    def _trim(self, now: float) -> None:
        for times in (self._first_sends, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()


def is_new(age: float, window: float) -> bool:
    """Return whether an instance counts as new.

    Args:
        age: time since its start, seconds.
        window: length of the window, seconds.
    """
    return age < window + SETTLING_SECONDS
