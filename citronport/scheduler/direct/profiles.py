"""What the requests of a service take, learnt from those that ran.

Engines of one service differ in speed, and a request takes about as many
steps on each of them. Times are therefore learnt in steps, over all engines
of a service together, and so settle within some tens of requests.
"""

import dataclasses

DECAY = 0.98
"""Weight that a sample loses with each later one: about the last fifty
count, some seconds of a busy service."""

MIN_SAMPLES = 8
"""Samples from which on a line is trusted; fewer may all be of one length."""

MIN_DEVIATION_TOKENS = 200.0
"""Smallest spread of the prompts, tokens, from which a slope is read off."""

OUTLIER_FACTOR = 4.0
"""A first event that takes so many times the expected steps counts as that
many: its engine was paused or failed, which is not the prompt's doing."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Profile:
    """What a request takes, in steps of its engine.

    Attributes:
        begin: until its first event, beyond the reading of its prompt.
        read: for each prompt token, with the steps of others in between.
        stay: from the send to the end.
    """

    base_steps: float
    steps_per_token: float
    total_steps: float


DEFAULT_PROFILE = Profile(
    base_steps=10.0, steps_per_token=0.005, total_steps=300.0
)
"""Used until a service is known. Of the order that engines show which read
prompts in chunks between the steps of running requests; the first seconds
of a new fleet go by it."""


@dataclasses.dataclass(slots=True)
class _LinearFit:
    """A straight line through samples, by decaying sums."""

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
        """Return the value at nothing and the slope, if they are known."""
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
    """The profiles of all services, as seen by one instance."""

    def __init__(self) -> None:
        self._samples: dict[str, _ServiceSamples] = {}
        self._remote: dict[str, Profile] = {}
        # Each choice looks at the profile once for each endpoint.
        self._cache: dict[str, Profile] = {}

    def record_first_event(
        self, service: str, tokens: int, steps: float
    ) -> None:
        """Take the first event of a request.

        Args:
            service: where it runs.
            tokens: prompt tokens that its engine had to read until then,
                those of requests before it too.
            steps: from the send to the event.
        """
        expected = self.get(service)
        most = OUTLIER_FACTOR * (
            expected.base_steps + expected.steps_per_token * tokens
        )
        self._get_samples(service).line.add(tokens, min(steps, most))

    def record_end(self, service: str, steps: float) -> None:
        """Take the steps for which a request held its place."""
        samples = self._get_samples(service)
        samples.count = samples.count * DECAY + 1
        samples.total_steps = samples.total_steps * DECAY + steps

    def set_remote(self, service: str, profile: Profile) -> None:
        """Take what another instance has learnt of a service."""
        self._remote[service] = profile
        self._cache.pop(service, None)

    def get(self, service: str) -> Profile:
        """Return the profile of a service."""
        known = self._cache.get(service)
        if known is None:
            known = self._cache[service] = self._compute(service)
        return known

    def make_report_rows(self) -> list[tuple[str, float, float, float]]:
        """Return what this instance has learnt, in the form that is told."""
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
