"""Retry budgets of all services on this instance."""

from citronport import clock
from citronport.relay import membership as membership_module
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import retries

FLEET_SECONDS = 0.25
"""How long a view of the fleet is used; it costs 0.5 ms in a large one, and
in trouble most requests ask for a repeat."""


class RetryBudgets:
    """Retry budgets by service, shared with the other instances.

    Args:
        settings: settings of this instance.
        members: the other instances.
        ticker: the clock.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        members: membership_module.Membership,
        ticker: clock.Clock,
    ) -> None:
        self._settings = settings
        self._members = members
        self._ticker = ticker
        self._started_at = ticker.now()
        self._window_grown_at = float("-inf")
        self._budgets: dict[str, retries.RetryBudget] = {}
        self._fleet: retries.Fleet | None = None
        self._fleet_until = float("-inf")

    def update_settings(self, settings: settings_module.Settings) -> None:
        """Use new settings; sends before still count."""
        bounds = settings.bounds
        if (
            bounds.retry_window_seconds
            > self._settings.bounds.retry_window_seconds
        ):
            # All instances get the settings, and lack earlier sends.
            self._window_grown_at = self._ticker.now()
        self._settings = settings
        self._fleet = None
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

    def describe_fleet(self) -> retries.Fleet:
        """Return the instances that share the budgets."""
        now = self._ticker.now()
        if self._fleet is None or now >= self._fleet_until:
            self._fleet = self._make_fleet(now)
            self._fleet_until = now + FLEET_SECONDS
        return self._fleet

    def _make_fleet(self, now: float) -> retries.Fleet:
        """Return the instances that share the budgets, as known now.

        Just after a start, and if a partition lasts until the other
        instances are forgotten, this one knows a part of them only. Its part
        of the fleet is taken to be as large as its part of the seeds, so that
        all parts together do not exceed the budget.
        """
        window = self._settings.bounds.retry_window_seconds
        seeds = {str(seed) for seed in self._settings.seeds}
        known = self._members.list_retained_addresses(
            now, window + retries.SETTLING_SECONDS
        )
        known.add(str(self._settings.peers))
        known_seeds = len(seeds & known)
        if not seeds:
            instances = float(len(known))
        elif known_seeds:
            instances = len(known) * len(seeds) / known_seeds
        else:
            instances = float("inf")
        if retries.is_new(now - self._window_grown_at, window):
            return retries.Fleet(instances=instances, new_share=1.0)
        ages = [
            now - self._started_at,
            *self._members.list_local_ages(now),
        ]
        new = sum(retries.is_new(age, window) for age in ages)
        return retries.Fleet(instances=instances, new_share=new / len(ages))
