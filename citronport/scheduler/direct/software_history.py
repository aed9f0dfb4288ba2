"""Software versions that may have begun the streams that are still alive."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import models

KEEP_SECONDS = 30.0
"""Longest time from the first event of a stream until its caller takes it up
for the last time."""

NEVER = float("-inf")


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
        was replaced before. They know each stream that began since by its
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

    Args:
        started_at: clock time from which this instance reads the list.
    """

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._listed: dict[str, set[str]] = {}
        self._gone_at: dict[tuple[str, str], float] = {}
        # Unix seconds of the newest start of an endpoint, by service.
        self._newest_start: dict[str, float] = {}

    def update(
        self, endpoints: collections.abc.Iterable[models.Endpoint], now: float
    ) -> None:
        """Take over the list of endpoints, those that leave included."""
        listed: dict[str, set[str]] = {}
        newest: dict[str, float] = {}
        for endpoint in endpoints:
            service = endpoint.service
            listed.setdefault(service, set()).add(endpoint.software)
            started = endpoint.started / 1000 or float("inf")
            newest[service] = max(newest.get(service, NEVER), started)
        for service, names in self._listed.items():
            for name in names - listed.get(service, set()):
                self._gone_at[service, name] = now
        self._gone_at = {
            key: at
            for key, at in self._gone_at.items()
            if now - at <= KEEP_SECONDS
        }
        self._listed = listed
        self._newest_start = newest

    def list_services(self) -> list[str]:
        """Return the services with listed endpoints."""
        return list(self._listed)

    def get_versions(
        self, service: str, now: float, unix_seconds: float
    ) -> Versions:
        """Return the versions that may have begun streams of a service.

        An instance that has just started does not know which endpoints were
        listed before. Endpoints that are replaced by another version leave
        newly started ones behind, so that none was replaced lately if all
        listed ones have run for long.

        Args:
            service: name of the service.
            now: clock time, seconds.
            unix_seconds: time of day.
        """
        gone = {
            name
            for (gone_service, name), at in self._gone_at.items()
            if gone_service == service and now - at <= KEEP_SECONDS
        }
        newest = self._newest_start.get(service, float("inf"))
        return Versions(
            names=frozenset(self._listed.get(service, set()) | gone),
            is_complete=now - self._started_at >= KEEP_SECONDS
            or unix_seconds - newest >= KEEP_SECONDS,
        )
