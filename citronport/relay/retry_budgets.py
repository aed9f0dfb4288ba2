"""Retry budgets of all services on this instance."""

from citronport import clock
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import retries


class RetryBudgets:
    """Retry budgets by service.

    Args:
        settings: settings of this instance.
        ticker: the clock.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        ticker: clock.Clock,
    ) -> None:
        self._settings = settings
        self._ticker = ticker
        self._started_at = ticker.now()
        self._budgets: dict[str, retries.RetryBudget] = {}

    def update_settings(self, settings: settings_module.Settings) -> None:
        """Use new settings; sends before still count."""
        self._settings = settings
        bounds = settings.bounds
        for budget in self._budgets.values():
            budget.update(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window_seconds,
                self._ticker.now(),
            )

    def get(self, service: str) -> retries.RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._settings.bounds
            budget = self._budgets[service] = retries.RetryBudget(
                bounds.retry_ratio,
                bounds.retry_extra,
                bounds.retry_window_seconds,
                self._started_at,
            )
        return budget
