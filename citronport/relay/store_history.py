"""What the store's history says of endpoints before the start."""

import collections
import collections.abc
import dataclasses

import result

from citronport.platform import const
from citronport.platform import models as wire
from citronport.scheduler.direct import models
from citronport.scheduler.direct import software_history

REGISTRATION_SECONDS = 15.0
"""Time from the start of an endpoint by which its first entry is written,
differences between clocks included."""

MAX_CHANGES = 2000
"""Most changes from which weights are computed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Past:
    """What the store has listed since its beginning.

    Attributes:
        versions: versions of endpoints that may have begun streams within
            ``software_history.KEEP_SECONDS``.
        weights: weights of each service's versions that may have been in
            force within that time, in order; None if they are unknown.
    """

    versions: set[models.Version]
    weights: dict[str, list[software_history.Weights]] | None


def find_past(
    changes: collections.abc.Sequence[wire.Item],
    listed: collections.abc.Iterable[wire.Item],
    evacuations: collections.abc.Sequence[wire.Item] | None,
    unix_seconds: float,
) -> Past | None:
    """Return what the store has listed before the start.

    Args:
        changes: all changes of endpoints' entries since the store's
            beginning, in order.
        listed: entries that were read before these changes.
        evacuations: all changes of evacuations; None if they are unknown.
        unix_seconds: time of day.

    Returns:
        The past; None if a change is missing, so that other versions may
        have been listed.
    """
    if not _is_whole(changes, listed):
        return None
    replay = _Replay(unix_seconds)
    if evacuations is None or len(changes) > MAX_CHANGES:
        replay.weights = None
    for item in sorted(
        (*changes, *(evacuations or ())), key=lambda item: item.revision
    ):
        replay.apply(item)
    return Past(versions=replay.versions, weights=replay.weights)


def _is_whole(
    changes: collections.abc.Iterable[wire.Item],
    listed: collections.abc.Iterable[wire.Item],
) -> bool:
    written = {(item.key, item.revision) for item in changes}
    if any((item.key, item.revision) not in written for item in listed):
        return False
    present = set()
    for item in changes:
        if item.value is not None:
            present.add(item.key)
        elif item.key not in present:
            # The entry that was removed here is unknown.
            return False
    return True


class _Replay:
    """Applies the changes of a store one by one.

    Args:
        unix_seconds: time of day.

    Attributes:
        versions: versions that were listed lately.
        weights: weights of each service that may matter, in order; None if
            they are not computed.
    """

    def __init__(self, unix_seconds: float) -> None:
        self.versions: set[models.Version] = set()
        self.weights: dict[str, list[software_history.Weights]] | None = {}
        self._unix_seconds = unix_seconds
        self._entries: dict[str, models.Endpoint] = {}
        self._evacuated: set[str] = set()
        self._starts: set[models.StartId] = set()
        # Latest start that the endpoints of a service state, seconds.
        self._latest_starts: dict[str, float] = {}

    def apply(self, item: wire.Item) -> None:
        """Apply a change."""
        if item.key.startswith(const.PREFIX_EVACUATED):
            self._apply_evacuation(item)
        else:
            self._apply_entry(item)
        if self.weights is not None:
            self._add_weights(self.weights)

    def _apply_evacuation(self, item: wire.Item) -> None:
        name = wire.parse_evacuated_data_centre(item.key)
        if item.value is None:
            self._evacuated.discard(name)
        else:
            self._evacuated.add(name)

    def _apply_entry(self, item: wire.Item) -> None:
        self._entries.pop(item.key, None)
        if item.value is None:
            return
        match wire.parse_endpoint(item.key, item.value):
            case result.Ok(endpoint):
                if self._is_long_ago(endpoint):
                    self._forget_earlier()
                self._entries[item.key] = endpoint
                self.versions.add(endpoint.version)
                self._starts.add(endpoint.start_id)
                self._record_start(endpoint)

    def _record_start(self, endpoint: models.Endpoint) -> None:
        started = endpoint.started / 1000
        if started <= self._unix_seconds:
            latest = self._latest_starts.get(endpoint.service, 0.0)
            self._latest_starts[endpoint.service] = max(latest, started)

    def _forget_earlier(self) -> None:
        # What was removed until then was removed as long ago.
        self.versions = {e.version for e in self._entries.values()}
        if self.weights is not None:
            self.weights = {}

    def _is_long_ago(self, endpoint: models.Endpoint) -> bool:
        """Return whether the first entry of an endpoint is old."""
        if not endpoint.started or endpoint.start_id in self._starts:
            return False
        # Any party may write an entry: its start is wrong if an endpoint of
        # the service has written its own before that has started since.
        latest = self._latest_starts.get(endpoint.service, 0.0)
        if self._unix_seconds - latest < software_history.KEEP_SECONDS:
            return False
        age = self._unix_seconds - endpoint.started / 1000
        longest = software_history.KEEP_SECONDS + REGISTRATION_SECONDS
        return age >= longest

    def _add_weights(
        self, past: dict[str, list[software_history.Weights]]
    ) -> None:
        current = software_history.compute_weights(
            self._entries.values(), self._evacuated
        )
        for service in past.keys() | current.keys():
            weights = current.get(service, {})
            known = past.setdefault(service, [])
            if not known or known[-1] != weights:
                known.append(weights)
