"""Whether this instance reads the store itself or relies on others."""

from citronport import clock
from citronport.relay import follower
from citronport.relay import membership


class Readers:
    """The instances that read the store, as this instance knows them.

    Args:
        own: name of this instance.
        members: the other instances.
        ticker: the clock.
    """

    def __init__(
        self, own: str, members: membership.Membership, ticker: clock.Clock
    ) -> None:
        self._own = own
        self._members = members
        self._ticker = ticker

    def compute_standby_age(self) -> float | None:
        """Return the age of the store's latest answer to a reader, seconds.

        It is None if this instance has to read the store itself.
        """
        now = self._ticker.now()
        return follower.compute_standby_age(
            self._own,
            self._members.list_known(now),
            [r.store_seconds for r in self._members.list_fresh(now)],
        )

    def is_reader(self) -> bool:
        """Return whether this instance is one of the readers."""
        instances = self._members.list_known(self._ticker.now())
        return self._own in follower.choose_readers(instances)
