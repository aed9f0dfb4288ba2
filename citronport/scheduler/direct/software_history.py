"""Software versions that may have begun the streams that are still alive."""

import collections.abc
import dataclasses
import itertools

from citronport.scheduler.direct import models
from citronport.scheduler.direct import rendezvous

KEEP_SECONDS = 30.0
"""Longest time from the first event of a stream until its caller takes it up
for the last time."""

OLD_VIEW_SECONDS = 30.0
"""How long an instance that is cut off may begin streams by its old list."""

MAX_GAP_SECONDS = 3.0
"""Time without the list after which versions may have come and gone unseen.
An endpoint that begins streams is listed for longer."""

MAX_COUNTED_SLOTS = 16
"""Most slots of an endpoint that count for its version. Any party may write an
entry, and without this bound all streams would begin at the version of one
that states 65,535 slots."""

MAX_VIEW_SECONDS = 30.0
"""Age of the weights by which another instance may act from which nothing is
known of what it assigned."""

Weights = dict[str, int]
"""Slots of the endpoints of a service that may get new work, by version."""


WeightChange = tuple[models.Version, int]
"""Slots that a version gets, or loses if negative, by one change."""


def count_slots(
    endpoint: models.Endpoint, evacuated: collections.abc.Container[str]
) -> int:
    """Return the slots of an endpoint that count for its version.

    Args:
        endpoint: the endpoint.
        evacuated: names of data centres that get no new work.
    """
    is_used = not endpoint.draining and endpoint.data_centre not in evacuated
    return min(endpoint.slots, MAX_COUNTED_SLOTS) if is_used else 0


def compute_weights(
    endpoints: collections.abc.Iterable[models.Endpoint],
    evacuated: collections.abc.Container[str],
) -> dict[str, Weights]:
    """Return the weights of each service's versions.

    They follow from the store alone, so that all instances agree on them.

    Args:
        endpoints: the listed endpoints.
        evacuated: names of data centres that get no new work.
    """
    weights: dict[str, Weights] = {}
    for endpoint in endpoints:
        slots = weights.setdefault(endpoint.service, {})
        if count := count_slots(endpoint, evacuated):
            software = endpoint.software
            slots[software] = slots.get(software, 0) + count
    return weights


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Range:
    """Weights of a service that may have been in force.

    Attributes:
        lowest: the least slots of each version; it lacks those that may have
            had none.
        highest: the most slots of each version.
        has_returns: whether a version may have come that was away before.
    """

    lowest: Weights
    highest: Weights
    has_returns: bool = False

    def may_begin_unassigned(self, earlier: "_Range") -> bool:
        """Return whether streams that waited may begin at any version.

        Those that wait while a second version comes have none assigned.

        Args:
            earlier: weights that were in force before.
        """
        before = self if self.has_returns else earlier
        return len(before.lowest) < 2 <= len(self.highest)

    def list_assigned(self, key: int) -> set[str]:
        """Return the versions that a stream may have been assigned."""
        return {
            version
            for version, slots in self.highest.items()
            if _choose({**self.lowest, version: slots}, key) == version
        }


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Versions:
    """Software versions of one service.

    Attributes:
        names: the versions known to have served within ``KEEP_SECONDS``.
        is_complete: whether no other version can have served in that time.
    """

    names: frozenset[str]
    is_complete: bool

    def get_only(self, *, is_named: bool) -> str | None:
        """Return the version of all streams; None if there may be several.

        If all instances have started lately, none knows of a version that
        was gone before. They know each stream that began since by its
        name, so that one with an unknown name may be of that version. A
        stream without a name is assumed not to be: otherwise all of them
        would be refused for ``KEEP_SECONDS`` after such a start.

        Args:
            is_named: whether the caller names the stream.
        """
        if len(self.names) != 1 or (is_named and not self.is_complete):
            return None
        return next(iter(self.names))

    def merge(self, other: "Versions") -> "Versions":
        """Return what two instances know together."""
        return Versions(
            names=self.names | other.names,
            is_complete=self.is_complete or other.is_complete,
        )


