"""Which endpoint a request goes to."""

import collections.abc
import dataclasses
import math

from citronport.scheduler.direct import board as board_module
from citronport.scheduler.direct import cold as cold_module
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import shares

SPARE_REQUESTS = 1
"""Requests beyond an endpoint's slots that may be sent there.

An engine admits in order of arrival, so that what waits there can't be
overtaken by more urgent work; one keeps it busy while the news of a free
slot is on its way.
"""

FAILURE_SECONDS = 2.0
"""What a certain failure counts against waiting, seconds."""

MIN_STAY_SECONDS = 0.001
"""Shortest time that a place is taken to be held."""

FULL_VIEW_INSTANCES = 12
"""Instances up to which each looks at all endpoints: their reports are 0.15
s old at most, about what a prompt takes to read."""


def count_candidates(endpoints: int, instances: int) -> int:
    """Return how many endpoints, drawn by chance, one choice looks at.

    Load: sixty instances whose reports are 0.7 s old. Harm: all see the
    same idle endpoint and send there at once, and the next one a report
    later. Each looks at a few endpoints drawn by chance, so that about as
    many instances see one as are able to hear of each other in time.
    """
    share = min(1.0, FULL_VIEW_INSTANCES / max(1, instances))
    return max(1, math.ceil(endpoints * share))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """An endpoint that may take a request now.

    Attributes:
        endpoint: where.
        seconds: expected time to the first event, or to a plain answer.
        cost: what is compared; seconds and what else counts against it.
    """

    endpoint: models.Endpoint
    seconds: float
    cost: float


class Selector:
    """Chooses endpoints.

    Args:
        board: loads and paces.
        health: which endpoints answer.
        cold: which endpoints are cold.
        limits: what endpoints in need have said they take.
    """

    def __init__(
        self,
        board: board_module.Board,
        health: health_module.Health,
        cold: cold_module.ColdStarts,
        limits: endpoint_limits.EndpointLimits,
    ) -> None:
        self._board = board
        self._health = health
        self._cold = cold
        self._limits = limits

    def choose(
        self,
        work: models.Work,
        service: models.Service,
        endpoints: collections.abc.Iterable[models.Endpoint],
        now: float,
    ) -> Place | None:
        """Return the best of some endpoints that have room, or None.

        Load: unlike engines that admit in order of arrival. Harm: a
        request behind a long queue or on a slow engine is late while
        others idle. Each gets the request that it begins soonest.

        Args:
            work: the request.
            service: of the endpoints.
            endpoints: those with room, see ``has_room``.
            now: clock time, seconds.
        """
        best: Place | None = None
        for endpoint in endpoints:
            seconds = self.estimate(work, service, endpoint)
            cost = seconds + self._weigh(endpoint, now)
            if best is None or cost < best.cost:
                best = Place(endpoint=endpoint, seconds=seconds, cost=cost)
        return best

    def has_room(
        self,
        endpoint: models.Endpoint,
        service: models.Service,
        share: shares.Share,
        now: float,
    ) -> bool:
        """Return whether an endpoint may get one more request now."""
        name = endpoint.name
        requests = self._board.count_requests(name)
        if requests >= endpoint.slots + SPARE_REQUESTS:
            return False
        if not self._health.may_use(name, now):
            return False
        if not self._cold.may_send(name, share, service.cold_rate, now):
            return False
        return self._limits.may_send(name, share, now)

    def estimate(
        self,
        work: models.Work,
        service: models.Service,
        endpoint: models.Endpoint,
    ) -> float:
        """Return the expected time to the first event, seconds."""
        load = self._board.get_load(endpoint.name)
        ahead = max(0, load.requests + 1 - endpoint.slots)
        if service.engine is None:
            each = self._board.get_answer_seconds(endpoint.name)
            return each * (1 + ahead / endpoint.slots)
        profile = self._board.profiles.get(service.name)
        step = self._get_step(endpoint)
        wait = step * ahead * profile.stay / endpoint.slots
        tokens = load.unread + work.prompt_tokens
        return wait + step * (profile.begin + profile.read * tokens)

    def compute_places(
        self,
        service: models.Service,
        endpoints: collections.abc.Iterable[models.Endpoint],
    ) -> float:
        """Return how many places come free a second when all are taken.

        Endpoints that are out of reach at the moment count: most are back
        before a request's patience is over.
        """
        return sum(self._compute_rate(service, e) for e in endpoints)

    def _compute_rate(
        self, service: models.Service, endpoint: models.Endpoint
    ) -> float:
        stay = max(MIN_STAY_SECONDS, self._get_stay(service, endpoint))
        rate = endpoint.slots / stay
        limit = self._limits.get_rate(endpoint.name)
        return rate if limit is None else min(rate, limit)

    def _get_stay(
        self, service: models.Service, endpoint: models.Endpoint
    ) -> float:
        if service.engine is None:
            return self._board.get_answer_seconds(endpoint.name)
        profile = self._board.profiles.get(service.name)
        return profile.stay * self._get_step(endpoint)

    def _get_step(self, endpoint: models.Endpoint) -> float:
        pace = self._board.get_pace(endpoint.name)
        return pace * runs.PACE_SECONDS

    def _weigh(self, endpoint: models.Endpoint, now: float) -> float:
        name = endpoint.name
        failures = self._health.get_failures(name, now)
        return failures * FAILURE_SECONDS
