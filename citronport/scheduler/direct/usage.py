"""What all instances let pass of the limits, added up by each of them."""

import dataclasses

ENVOY_SECONDS = 0.7
"""How long the envoy of another data centre may be silent until the next one
is believed: two of its summaries got lost."""

Units = dict[str, float]
"""Units by workspace."""


@dataclasses.dataclass(slots=True)
class _Told:
    incarnation: str
    units: Units
    at: float = 0.0

    def take(self, incarnation: str, units: Units) -> Units:
        """Take new totals; return by how much they have grown.

        One that has started anew counts from nothing. A total falls where
        a request was refused after all.
        """
        known = self.units if self.incarnation == incarnation else {}
        grown = {
            name: total - known.get(name, 0.0) for name, total in units.items()
        }
        self.incarnation = incarnation
        self.units = dict(units)
        return grown


class Usage:
    """Running totals: of this instance, of its data centre, of others."""

    def __init__(self) -> None:
        self._own: Units = {}
        self._sums: Units = {}
        self._instances: dict[str, _Told] = {}
        self._envoys: dict[tuple[str, str], _Told] = {}
        self._believed: dict[str, tuple[str, float]] = {}

    @property
    def is_alone(self) -> bool:
        """Whether nobody has told anything yet."""
        return not self._instances and not self._envoys

    def get_own(self) -> Units:
        """Return what this instance has let pass since its start."""
        return self._own

    def get_sums(self) -> Units:
        """Return what this data centre has let pass, as heard here."""
        return self._sums

    def add(self, workspace: str, units: float) -> None:
        """Count what this instance lets pass; less than 0 takes it back."""
        self._own[workspace] = self._own.get(workspace, 0.0) + units
        self._add_sum(workspace, units)

    def hear(self, sender: str, incarnation: str, totals: Units) -> Units:
        """Take the totals of an instance of this data centre.

        Load: an instance that has just started, among others that run for
        long. Harm: charged with all that they ever let pass, it refuses
        every workspace for as long as a burst takes to come back. The
        first word of an instance only tells where its totals stand.

        Returns:
            What has passed there since its last word.
        """
        told = self._instances.get(sender)
        if told is None:
            self._instances[sender] = _Told(incarnation, dict(totals))
            return {}
        grown = told.take(incarnation, totals)
        for name, units in grown.items():
            self._add_sum(name, units)
        return grown

    def hear_sums(
        self,
        data_centre: str,
        envoy: str,
        incarnation: str,
        sums: Units,
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
        believed, spoke = self._believed.setdefault(data_centre, (envoy, now))
        told = self._envoys.get((data_centre, envoy))
        if told is None:
            # Its sums tell nothing without earlier ones to compare with;
            # the envoy next in line knows where the silent one stopped.
            self._envoys[data_centre, envoy] = _Told(
                incarnation, dict(sums), now
            )
            return {}
        if envoy == believed or now - spoke > ENVOY_SECONDS:
            self._believed[data_centre] = (envoy, now)
            told.at = now
            return told.take(incarnation, sums)
        if spoke >= told.at:
            told.take(incarnation, sums)
            told.at = now
        return {}

    def _add_sum(self, workspace: str, units: float) -> None:
        self._sums[workspace] = self._sums.get(workspace, 0.0) + units
