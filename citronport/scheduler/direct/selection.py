"""Chooses the endpoint for a request."""

import collections.abc
import dataclasses
import math

from citronport.scheduler.direct import cold_starts
from citronport.scheduler.direct import data_centres
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import roles
from citronport.scheduler.direct import runs

SPARE_REQUESTS = 1
"""Requests that may be sent to an endpoint in addition to its slots, so that
it is not idle until this instance learns of a free slot."""

RELEASE_DELAY_SECONDS = 0.05
"""Time until an owner learns of a free slot and a new request arrives there:
the end of the lease, the grant and a new connection."""

FAST_ENGINE_FACTOR = 1.25
"""Step time, as a multiple of the typical one, up to which an engine gets
prompts of any length. It allows for the spread among equal engines."""

FAILURE_PENALTY_SECONDS = 2.0
"""Penalty for a failure share of 1, as additional waiting time."""

MIN_OCCUPANCY_SECONDS = 0.001
"""Shortest time that a request is assumed to occupy a slot."""

MAX_FULL_SAMPLE_INSTANCES = 12
"""Largest fleet in which each choice considers all endpoints. Its reports are
at most 0.15 s old, about the time to process a prompt."""


def compute_sample_size(endpoints: int, instances: int) -> int:
    """Return the size of the random sample of endpoints for one choice.

    Sampling avoids a thundering herd: with sixty instances and reports that
    are 0.7 s old, all would send to the same idle endpoint at once, and
    to another one after the next report. The sample is chosen so that an
    endpoint is considered by about as many instances as can learn of each
    other's sends in time.
    """
    share = min(1.0, MAX_FULL_SAMPLE_INSTANCES / max(1, instances))
    return max(1, math.ceil(endpoints * share))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Placement:
    """An endpoint that may take a request now.

    Attributes:
        endpoint: the endpoint.
        seconds: expected time to the first event, or to a plain answer.
        cost: expected time plus penalties; the lowest cost is chosen.
    """

    endpoint: models.Endpoint
    seconds: float
    cost: float


