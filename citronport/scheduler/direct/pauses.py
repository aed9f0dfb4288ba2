"""Pauses that endpoints ask this instance for."""

import collections.abc

from citronport.scheduler.direct import models


class Pauses:
    """Endpoints that want no request of this instance for some time.

    An endpoint that turns a request away may state for how long it wants
    nothing more from the sender. It has few requests and looks idle, so that
    it would be chosen for each request that finds the others full. Other
    instances are not concerned until it turns away one of theirs.
    """

    def __init__(self) -> None:
        self._until: dict[models.StartId, float] = {}

    def record(
        self, start_id: models.StartId, seconds: float, now: float
    ) -> bool:
        """Record a pause; return whether it begins with this.

        Args:
            start_id: the start of the endpoint that asks for it. Its next
                start knows nothing of the pause.
            seconds: how long it lasts. A shorter one that is asked for later
                does not end a longer one.
            now: clock time, seconds.
        """
        is_new = not self.is_paused(start_id, now)
        until = now + seconds
        self._until[start_id] = max(until, self._until.get(start_id, until))
        return is_new

    def is_paused(self, start_id: models.StartId, now: float) -> bool:
        """Return whether a start of an endpoint wants no request now."""
        return now < self._until.get(start_id, now)

    def list_names(
        self,
        endpoints: collections.abc.Iterable[models.Endpoint],
        now: float,
    ) -> frozenset[str]:
        """Return the names of those endpoints that want no request now."""
        if not self._until:
            return frozenset()
        self._until = {s: at for s, at in self._until.items() if now < at}
        return frozenset(
            e.name for e in endpoints if e.start_id in self._until
        )

    def compute_wait(
        self,
        endpoints: collections.abc.Iterable[models.Endpoint],
        now: float,
    ) -> float:
        """Return the time until one of some endpoints is not in a pause.

        Returns:
            Seconds; 0 if there is one already, or no endpoint at all.
        """
        return min(
            (
                max(0.0, self._until.get(e.start_id, now) - now)
                for e in endpoints
            ),
            default=0.0,
        )