class SoftwareHistory:
    """Software versions of the listed endpoints, and of those before them.

    What is listed proves nothing about what was: a version may leave without
    a successor. All versions of the last ``KEEP_SECONDS`` are known if the
    list has been followed for that time, or if the store still has its whole
    history.
    """

    def __init__(self) -> None:
        # Clock time from which no version can have been missed.
        self._known_since = float("inf")
        self._listed: dict[str, set[str]] = {}
        self._gone_at: dict[models.Version, float] = {}
        # The same for the weights.
        self._weights_since = float("inf")
        self._weights: dict[str, Weights] = {}
        # Weights before these, each with the clock time of its end.
        self._past_weights: dict[str, list[tuple[_Range, float]]] = {}

    def update(
        self,
        endpoints: collections.abc.Collection[models.Endpoint],
        evacuated: collections.abc.Container[str],
        removed: collections.abc.Iterable[models.Version],
        now: float,
        changes: collections.abc.Iterable[WeightChange] = (),
    ) -> None:
        """Take over the list of endpoints.

        Args:
            endpoints: the listed endpoints, those that leave included.
            evacuated: names of data centres that get no new work.
            removed: versions of endpoints that were listed since the last
                update and are no more.
            now: clock time, seconds.
            changes: all changes of weights since the last update. Instances
                that read the store in between have assigned versions by a
                part of them.
        """
        is_first = self._known_since > now
        self._known_since = min(self._known_since, now)
        self._weights_since = min(self._weights_since, now)
        weights = compute_weights(endpoints, evacuated)
        if not is_first:
            self._keep_past_weights(weights, changes, now)
        self._weights = weights
        listed: dict[str, set[str]] = {}
        for endpoint in endpoints:
            listed.setdefault(endpoint.service, set()).add(endpoint.software)
        for service, names in self._listed.items():
            for name in names - listed.get(service, set()):
                self._gone_at[service, name] = now
        self._listed = listed
        self._record_gone(removed, now)

    def record_gap(self, now: float) -> None:
        """Record that versions may have been missed until now."""
        if self._known_since <= now:
            self._known_since = now
            self._weights_since = now

    def record_past(
        self,
        versions: collections.abc.Iterable[models.Version],
        weights: dict[str, list[Weights]] | None,
        now: float,
    ) -> None:
        """Record what the store has listed before the start.

        When its changes were made is unknown.

        Args:
            versions: all versions, listed ones included.
            weights: weights of each service in the order in which they were
                in force; None if they are unknown.
            now: clock time, seconds.
        """
        self._known_since = float("-inf")
        self._record_gone(versions, now)
        if weights is None:
            return
        self._weights_since = float("-inf")
        for service, earlier in weights.items():
            later = self._past_weights.get(service, [])
            past = [(_Range(lowest=w, highest=w), now) for w in earlier]
            self._past_weights[service] = past + later

    def assign(self, service: str, key: int) -> str | None:
        """Return the version at which a new stream has to begin.

        An instance that has lost its memory computes it again. While one
        version serves, nothing is assigned.

        Args:
            service: name of the service.
            key: key of the stream.

        Returns:
            The version; None if any may run it.
        """
        weights = self._weights.get(service, {})
        return _choose(weights, key) if len(weights) > 1 else None

    def find_assigned(
        self, service: str, key: int, now: float, view_seconds: float = 0.0
    ) -> str | None:
        """Return the version at which a stream can have begun.

        Args:
            service: name of the service.
            key: key of the stream.
            now: clock time, seconds.
            view_seconds: how old the weights may have been by which another
                instance assigned a version.

        Returns:
            The version; None if it may be one of several.
        """
        if view_seconds > MAX_VIEW_SECONDS:
            return None
        relevant_seconds = KEEP_SECONDS + view_seconds
        if now - self._weights_since < relevant_seconds:
            return None
        in_force = [
            weights
            for weights, until in self._past_weights.get(service, ())
            if now - until <= relevant_seconds
        ]
        current = self._weights.get(service, {})
        in_force.append(_Range(lowest=current, highest=current))
        if any(
            later.may_begin_unassigned(earlier)
            for earlier, later in itertools.pairwise(in_force)
        ):
            return None
        # A version may have come and gone between two updates.
        weighted = set().union(*(weights.highest for weights in in_force))
        if self.get_versions(service, now).names - weighted:
            return None
        found = set().union(*(w.list_assigned(key) for w in in_force))
        return found.pop() if len(found) == 1 else None

    def list_services(self) -> list[str]:
        """Return the services with listed endpoints."""
        return list(self._listed)

    def get_versions(
        self, service: str, now: float, *, may_be_late: bool = False
    ) -> Versions:
        """Return the versions that may have begun streams of a service.

        Args:
            service: name of the service.
            now: clock time, seconds.
            may_be_late: whether an instance may have begun streams at a
                version that was not listed any more.
        """
        keep_seconds = KEEP_SECONDS + (OLD_VIEW_SECONDS if may_be_late else 0)
        gone = {
            name
            for (gone_service, name), at in self._gone_at.items()
            if gone_service == service and now - at <= keep_seconds
        }
        return Versions(
            names=frozenset(self._listed.get(service, set()) | gone),
            is_complete=now - self._known_since >= KEEP_SECONDS,
        )

    def _keep_past_weights(
        self,
        weights: dict[str, Weights],
        changes: collections.abc.Iterable[WeightChange],
        now: float,
    ) -> None:
        by_service: dict[str, list[tuple[str, int]]] = {}
        for (service, software), slots in changes:
            by_service.setdefault(service, []).append((software, slots))
        for service in self._weights.keys() | weights.keys():
            before = self._weights.get(service, {})
            between = by_service.get(service, [])
            if before == weights.get(service, {}) and not between:
                continue
            past = self._past_weights.setdefault(service, [])
            past.append((_Range(lowest=before, highest=before), now))
            if len(between) > 1:
                past.append((_make_range(before, between), now))
        self._past_weights = {
            service: kept
            for service, past in self._past_weights.items()
            if (
                kept := [
                    p
                    for p in past
                    if now - p[1] <= KEEP_SECONDS + MAX_VIEW_SECONDS
                ]
            )
        }

    def _record_gone(
        self, versions: collections.abc.Iterable[models.Version], now: float
    ) -> None:
        for service, name in versions:
            if name not in self._listed.get(service, ()):
                self._gone_at[service, name] = now
        self._gone_at = {
            key: at
            for key, at in self._gone_at.items()
            if now - at <= KEEP_SECONDS + OLD_VIEW_SECONDS
        }


def _choose(weights: Weights, key: int) -> str:
    (version,) = rendezvous.choose_by_weight(str(key), weights, 1)
    return version


def _make_range(
    before: Weights, changes: collections.abc.Iterable[tuple[str, int]]
) -> _Range:
    """Return the weights that any part of some changes may have led to.

    Args:
        before: the weights before them.
        changes: slots that versions got or lost, in any order.
    """
    lowest, highest = dict(before), dict(before)
    gained = set()
    for software, slots in changes:
        bound = lowest if slots < 0 else highest
        bound[software] = bound.get(software, 0) + slots
        if slots > 0:
            gained.add(software)
    lowest = {
        software: slots for software, slots in lowest.items() if slots > 0
    }
    return _Range(
        lowest=lowest,
        highest=highest,
        has_returns=bool(gained - lowest.keys()),
    )
