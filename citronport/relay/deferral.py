"""Changes of the store that wait, as they may be due to what it has lost."""

import dataclasses
import math

from citronport.platform import const
from citronport.platform import models as wire
from citronport.relay import eventlog
from citronport.relay import events

LAPSE_GRACE_SECONDS = 1.5
"""How long an endpoint stays in use after its entry vanished around an outage
of the store. Entries of live endpoints expire during an outage and are written
again within two seconds of its end. Without the grace period, no endpoint
would be listed for that time, and every caller would be refused."""

RESTORED_ENDPOINT_SECONDS = 5.0
"""How long an endpoint that was gone is not used if a restored store lists it.
The entry of one that no longer runs expires there after three heartbeats."""

RESTORED_EVACUATION_SECONDS = 10.0
"""How long an evacuation that a restored store lacks stays in force. Operators
write again what the store has lost."""

OUTAGE_RECOVERY_SECONDS = 3.0
"""Time after an outage during which a vanished entry counts as lapsed."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Deferred:
    """A change that takes effect unless its key changes before.

    Attributes:
        item: the changed item.
        due: clock time, seconds.
    """

    item: wire.Item
    due: float


class DeferredChanges:
    """Holds back changes for a while; at most one for each key.

    Args:
        log: receives an event for each change that waits.
    """

    def __init__(self, log: eventlog.Log) -> None:
        self._log = log
        self._by_key: dict[str, _Deferred] = {}

    def defer(
        self,
        item: wire.Item,
        now: float,
        recovered_at: float,
        *,
        is_listed: bool,
    ) -> bool:
        """Hold back a change if it may be due to what the store has lost.

        An earlier change of its key that still waits is dropped.

        Args:
            item: the changed item.
            now: clock time, seconds.
            recovered_at: clock time at which the store recovered from its
                last outage, seconds; minus infinity if there was none.
            is_listed: whether its key names an endpoint in the current list.

        Returns:
            Whether it waits.
        """
        self._by_key.pop(item.key, None)
        # The restoration may be a while ago for an instance that learns of it
        # from another one.
        is_late = item.is_restored and math.isfinite(recovered_at)
        due = (recovered_at if is_late else now) + _compute_delay(
            item,
            is_listed=is_listed,
            is_lapsing=now - recovered_at < OUTAGE_RECOVERY_SECONDS,
        )
        if due <= now:
            return False
        self._by_key[item.key] = _Deferred(item, due)
        self._log.write(
            events.ChangeDeferred(
                key=item.key,
                deleted=item.value is None,
                restored=item.is_restored,
                revision=item.revision,
            )
        )
        return True

    def pop_due(self, now: float) -> list[wire.Item]:
        """Remove and return the changes that take effect now."""
        due = [d.item for d in self._by_key.values() if now >= d.due]
        for item in due:
            del self._by_key[item.key]
        return due


def _compute_delay(
    item: wire.Item, *, is_listed: bool, is_lapsing: bool
) -> float:
    """Return after how many seconds a change takes effect; 0 for at once."""
    if item.is_lost:
        return 0.0
    is_removed = item.value is None
    if item.key.startswith(const.PREFIX_ENDPOINTS):
        if is_removed:
            may_return = is_listed and (is_lapsing or item.is_restored)
            return LAPSE_GRACE_SECONDS if may_return else 0.0
        is_returned = item.is_restored and not is_listed
        return RESTORED_ENDPOINT_SECONDS if is_returned else 0.0
    if item.key.startswith(const.PREFIX_EVACUATED):
        is_missing = item.is_restored and is_removed
        return RESTORED_EVACUATION_SECONDS if is_missing else 0.0
    return 0.0
