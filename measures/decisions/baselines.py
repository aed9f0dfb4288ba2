"""Baseline policies to compare the scheduler with."""

import itertools

from citronport import errors
from citronport.scheduler import models
from measures.decisions import engine
from measures.decisions import loads
from measures.decisions import site as site_module

MAX_ATTEMPTS = 3


class ImmediateDispatch:
    """Dispatches each request on arrival, without a queue or tiers.

    Args:
        site: the simulated site.
        by_report: choose the endpoint with the least reported load, in
            place of round-robin.
    """

    def __init__(self, site: site_module.Site, *, by_report: bool) -> None:
        self._site = site
        self._by_report = by_report
        self._sequence = itertools.count()
        self._reports: dict[str, models.LoadReport] = {}
        self._incarnations: dict[str, int] = {}
        self._requests: dict[str, models.Request] = {}
        self._endpoints: dict[str, str] = {}
        self._attempts: dict[str, int] = {}

    def arrive(self, arrival: loads.Arrival) -> None:
        """Dispatch a request; cancel it at its deadline."""
        request = arrival.request
        self._requests[request.request_id] = request
        self._site.clock.call_at(
            request.deadline, self._expire, request.request_id
        )
        self._send(request)

    def connect(self, endpoint: str, *, up: bool) -> None:
        """Track which endpoints are connected; only these are used."""
        self._incarnations.pop(endpoint, None)
        if up:
            self._incarnations[endpoint] = self._site.engines[
                endpoint
            ].incarnation

    def report(self, endpoint: str, report: models.LoadReport) -> None:
        """Store the latest load report."""
        self._reports[endpoint] = report

    def publish(self, fleet: models.Fleet) -> None:
        """Use a newer catalogue."""
        self._fleet = fleet

    def freeze(self, instance: str, seconds: float) -> None:
        """Do nothing: baselines have no instances that own endpoints."""

    def take_first_token(self, sender: str, request_id: str) -> None:
        """Do nothing: no decision depends on it."""

    def finish(
        self, sender: str, request_id: str, output: int, cached: int
    ) -> None:
        """Forget a request that is answered."""
        self._requests.pop(request_id, None)

    def fail(self, sender: str, request_id: str, sent: bool) -> None:
        """Dispatch again if the request did not reach the endpoint."""
        request = self._requests.get(request_id)
        if request is None:
            return
        self._attempts[request_id] = self._attempts.get(request_id, 0) + 1
        if sent or self._attempts[request_id] >= MAX_ATTEMPTS:
            self._requests.pop(request_id)
            self._site.refuse(request_id, errors.Code.ENDPOINT_LOST)
            return
        self._send(request)

    def _expire(self, request_id: str) -> None:
        if self._requests.pop(request_id, None) is None:
            return
        self._site.refuse(request_id, errors.Code.DEADLINE_PASSED_RUNNING)
        if request_id in self._endpoints:
            self._site.cancel(self._endpoints[request_id], request_id)

    def _send(self, request: models.Request) -> None:
        usable = [
            name
            for name, endpoint in self._fleet.endpoints.items()
            if name in self._incarnations
            and request.model in endpoint.models
            and self._fleet.data_centres[endpoint.data_centre]
            == models.Service.IN
        ]
        if not usable:
            self._requests.pop(request.request_id)
            self._site.refuse(request.request_id, errors.Code.NO_ENDPOINT)
            return
        target = usable[next(self._sequence) % len(usable)]
        if self._by_report:
            target = min(usable, key=self._get_load)
        name = request.request_id
        self._endpoints[name] = target
        self._site.send(
            "any",
            request,
            target,
            self._incarnations[target],
            lambda: self._site.ledger.record_answer(
                name, self._site.clock.now
            ),
        )

    def _get_load(self, name: str) -> float:
        report = self._reports.get(name)
        if report is None:
            return 0.0
        load = report.running + report.queued
        return load / self._fleet.endpoints[name].concurrency


