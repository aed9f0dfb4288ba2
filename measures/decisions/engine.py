"""Simulated inference engine on a virtual clock."""

import collections
import collections.abc
import dataclasses
import heapq
import math

from citronport.scheduler import models
from measures.decisions import timeline

BLOCK_TOKENS = 128
COLD_FACTOR = 4.0
"""Factor by which prefill is slower during cold start."""


@dataclasses.dataclass(kw_only=True)
class Job:
    """A request at an engine.

    Attributes:
        request: the request.
        output_tokens: true length of the answer.
        on_first_token: called when the first token is generated.
        on_finished: called with the number of cached prompt tokens when
            the answer is complete.
        on_cut: called when the engine drops the request.
    """

    request: models.Request
    output_tokens: int
    on_first_token: collections.abc.Callable[[], None]
    on_finished: collections.abc.Callable[[int], None]
    on_cut: collections.abc.Callable[[], None]
    prefilled: int = 0
    cached: int = 0
    recomputed: int = 0
    ended: bool = False
    sequence: int = 0


class Engine:
    """Models batching, serial prefill, decoding, prefix cache, cold start.

    Attributes:
        incarnation: incremented by each restart that breaks connections.
        overloads: number of crashes due to overload in cold start.
        prefilled_blocks: prefix blocks that any engine of the fleet has
            prefilled.
    """

    def __init__(
        self,
        spec: models.Endpoint,
        clock: timeline.Timeline,
        prefilled_blocks: set[int],
        cold_seconds: float = 8.0,
    ) -> None:
        self.spec = spec
        self.incarnation = 1
        self.up = True
        self.slowdown = 1.0
        self.overloads = 0
        self.received_cold = 0
        self.received = 0
        self.prefilled_blocks = prefilled_blocks
        self.on_connection_change: collections.abc.Callable[[], None] = (
            lambda: None
        )
        self._clock = clock
        self._cold_seconds = cold_seconds
        self._warm_at = -math.inf
        self._cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._plan_id = 0
        self._reset()

    def _reset(self) -> None:
        self.jobs: dict[str, Job] = {}
        self._waiting: collections.deque[Job] = collections.deque()
        self._prefills: collections.deque[Job] = collections.deque()
        self._prefilling: Job | None = None
        self._decoding: list[tuple[float, int, Job]] = []
        self._in_batch = 0
        self._progress = 0.0
        self._progress_at = self._clock.now
        self._sequence = 0
        self._rate_in_force = 0.0
        self._plan_id += 1

    @property
    def cold(self) -> bool:
        """Whether the engine is in cold start."""
        return self._clock.now < self._warm_at

    def enter_cold_start(self, *, restart: bool, down: float = 0.0) -> None:
        """Drop all jobs and the cache, and enter cold start.

        Args:
            restart: whether connections break, too.
            down: seconds until the engine accepts connections again.
        """
        jobs = list(self.jobs.values())
        self._reset()
        self._cache.clear()
        self._warm_at = self._clock.now + down + self._cold_seconds
        for job in jobs:
            job.ended = True
            job.on_cut()
        if not restart:
            return
        self.incarnation += 1
        self.up = False
        self.on_connection_change()
        self._clock.call_later(down, self._come_up, self.incarnation)

    def _come_up(self, incarnation: int) -> None:
        if incarnation == self.incarnation:
            self.up = True
            self.on_connection_change()

    def receive(self, job: Job) -> None:
        """Accept a job; overload in cold start restarts the engine."""
        self.received += 1
        self.jobs[job.request.request_id] = job
        if self.cold:
            self.received_cold += 1
            tokens = sum(j.request.prompt_tokens for j in self.jobs.values())
            if (
                len(self.jobs) > self.spec.cold_concurrency
                or tokens > self.spec.cold_prompt_tokens
            ):
                self.overloads += 1
                self.enter_cold_start(restart=True, down=1.0)
                return
        self._waiting.append(job)
        self._advance()

    def cancel(self, request_id: str) -> None:
        """Drop a job; its prefill is wasted."""
        job = self.jobs.pop(request_id, None)
        if job is None:
            return
        self._update_progress()
        job.ended = True
        if job in self._waiting:
            self._waiting.remove(job)
        else:
            self._in_batch -= 1
            if job.prefilled and job is not self._prefilling:
                self._advance()

    def report(self) -> models.LoadReport:
        """Return a load report with the current state."""
        return models.LoadReport(
            running=self._in_batch,
            queued=len(self._waiting),
            cold=self.cold,
            age=0.0,
            received=self.received,
        )

    def get_cached(self, prefix: tuple[int, ...]) -> int:
        """Return the number of leading prompt tokens in the cache."""
        count = 0
        for block in prefix:
            if block not in self._cache:
                break
            count += 1
        return count * BLOCK_TOKENS

    def _advance(self) -> None:
        self._update_progress()
        while self._waiting and self._in_batch < self.spec.concurrency:
            self._in_batch += 1
            self._prefills.append(self._waiting.popleft())
        self._start_prefill()
        self._schedule_finish()

    def _start_prefill(self) -> None:
        while self._prefilling is None and self._prefills:
            job = self._prefills.popleft()
            if job.ended:
                continue
            prefix = job.request.prefix
            tokens = job.request.prompt_tokens
            job.cached = min(tokens - 1, self.get_cached(prefix))
            job.prefilled = tokens - job.cached
            known = 0
            for block in prefix:
                if block not in self.prefilled_blocks:
                    break
                known += BLOCK_TOKENS
            job.recomputed = max(0, min(tokens, known) - job.cached)
            rate = self.spec.prefill_rate / self.slowdown
            if self.cold:
                rate /= COLD_FACTOR
            self._prefilling = job
            self._clock.call_later(
                job.prefilled / rate, self._end_prefill, job, self.incarnation
            )

    def _end_prefill(self, job: Job, incarnation: int) -> None:
        if incarnation != self.incarnation or self._prefilling is not job:
            return
        self._update_progress()
        self._prefilling = None
        for block in job.request.prefix:
            self._cache[block] = None
            self._cache.move_to_end(block)
            self.prefilled_blocks.add(block)
        while len(self._cache) * BLOCK_TOKENS > self.spec.cache_tokens:
            self._cache.popitem(last=False)
        if not job.ended:
            self._sequence += 1
            end = self._progress + job.output_tokens
            heapq.heappush(self._decoding, (end, self._sequence, job))
            job.on_first_token()
        self._advance()

    def _rate(self) -> float:
        share = 1 + 0.05 * max(0, self._in_batch - 1)
        return self.spec.decode_rate / share / self.slowdown

    def _update_progress(self) -> None:
        now = self._clock.now
        self._progress += (now - self._progress_at) * self._rate_in_force
        self._progress_at = now

    def _schedule_finish(self) -> None:
        while self._decoding and self._decoding[0][2].ended:
            heapq.heappop(self._decoding)
        self._rate_in_force = self._rate()
        self._plan_id += 1
        if not self._decoding:
            return
        left = max(0.0, self._decoding[0][0] - self._progress)
        self._clock.call_later(
            left / self._rate_in_force, self._finish, self._plan_id
        )

    def _finish(self, plan: int) -> None:
        if plan != self._plan_id:
            return
        self._update_progress()
        _, _, job = heapq.heappop(self._decoding)
        job.ended = True
        self.jobs.pop(job.request.request_id, None)
        self._in_batch -= 1
        self._advance()
        job.on_finished(job.cached)
