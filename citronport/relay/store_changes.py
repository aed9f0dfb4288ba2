"""Applies what is read of the store, by whatever way it comes."""

import collections.abc
import time

from citronport import clock
from citronport.platform import const
from citronport.platform import models
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import follower as follower_module
from citronport.relay import mirror as mirror_module
from citronport.relay import store_history


class StoreChanges:
    """Applies changes of the store; keeps them until they are applied.

    The copy of the store counts them as known, so that nothing would deliver
    them again.

    Args:
        cluster_state: receives the changes.
        update: updates what depends on the store's content.
        ticker: the clock.

    Attributes:
        is_applied: whether all changes are applied, with what follows.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        update: collections.abc.Callable[[], None],
        ticker: clock.Clock,
    ) -> None:
        self._cluster_state = cluster_state
        self._update = update
        self._ticker = ticker
        self._pending: list[models.Item] = []
        self.recovered_at = float("-inf")
        self.is_applied = True

    def apply(self, changes: list[models.Item], recovered_at: float) -> None:
        """Apply changes, and those before them that have not been applied.

        Args:
            changes: the changed items.
            recovered_at: clock time at which the latest outage of the store
                ended; minus infinity if there was none.
        """
        self._pending += changes
        self.recovered_at = max(self.recovered_at, recovered_at)
        self.apply_pending()

    def apply_pending(self) -> None:
        """Apply changes that are not applied yet, and what follows."""
        self.is_applied = False
        pending = self._pending.copy()
        if pending:
            self._cluster_state.apply(
                pending, self._ticker.now(), self.recovered_at
            )
            del self._pending[: len(pending)]
        self._update()
        self.is_applied = True


def find_past(
    changes: collections.abc.Sequence[models.Item],
    revision: int,
    mirror: mirror_module.Mirror,
    follower: follower_module.Follower,
) -> store_history.Past | None:
    """Return what the store has listed before the start; None if unknown.

    Args:
        changes: all changes of endpoints' entries since its beginning.
        revision: revision of the store after them.
        mirror: the local copy of the store.
        follower: reads the changes of evacuations.
    """
    listed = [
        item
        for item in mirror.list_items()
        if item.key.startswith(const.PREFIX_ENDPOINTS)
        and item.revision <= revision
    ]
    evacuations = follower.read_history(const.PREFIX_EVACUATED)
    return store_history.find_past(changes, listed, evacuations, time.time())
