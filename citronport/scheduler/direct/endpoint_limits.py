"""How many requests a second endpoints in need have said they take."""


class EndpointLimits:
    """Which endpoints name a limit, for all instances together."""

    def __init__(self) -> None:
        self._rates: dict[str, float] = {}

    def note_answer(self, endpoint: str, rate: float | None) -> bool:
        """Note what an answer says; return whether that is a change.

        Args:
            endpoint: which answered.
            rate: requests a second that it takes; None if it names none.
        """
        if self._rates.get(endpoint) == rate:
            return False
        if rate is None:
            del self._rates[endpoint]
        else:
            self._rates[endpoint] = rate
        return True

    def count(self) -> int:
        """Return how many endpoints name a limit now."""
        return len(self._rates)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._rates.pop(endpoint, None)
