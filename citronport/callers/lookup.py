"""Which entries a caller should use, in order."""

import collections.abc
import math
import secrets

import xxhash

from citronport.callers import const
from citronport.platform import store
from citronport.scheduler import models
from citronport.scheduler import ownership


class Directory:
    """Answers lookups; needs nothing that load can slow down.

    Args:
        published: catalogue and instance list.
        instance: name of this instance.
        is_stopping: whether this instance was ordered to stop.
        get_dead: names of instances that are out of reach.
        get_owners: instances that own an endpoint with a model.
    """

    def __init__(
        self,
        published: store.Store,
        instance: str,
        is_stopping: collections.abc.Callable[[], bool],
        get_dead: collections.abc.Callable[[], frozenset[str]],
        get_owners: collections.abc.Callable[[str], frozenset[str]],
    ) -> None:
        self._published = published
        self._instance = instance
        self._is_stopping = is_stopping
        self._get_dead = get_dead
        self._get_owners = get_owners
        self._ranked: dict[str, list[str]] = {}
        self._ranked_for: tuple[str, ...] = ()

    def find(
        self, workspace: str, *, model: str = "", caller: str = ""
    ) -> tuple[str, ...]:
        """Return addresses ("ip:port") for a caller, best first.

        Args:
            workspace: the caller's workspace.
            model: what it is going to use, if it says so.
            caller: any text that stays the same for one caller; without
                it, each lookup may give another order.
        """
        usable = self._list_usable()
        ranked = self._rank(workspace, usable)
        size = self._get_window(workspace, len(ranked))
        window = rotate(ranked[:size], caller or secrets.token_hex(4))
        owners = self._get_owners(model) if model else frozenset()
        # An entry that owns a fitting endpoint sends to it by itself; each
        # other one relays every byte of the answer a second time.
        window.sort(key=lambda name: name not in owners)
        return self._get_addresses([*window, *ranked[size:]])

    def is_leaving(self) -> bool:
        """Return whether this instance takes no new work.

        Callers keep a lookup for longer than the few seconds in which a
        data centre has to be free of new work, so that entries in one
        that was taken out send them away.
        """
        if self._is_stopping():
            return True
        me = self._published.instances.get(self._instance)
        # An instance that is not listed yet is only new.
        return me is not None and not is_in_service(
            me, self._get_data_centres()
        )

    def list_others(self) -> tuple[str, ...]:
        """Return where to go instead of here, in an order by chance."""
        names = [n for n in self._list_usable() if n != self._instance]
        others = rotate(names, secrets.token_hex(4))
        return self._get_addresses(others[: const.GO_TO_ADDRESSES])

    def _list_usable(self) -> tuple[str, ...]:
        data_centres = self._get_data_centres()
        dead = self._get_dead()
        return tuple(
            name
            for name, instance in self._published.instances.items()
            if is_in_service(instance, data_centres)
            and name not in dead
            and not (name == self._instance and self._is_stopping())
        )

    def _get_data_centres(self) -> dict[str, models.Service]:
        fleet = self._published.fleet
        return fleet.data_centres if fleet else {}

    def _rank(self, workspace: str, usable: tuple[str, ...]) -> list[str]:
        # Ranking costs a hash for each instance: once for each workspace
        # and change of the list, not once a lookup.
        if usable != self._ranked_for:
            self._ranked = {}
            self._ranked_for = usable
        if workspace not in self._ranked:
            self._ranked[workspace] = ownership.rank_instances(
                workspace, usable
            )
        return self._ranked[workspace]

    def _get_window(self, workspace: str, instances: int) -> int:
        fleet = self._published.fleet
        if fleet is None:
            return instances
        weights: dict[str, float] = {}
        for entry in fleet.entries.values():
            weights[entry.workspace] = (
                weights.get(entry.workspace, 0.0) + entry.weight
            )
        share = weights.get(workspace, 0.0) / (sum(weights.values()) or 1.0)
        return get_window(share, instances)

    def _get_addresses(self, names: list[str]) -> tuple[str, ...]:
        listed = self._published.instances
        return tuple(
            f"{listed[name].address}:{listed[name].caller_port}"
            for name in names
        )


def is_in_service(
    instance: models.Instance, data_centres: dict[str, models.Service]
) -> bool:
    """Return whether an instance and its data centre are in service."""
    place = data_centres.get(instance.data_centre, models.Service.IN)
    return instance.state == models.Service.IN == place


def get_window(share: float, instances: int) -> int:
    """Return over how many entries a workspace is spread.

    Load: workspaces of unlike size, a few of them large. Harm: a large one
    kept on few entries overloads them; a small one spread over all has
    its prefixes looked for by entries that never saw them. Limit: twice
    the entries that its share of the weight makes up, so that a
    workspace that sends double its share still finds room; never fewer
    than two, so that the loss of one entry leaves a known one.

    Args:
        share: of all workspaces' weight, 0 to 1.
        instances: entries in service.
    """
    wanted = math.ceil(const.WINDOW_SPARE * share * instances)
    return min(instances, max(const.MIN_WINDOW, wanted))


def rotate(names: collections.abc.Sequence[str], caller: str) -> list[str]:
    """Return names in order, starting at the one that a caller hits."""
    if not names:
        return []
    start = xxhash.xxh3_64_intdigest(caller.encode()) % len(names)
    return [*names[start:], *names[:start]]