class Selector:
    """Chooses endpoints.

    Args:
        loads: loads and step times of endpoints.
        health: health of endpoints.
        cold: cold endpoints.
        limits: rate limits announced by endpoints.

    Attributes:
        remote_penalty: cost of an endpoint in another data centre than the
            sending instance, as a share of the request's objective.
    """

    def __init__(
        self,
        loads: load_tracker.LoadTracker,
        health: health_module.Health,
        cold: cold_starts.ColdStarts,
        limits: endpoint_limits.EndpointLimits,
    ) -> None:
        self._loads = loads
        self._health = health
        self._cold = cold
        self._limits = limits
        self.remote_penalty = 0.0

    def choose(
        self,
        work: models.Work,
        service: models.Service,
        endpoints: collections.abc.Iterable[models.Endpoint],
        now: float,
    ) -> Placement | None:
        """Return the best of the endpoints, or None if there are none.

        Engines differ in speed and admit requests in order of arrival. The
        request goes where it is expected to start first, as it would be late
        behind a long queue or on a slow engine while other engines idle.
        The penalty for another data centre never outweighs that the request
        would be in time.

        Args:
            work: the request.
            service: service of the endpoints.
            endpoints: endpoints with capacity, see ``has_capacity``.
            now: clock time, seconds.
        """
        best: Placement | None = None
        best_rank = (True, math.inf)
        remaining = work.arrived + work.route.objective - now
        for endpoint in endpoints:
            seconds = self.estimate(work, service, endpoint)
            cost = seconds + self._compute_penalty(endpoint, now)
            # Lateness follows from the cost without the penalty for another
            # data centre, so that an endpoint that fails does not count as in
            # time, and the order without that penalty is the order of costs.
            is_late = cost > remaining
            cost += self._compute_remote_penalty(work, endpoint)
            if best is None or (is_late, cost) < best_rank:
                best = Placement(endpoint=endpoint, seconds=seconds, cost=cost)
                best_rank = (is_late, cost)
        return best

    def draw_sample(
        self, work: models.Work, endpoints: list[models.Endpoint], number: int
    ) -> list[models.Endpoint]:
        """Return a random sample of the endpoints for one choice.

        Args:
            work: the request.
            endpoints: the endpoints to draw from.
            number: size of the sample, see ``compute_sample_size``.
        """
        data_centre = work.data_centre if self.remote_penalty else ""
        return data_centres.draw_sample(endpoints, number, data_centre)

    def find_typical_step_ms(
        self, endpoints: collections.abc.Iterable[models.Endpoint], now: float
    ) -> float:
        """Return the median step time of the reachable endpoints.

        Those out of reach don't count: if only slow ones are left, these are
        the typical ones.
        """
        steps = sorted(
            self._loads.get_step_ms(e.name)
            for e in endpoints
            if self._health.may_use(e.name, now)
        )
        if not steps:
            return self._loads.get_typical_step_ms()
        return steps[len(steps) // 2]

    def list_for_prompt(
        self,
        work: models.Work,
        service: models.Service,
        endpoints: collections.abc.Iterable[models.Endpoint],
        typical_step_ms: float,
    ) -> list[models.Endpoint]:
        """Return the endpoints where a prompt does not interrupt streams.

        While an engine processes a long prompt, the streams that run there
        get their events at the pace of the prompt's chunks. On an engine of a
        third of the usual speed, most of them then pause for longer than
        their callers allow, and come late. Short requests run there without
        harm, so that the engine need not be idle.

        Args:
            work: the request.
            service: service of the endpoints.
            endpoints: the endpoints to choose from.
            typical_step_ms: as returned by ``find_typical_step_ms``.
        """
        max_step = self.compute_max_prompt_step_ms(
            work, service, typical_step_ms
        )
        if max_step == math.inf:
            return list(endpoints)
        return [
            e for e in endpoints if self._loads.get_step_ms(e.name) <= max_step
        ]

    def compute_max_prompt_step_ms(
        self,
        work: models.Work,
        service: models.Service,
        typical_step_ms: float,
    ) -> float:
        """Return the step time up to which ``list_for_prompt`` takes engines.

        Infinite if the request interrupts no stream on any engine.
        """
        max_gap = work.route.max_gap
        if service.engine is None or max_gap is None:
            return math.inf
        profile = self._loads.profiles.get(service.name)
        steps = (
            service.engine.event_tokens
            + profile.steps_per_token * work.prompt_tokens
        )
        return max(
            FAST_ENGINE_FACTOR * typical_step_ms,
            max_gap / runs.SECONDS_PER_MS / steps,
        )

    def has_capacity(
        self,
        endpoint: models.Endpoint,
        service: models.Service,
        role: roles.Role,
        now: float,
    ) -> bool:
        """Return whether an endpoint may get one more request now.

        Args:
            endpoint: the endpoint.
            service: service of the endpoint.
            role: role of this instance towards the endpoint.
            now: clock time, seconds.
        """
        name = endpoint.name
        requests = self._loads.count_requests(name)
        if requests >= endpoint.slots and (
            requests >= endpoint.slots + SPARE_REQUESTS
            or not self._needs_spare(endpoint, service, role)
        ):
            return False
        if not self._limits.brittle.may_send(
            name,
            endpoint.slots,
            requests,
            self._loads.count_own_requests(name),
            role,
            now,
        ):
            return False
        if not self._health.may_use(name, now):
            return False
        if not self._cold.may_send(name, role, service.cold_rate, now):
            return False
        return self._limits.may_send(name, role, now)

    def _needs_spare(
        self,
        endpoint: models.Endpoint,
        service: models.Service,
        role: roles.Role,
    ) -> bool:
        """Return whether an endpoint with no free slot gets one more request.

        Engines admit requests in order of arrival. A request that waits there
        can't be overtaken by a more urgent one, nor go to an engine whose
        slot becomes free earlier: with answers of seconds, it is late more
        often than not. In the queue of the owner it loses only the time in
        which the owner learns of the free slot. For short answers that time
        is a large part of the slot's, and other instances learn of free slots
        only by reports.
        """
        if not isinstance(role, roles.Owner):
            return True
        occupancy = self._get_occupancy_seconds(service, endpoint)
        return occupancy / endpoint.slots < RELEASE_DELAY_SECONDS

    def estimate(
        self,
        work: models.Work,
        service: models.Service,
        endpoint: models.Endpoint,
    ) -> float:
        """Return the expected time to the first event or answer, seconds."""
        return self._estimate(1, work.prompt_tokens, service, endpoint)

    def estimate_waiting(
        self, service: models.Service, endpoint: models.Endpoint
    ) -> float:
        """Return the expected time until waiting requests begin, seconds."""
        return self._estimate(0, 0, service, endpoint)

    def _estimate(
        self,
        requests: int,
        prompt_tokens: int,
        service: models.Service,
        endpoint: models.Endpoint,
    ) -> float:
        load = self._loads.get_load(endpoint.name)
        queued = max(0, load.requests + requests - endpoint.slots)
        if service.engine is None:
            answer_seconds = self._loads.get_answer_seconds(endpoint.name)
            return answer_seconds * (1 + queued / endpoint.slots)
        profile = self._loads.profiles.get(service.name)
        step = self._get_step_seconds(endpoint)
        wait = step * queued * profile.total_steps / endpoint.slots
        tokens = load.prefill_backlog + prompt_tokens
        return wait + step * (
            profile.base_steps + profile.steps_per_token * tokens
        )

    def compute_slot_rate(
        self,
        service: models.Service,
        endpoints: collections.abc.Iterable[models.Endpoint],
    ) -> float:
        """Return how many slots become free per second if all are in use.

        Includes endpoints that are currently unreachable, as most return
        before waiting requests time out.
        """
        return sum(self._compute_endpoint_rate(service, e) for e in endpoints)

    def _compute_endpoint_rate(
        self, service: models.Service, endpoint: models.Endpoint
    ) -> float:
        occupancy = max(
            MIN_OCCUPANCY_SECONDS,
            self._get_occupancy_seconds(service, endpoint),
        )
        rate = endpoint.slots / occupancy
        limit = self._limits.get_rate(endpoint.name)
        return rate if limit is None else min(rate, limit)

    def _get_occupancy_seconds(
        self, service: models.Service, endpoint: models.Endpoint
    ) -> float:
        if service.engine is None:
            return self._loads.get_answer_seconds(endpoint.name)
        profile = self._loads.profiles.get(service.name)
        return profile.total_steps * self._get_step_seconds(endpoint)

    def _get_step_seconds(self, endpoint: models.Endpoint) -> float:
        step_ms = self._loads.get_step_ms(endpoint.name)
        return step_ms * runs.SECONDS_PER_MS

    def _compute_penalty(self, endpoint: models.Endpoint, now: float) -> float:
        name = endpoint.name
        failure_share = self._health.get_failure_share(name, now)
        return failure_share * FAILURE_PENALTY_SECONDS

    def _compute_remote_penalty(
        self, work: models.Work, endpoint: models.Endpoint
    ) -> float:
        """Return the cost of using another data centre, seconds.

        A local endpoint without a free slot costs as much, so that a request
        does not queue there while a remote endpoint has a free slot.
        """
        if not (self.remote_penalty and work.data_centre):
            return 0.0
        if (
            not data_centres.is_remote(work.data_centre, endpoint.data_centre)
            and self._loads.count_requests(endpoint.name) < endpoint.slots
        ):
            return 0.0
        return self.remote_penalty * work.route.objective
