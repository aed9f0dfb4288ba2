"""Lists the instances that a caller should use."""

import collections.abc

from citronport import clock
from citronport.platform import const as wire
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import membership
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import data_centres
from citronport.scheduler.direct import rendezvous


class Directory:
    """Chooses the addresses in the answers to lookups.

    Args:
        settings: settings of this instance.
        members: the other instances.
        cluster_state: evacuated data centres.
        is_ready: returns whether callers should use this instance.
        ticker: the clock.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        members: membership.Membership,
        cluster_state: cluster_state_module.ClusterState,
        is_ready: collections.abc.Callable[[], bool],
        ticker: clock.Clock,
    ) -> None:
        self._settings = settings
        self._members = members
        self._cluster_state = cluster_state
        self._is_ready = is_ready
        self._ticker = ticker

    def update_settings(self, settings: settings_module.Settings) -> None:
        """Use new settings."""
        self._settings = settings

    def list_addresses(self, caller: str, data_centre: str) -> tuple[str, ...]:
        """Return the addresses that a caller should use.

        With hundreds of instances, a lookup response names only a few. If
        all callers got the same list, each would use its first addresses,
        and those instances would carry the whole load while the others
        idle. Each caller therefore gets a subset of its own, which is the
        same whichever instance it asks, so that it can reuse connections.

        Args:
            caller: address of the caller.
            data_centre: data centre of the caller; empty if unknown.
        """
        entries = self._list_entries()
        if self._settings.scheduling.remote_penalty:
            # An evacuated data centre may be about to stop as a whole.
            if data_centre in self._cluster_state.evacuated:
                data_centre = ""
            entries = data_centres.choose_entries(entries, data_centre)
        return tuple(
            sorted(
                rendezvous.choose_by_weight(
                    caller,
                    {e.address: e.capacity for e in entries},
                    wire.MAX_LOOKUP_ADDRESSES,
                )
            )
        )

    def _list_entries(self) -> list[data_centres.Entry]:
        entries = [
            data_centres.Entry(
                address=r.caller_address,
                data_centre=r.data_centre,
                capacity=r.capacity,
            )
            for r in self._members.list_usable(self._ticker.now())
        ]
        if self._is_ready():
            own = self._settings
            entries.append(
                data_centres.Entry(
                    address=str(own.callers),
                    data_centre=own.data_centre,
                    capacity=own.capacity,
                )
            )
        return entries
