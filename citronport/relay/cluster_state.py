"""Current configuration and endpoints, decoded from the copy of the store."""

import collections
import collections.abc
import dataclasses

from absl import logging
import result

from citronport import errors
from citronport import tasks
from citronport.platform import const
from citronport.platform import models as wire
from citronport.relay import deferral
from citronport.relay import eventlog
from citronport.relay import events
from citronport.scheduler.direct import cold_starts as cold_starts_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import routing
from citronport.scheduler.direct import software_history

LOG = "world:"

FORGET_AGAIN_SECONDS = 60.0
"""When the state of a removed endpoint is removed once more. Requests that
still run there, and reports of instances that learn later that it is gone,
have restored parts of it meanwhile, which would be reported from then on."""

MAX_REMEMBERED_STARTS = 2000
"""Number of remembered starts of endpoints. An endpoint whose entry returns
must not count as newly started, nor as usable if it is leaving."""


class _RecentStarts:
    """A bounded set of starts; the ones added least recently are dropped."""

    def __init__(self) -> None:
        self._starts: collections.OrderedDict[models.StartId, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, start_id: models.StartId) -> bool:
        """Return whether a start is in the set."""
        return start_id in self._starts

    def add(self, start_id: models.StartId) -> bool:
        """Add a start; return whether it is new."""
        is_new = start_id not in self._starts
        self._starts[start_id] = None
        self._starts.move_to_end(start_id)
        if len(self._starts) > MAX_REMEMBERED_STARTS:
            self._starts.popitem(last=False)
        return is_new

    def discard(self, start_id: models.StartId) -> None:
        """Remove a start, if it is in the set."""
        self._starts.pop(start_id, None)


