"""Duration models of requests, learnt per service from finished requests.

Engines of one service differ in speed, but a request takes about the same
number of steps on each of them. Durations are therefore learnt in steps, over
all engines of a service, and converge within some tens of requests.
"""

import dataclasses

DECAY = 0.98
"""Factor applied to the weight of a sample with each later one. About the
last fifty count, which is some seconds of a busy service."""

MIN_SAMPLES = 8
"""Fewest samples for a linear fit; fewer may all be of one length."""

MIN_DEVIATION_TOKENS = 200.0
"""Smallest standard deviation of prompt lengths that determines a slope."""

MAX_REMOTE_PROFILES = 1024
"""Most services whose profiles of other instances are kept; those reported
least recently are dropped."""

OUTLIER_FACTOR = 4.0
"""Cap on the steps to a first event, as a multiple of the expected ones. A
longer time is due to a paused or failed engine and not to the prompt."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Profile:
    """Duration model of a request, in steps of its engine.

    Attributes:
        base_steps: steps to the first event, without the prompt's prefill.
        steps_per_token: steps per prompt token, including those that other
            requests take in between.
        total_steps: steps from the send to the end.
    """

    base_steps: float
    steps_per_token: float
    total_steps: float


DEFAULT_PROFILE = Profile(
    base_steps=10.0, steps_per_token=0.005, total_steps=300.0
)
"""Used in the first seconds of a new fleet, until a service has samples. The
order of magnitude is that of engines with chunked prefill, which process
prompts in chunks between the steps of running requests."""


@dataclasses.dataclass(slots=True)
class _LinearFit:
    """Linear regression over samples with exponentially decaying weight."""

    n: float = 0.0
    x: float = 0.0
    y: float = 0.0
    xx: float = 0.0
    xy: float = 0.0

    def add(self, x: float, y: float) -> None:
        self.n = self.n * DECAY + 1
        self.x = self.x * DECAY + x
        self.y = self.y * DECAY + y
        self.xx = self.xx * DECAY + x * x
        self.xy = self.xy * DECAY + x * y

    def fit(self) -> tuple[float, float] | None:
        """Return intercept and slope; None if they can't be determined."""
        if self.n < MIN_SAMPLES:
            return None
        mean_x, mean_y = self.x / self.n, self.y / self.n
        variance = self.xx / self.n - mean_x * mean_x
        if variance < MIN_DEVIATION_TOKENS * MIN_DEVIATION_TOKENS:
            return None
        slope = (self.xy / self.n - mean_x * mean_y) / variance
        slope = max(0.0, slope)
        return max(0.0, mean_y - slope * mean_x), slope


@dataclasses.dataclass(slots=True)
class _ServiceSamples:
    line: _LinearFit
    total_steps: float = 0.0
    count: float = 0.0


class Profiles:
    """Profiles of all services, as seen by one instance."""

    def __init__(self) -> None:
        self._samples: dict[str, _ServiceSamples] = {}
        self._remote: dict[str, Profile] = {}
        # Caches computed profiles: each choice of an endpoint reads the
        # profile once per candidate.
        self._cache: dict[str, Profile] = {}

    def record_first_event(
        self, service: str, tokens: int, steps: float
    ) -> None:
        """Add a sample of the steps to a first event.

        Args:
            service: service of the request.
            tokens: prompt tokens that its engine processed until then,
                including those of earlier requests.
            steps: steps from the send to the event.
        """
        expected = self.get(service)
        max_steps = OUTLIER_FACTOR * (
            expected.base_steps + expected.steps_per_token * tokens
        )
        self._get_samples(service).line.add(tokens, min(steps, max_steps))

    def record_end(self, service: str, steps: float) -> None:
        """Add a sample of the steps for which a request occupied a slot."""
        samples = self._get_samples(service)
        samples.count = samples.count * DECAY + 1
        samples.total_steps = samples.total_steps * DECAY + steps

    def set_remote(self, service: str, profile: Profile) -> None:
        """Set the profile that another instance reports for a service.

        It is used until this instance has enough samples of its own.
        """
        self._remote.pop(service, None)
        self._remote[service] = profile
        self._cache.pop(service, None)
        if len(self._remote) > MAX_REMOTE_PROFILES:
            oldest = next(iter(self._remote))
            del self._remote[oldest]
            self._cache.pop(oldest, None)

    def get(self, service: str) -> Profile:
        """Return the profile of a service."""
        profile = self._cache.get(service)
        if profile is None:
            profile = self._cache[service] = self._compute(service)
        return profile

    def make_report_rows(self) -> list[tuple[str, float, float, float]]:
        """Return the profiles learnt by this instance, as report rows."""
        rows = []
        for service, samples in self._samples.items():
            if samples.count >= MIN_SAMPLES and samples.line.fit():
                profile = self.get(service)
                row = (
                    profile.base_steps,
                    profile.steps_per_token,
                    profile.total_steps,
                )
                rows.append((service, *row))
        return rows

    def _compute(self, service: str) -> Profile:
        default = self._remote.get(service, DEFAULT_PROFILE)
        samples = self._samples.get(service)
        if samples is None:
            return default
        base_steps, steps_per_token, total_steps = (
            default.base_steps,
            default.steps_per_token,
            default.total_steps,
        )
        line = samples.line.fit()
        if line is not None:
            base_steps, steps_per_token = line
        if samples.count >= MIN_SAMPLES:
            total_steps = samples.total_steps / samples.count
        return Profile(
            base_steps=base_steps,
            steps_per_token=steps_per_token,
            total_steps=total_steps,
        )

    def _get_samples(self, service: str) -> _ServiceSamples:
        self._cache.pop(service, None)
        samples = self._samples.get(service)
        if samples is None:
            samples = self._samples[service] = _ServiceSamples(_LinearFit())
        return samples
