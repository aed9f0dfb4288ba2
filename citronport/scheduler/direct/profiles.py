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

MIN_SPREAD = 200.0
"""Smallest spread of the prompts, tokens, from which a slope is read off."""

OUTLIER = 4.0
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

    begin: float
    read: float
    stay: float


START = Profile(begin=10.0, read=0.005, stay=300.0)
"""Used until a service is known. Of the order that engines show which read
prompts in chunks between the steps of running requests; the first seconds
of a new fleet go by it."""


@dataclasses.dataclass(slots=True)
class _Line:
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
        spread = self.xx / self.n - mean_x * mean_x
        if spread < MIN_SPREAD * MIN_SPREAD:
            return None
        slope = (self.xy / self.n - mean_x * mean_y) / spread
        slope = max(0.0, slope)
        return max(0.0, mean_y - slope * mean_x), slope


@dataclasses.dataclass(slots=True)
class _Learnt:
    line: _Line
    stays: float = 0.0
    samples: float = 0.0


class Profiles:
    """The profiles of all services, as seen by one instance."""

    def __init__(self) -> None:
        self._learnt: dict[str, _Learnt] = {}
        self._told: dict[str, Profile] = {}
        # Each choice looks at the profile once for each endpoint.
        self._known: dict[str, Profile] = {}

    def note_begun(self, service: str, tokens: int, steps: float) -> None:
        """Take the first event of a request.

        Args:
            service: where it runs.
            tokens: prompt tokens that its engine had to read until then,
                those of requests before it too.
            steps: from the send to the event.
        """
        expected = self.get(service)
        most = OUTLIER * (expected.begin + expected.read * tokens)
        self._find(service).line.add(tokens, min(steps, most))

    def note_end(self, service: str, steps: float) -> None:
        """Take the steps for which a request held its place."""
        learnt = self._find(service)
        learnt.samples = learnt.samples * DECAY + 1
        learnt.stays = learnt.stays * DECAY + steps

    def hear(self, service: str, profile: Profile) -> None:
        """Take what another instance has learnt of a service."""
        self._told[service] = profile
        self._known.pop(service, None)

    def get(self, service: str) -> Profile:
        """Return the profile of a service."""
        known = self._known.get(service)
        if known is None:
            known = self._known[service] = self._make(service)
        return known

    def list_learnt(self) -> list[tuple[str, float, float, float]]:
        """Return what this instance has learnt, in the form that is told."""
        rows = []
        for service, learnt in self._learnt.items():
            if learnt.samples >= MIN_SAMPLES and learnt.line.fit():
                found = self.get(service)
                row = (found.begin, found.read, found.stay)
                rows.append((service, *row))
        return rows

    def _make(self, service: str) -> Profile:
        start = self._told.get(service, START)
        learnt = self._learnt.get(service)
        if learnt is None:
            return start
        begin, read, stay = start.begin, start.read, start.stay
        line = learnt.line.fit()
        if line is not None:
            begin, read = line
        if learnt.samples >= MIN_SAMPLES:
            stay = learnt.stays / learnt.samples
        return Profile(begin=begin, read=read, stay=stay)

    def _find(self, service: str) -> _Learnt:
        self._known.pop(service, None)
        learnt = self._learnt.get(service)
        if learnt is None:
            learnt = self._learnt[service] = _Learnt(_Line())
        return learnt
