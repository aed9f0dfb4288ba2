"""What is kept of each other instance."""

import dataclasses

import msgspec

from citronport.relay import messages
from citronport.scheduler.direct import row_budget

_TABLE = "profiles"


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance and its latest report.

    Attributes:
        report: its latest report; None if it is known from other
            instances only.
        reported_at: clock time of its latest report, seconds.
        added_at: clock time at which it was first known, seconds.
        peer_address: its address for other instances.
        data_centre: its data centre.
    """

    report: messages.Report | None
    reported_at: float
    added_at: float
    peer_address: str
    data_centre: str


class KeptRows:
    """Limits the rows that are kept with the reports of other instances.

    Args:
        members: the other instances.
        budget: limits their rows in all tables.
    """

    def __init__(
        self, members: dict[str, Member], budget: row_budget.RowBudget
    ) -> None:
        self._members = members
        self._budget = budget
        self._budget.add_table(_TABLE, self._drop)

    def strip(self, report: messages.Report) -> messages.Report:
        """Return a report without the rows that are merged elsewhere.

        Its profiles are kept, since they are passed on in summaries.
        """
        size = row_budget.count_bytes(row[0] for row in report.profiles)
        has_room = self._budget.hold(_TABLE, report.instance, size)
        return msgspec.structs.replace(
            report,
            admitted_units={},
            loads=[],
            profiles=report.profiles if has_room else [],
            members=[],
            suspects=[],
            limits=[],
        )

    def release(self, name: str) -> None:
        """Count the rows of an instance that is gone no more."""
        self._budget.hold(_TABLE, name, 0)

    def _drop(self, name: str) -> None:
        member = self._members.get(name)
        if member is not None and member.report is not None:
            member.report = msgspec.structs.replace(member.report, profiles=[])
