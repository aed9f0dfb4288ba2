"""Renews the view of the store after this process did not run."""

from citronport import clock
from citronport.relay import store_check as store_check_module

CHECK_INTERVAL_SECONDS = 0.25
"""Time between two checks while nothing is served."""

STALL_SECONDS = 1.0
"""Time without a check from which the process counts as not having run."""

MAX_RENEWAL_SECONDS = 0.5
"""Time after a stall in which requests wait for the store: twice that of a
slow one."""


class StallMonitor:
    """Detects that this process did not run, for example as it was frozen.

    What came in meanwhile lies in its sockets: the store's answers, reports
    of other instances, and requests. Requests that are read first would be
    served by the view from before the stall.

    Args:
        store_check: reads the store.
        ticker: the clock.
    """

    def __init__(
        self, store_check: store_check_module.StoreCheck, ticker: clock.Clock
    ) -> None:
        self._store_check = store_check
        self._ticker = ticker
        self._checked_at = ticker.now()
        self._woke_at = float("-inf")

    def run(self) -> None:
        """Check at a fixed interval, indefinitely."""
        while True:
            self.check()
            self._ticker.sleep(CHECK_INTERVAL_SECONDS)

    def check(self) -> None:
        """Record whether the process did not run since the latest check."""
        now = self._ticker.now()
        if now - self._checked_at > STALL_SECONDS:
            self._woke_at = now
        self._checked_at = now

    def renew_view(self) -> None:
        """Wait until the view is no older than the end of the latest stall.

        If the store does not answer, the view is used as it is, as in any
        outage.
        """
        self.check()
        if self._store_check.current_at >= self._woke_at:
            return
        left = self._woke_at + MAX_RENEWAL_SECONDS - self._checked_at
        if left > 0:
            self._store_check.confirm(self._woke_at, left)
