"""Usage totals of all instances, added up separately on each of them."""

import collections.abc
import dataclasses
import sys

from citronport.scheduler.direct import row_budget

ENVOY_TIMEOUT_SECONDS = 0.7
"""How long the active envoy of another data centre may be silent before the
next one takes over, which allows for two lost summaries."""

MAX_WORKSPACES = 8192
"""Most workspaces whose usage is added up; anyone can name some."""

MAX_NAME_BYTES = 512
"""Memory of the longest name of a workspace that another instance reports."""

MAX_DATA_CENTRES = 256
"""Most other data centres whose usage is known."""

_INSTANCES_TABLE = "usage of instances"
_ENVOYS_TABLE = "usage of data centres"

Units = dict[str, float]
"""Units by workspace."""


@dataclasses.dataclass(slots=True)
class _Reporter:
    incarnation: str
    totals: Units
    reported_at: float = 0.0

    def update(self, incarnation: str, totals: Units) -> Units:
        """Store new totals; return their increase.

        After a restart of the reporter, its totals count from 0. A total
        decreases if the admission of a request was undone.
        """
        previous = self.totals if self.incarnation == incarnation else {}
        increase = {
            name: total - previous.get(name, 0.0)
            for name, total in totals.items()
        }
        self.incarnation = incarnation
        # Most instances report the same workspaces.
        self.totals = {sys.intern(n): total for n, total in totals.items()}
        return increase


class Usage:
    """Running totals of this instance, its data centre and other ones.

    An envoy is an instance that reports the totals of its data centre to the
    others. A data centre has several of them, of which one is active.

    Args:
        budget: limits the rows of other instances.
    """

    def __init__(self, budget: row_budget.RowBudget | None = None) -> None:
        self._budget = budget or row_budget.RowBudget()
        self._budget.add_table(_INSTANCES_TABLE, self._drop_instance)
        self._budget.add_table(_ENVOYS_TABLE, self._drop_envoy)
        self._own_totals: Units = {}
        self._data_centre_totals: Units = {}
        self._instances: dict[str, _Reporter] = {}
        self._envoys: dict[tuple[str, str], _Reporter] = {}
        self._active_envoys: dict[str, tuple[str, float]] = {}

    def get_own_totals(self) -> Units:
        """Return the units admitted by this instance since its start."""
        return self._own_totals

    def get_data_centre_totals(self) -> Units:
        """Return the units admitted in this data centre, as known here."""
        return self._data_centre_totals

    def add(self, workspace: str, units: float) -> None:
        """Count units admitted by this instance; negative ones undo that."""
        self._own_totals[workspace] = (
            self._own_totals.get(workspace, 0.0) + units
        )
        self._add_to_data_centre(workspace, units)

    def apply_totals(
        self,
        sender: str,
        incarnation: str,
        totals: Units,
        *,
        is_new: bool = False,
    ) -> Units:
        """Apply the totals of another instance of this data centre.

        The first report of an instance only sets the baseline. Otherwise an
        instance that has just started would charge all past usage of the
        others, and refuse all workspaces until their bursts are refilled.
        If the sender has just started, its first totals are charged as well:
        after a start of the whole fleet they are all usage so far.

        Args:
            sender: name of the other instance.
            incarnation: id of its current start.
            totals: units that it has admitted since then.
            is_new: whether it has just started.

        Returns:
            The units admitted there since its last report.
        """
        if not self._budget.hold(
            _INSTANCES_TABLE, sender, self._count_bytes(totals)
        ):
            return {}
        reporter = self._instances.get(sender)
        if reporter is None:
            baseline = {} if is_new else dict(totals)
            reporter = _Reporter(incarnation, baseline)
            self._instances[sender] = reporter
        increase = reporter.update(incarnation, totals)
        for name, units in increase.items():
            if self._has_room(name):
                self._add_to_data_centre(sys.intern(name), units)
        return increase

    def apply_data_centre_totals(
        self,
        data_centre: str,
        envoy: str,
        incarnation: str,
        totals: Units,
        now: float,
        *,
        is_new: bool = False,
    ) -> Units:
        """Apply the totals of another data centre from one of its envoys.

        Several envoys report the same usage, and only the active one is
        charged; otherwise limits would be used up twice as fast. The totals
        of the others are stored as of the active envoy's last report, so that
        one of them can take over from there if it fails. Otherwise the units
        in between would not be charged, and would be admitted again.

        Args:
            data_centre: name of the other data centre.
            envoy: the instance that reports for it.
            incarnation: id of the envoy's current start.
            totals: units admitted there, as known to the envoy.
            now: clock time, seconds.
            is_new: whether the envoy has just started.

        Returns:
            The units admitted there since the last report of the active
            envoy.
        """
        is_known = data_centre in self._active_envoys
        if not is_known and len(self._active_envoys) >= MAX_DATA_CENTRES:
            return {}
        if not self._budget.hold(
            _ENVOYS_TABLE, envoy, self._count_bytes(totals)
        ):
            return {}
        active, reported_at = self._active_envoys.setdefault(
            data_centre, (envoy, now)
        )
        reporter = self._envoys.get((data_centre, envoy))
        if reporter is None:
            # Without earlier totals there is no increase to charge. Only an
            # envoy that is already known has the totals at which the active
            # one stopped.
            charges = is_new and envoy == active
            reporter = _Reporter(
                incarnation, {} if charges else dict(totals), now
            )
            self._envoys[data_centre, envoy] = reporter
            if not charges:
                return {}
        if envoy == active or now - reported_at > ENVOY_TIMEOUT_SECONDS:
            self._active_envoys[data_centre] = (envoy, now)
            reporter.reported_at = now
            return reporter.update(incarnation, totals)
        if reported_at >= reporter.reported_at:
            reporter.update(incarnation, totals)
            reporter.reported_at = now
        return {}

    def retain(self, senders: collections.abc.Container[str]) -> None:
        """Forget the totals of all other senders, which are gone."""
        for sender in [s for s in self._instances if s not in senders]:
            self._drop_instance(sender)
            self._budget.hold(_INSTANCES_TABLE, sender, 0)
        for envoy in {e for _, e in self._envoys if e not in senders}:
            self._drop_envoy(envoy)
            self._budget.hold(_ENVOYS_TABLE, envoy, 0)

    def _drop_instance(self, sender: str) -> None:
        self._instances.pop(sender, None)

    def _drop_envoy(self, envoy: str) -> None:
        for key in [key for key in self._envoys if key[1] == envoy]:
            del self._envoys[key]
            if self._active_envoys.get(key[0], ("", 0.0))[0] == envoy:
                del self._active_envoys[key[0]]

    def _count_bytes(self, totals: Units) -> int:
        # The names of workspaces that are added up are shared.
        new = totals.keys() - self._data_centre_totals.keys()
        shared = (len(totals) - len(new)) * row_budget.ROW_BYTES
        return row_budget.SENDER_BYTES + shared + row_budget.count_bytes(new)

    def _has_room(self, workspace: str) -> bool:
        """Return whether the usage of a workspace is added up."""
        if workspace in self._data_centre_totals:
            return True
        return (
            len(self._data_centre_totals) < MAX_WORKSPACES
            and sys.getsizeof(workspace) <= MAX_NAME_BYTES
        )

    def _add_to_data_centre(self, workspace: str, units: float) -> None:
        self._data_centre_totals[workspace] = (
            self._data_centre_totals.get(workspace, 0.0) + units
        )