class ClusterState:
    """Typed view of the store's items.

    Attributes:
        configuration: the newest valid configuration; None before the first.
        routes: routes of that configuration.
        evacuated: names of data centres that get no new work.
        endpoints: all listed endpoints, by name.
        list_number: number of the list, which grows as it changes.

    Args:
        cold_starts: receives the endpoints that are cold.
        forget: called with the name of each removed endpoint, and again
            when nothing runs there any more.
        log: the event log.
    """

    def __init__(
        self,
        cold_starts: cold_starts_module.ColdStarts,
        forget: collections.abc.Callable[[str], None],
        log: eventlog.Log,
    ) -> None:
        self.configuration: models.Configuration | None = None
        self.routes = routing.Routes(())
        self.evacuated: set[str] = set()
        self.endpoints: dict[str, models.Endpoint] = {}
        self.list_number = 0
        self._cold = cold_starts
        self._forget = forget
        self._log = log
        self._by_service: dict[str, list[models.Endpoint]] = {}
        self._deferred = deferral.DeferredChanges(log)
        self._removed: dict[str, float] = {}
        self._starts = _RecentStarts()
        self._leaving_starts = _RecentStarts()
        self._is_loaded = False
        self._removed_versions: set[models.Version] = set()
        self._weight_changes: list[software_history.WeightChange] = []

    def apply(
        self,
        changes: collections.abc.Iterable[wire.Item],
        now: float,
        recovered_at: float,
    ) -> None:
        """Apply changes of the store.

        Args:
            changes: the changed items.
            now: clock time, seconds.
            recovered_at: clock time at which the store recovered from its last
                outage, seconds; minus infinity if there was none.
        """
        for item in changes:
            name = item.key.removeprefix(const.PREFIX_ENDPOINTS)
            if not self._deferred.defer(
                item, now, recovered_at, is_listed=name in self.endpoints
            ):
                self._apply_or_reject(item, now)
        self._is_loaded = True
        self._index()

    def sweep(self, now: float) -> None:
        """Apply the deferred changes that are due."""
        due = self._deferred.pop_due(now)
        for item in due:
            self._apply_or_reject(item, now)
        if due:
            self._index()
        self._forget_removed(now)

    def take_removed_versions(self) -> set[models.Version]:
        """Return the versions of endpoints removed since the last call."""
        removed, self._removed_versions = self._removed_versions, set()
        return removed

    def take_weight_changes(self) -> list[software_history.WeightChange]:
        """Return the changes of versions' weights since the last call."""
        taken, self._weight_changes = self._weight_changes, []
        return taken

    def list_endpoints(self, service: str) -> list[models.Endpoint]:
        """Return the endpoints of a service that may get new work."""
        return [
            e
            for e in self._by_service.get(service, ())
            if e.data_centre not in self.evacuated
        ]

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is cold."""
        return self._cold.is_cold(endpoint, now)

    def may_use(self, endpoint: models.Endpoint) -> bool:
        """Return whether an endpoint may still get new work."""
        known = self.endpoints.get(endpoint.name)
        return (
            known is not None
            and known.start_id == endpoint.start_id
            and known.software == endpoint.software
            and not known.leaving
            and known.data_centre not in self.evacuated
        )

    def record_leaving(self, start_id: models.StartId) -> bool:
        """Record that an endpoint is leaving; return whether that is new.

        An endpoint states it in its answers as well. While the store does
        not answer, or not this instance, its entry says nothing of it.
        """
        if not self._leaving_starts.add(start_id):
            return False
        name, started = start_id
        known = self.endpoints.get(name)
        if known is not None and known.start_id == start_id:
            self.endpoints[name] = dataclasses.replace(known, leaving=True)
            self._index()
        self._log.write(events.EndpointLeaving(endpoint=name, started=started))
        return True

    def _apply_or_reject(self, item: wire.Item, now: float) -> None:
        # The copy of the store counts all changes of a batch as known, so
        # that those behind one that fails would never be delivered again.
        before = self._list_slots(item.key)
        try:
            self._apply_item(item, now)
        except Exception as error:
            self._reject(item, tasks.describe_error(error), now)
        after = self._list_slots(item.key)
        if self._is_loaded and after != before:
            lost = [(version, -slots) for version, slots in before]
            self._weight_changes += lost + after

    def _list_slots(self, key: str) -> list[software_history.WeightChange]:
        """Return the slots of the endpoints that a key concerns."""
        concerned: list[models.Endpoint] = []
        if key.startswith(const.PREFIX_ENDPOINTS):
            name = key.removeprefix(const.PREFIX_ENDPOINTS)
            concerned += filter(None, (self.endpoints.get(name),))
        elif key.startswith(const.PREFIX_EVACUATED):
            data_centre = wire.parse_evacuated_data_centre(key)
            concerned += (
                e
                for e in self.endpoints.values()
                if e.data_centre == data_centre
            )
        counted = (
            (e.version, software_history.count_slots(e, self.evacuated))
            for e in concerned
        )
        return [(version, slots) for version, slots in counted if slots]

    def _reject(self, item: wire.Item, reason: str, now: float) -> None:
        """Ignore the value of an item that can't be used."""
        if item.key.startswith(const.PREFIX_ENDPOINTS):
            # An invalid entry does not describe a usable endpoint.
            self._drop(item.key.removeprefix(const.PREFIX_ENDPOINTS), now)
        self._log.reject(_get_fault(item.key), item.key, reason, item.revision)

    def _apply_item(self, item: wire.Item, now: float) -> None:
        if item.key == const.KEY_CONFIGURATION:
            self._apply_configuration(item, now)
        elif item.key.startswith(const.PREFIX_EVACUATED):
            self._apply_evacuation(item, now)
        elif item.key.startswith(const.PREFIX_ENDPOINTS):
            self._apply_endpoint(item, now)

    def _apply_configuration(self, item: wire.Item, now: float) -> None:
        if item.value is None:
            # Operators replace the configuration and never delete it.
            logging.warning(
                "%s configuration was deleted from the store; keeping the"
                " current one.",
                LOG,
            )
            return
        match wire.parse_configuration(item.value):
            case result.Err(reason):
                # Keep the current configuration: without one, every request
                # would be refused.
                self._reject(item, reason, now)
            case result.Ok(configuration):
                self._set_configuration(configuration, item.revision)
                self._log.accept(_get_fault(item.key), item.key)

    def _set_configuration(
        self, configuration: models.Configuration, revision: int
    ) -> None:
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.routes = routing.Routes(configuration.routes)
        self.configuration = configuration
        self._log.write(
            events.ConfigurationInForce(
                version=configuration.version,
                revision=revision,
                routes=len(configuration.routes),
                workspaces=len(configuration.workspaces),
            )
        )

    def _apply_evacuation(self, item: wire.Item, now: float) -> None:
        name = wire.parse_evacuated_data_centre(item.key)
        if item.value is not None:
            self.evacuated.add(name)
        elif name in self.evacuated:
            self.evacuated.discard(name)
            # Endpoints that had no work during the evacuation may be cold.
            for endpoint in self.endpoints.values():
                if endpoint.data_centre == name:
                    self._set_cold(endpoint, now)
        self._log.write(
            events.DataCentreChanged(
                data_centre=name,
                evacuated=item.value is not None,
                revision=item.revision,
            )
        )

    def _apply_endpoint(self, item: wire.Item, now: float) -> None:
        name = item.key.removeprefix(const.PREFIX_ENDPOINTS)
        if item.value is None:
            self._drop(name, now)
            self._log.accept(_get_fault(item.key), item.key)
            self._log.write(
                events.EndpointGone(endpoint=name, revision=item.revision)
            )
            return
        match wire.parse_endpoint(item.key, item.value):
            case result.Err(reason):
                self._reject(item, reason, now)
            case result.Ok(endpoint):
                if item.is_restored and self._has_later_start(endpoint):
                    # The store has lost that the endpoint was restarted,
                    # which it registers again.
                    return
                self._set_endpoint(endpoint, item.revision, now)
                self._log.accept(_get_fault(item.key), item.key)

    def _has_later_start(self, endpoint: models.Endpoint) -> bool:
        known = self.endpoints.get(endpoint.name)
        return known is not None and known.started > endpoint.started

    def _set_endpoint(
        self, endpoint: models.Endpoint, revision: int, now: float
    ) -> None:
        known = self.endpoints.get(endpoint.name)
        if known is not None and known.start_id != endpoint.start_id:
            self._drop(endpoint.name, now)
        elif known is not None and known.version != endpoint.version:
            self._removed_versions.add(known.version)
        if endpoint.leaving:
            self._leaving_starts.add(endpoint.start_id)
        elif endpoint.start_id in self._leaving_starts:
            # An endpoint that leaves never becomes ready again, so that an
            # entry that says so is outdated.
            endpoint = dataclasses.replace(endpoint, leaving=True)
        self.endpoints[endpoint.name] = endpoint
        if self._starts.add(endpoint.start_id) and self._is_loaded:
            self._set_cold(endpoint, now)
        if endpoint.cold_seconds > 0:
            self._cold.set_cold(endpoint.name, now + endpoint.cold_seconds)
        if known != endpoint:
            self._log.write(
                events.EndpointListed(
                    endpoint=endpoint.name,
                    service=endpoint.service,
                    data_centre=endpoint.data_centre,
                    software=endpoint.software,
                    leaving=endpoint.leaving,
                    cold_seconds=endpoint.cold_seconds,
                    revision=revision,
                )
            )

    def _set_cold(self, endpoint: models.Endpoint, now: float) -> None:
        if self.configuration is None:
            return
        service = self.configuration.services.get(endpoint.service)
        if service is not None and service.cold_seconds > 0:
            self._cold.set_cold(endpoint.name, now + service.cold_seconds)

    def _drop(self, name: str, now: float) -> None:
        endpoint = self.endpoints.pop(name, None)
        if endpoint is None:
            return
        if not endpoint.started:
            # Its next start under this name could not be distinguished.
            self._leaving_starts.discard(endpoint.start_id)
        self._removed[name] = now
        self._removed_versions.add(endpoint.version)
        self._forget(name)

    def _forget_removed(self, now: float) -> None:
        due = [
            name
            for name, at in self._removed.items()
            if now - at >= FORGET_AGAIN_SECONDS
        ]
        for name in due:
            del self._removed[name]
            if name not in self.endpoints:
                self._forget(name)

    def _index(self) -> None:
        self.list_number += 1
        self._by_service = {}
        for endpoint in self.endpoints.values():
            if not endpoint.leaving:
                listed = self._by_service.setdefault(endpoint.service, [])
                listed.append(endpoint)


def uses_value(key: str) -> bool:
    """Return whether the value of an item's key is read."""
    return key == const.KEY_CONFIGURATION or key.startswith(
        const.PREFIX_ENDPOINTS
    )


def _get_fault(key: str) -> errors.InputFault:
    """Return the fault of an item whose value can't be used."""
    if key == const.KEY_CONFIGURATION:
        return errors.InputFault.BAD_CONFIGURATION
    if key.startswith(const.PREFIX_ENDPOINTS):
        return errors.InputFault.BAD_ENDPOINT
    return errors.InputFault.BAD_ITEM
