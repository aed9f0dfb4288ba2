"""Selects the entries that a caller should use, in order of preference."""

import collections
import collections.abc
import math
import secrets
from typing import Any

import xxhash

from citronport import clock
from citronport.callers import const
from citronport.catalogue import store
from citronport.scheduler import models
from citronport.scheduler import ownership


class Directory:
    """Computes lookups from local state only, independently of the load.

    Args:
        published: the catalogue and the instance list.
        instance: name of this instance.
        is_leaving: whether this instance accepts no new work.
        get_unreachable: returns the names of unreachable instances.
        get_owners: returns the owning instance by endpoint.
        ticker: the clock.
    """

    def __init__(
        self,
        published: store.Store,
        instance: str,
        is_leaving: collections.abc.Callable[[], bool],
        get_unreachable: collections.abc.Callable[[], frozenset[str]],
        get_owners: collections.abc.Callable[[], dict[str, str]],
        ticker: clock.Clock,
    ) -> None:
        self._published = published
        self._instance = instance
        self._is_leaving = is_leaving
        self._get_unreachable = get_unreachable
        self._get_owners = get_owners
        self._ticker = ticker
        self._ranking_by_workspace: dict[str, list[str]] = {}
        self._ranked_instances: tuple[str, ...] = ()
        self._usable: tuple[str, ...] = ()
        self._usable_inputs: tuple[Any, ...] = ()
        self._weights: collections.Counter[str] = collections.Counter()
        self._weights_fleet: models.Fleet | None = None
        self._owners_by_model: dict[str, set[str]] = {}
        self._owners_read_at = -math.inf

    def find(
        self, workspace: str, *, model: str = "", caller: str = ""
    ) -> tuple[str, ...]:
        """Return addresses ("ip:port") for a caller, best first.

        Args:
            workspace: the caller's workspace.
            model: model or service that it is going to use, if known.
            caller: any stable identifier of the caller; without it, the
                order may differ for each lookup.
        """
        usable = self._list_usable()
        ranked = self._rank(workspace, usable)
        size = self._get_window_size(workspace, len(ranked))
        window = rotate(ranked[:size], caller or secrets.token_hex(4))
        owners = self._find_owners(model)
        # An entry that owns a suitable endpoint sends to it directly; any
        # other one has to relay every byte of the response.
        window.sort(key=lambda name: name not in owners)
        ordered = [*window, *ranked[size:]]
        return self._get_addresses(ordered[: const.MAX_LOOKUP_ADDRESSES])

    def is_leaving(self) -> bool:
        """Return whether this instance takes no new work."""
        return self._is_leaving()

    def list_others(self) -> tuple[str, ...]:
        """Return addresses of other entries in random order."""
        names = [n for n in self._list_usable() if n != self._instance]
        others = rotate(names, secrets.token_hex(4))
        return self._get_addresses(others[: const.MAX_GO_TO_ADDRESSES])

    def _list_usable(self) -> tuple[str, ...]:
        # Recomputed only if an input changes; the store replaces its values
        # and never modifies them.
        inputs = (
            self._published.instances,
            self._published.fleet,
            self._get_unreachable(),
            self._is_leaving(),
        )
        if not _are_inputs_equal(inputs, self._usable_inputs):
            self._usable_inputs = inputs
            self._usable = self._select_usable()
        return self._usable

    def _select_usable(self) -> tuple[str, ...]:
        _, _, unreachable, leaving = self._usable_inputs
        data_centres = self._get_data_centres()
        return tuple(
            name
            for name, instance in self._published.instances.items()
            if is_in_service(instance, data_centres)
            and name not in unreachable
            and not (name == self._instance and leaving)
        )

    def _get_data_centres(self) -> dict[str, models.Service]:
        fleet = self._published.fleet
        return fleet.data_centres if fleet else {}

    def _rank(self, workspace: str, usable: tuple[str, ...]) -> list[str]:
        # Ranking computes a hash for each instance, so it is cached by
        # workspace until the list changes.
        if usable is not self._ranked_instances:
            self._ranking_by_workspace = {}
            self._ranked_instances = usable
        if workspace not in self._ranking_by_workspace:
            self._ranking_by_workspace[workspace] = ownership.rank_instances(
                workspace, usable
            )
        return self._ranking_by_workspace[workspace]

    def _find_owners(self, model: str) -> set[str]:
        # Computed once per second, not per lookup; an outdated owner only
        # costs an additional hop.
        now = self._ticker.now()
        if now - self._owners_read_at >= const.OWNERS_CACHE_SECONDS:
            owners = self._get_owners()
            self._owners_by_model = map_owners(self._published.fleet, owners)
            self._owners_read_at = now
        return self._owners_by_model.get(model, set())

    def _get_window_size(self, workspace: str, instances: int) -> int:
        fleet = self._published.fleet
        if fleet is not self._weights_fleet:
            self._weights = sum_workspace_weights(fleet)
            self._weights_fleet = fleet
        total = sum(self._weights.values()) or 1.0
        share = self._weights[workspace] / total
        return get_window_size(share, instances)

    def _get_addresses(self, names: list[str]) -> tuple[str, ...]:
        listed = self._published.instances
        return tuple(
            f"{listed[name].address}:{listed[name].caller_port}"
            for name in names
        )


