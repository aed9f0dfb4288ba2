"""Lists the instances that a caller should use."""

import collections.abc

from citronport import clock
from citronport.platform import const as wire
from citronport.relay import membership
from citronport.scheduler.direct import rendezvous


class LookupAddresses:
    """Chooses the addresses in the answers to lookups.

    Args:
        address: address of this instance for callers.
        capacity: processor cores of this instance.
        members: the other instances.
        is_ready: returns whether callers should use this instance.
        ticker: the clock.
    """

    def __init__(
        self,
        address: str,
        capacity: float,
        members: membership.Membership,
        is_ready: collections.abc.Callable[[], bool],
        ticker: clock.Clock,
    ) -> None:
        self._address = address
        self._capacity = capacity
        self._members = members
        self._is_ready = is_ready
        self._ticker = ticker

    def list_addresses(self, caller: str) -> tuple[str, ...]:
        """Return the addresses that a caller should use.

        With hundreds of instances, a lookup response names only a few. If
        all callers got the same list, each would use its first addresses,
        and those instances would carry the whole load while the others
        idle. Each caller therefore gets a subset of its own, which is the
        same whichever instance it asks, so that it can reuse connections.

        Instances of all data centres are named: callers keep a response for
        seconds, and while their data centre is being lost they need others.

        Args:
            caller: address of the caller.
        """
        capacities = {
            r.caller_address: r.capacity
            for r in self._members.list_usable(self._ticker.now())
        }
        if self._is_ready():
            capacities[self._address] = self._capacity
        return tuple(
            sorted(
                rendezvous.choose_by_weight(
                    caller, capacities, wire.MAX_LOOKUP_ADDRESSES
                )
            )
        )
