"""What all instances let pass of the limits, added up by each of them."""

import dataclasses

ENVOY_TIMEOUT_SECONDS = 0.7
"""How long the envoy of another data centre may be silent until the next one
is believed: two of its summaries got lost."""

Units = dict[str, float]
"""Units by workspace."""


@dataclasses.dataclass(slots=True)
class _Reporter:
    incarnation: str
    totals: Units
    reported_at: float = 0.0

    def update(self, incarnation: str, totals: Units) -> Units:
        """Take new totals; return by how much they have grown.

        One that has started anew counts from nothing. A total falls where
        a request was refused after all.
        """
        known = self.totals if self.incarnation == incarnation else {}
        increase = {
            name: total - known.get(name, 0.0)
            for name, total in totals.items()
        }
        self.incarnation = incarnation
        self.totals = dict(totals)
        return increase


class Usage:
    """Running totals: of this instance, of its data centre, of others."""

    def __init__(self) -> None:
        self._own_totals: Units = {}
        self._data_centre_totals: Units = {}
        self._instances: dict[str, _Reporter] = {}
        self._envoys: dict[tuple[str, str], _Reporter] = {}
        self._active_envoys: dict[str, tuple[str, float]] = {}

    @property
    def has_no_reports(self) -> bool:
        """Whether nobody has told anything yet."""
        return not self._instances and not self._envoys

    def get_own_totals(self) -> Units:
        """Return what this instance has let pass since its start."""
        return self._own_totals

    def get_data_centre_totals(self) -> Units:
        """Return what this data centre has let pass, as heard here."""
        return self._data_centre_totals

    def add(self, workspace: str, units: float) -> None:
        """Count what this instance lets pass; less than 0 takes it back."""
        self._own_totals[workspace] = (
            self._own_totals.get(workspace, 0.0) + units
        )
        self._add_to_data_centre(workspace, units)

    def apply_totals(
        self, sender: str, incarnation: str, totals: Units
    ) -> Units:
        """Take the totals of an instance of this data centre.

        Load: an instance that has just started, among others that run for
        long. Harm: charged with all that they ever let pass, it refuses
        every workspace for as long as a burst takes to come back. The
        first word of an instance only tells where its totals stand.

        Returns:
            What has passed there since its last word.
        """
        reporter = self._instances.get(sender)
        if reporter is None:
            self._instances[sender] = _Reporter(incarnation, dict(totals))
            return {}
        increase = reporter.update(incarnation, totals)
        for name, units in increase.items():
            self._add_to_data_centre(name, units)
        return increase

    def apply_data_centre_totals(
        self,
        data_centre: str,
        envoy: str,
        incarnation: str,
        totals: Units,
        now: float,
    ) -> Units:
        """Take the sums of another data centre from one of its envoys.

        Load: two envoys that tell of the same requests, of which one dies.
        Harm: added up, they would use up a limit twice as fast; dropped
        with the dead one, what passed meanwhile would pass once more. One
        of them is believed; of the other it is kept what it said when that
        one spoke last, so that it can go on from there.

        Returns:
            What has passed there since the last word of the believed one.
        """
        active, reported_at = self._active_envoys.setdefault(
            data_centre, (envoy, now)
        )
        reporter = self._envoys.get((data_centre, envoy))
        if reporter is None:
            # Its sums tell nothing without earlier ones to compare with;
            # the envoy next in line knows where the silent one stopped.
            self._envoys[data_centre, envoy] = _Reporter(
                incarnation, dict(totals), now
            )
            return {}
        if envoy == active or now - reported_at > ENVOY_TIMEOUT_SECONDS:
            self._active_envoys[data_centre] = (envoy, now)
            reporter.reported_at = now
            return reporter.update(incarnation, totals)
        if reported_at >= reporter.reported_at:
            reporter.update(incarnation, totals)
            reporter.reported_at = now
        return {}

    def _add_to_data_centre(self, workspace: str, units: float) -> None:
        self._data_centre_totals[workspace] = (
            self._data_centre_totals.get(workspace, 0.0) + units
        )
