"""Endpoints of a service as one look at the queue sees them."""

import dataclasses

from citronport.scheduler.direct import models
from citronport.scheduler.direct import roles


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