def _are_inputs_equal(one: tuple[Any, ...], other: tuple[Any, ...]) -> bool:
    # Published values are large, so they are compared by identity and the
    # rest by value.
    return (
        len(one) == len(other)
        and all(a is b for a, b in zip(one[:2], other[:2], strict=True))
        and one[2:] == other[2:]
    )


def is_in_service(
    instance: models.Instance, data_centres: dict[str, models.Service]
) -> bool:
    """Return whether an instance and its data centre are in service."""
    data_centre_state = data_centres.get(
        instance.data_centre, models.Service.IN
    )
    return instance.state == models.Service.IN == data_centre_state


def sum_workspace_weights(
    fleet: models.Fleet | None,
) -> collections.Counter[str]:
    """Return the weight of each workspace over its catalogue entries."""
    weights: collections.Counter[str] = collections.Counter()
    for entry in fleet.entries.values() if fleet else ():
        weights[entry.workspace] += entry.weight
    return weights


def map_owners(
    fleet: models.Fleet | None, owners: dict[str, str]
) -> dict[str, set[str]]:
    """Return the instances that own an endpoint of each model."""
    owners_by_model: dict[str, set[str]] = {}
    for endpoint in fleet.endpoints.values() if fleet else ():
        data_centre_state = fleet.data_centres.get(endpoint.data_centre)
        owner = owners.get(endpoint.name)
        if (
            owner is None
            or not endpoint.state == models.Service.IN == data_centre_state
        ):
            continue
        for model in endpoint.models:
            owners_by_model.setdefault(model, set()).add(owner)
    return owners_by_model


def get_window_size(share: float, instances: int) -> int:
    """Return the number of entries that a workspace is spread over.

    Workspaces differ in size, and a few are large. A large one on few
    entries overloads them; a small one on all entries rarely returns to an
    entry that knows its prefixes. The window has twice the entries of the
    workspace's share of the weight, so that a workspace that sends double
    its share still finds capacity, and at least two entries, so that one
    known entry remains if the other fails.

    Args:
        share: share of the total weight of all workspaces, 0 to 1.
        instances: number of entries in service.
    """
    size = math.ceil(const.WINDOW_HEADROOM * share * instances)
    return min(instances, max(const.MIN_WINDOW_SIZE, size))


def rotate(names: collections.abc.Sequence[str], caller: str) -> list[str]:
    """Rotate names to start at one chosen by the hash of the caller."""
    if not names:
        return []
    start = xxhash.xxh3_64_intdigest(caller.encode()) % len(names)
    return [*names[start:], *names[:start]]
