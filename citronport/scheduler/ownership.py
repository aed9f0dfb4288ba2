"""Ownership of endpoints: the single instance that sends to each of them.

The owner of an endpoint is the first instance by rendezvous hash among
those of its data centre, or among all if that data centre has none. The
instances' views of the instance list differ for a while, so being first is
not sufficient to send to an endpoint in cold start. The cold-start capacity
is divided between two authorities, each held by one instance at a time:

* the platform: the list was read within the lease and contains this
  instance;
* the peers: every other instance on the list answered within the lease,
  and none has a newer list.

An instance that holds both may use the whole capacity. With only one it may
use that authority's half, since an unknown instance behind a network
partition could hold the other. With none it sends nothing to a cold
endpoint. A new owner waits until the lease of any earlier owner has expired
and the endpoint was idle after that, unless the earlier owner released the
endpoint to it.
"""

import collections.abc
import dataclasses

import xxhash

from citronport.scheduler import models

LEASE_SECONDS = 3.0
"""Validity of one acknowledgement.

Outlasts two consecutive failed reads of the list. A change of owner without
a release takes at least this long.
"""

TAKEOVER_SECONDS = 3.6
"""Wait of a new owner: the lease plus a margin for clock rate differences."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """Attributes of an instance that determine ownership."""

    name: str
    data_centre: str


@dataclasses.dataclass(kw_only=True)
class _OwnedEndpoint:
    """An endpoint owned by this instance.

    Attributes:
        owner_by_list: whether this instance is the owner by the list alone,
            ignoring announced leaves. An announcement may reach only some
            instances, so two of them could each take themselves for the
            owner; only the owner by the list may send to a cold endpoint.
        owned_since: clock time since which ``owner_by_list`` has its value.
        released: whether the earlier owner released the endpoint.
        seen_idle: whether it was idle after any earlier lease expired.
    """

    owner_by_list: bool
    owned_since: float
    released: bool = False
    seen_idle: bool = False


def rank_instances(
    key: str, names: collections.abc.Iterable[str]
) -> list[str]:
    """Return instance names by rendezvous hash for a key, highest first.

    Adding or removing one instance only moves the keys that it owns.
    """
    return sorted(
        names, key=lambda name: _get_rendezvous_weight(key, name), reverse=True
    )


def _get_rendezvous_weight(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name


class Ownership:
    """Endpoint owners as one instance sees them.

    Args:
        instance: name of this instance.
        now: clock time of its start, seconds.
    """

    def __init__(self, instance: str, now: float) -> None:
        self._instance = instance
        self._members: dict[str, Member] = {}
        self._leaving: frozenset[str] = frozenset()
        self._endpoints: dict[str, str] = {}
        self._owners: dict[str, str] = {}
        self._owned: dict[str, _OwnedEndpoint] = {}
        self._platform_confirmed_at = float("-inf")
        self._contacted_at: dict[str, float] = {}
        self._list_version = 0

    def update_members(
        self, members: dict[str, Member], version: int, now: float
    ) -> None:
        """Apply a new instance list.

        Args:
            members: instances in service, by name.
            version: version of the list.
            now: clock time, seconds.
        """
        before = self._members
        self._members = members
        self._list_version = version
        # Earlier contacts confirm only the previous list.
        self._contacted_at.clear()
        self._reassign(before, members, now)

    def update_leaving(self, name: str, leaving: bool, now: float) -> None:
        """Apply an instance's announcement that it leaves or is back."""
        if leaving == (name in self._leaving):
            return
        before = self._get_eligible()
        self._leaving ^= {name}
        self._reassign(before, self._get_eligible(), now)

    def update_endpoints(self, endpoints: dict[str, str], now: float) -> None:
        """Apply a new set of endpoints, given as data centre by name."""
        changed = {
            name
            for name, centre in endpoints.items()
            if self._endpoints.get(name) != centre
        }
        removed = self._endpoints.keys() - endpoints.keys()
        self._owners = {
            name: owner
            for name, owner in self._owners.items()
            if name not in removed
        }
        for name in removed:
            self._owned.pop(name, None)
        self._endpoints = dict(endpoints)
        self._assign(changed, now)

    def record_platform_confirmation(self, asked_at: float) -> None:
        """Record that the platform confirmed the list.

        Args:
            asked_at: clock time at which the request was sent. The time of
                the answer's arrival proves nothing, since it may have been
                buffered while the process was paused.
        """
        self._platform_confirmed_at = max(
            self._platform_confirmed_at, asked_at
        )

    def record_contact(
        self, instance: str, asked_at: float, list_version: int
    ) -> None:
        """Record an answer of another instance to a request.

        Args:
            instance: the instance that answered.
            asked_at: clock time at which the request was sent.
            list_version: version of its instance list; an answer under
                another version than this instance's list is ignored.
        """
        if list_version == self._list_version:
            previous = self._contacted_at.get(instance, asked_at)
            self._contacted_at[instance] = max(previous, asked_at)

    def record_release(self, endpoint: str) -> None:
        """Record that the earlier owner has no more work at an endpoint."""
        owned = self._owned.get(endpoint)
        if owned is not None and owned.owner_by_list:
            owned.released = True

    def record_idle(self, endpoint: str, seen_at: float) -> None:
        """Record that an endpoint was idle at a clock time."""
        owned = self._owned.get(endpoint)
        if (
            owned is not None
            and seen_at > owned.owned_since + TAKEOVER_SECONDS
        ):
            owned.seen_idle = True

    def find_owner(self, endpoint: str) -> str | None:
        """Return the owner of an endpoint as this instance sees it."""
        return self._owners.get(endpoint)

    def get_ownership(self, now: float) -> models.OwnershipChanged:
        """Return the ownership in force now, as a scheduler event."""
        suspended = frozenset(
            name
            for name, owned in self._owned.items()
            if not self._may_use_cold(owned, now)
        )
        return models.OwnershipChanged(
            owned=frozenset(self._owned),
            suspended=suspended,
            owners=self._owners,
            cold_share=self.get_cold_share(now),
        )

    def get_cold_share(self, now: float) -> models.ColdShare:
        """Return the share of the cold-start capacity that may be used."""
        platform_confirmed = now - self._platform_confirmed_at <= LEASE_SECONDS
        if self._instance not in self._members:
            platform_confirmed = False
        peers_confirmed = self._has_recent_contact_with_all(now)
        if platform_confirmed and peers_confirmed:
            return models.ColdShare.ALL
        if platform_confirmed:
            return models.ColdShare.UPPER_HALF
        if peers_confirmed:
            return models.ColdShare.LOWER_HALF
        return models.ColdShare.NONE

    def may_send_cold(self, endpoint: str, now: float) -> bool:
        """Return whether one more request may go to a cold endpoint.

        Checked after the last point at which the sender can block, so that
        a process that was paused there finds its lease expired.
        """
        owned = self._owned.get(endpoint)
        if owned is None or not self._may_use_cold(owned, now):
            return False
        return self.get_cold_share(now) != models.ColdShare.NONE

    def _has_recent_contact_with_all(self, now: float) -> bool:
        if self._instance not in self._members:
            return False
        return all(
            now - self._contacted_at.get(name, float("-inf")) <= LEASE_SECONDS
            for name in self._members
            if name != self._instance
        )

    def _may_use_cold(self, owned: _OwnedEndpoint, now: float) -> bool:
        if not owned.owner_by_list:
            return False
        if owned.released:
            return True
        return owned.seen_idle and now > owned.owned_since + TAKEOVER_SECONDS

    def _get_eligible(self) -> dict[str, Member]:
        return {
            name: member
            for name, member in self._members.items()
            if name not in self._leaving
        }

    def _reassign(
        self, before: dict[str, Member], after: dict[str, Member], now: float
    ) -> None:
        left = before.keys() - after.keys()
        joined = {n for n, m in after.items() if before.get(n) != m}
        centres = {after[name].data_centre for name in joined}
        centres |= {before[name].data_centre for name in left}
        # Only endpoints of data centres whose instances changed, or of
        # data centres without instances, can get another owner. This keeps
        # the cost independent of the size of the fleet.
        occupied_centres = {member.data_centre for member in after.values()}
        affected = {
            name
            for name, centre in self._endpoints.items()
            if centre in centres or centre not in occupied_centres
        }
        self._assign(affected, now)

    def _assign(
        self, endpoints: collections.abc.Iterable[str], now: float
    ) -> None:
        # Copied, since the mapping was handed out: a change in place would
        # hide from its receiver that an owner changed.
        self._owners = dict(self._owners)
        eligible = _group_by_data_centre(self._get_eligible())
        listed = _group_by_data_centre(self._members)
        for endpoint in endpoints:
            centre = self._endpoints[endpoint]
            owner = _choose_owner(endpoint, centre, eligible)
            if owner is None:
                self._owners.pop(endpoint, None)
                self._owned.pop(endpoint, None)
                continue
            self._owners[endpoint] = owner
            owner_by_list = (
                _choose_owner(endpoint, centre, listed) == self._instance
            )
            self._update_owned(
                endpoint, owner == self._instance, owner_by_list, now
            )

    def _update_owned(
        self, endpoint: str, is_owner: bool, owner_by_list: bool, now: float
    ) -> None:
        if not is_owner:
            self._owned.pop(endpoint, None)
            return
        owned = self._owned.get(endpoint)
        if owned is None or owned.owner_by_list != owner_by_list:
            self._owned[endpoint] = _OwnedEndpoint(
                owner_by_list=owner_by_list, owned_since=now
            )


def _group_by_data_centre(members: dict[str, Member]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for name, member in members.items():
        groups.setdefault(member.data_centre, []).append(name)
    return groups


def choose_owner(
    endpoint: str, centre: str, members: dict[str, Member]
) -> str | None:
    """Return the owner of an endpoint under a list of instances.

    Args:
        endpoint: name of the endpoint.
        centre: name of its data centre.
        members: instances in service, by name.
    """
    return _choose_owner(endpoint, centre, _group_by_data_centre(members))


def _choose_owner(
    endpoint: str, centre: str, groups: dict[str, list[str]]
) -> str | None:
    names = groups.get(centre)
    if names is None:
        names = [name for group in groups.values() for name in group]
    return max(
        names, key=lambda n: _get_rendezvous_weight(endpoint, n), default=None
    )
