"""Tracks which endpoints this instance owns."""

import collections.abc

from citronport import clock
from citronport.catalogue import const as catalogue_const
from citronport.catalogue import store
from citronport.instances import messages
from citronport.scheduler import models
from citronport.scheduler import ownership

UPDATE_INTERVAL_SECONDS = 0.25
"""Interval between ownership updates. Independently of it, the lease is
checked before each send to a cold endpoint."""

RELEASE_OFFER_SECONDS = 10.0
"""How long a released endpoint is offered to its new owner."""


class Assignment:
    """Derives ownership from the instance list and the catalogue.

    Changes of ownership are posted to the scheduler as events.

    Args:
        owners: the ownership rules.
        published: the published instance list and catalogue.
        ticker: the clock.
        post: queues an event for the scheduler.
        count_running: returns how many requests an endpoint is processing.
        send: sends a message to another instance.
        on_owned_changed: called when the owned endpoints may have changed.
    """

    def __init__(
        self,
        owners: ownership.Ownership,
        published: store.Store,
        ticker: clock.Clock,
        post: collections.abc.Callable[[models.Event], None],
        count_running: collections.abc.Callable[[str], int],
        send: collections.abc.Callable[[str, messages.Message], None],
        on_owned_changed: collections.abc.Callable[[], None],
    ) -> None:
        self._owners = owners
        self._published = published
        self._ticker = ticker
        self._post = post
        self._count_running = count_running
        self._send = send
        self._on_owned_changed = on_owned_changed
        self._released_at: dict[str, float] = {}
        self.current = models.OwnershipChanged(owned=frozenset())

    def serve(self) -> None:
        """Update the ownership periodically until killed."""
        while True:
            self.update()
            self._ticker.sleep(UPDATE_INTERVAL_SECONDS)

    def apply(self, path: str) -> None:
        """Apply a published value that changed."""
        now = self._ticker.now()
        fleet = self._published.fleet
        if path == catalogue_const.PATH_INSTANCES:
            self._owners.update_members(
                _list_members(self._published.instances),
                self._published.get_versions()[path],
                now,
            )
        elif fleet is not None:
            self._owners.update_endpoints(
                {e.name: e.data_centre for e in fleet.endpoints.values()}, now
            )
            self._post(models.FleetChanged(fleet=fleet))
        self.update()
        self._on_owned_changed()

    def record_list_confirmation(self, asked_at: float, version: int) -> None:
        """Record that the platform confirmed the instance list.

        A stale platform may confirm an older version, which does not
        confirm the list in force here.

        Args:
            asked_at: clock time at which the platform was asked.
            version: version that the platform confirmed.
        """
        if version >= self._get_list_version():
            self._owners.record_platform_confirmation(asked_at)

    def record_load_report(
        self, endpoint: str, report: models.LoadReport
    ) -> None:
        """Record that an endpoint is idle if its load report says so."""
        if not report.running and not report.queued:
            self._owners.record_idle(endpoint, self._ticker.now() - report.age)

    def update(self) -> None:
        """Post changed ownership and offer released endpoints to owners."""
        assigned = self._owners.get_ownership(self._ticker.now())
        if assigned != self.current:
            for endpoint in self.current.owned - assigned.owned:
                self._released_at[endpoint] = self._ticker.now()
            self.current = assigned
            self._post(assigned)
            self._on_owned_changed()
        self._offer_released()

    def _offer_released(self) -> None:
        now = self._ticker.now()
        for endpoint, since in list(self._released_at.items()):
            owner = self._owners.find_owner(endpoint)
            held = endpoint in self.current.owned
            if held or owner is None or now - since > RELEASE_OFFER_SECONDS:
                del self._released_at[endpoint]
            elif not self._count_running(endpoint):
                release = messages.Release(
                    endpoint=endpoint, list_version=self._get_list_version()
                )
                self._send(owner, release)

    def _get_list_version(self) -> int:
        versions = self._published.get_versions()
        return versions.get(catalogue_const.PATH_INSTANCES, 0)


def _list_members(
    instances: dict[str, models.Instance],
) -> dict[str, ownership.Member]:
    return {
        i.name: ownership.Member(name=i.name, data_centre=i.data_centre)
        for i in instances.values()
        if i.state == models.Service.IN
    }
