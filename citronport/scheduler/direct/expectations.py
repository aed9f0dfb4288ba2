"""Expected times of requests, before an endpoint is chosen."""

from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import wait_queue


class Expectations:
    """Expected times of requests.

    Args:
        loads: step times of endpoints and profiles of services.
    """

    def __init__(self, loads: load_tracker.LoadTracker) -> None:
        self._loads = loads

    def estimate_first_event(self, work: models.Work, service: str) -> float:
        """Return the expected time from send to first event, seconds."""
        if not work.prompt_tokens:
            return 0.0
        profile = self._loads.profiles.get(service)
        step = self._loads.get_typical_step_ms() * runs.SECONDS_PER_MS
        return step * (
            profile.base_steps + profile.steps_per_token * work.prompt_tokens
        )

    def estimate_cost(
        self, work: models.Work, service: models.Service | None
    ) -> float:
        """Return the expected time in a slot, in steps of an engine.

        1 for a plain service, whose requests are expected to take equally
        long.
        """
        if service is None or service.engine is None:
            return 1.0
        profile = self._loads.profiles.get(service.name)
        prefill = profile.steps_per_token * work.prompt_tokens
        decode = min(work.expected_tokens, work.output_tokens)
        return max(1.0, profile.base_steps + prefill + decode)

    def may_wait_for_fast_engine(
        self,
        waiter: wait_queue.Waiter,
        service: models.Service,
        now: float,
    ) -> bool:
        """Return whether a request need not use any engine yet.

        Less urgent requests with short prompts use the slow engines in the
        meantime. It must not be refused while these are served, so that half
        of its longest wait remains for any engine.
        """
        work, since = waiter.work, waiter.waiting_since
        expected = now + self.estimate_first_event(work, service.name)
        if expected > work.arrived + work.route.objective:
            return False
        return now - since <= wait_queue.compute_max_wait(work, since) / 2