class Clairvoyant:
    """A single queue that knows output lengths and true states.

    It is an upper bound for what a scheduler can achieve.
    """

    QUEUE_SCAN_LIMIT = 60

    def __init__(self, site: site_module.Site) -> None:
        self._site = site
        self._waiting: list[models.Request] = []
        self._running: dict[str, tuple[models.Request, str]] = {}
        self._sent: dict[str, set[str]] = {e: set() for e in site.engines}
        self._prefill_idle_at: dict[str, float] = dict.fromkeys(
            site.engines, 0.0
        )
        self._fleet = site.fleet

    def arrive(self, arrival: loads.Arrival) -> None:
        """Queue a request by tier and deadline."""
        self._waiting.append(arrival.request)
        self._waiting.sort(key=lambda r: (r.tier, r.deadline))
        self._site.clock.call_at(
            arrival.request.deadline, self._expire, arrival.request
        )
        self._dispatch_waiting()

    def connect(self, endpoint: str, *, up: bool) -> None:
        """Dispatch waiting requests; the true state is read directly."""
        self._dispatch_waiting()

    def report(self, endpoint: str, report: models.LoadReport) -> None:
        """Do nothing: the true state is read directly."""

    def publish(self, fleet: models.Fleet) -> None:
        """Use a newer catalogue."""
        self._fleet = fleet

    def freeze(self, instance: str, seconds: float) -> None:
        """Do nothing: this policy has no instances."""

    def take_first_token(self, sender: str, request_id: str) -> None:
        """Do nothing: no decision depends on it."""

    def finish(
        self, sender: str, request_id: str, output: int, cached: int
    ) -> None:
        """Release the slot of a request and dispatch waiting requests."""
        self._release(request_id)
        self._dispatch_waiting()

    def fail(self, sender: str, request_id: str, sent: bool) -> None:
        """Refuse the request as lost and dispatch waiting requests."""
        request = self._release(request_id)
        if request is not None:
            self._site.refuse(request_id, errors.Code.ENDPOINT_LOST)
        self._dispatch_waiting()

    def _release(self, request_id: str) -> models.Request | None:
        running = self._running.pop(request_id, None)
        if running is None:
            return None
        self._sent[running[1]].discard(request_id)
        return running[0]

    def _expire(self, request: models.Request) -> None:
        name = request.request_id
        if request in self._waiting:
            self._waiting.remove(request)
            self._site.refuse(name, errors.Code.DEADLINE_PASSED_RUNNING)
        elif name in self._running:
            endpoint = self._running[name][1]
            self._release(name)
            self._site.cancel(endpoint, name)
            self._site.refuse(name, errors.Code.DEADLINE_PASSED_RUNNING)
            self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        if not any(self._has_room(e) for e in self._site.engines):
            return
        for request in list(self._waiting[: self.QUEUE_SCAN_LIMIT]):
            best = self._choose(request)
            if best is None:
                continue
            self._waiting.remove(request)
            self._send(request, best)

    def _has_room(self, name: str) -> bool:
        target = self._site.engines[name]
        return target.up and len(self._sent[name]) < target.spec.concurrency

    def _choose(self, request: models.Request) -> str | None:
        now = self._site.clock.now
        best: tuple[float, str] | None = None
        for name, target in self._site.engines.items():
            if not self._fits(request, name, target):
                continue
            end = self._estimate_end(request, name, target)
            if end <= request.deadline and (best is None or end < best[0]):
                best = (end, name)
        if best is None or best[0] < now:
            return None
        return best[1]

    def _fits(
        self, request: models.Request, name: str, target: engine.Engine
    ) -> bool:
        centre = self._fleet.data_centres[target.spec.data_centre]
        if request.model not in target.spec.models or not self._has_room(name):
            return False
        if centre != models.Service.IN:
            return False
        if not target.cold:
            return True
        tokens = request.prompt_tokens + sum(
            self._running[r][0].prompt_tokens for r in self._sent[name]
        )
        return (
            len(self._sent[name]) < target.spec.cold_concurrency
            and tokens <= target.spec.cold_prompt_tokens
        )

    def _estimate_end(
        self, request: models.Request, name: str, target: engine.Engine
    ) -> float:
        now = self._site.clock.now
        begin = max(now, self._prefill_idle_at[name])
        batch = len(self._sent[name]) + 1
        rate = target.spec.decode_rate / (1 + 0.05 * batch)
        length = self._site.lengths[request.request_id]
        decode = length / rate * target.slowdown
        return begin + self._estimate_prefill_seconds(request, target) + decode

    def _estimate_prefill_seconds(
        self, request: models.Request, target: engine.Engine
    ) -> float:
        left = request.prompt_tokens - target.get_cached(request.prefix)
        factor = engine.COLD_FACTOR if target.cold else 1.0
        return (
            max(1, left) / target.spec.prefill_rate * target.slowdown * factor
        )

    def _send(self, request: models.Request, endpoint: str) -> None:
        target = self._site.engines[endpoint]
        now = self._site.clock.now
        self._prefill_idle_at[endpoint] = max(
            now, self._prefill_idle_at[endpoint]
        ) + self._estimate_prefill_seconds(request, target)
        name = request.request_id
        self._running[name] = (request, endpoint)
        self._sent[endpoint].add(name)
        self._site.send(
            "any",
            request,
            endpoint,
            target.incarnation,
            lambda: self._site.ledger.record_answer(
                name, self._site.clock.now
            ),
        )
