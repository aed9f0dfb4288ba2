"""Dispatching of requests to the endpoints that this instance owns."""

import itertools
import math

from citronport import const as common
from citronport.scheduler import budget
from citronport.scheduler import const
from citronport.scheduler import estimate
from citronport.scheduler import models
from citronport.scheduler import placement
from citronport.scheduler import queue

MAX_HEADS_CHECKED = 6
"""Workspaces, per group and tier, whose first request is considered."""


class Owner:
    """Queue, endpoint states and cache models of the owned endpoints."""

    def __init__(self) -> None:
        self.queue = queue.Queue()
        self.states: dict[str, budget.EndpointState] = {}
        self.length_estimates = estimate.LengthEstimates()
        self._caches: dict[str, estimate.PrefixCache] = {}
        self._endpoint_by_request: dict[str, str] = {}
        self._started: dict[str, queue.QueuedRequest] = {}
        self._connected: dict[str, None] = {}
        self._endpoints_by_group: dict[queue.Group, list[str]] = {}
        self._rings: dict[queue.Group, placement.HashRing] = {}
        self._running = [0] * common.TIERS

    def apply(
        self,
        fleet: models.Fleet,
        rings: dict[queue.Group, placement.HashRing],
        assigned: models.OwnershipChanged,
        now: float,
    ) -> None:
        """Apply a change of the catalogue or of the ownership."""
        owned = assigned.owned
        self._rings = rings
        self._endpoints_by_group = {}
        for name in (
            set(self.states) - owned - set(self._endpoint_by_request.values())
        ):
            del self.states[name]
            del self._caches[name]
        for name in sorted(owned & fleet.endpoints.keys()):
            spec = fleet.endpoints[name]
            state = self.states.get(name)
            if state is None:
                state = budget.make_state(spec, now)
                state.connected = name in self._connected
                self.states[name] = state
                self._caches[name] = estimate.PrefixCache(spec.cache_tokens)
            state.spec = spec
            state.suspended = name in assigned.suspended
            state.cold_share = assigned.cold_share
            if placement.is_in_service(fleet, spec):
                for model in spec.models:
                    self._endpoints_by_group.setdefault(
                        (spec.kind, model), []
                    ).append(name)

    def connect(self, endpoint: str, now: float) -> None:
        """Record a new connection as a new, cold start of the endpoint."""
        self._connected[endpoint] = None
        if endpoint in self.states:
            budget.record_connection(self.states[endpoint], now)
            self._caches[endpoint].clear()

    def is_warm(self, endpoint: str) -> bool:
        """Return whether an owned endpoint proved warm since its start."""
        state = self.states.get(endpoint)
        return state is not None and state.warm

    def has_warm_evidence(self, endpoint: str, now: float) -> bool:
        """Return whether recent evidence shows that an endpoint is warm."""
        state = self.states.get(endpoint)
        return state is not None and budget.has_warm_evidence(state, now)

    def disconnect(self, endpoint: str) -> None:
        """Record a lost connection."""
        self._connected.pop(endpoint, None)
        if endpoint in self.states:
            budget.record_disconnection(self.states[endpoint])

    def apply_report(
        self, endpoint: str, report: models.LoadReport, now: float
    ) -> None:
        """Update an endpoint's state from a load report."""
        if endpoint in self.states:
            budget.apply_report(self.states[endpoint], report, now)

    def apply_cache_report(self, event: models.CacheReported) -> None:
        """Update an endpoint's cache model from its cache events."""
        cache = self._caches.get(event.endpoint)
        if cache is not None:
            cache.evict(event.evicted)
            cache.store(event.stored)

    def get_usable(self, group: queue.Group) -> list[str]:
        """Return the owned endpoints that are in service and connected."""
        return [
            name
            for name in self._endpoints_by_group.get(group, ())
            if self.states[name].connected
        ]

    def get_running(self) -> list[int]:
        """Return the number of running requests, by tier."""
        return list(self._running)

    def get_running_request(self, request_id: str) -> models.Request | None:
        """Return a running request; None if it does not run."""
        endpoint = self._endpoint_by_request.get(request_id)
        if endpoint is None:
            return None
        return self.states[endpoint].running[request_id].request

    def estimate_cost(self, request: models.Request) -> float:
        """Return the cost of a request, seconds of a mean endpoint."""
        ring = self._rings.get(queue.get_group(request))
        if ring is None:
            return 0.1
        return ring.get_cost(
            self.length_estimates.estimate_uncached(request),
            self.length_estimates.estimate_output(request),
        )

    def estimate_service(self, request: models.Request) -> float:
        """Return the seconds from the start to the end of a request."""
        ring = self._rings.get(queue.get_group(request))
        if ring is None:
            return 0.1
        names = self.get_usable(queue.get_group(request))
        decode = max((self.states[n].decode_rate for n in names), default=50.0)
        prefill = (
            self.length_estimates.estimate_uncached(request)
            / ring.prefill_rate
        )
        output = (
            self.length_estimates.estimate_output(request)
            * const.DEADLINE_DECODE_FRACTION
        )
        return prefill + output / max(1.0, decode)

    def get_capacity(self, group: queue.Group) -> float:
        """Return the owned capacity, in units of a mean endpoint."""
        ring = self._rings.get(group)
        if ring is None:
            return 0.0
        total = 0.0
        for name in self.get_usable(group):
            state = self.states[name]
            part = state.spec.prefill_rate / ring.prefill_rate / state.slowdown
            if not state.warm:
                part *= 0.1
            total += part
        return total

    def estimate_wait(
        self, group: queue.Group, ahead: float, now: float
    ) -> float:
        """Return the seconds until a request would start.

        Args:
            group: endpoint kind and model that it needs.
            ahead: queued work served before it, seconds.
            now: clock time, seconds.
        """
        names = self.get_usable(group)
        if not names:
            return math.inf
        waits = [budget.get_wait(self.states[n], now) for n in names]
        cold = not any(self.states[n].warm for n in names)
        wait = min(waits) + (const.COLD_WAIT_SECONDS if cold else 0.0)
        return wait + ahead / max(0.01, self.get_capacity(group))

    def start(self, floor: int, now: float) -> list[models.Dispatch]:
        """Dispatch queued requests that may start, higher tiers first.

        Args:
            floor: lowest tier that may start.
            now: clock time, seconds.
        """
        dispatches: list[models.Dispatch] = []
        if not len(self.queue):
            return dispatches
        waiting = sorted(
            (tier, group) for group, tier in self.queue.get_groups()
        )
        for tier, group in waiting:
            if not any(
                self._has_room(n, tier) for n in self.get_usable(group)
            ):
                continue
            while True:
                found = self._find_start(group, tier, floor, now)
                if found is None:
                    break
                dispatches.append(self._dispatch(*found, now))
        return dispatches

    def _has_room(self, name: str, tier: int) -> bool:
        # Cheap check before the queue is searched: on most events all
        # endpoints are full.
        state = self.states[name]
        full = len(state.running) >= state.limit
        return not full or budget.count_lower_tiers(state, tier) > 0

    def _find_start(
        self, group: queue.Group, tier: int, floor: int, now: float
    ) -> tuple[queue.QueuedRequest, str] | None:
        heads = self.queue.iterate_heads(group, tier)
        for waiting in itertools.islice(heads, MAX_HEADS_CHECKED):
            endpoint = (
                self._choose_endpoint(waiting, now)
                if tier <= floor
                else self._choose_overcommitted(waiting, now)
            )
            if endpoint is not None:
                return waiting, endpoint
        return None

    def _choose_endpoint(
        self, waiting: queue.QueuedRequest, now: float
    ) -> str | None:
        """Return the endpoint to start on, or None to wait.

        With shared prefixes and engines of different speed, the first free
        endpoint may repeat prefill that another one has cached, or may be
        slower by more than the wait for a better one. The endpoint with
        the best score, its wait included, is chosen; while it has no room,
        the request waits for it during part of its slack.
        """
        request = waiting.request
        slack = request.deadline - waiting.queued_at
        urgent = now - waiting.queued_at > slack * const.URGENT_SLACK_FRACTION
        best: tuple[float, str] | None = None
        free: tuple[float, str] | None = None
        for name in self.get_usable(queue.get_group(request)):
            state = self.states[name]
            if not state.warm and not budget.may_start(state, request, now):
                continue
            score = self._estimate_score(state, name, request, now)
            if score is None:
                continue
            may_start = budget.may_start(state, request, now) or (
                urgent and budget.may_overcommit(state, request)
            )
            if best is None or score < best[0]:
                best = (score, name)
            if may_start and (free is None or score < free[0]):
                free = (score, name)
        if free is None or best is None:
            return None
        may_wait = (
            now - waiting.queued_at < slack * const.AFFINITY_SLACK_FRACTION
        )
        if free[1] != best[1] and may_wait:
            return None
        return free[1]

    def _choose_overcommitted(
        self, waiting: queue.QueuedRequest, now: float
    ) -> str | None:
        """Return an endpoint for a request below the floor, or None.

        A burst of a high tier can outlast the slack of a middle tier while
        requests of a low tier still run. The middle tier would be shed
        while the low one is served. Such a request may overcommit an
        endpoint at the cost of running requests below its own tier only.
        """
        request = waiting.request
        slack = request.deadline - waiting.queued_at
        if now - waiting.queued_at < slack * const.AFFINITY_SLACK_FRACTION:
            return None
        for name in self.get_usable(queue.get_group(request)):
            state = self.states[name]
            if not budget.may_overcommit(state, request):
                continue
            lower = budget.count_lower_tiers(state, request.tier)
            score = self._estimate_score(state, name, request, now)
            if lower and score is not None:
                return name
        return None

    def _estimate_score(
        self,
        state: budget.EndpointState,
        name: str,
        request: models.Request,
        now: float,
    ) -> float | None:
        """Return an endpoint's score; None if it would miss the deadline.

        The score is the sum of wait, weighted prefill and decoding, in
        seconds; lower is better.
        """
        cached = self._caches[name].count_cached(request)
        prefill = estimate.estimate_prefill(state, request, cached)
        if not state.warm:
            prefill *= const.COLD_PREFILL_FACTOR
        output = self.length_estimates.estimate_output(request)
        decode = output / max(1.0, state.decode_rate)
        wait = budget.get_wait(state, now)
        if (
            now + wait + prefill + decode * const.DEADLINE_DECODE_FRACTION
            > request.deadline
        ):
            return None
        return wait + prefill * const.PREFILL_WEIGHT + decode

    def _dispatch(
        self, waiting: queue.QueuedRequest, name: str, now: float
    ) -> models.Dispatch:
        request = waiting.request
        self.queue.start(request.request_id)
        self._started[request.request_id] = waiting
        state = self.states[name]
        cache = self._caches[name]
        cached = cache.count_cached(request)
        self.length_estimates.record_cached(
            request.entry, cached / max(1, request.prompt_tokens)
        )
        prefill = estimate.estimate_prefill(state, request, cached)
        cache.store(request.prefix)
        budget.record_send(state, request, prefill, now)
        self._endpoint_by_request[request.request_id] = name
        self._running[request.tier] += 1
        return models.Dispatch(request_id=request.request_id, endpoint=name)

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token of a running request."""
        endpoint = self._endpoint_by_request.get(request_id)
        if endpoint is not None:
            state = self.states[endpoint]
            budget.record_first_token(state, request_id, now)

    def assume_cold(self, request_id: str, now: float) -> None:
        """Assume that the endpoint of a running request restarted cold."""
        endpoint = self._endpoint_by_request.get(request_id)
        if endpoint is not None and budget.has_cold_start(
            self.states[endpoint].spec
        ):
            budget.assume_cold(self.states[endpoint], now)

    def finish(
        self, request_id: str, now: float, output_tokens: int
    ) -> models.Request | None:
        """Remove and return a running request that has finished."""
        endpoint = self._endpoint_by_request.pop(request_id, None)
        if endpoint is None:
            return None
        del self._started[request_id]
        state = self.states[endpoint]
        sent = budget.record_end(state, request_id, now, output_tokens)
        assert sent is not None
        self._running[sent.request.tier] -= 1
        if output_tokens:
            self.length_estimates.record_output(
                sent.request.entry, output_tokens
            )
        return sent.request

    def fail(
        self, request_id: str, now: float, *, sent: bool
    ) -> queue.QueuedRequest | None:
        """Remove a request whose dispatch failed; return its queue item."""
        endpoint = self._endpoint_by_request.pop(request_id, None)
        if endpoint is None:
            return None
        state = self.states[endpoint]
        failed = budget.record_failure(state, request_id, now, sent=sent)
        assert failed is not None
        self._running[failed.request.tier] -= 1
        if sent and budget.has_cold_start(state.spec):
            self._caches[endpoint].clear()
        return self._started.pop(request_id)

    def cancel(self, request_id: str, now: float) -> str | None:
        """Remove a running request that is cancelled; return its endpoint."""
        endpoint = self._endpoint_by_request.pop(request_id, None)
        if endpoint is None:
            return None
        del self._started[request_id]
        state = self.states[endpoint]
        self._running[state.running[request_id].request.tier] -= 1
        budget.record_cancel(state, request_id, now)
        return endpoint

    def check_first_tokens(self, now: float) -> None:
        """Fall back to the cold budget if a first token is overdue."""
        for state in self.states.values():
            if (
                state.warm
                and budget.has_cold_start(state.spec)
                and budget.has_overdue_first_token(state, now)
            ):
                state.slowdown = min(const.MAX_SLOWDOWN, state.slowdown * 2)
                budget.assume_cold(state, now)

    def get_queue_wait(self, group: queue.Group, tier: int) -> float:
        """Return the seconds that the queued work of a tier takes."""
        capacity = max(0.01, self.get_capacity(group))
        return self.queue.get_cost(group, tier) / capacity
