"""Endpoints of a service as one look at the queue sees them."""

import collections.abc
import dataclasses

from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import membership as membership_module
from citronport.relay import owners as owners_module
from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import models
from citronport.scheduler.direct import pauses as pauses_module
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import roles
from citronport.scheduler.direct import selection

ROLE_CACHE_SECONDS = 0.05
"""How long the list of instances is cached. Building it takes longer than a
choice of endpoint, and reports that change it are less frequent."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceView:
    """Endpoints that the requests of a service may use at one moment.

    Attributes:
        endpoints: endpoints with free capacity; one that fills up is
            removed.
        listed: all endpoints of the service, including full ones.
        paused: names of endpoints that want no request of this instance.
        role: role of this instance, which sets its share of cold and limited
            endpoints.
        sample_size: number of randomly drawn endpoints that one choice
            compares.
        typical_step_ms: median step time of the endpoints in reach.
    """

    endpoints: list[models.Endpoint]
    listed: list[models.Endpoint]
    paused: frozenset[str]
    role: roles.Role
    sample_size: int
    typical_step_ms: float

    def list_names(self, work: models.Work) -> frozenset[str]:
        """Return the names of all endpoints that may run a request."""
        return frozenset(e.name for e in work.list_fitting(self.listed))


class ServiceViews:
    """Makes the views of services, with the role of this instance.

    Args:
        own: name of this instance.
        cluster_state: source of the listed endpoints.
        members: the other instances.
        selector: knows which endpoints have capacity.
        pauses: pauses that endpoints ask this instance for.
        get_owners: returns the owners of endpoints; None without leasing.
    """

    def __init__(
        self,
        own: str,
        cluster_state: cluster_state_module.ClusterState,
        members: membership_module.Membership,
        selector: selection.Selector,
        pauses: pauses_module.Pauses,
        get_owners: collections.abc.Callable[[], owners_module.Owners | None],
    ) -> None:
        self._own = own
        self._cluster_state = cluster_state
        self._members = members
        self._selector = selector
        self._pauses = pauses
        self._get_owners = get_owners
        self._role: roles.Role = roles.Sender(own, (own,))
        self._role_until = float("-inf")
        self._instance_count = 1
        self._is_majority = False

    def make(self, service: models.Service, now: float) -> ServiceView:
        """Return the endpoints that waiting requests may use now.

        Args:
            service: their service.
            now: clock time, seconds.
        """
        endpoints = self._cluster_state.list_endpoints(service.name)
        sample_size = selection.compute_sample_size(
            len(endpoints), self._instance_count
        )
        role = self._get_role(now)
        owners = self._get_owners()
        owned_seconds = (
            owners.get_owned_seconds(service.name, now) if owners else None
        )
        if owned_seconds is not None:
            sample_size = len(endpoints)
            # A new owner does not know how many requests its predecessor sent
            # to cold endpoints within the current window, and an owner that
            # does not reach a majority may not be the only one.
            if (
                owned_seconds > cold_starts.WINDOW_SECONDS
                and self._is_majority
            ):
                role = roles.Owner()
        usable = [
            e
            for e in endpoints
            if self._selector.has_capacity(e, service, role, now)
        ]
        return ServiceView(
            endpoints=usable,
            listed=endpoints,
            paused=self._pauses.list_names(endpoints, now),
            role=role,
            sample_size=sample_size,
            typical_step_ms=self._selector.find_typical_step_ms(
                endpoints, now
            ),
        )

    def _get_role(self, now: float) -> roles.Role:
        if now >= self._role_until:
            instances = self._members.list_known(now)
            self._role = roles.Sender(
                self._own, instances, self._members.get_known_share(now)
            )
            self._role_until = now + ROLE_CACHE_SECONDS
            self._instance_count = len(instances)
            self._is_majority = (
                self._members.compute_reach(now) > quota.MAJORITY
            )
        return self._role
