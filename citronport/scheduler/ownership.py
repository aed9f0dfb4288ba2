"""Which instance alone sends to an endpoint, and how sure it may be of it.

Each endpoint has one owner: the first by rendezvous hash among the
instances of its data centre (among all where there is none). Views of the
list differ for a while, so that being first is not enough to feed an
endpoint in cold start. Two authorities, each of which only one instance
can hold at a time, divide what a cold start bears:

* the platform: the list was read within the lease and names this instance;
* the peers: every other instance on the list answered within the lease,
  and none has a newer list.

An instance that holds both may use all of it. With one alone it may use
that one's half, since a stranger behind a partition could hold the other.
With none it starts nothing on a cold endpoint. A new owner waits until
the lease of any earlier one has run out and the endpoint has shown itself
idle after that, unless the earlier owner released the endpoint to it.
"""

import collections.abc
import dataclasses

import xxhash

from citronport.scheduler import models

LEASE_SECONDS = 3.0
"""How long one acknowledgement lasts.

Two reads of the list in a row may be lost before it runs out; a change of
owner without a release costs this much time.
"""

TAKEOVER_SECONDS = 3.6
"""How long a new owner waits: the lease, and a margin for clock rates."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """An instance as far as ownership goes."""

    name: str
    data_centre: str


@dataclasses.dataclass(kw_only=True)
class _OwnedEndpoint:
    """An endpoint owned here.

    Attributes:
        owner_by_list: whether the list alone, without what instances said of
            leaving, makes this instance the owner. Announcements reach
            some and not others, so that two instances could count on one
            each; only the list can give the right to feed a cold start.
        owned_since: clock time from which that has been so.
        released: whether the earlier owner gave the endpoint up.
        seen_idle: whether it was seen without work after any earlier lease.
    """

    owner_by_list: bool
    owned_since: float
    released: bool = False
    seen_idle: bool = False


def rank_instances(
    key: str, names: collections.abc.Iterable[str]
) -> list[str]:
    """Return instance names by rendezvous hash for a key, highest first.

    A change of one instance moves only the keys that it held.
    """
    return sorted(
        names, key=lambda name: _get_rendezvous_weight(key, name), reverse=True
    )


def _get_rendezvous_weight(key: str, name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name


class Ownership:
    """What one instance knows of who owns what.

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
        """Take the newest instance list.

        Args:
            members: instances in service, by name.
            version: version of the list.
            now: clock time, seconds.
        """
        before = self._members
        self._members = members
        self._list_version = version
        # An answer from before the change confirms the list before it.
        self._contacted_at.clear()
        self._reassign(before, members, now)

    def update_leaving(self, name: str, leaving: bool, now: float) -> None:
        """Take what an instance said of itself: no new work, or again."""
        if leaving == (name in self._leaving):
            return
        before = self._get_eligible()
        self._leaving ^= {name}
        self._reassign(before, self._get_eligible(), now)

    def update_endpoints(self, endpoints: dict[str, str], now: float) -> None:
        """Take the endpoints, data centre by name."""
        changed = {
            name
            for name, centre in endpoints.items()
            if self._endpoints.get(name) != centre
        }
        gone = self._endpoints.keys() - endpoints.keys()
        self._owners = {
            name: owner
            for name, owner in self._owners.items()
            if name not in gone
        }
        for name in gone:
            self._owned.pop(name, None)
        self._endpoints = dict(endpoints)
        self._assign(changed, now)

    def record_platform_confirmation(self, asked_at: float) -> None:
        """Note that the platform confirmed the list.

        Args:
            asked_at: clock time at which the question was sent. The answer
                may have lain in a buffer while the process was stopped,
                so that its arrival says nothing.
        """
        self._platform_confirmed_at = max(
            self._platform_confirmed_at, asked_at
        )

    def record_contact(
        self, instance: str, asked_at: float, list_version: int
    ) -> None:
        """Note that another instance answered a question sent at a time."""
        if list_version == self._list_version:
            known = self._contacted_at.get(instance, asked_at)
            self._contacted_at[instance] = max(known, asked_at)

    def record_release(self, endpoint: str) -> None:
        """Note that the earlier owner has nothing more at an endpoint."""
        held = self._owned.get(endpoint)
        if held is not None and held.owner_by_list:
            held.released = True

    def record_idle(self, endpoint: str, seen_at: float) -> None:
        """Note that an endpoint had no work at a clock time."""
        held = self._owned.get(endpoint)
        if held is not None and seen_at > held.owned_since + TAKEOVER_SECONDS:
            held.seen_idle = True

    def find_owner(self, endpoint: str) -> str | None:
        """Return the owner of an endpoint as far as this view goes."""
        return self._owners.get(endpoint)

    def get_ownership(self, now: float) -> models.OwnershipChanged:
        """Return what this instance may do now."""
        suspended = frozenset(
            name
            for name, held in self._owned.items()
            if not self._may_use_cold(held, now)
        )
        return models.OwnershipChanged(
            owned=frozenset(self._owned),
            suspended=suspended,
            owners=self._owners,
            cold_share=self.get_cold_share(now),
        )

    def get_cold_share(self, now: float) -> models.ColdShare:
        """Return which part of what a cold start bears may be used."""
        platform = now - self._platform_confirmed_at <= LEASE_SECONDS
        if self._instance not in self._members:
            platform = False
        peers = self._has_all_peers(now)
        if platform and peers:
            return models.ColdShare.ALL
        if platform:
            return models.ColdShare.UPPER_HALF
        if peers:
            return models.ColdShare.LOWER_HALF
        return models.ColdShare.NONE

    def may_send_cold(self, endpoint: str, now: float) -> bool:
        """Return whether one more request may go to a cold endpoint.

        Asked between the last wait and the send: a process that was
        stopped in between finds its lease run out.
        """
        held = self._owned.get(endpoint)
        if held is None or not self._may_use_cold(held, now):
            return False
        return self.get_cold_share(now) != models.ColdShare.NONE

    def _has_all_peers(self, now: float) -> bool:
        if self._instance not in self._members:
            return False
        return all(
            now - self._contacted_at.get(name, float("-inf")) <= LEASE_SECONDS
            for name in self._members
            if name != self._instance
        )

    def _may_use_cold(self, held: _OwnedEndpoint, now: float) -> bool:
        if not held.owner_by_list:
            return False
        if held.released:
            return True
        return held.seen_idle and now > held.owned_since + TAKEOVER_SECONDS

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
        # Only endpoints of the data centres whose instances changed can
        # get another owner, or those that lean on other data centres:
        # the work does not grow with the whole fleet.
        with_own = {member.data_centre for member in after.values()}
        touched = {
            name
            for name, centre in self._endpoints.items()
            if centre in centres or centre not in with_own
        }
        self._assign(touched, now)

    def _assign(
        self, endpoints: collections.abc.Iterable[str], now: float
    ) -> None:
        # What was handed out stays as it was: a shared mapping would hide
        # from the other side that an owner changed.
        self._owners = dict(self._owners)
        eligible = _group(self._get_eligible())
        listed = _group(self._members)
        for endpoint in endpoints:
            centre = self._endpoints[endpoint]
            owner = _choose(endpoint, centre, eligible)
            if owner is None:
                self._owners.pop(endpoint, None)
                self._owned.pop(endpoint, None)
                continue
            self._owners[endpoint] = owner
            owner_by_list = _choose(endpoint, centre, listed) == self._instance
            self._update_owned(
                endpoint, owner == self._instance, owner_by_list, now
            )

    def _update_owned(
        self, endpoint: str, owned: bool, owner_by_list: bool, now: float
    ) -> None:
        if not owned:
            self._owned.pop(endpoint, None)
            return
        held = self._owned.get(endpoint)
        if held is None or held.owner_by_list != owner_by_list:
            self._owned[endpoint] = _OwnedEndpoint(
                owner_by_list=owner_by_list, owned_since=now
            )


def _group(members: dict[str, Member]) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = {}
    for name, member in members.items():
        groups.setdefault(member.data_centre, []).append(name)
    return groups


def choose_owner(
    endpoint: str, centre: str, members: dict[str, Member]
) -> str | None:
    """Return the owner that a list of instances gives an endpoint.

    Args:
        endpoint: its name.
        centre: the data centre that it stands in.
        members: the instances in service, by name.
    """
    return _choose(endpoint, centre, _group(members))


def _choose(
    endpoint: str, centre: str, groups: dict[str, list[str]]
) -> str | None:
    names = groups.get(centre)
    if names is None:
        names = [name for group in groups.values() for name in group]
    return max(
        names, key=lambda n: _get_rendezvous_weight(endpoint, n), default=None
    )
