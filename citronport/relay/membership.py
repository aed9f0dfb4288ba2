"""Membership of the fleet, derived from the reports of its instances."""

import collections.abc
import random

from citronport.relay import members as members_module
from citronport.relay import messages
from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import row_budget

FRESH_SECONDS = 1.0
"""Maximum age of a report that counts for shared limits and loads. Several
consecutive reports may be lost before an instance counts as out of reach."""

USABLE_SECONDS = 2.0
"""Maximum age of the report of an instance that callers are sent to. Callers
notice a dead instance when they next connect, but an instance whose reports
are merely late must not lose all its callers at once."""

KNOWN_SECONDS = 30.0
"""How long after its latest report an instance is assumed to serve callers.
One that is partitioned from the others keeps serving its share of each limit.
Limits have to hold during partitions of up to half a minute."""

UNKNOWN_SHARE = 1 / 8
"""Part of the fleet that an instance takes itself for while it knows no other
one and should; about that of one of the usual seven."""

MAX_MEMBERS = 2048
"""Maximum number of other instances; anyone can name some in a datagram."""

FORGET_SECONDS = 300.0
"""How long reports are still sent to an instance that sends none, so that the
parts of a fleet discover each other again after a partition."""

REPORTS_PER_SECOND = 80.0
"""Maximum rate of reports that an instance receives. In a large data centre
each reports less often; reading them costs 2% of a core at any size."""

LARGE_FLEET = 13
"""Number of instances from which traffic between instances and calls to the
store are reduced. In a smaller fleet, full reports to all instances cost less
than a hundredth of a core and of a link."""

SUMMARY_SECONDS = 0.3
"""Interval between two summaries of a data centre for another one."""

ENVOY_COUNT = 2
"""Number of instances (envoys) that send summaries of their data centre to
another one. While one is dead and not yet detected as such, the summaries of
the other one continue."""

REPORTED_MEMBERS = 8
"""Number of members named in one report, chosen at random each time."""

SETTLED_REPORTED_MEMBERS = 2
"""Number of members named in one report of a settled fleet. Eight names would
be half of its bytes."""

GROWING_SECONDS = 0.15
"""Time without a new instance after which an instance that has just started
knows most of the running ones. A seed and the instances near it answer
within a few milliseconds, and each later report names further instances."""

SETTLED_SECONDS = 10.0
"""Time without a new instance after which a fleet counts as settled."""

MISSED_REPORTS = 3.0
"""Consecutive reports that may be missed before an instance counts as out of
reach."""

MISSED_SUMMARIES = 3.0
"""Consecutive summaries that may be missed before an instance of another data
centre counts as out of reach."""


class Membership:
    """The other instances, as one instance sees them.

    In a large fleet an instance reports only to the instances of its own
    data centre. A few of them, the envoys, send summaries of the whole data
    centre to the other ones. The traffic of an instance thus grows with its
    data centre and not with the fleet.

    Args:
        own: name of this instance.
        data_centre: data centre of this instance.
        budget: limits the rows of other instances.
    """

    def __init__(
        self,
        own: str,
        data_centre: str,
        budget: row_budget.RowBudget | None = None,
    ) -> None:
        self._own = own
        self._data_centre = data_centre
        self._members: dict[str, members_module.Member] = {}
        self._rows = members_module.KeptRows(
            self._members, budget or row_budget.RowBudget()
        )
        self._local_count = 0
        self._last_added_at = float("-inf")
        self._new_addresses: list[str] = []
        self._first_report_at: float | None = None
        self._first_ready_states: list[bool] = []
        self._others_expected_until = float("-inf")

    def expect_others(self, now: float) -> None:
        """Assume others for ``KNOWN_SECONDS``, even if none is known.

        An instance that starts behind a partition knows no other. All such
        instances together must keep to the shared limits as well.
        """
        self._others_expected_until = now + KNOWN_SECONDS

    def get_report_interval(self) -> float:
        """Return the minimum interval between two reports, seconds."""
        receivers = (
            self._local_count if self.is_large() else len(self._members)
        )
        return receivers / REPORTS_PER_SECOND

    def get_propagation_seconds(self) -> float:
        """Return the time until all instances get a change, seconds."""
        interval = self.get_report_interval()
        return interval + SUMMARY_SECONDS if self.is_large() else interval

    def is_large(self) -> bool:
        """Return whether data centres exchange summaries."""
        # Instances out of reach count as well: a fleet that a partition has
        # halved must not switch its mode of exchange meanwhile.
        return len(self._members) + 1 >= LARGE_FLEET

    def is_remote(self, data_centre: str) -> bool:
        """Return whether a data centre sends summaries instead of reports."""
        return data_centre != self._data_centre and self.is_large()

    def is_alone(self) -> bool:
        """Return whether no other instance is known yet."""
        return not self._members

    def was_fleet_running_at_start(self) -> bool:
        """Return whether most instances were ready before this one started.

        Only the first reports that arrive just after the start count. Later
        ones may be of instances that have become ready since.
        """
        return 2 * sum(self._first_ready_states) > len(
            self._first_ready_states
        )

    def is_growing(self, now: float) -> bool:
        """Return whether this instance is still discovering others."""
        return self.is_alone() or now - self._last_added_at < GROWING_SECONDS

    def is_settled(self, now: float) -> bool:
        """Return whether no instance has been discovered recently.

        Args:
            now: clock time, seconds.
        """
        if self.is_alone():
            return False
        return now - self._last_added_at > SETTLED_SECONDS

    def apply_report(self, report: messages.Report, now: float) -> bool:
        """Store a report; return False if outdated or from this instance.

        Args:
            report: report of another instance.
            now: clock time at which it was made, seconds.
        """
        if report.instance == self._own:
            return False
        if report.instance not in self._members:
            self._drop_unreported()
        member = self._get_or_add(
            report.instance, report.data_centre, report.peer_address, now
        )
        if member is None or not self._is_newer(member, report, now):
            return False
        last = member.report
        if last is None:
            self._record_first_report(report, now)
        if last is None or last.incarnation != report.incarnation:
            self._new_addresses.append(report.peer_address)
        member.report = self._rows.strip(report)
        member.reported_at = now
        member.peer_address = report.peer_address
        self.add_members(report.members, now)
        return True

    def add_members(
        self,
        members: collections.abc.Iterable[tuple[str, str, str, str]],
        now: float,
    ) -> None:
        """Add the members that another instance names.

        Args:
            members: rows as returned by ``list_members``.
            now: clock time, seconds.
        """
        for name, _, peer_address, data_centre in members:
            if name == self._own:
                continue
            known = name in self._members
            member = self._get_or_add(name, data_centre, peer_address, now)
            if member is None:
                return
            if not known:
                self._new_addresses.append(peer_address)
            elif member.report is None:
                member.peer_address = peer_address

    def drop_forgotten(self, now: float) -> None:
        """Remove instances that sent no report for ``FORGET_SECONDS``."""
        expired = [
            n for n, m in self._members.items() if not _is_retained(m, now)
        ]
        for name in expired:
            member = self._members.pop(name)
            self._local_count -= member.data_centre == self._data_centre
            self._rows.release(name)

    def take_new_addresses(self) -> list[str]:
        """Return the addresses of instances that may not know this one yet.

        Each start of an instance is returned once, whoever reported it.
        """
        addresses, self._new_addresses = self._new_addresses, []
        return addresses

    def list_fresh(self, now: float) -> list[messages.Report]:
        """Return the reports of the instances in reach."""
        own = self._data_centre
        local_seconds = self._get_local_fresh_seconds()
        remote_seconds = self._get_remote_fresh_seconds()
        return [
            m.report
            for m in self._members.values()
            if m.report is not None
            and now - m.reported_at
            <= (local_seconds if m.data_centre == own else remote_seconds)
        ]

    def list_retained(self, now: float) -> dict[str, members_module.Member]:
        """Return all others that may still run, by name.

        Unlike in ``list_fresh``, there are those that sent no report for up
        to ``FORGET_SECONDS``, and those that only others name.

        Args:
            now: clock time, seconds.
        """
        return {n: m for n, m in self._members.items() if _is_retained(m, now)}

    def get_fresh_seconds(self, data_centre: str) -> float:
        """Return how old the report of an instance in reach may be, seconds.

        Args:
            data_centre: data centre of the instance.
        """
        if data_centre == self._data_centre:
            return self._get_local_fresh_seconds()
        return self._get_remote_fresh_seconds()

    def list_usable(self, now: float) -> list[messages.Report]:
        """Return the reports of the instances that callers may use."""
        usable_seconds = max(USABLE_SECONDS, self._get_remote_fresh_seconds())
        return [
            m.report
            for m in self._members.values()
            if m.report is not None
            and now - m.reported_at <= usable_seconds
            and m.report.ready
            and not m.report.leaving
        ]

    def list_known(self, now: float) -> tuple[str, ...]:
        """Return the names of this and all others that may serve callers."""
        names = {self._own}
        for name, member in self._members.items():
            report = member.report
            if report is None or now - member.reported_at > KNOWN_SECONDS:
                continue
            # An instance that announced its shutdown no longer serves callers
            # once its reports stop.
            if (
                report.leaving
                and now - member.reported_at > self._get_remote_fresh_seconds()
            ):
                continue
            names.add(name)
        return tuple(sorted(names))

    def get_oldest_age(self, now: float) -> float:
        """Return the age of the oldest report in use, seconds."""
        ages = [now - m.reported_at for m in self._members.values()]
        fresh = self._get_remote_fresh_seconds()
        return max((a for a in ages if a <= fresh), default=0.0)

    def compute_reach(self, now: float) -> float:
        """Return the share of the instances that are in reach."""
        known = len(self.list_known(now))
        in_reach = min(1.0, (1 + len(self.list_fresh(now))) / known)
        return self.get_known_share(now) * in_reach

    def get_known_share(self, now: float) -> float:
        """Return the share of the fleet that this instance knows."""
        if self.is_alone() and now < self._others_expected_until:
            return UNKNOWN_SHARE
        return 1.0

    def get_address(self, instance: str) -> str | None:
        """Return the address of an instance for other instances."""
        member = self._members.get(instance)
        return member.peer_address if member else None

    def list_addresses(self, now: float) -> list[str]:
        """Return the addresses that reports are sent to."""
        return [
            m.peer_address
            for m in self._members.values()
            if not self.is_remote(m.data_centre) and _is_retained(m, now)
        ]

    def list_retained_addresses(
        self, now: float, leaving_seconds: float
    ) -> set[str]:
        """Return the addresses of all others that may have sent requests.

        Unlike ``list_known``, they include instances that are only named by
        others, and those that sent no report for ``FORGET_SECONDS``.

        Args:
            now: clock time, seconds.
            leaving_seconds: how long to include an instance that announced
                its shutdown and sends no more reports.
        """
        return {
            m.peer_address
            for m in self._members.values()
            if _is_retained(m, now)
            and not (
                m.report is not None
                and m.report.leaving
                and now - m.reported_at > leaving_seconds
            )
        }

    def list_local_ages(self, now: float) -> list[float]:
        """Return the times since the starts of the others in reach, seconds.

        In a large fleet, only those of this data centre are known.
        """
        return [
            m.report.up_seconds + now - m.reported_at
            for m in self._members.values()
            if m.report is not None
            and not self.is_remote(m.data_centre)
            and now - m.reported_at <= self._get_local_fresh_seconds()
        ]

    def list_members(
        self, now: float, data_centre: str = ""
    ) -> list[tuple[str, str, str, str]]:
        """Return a random selection of the instances in reach.

        Each row holds name, incarnation, address for other instances and
        data centre.

        Args:
            now: clock time, seconds.
            data_centre: only return members of it; all by default.
        """
        fresh = [
            r
            for r in self.list_fresh(now)
            if not data_centre or r.data_centre == data_centre
        ]
        settled = self.is_settled(now) and not data_centre
        number = SETTLED_REPORTED_MEMBERS if settled else REPORTED_MEMBERS
        chosen = random.sample(fresh, min(number, len(fresh)))
        return [
            (r.instance, r.incarnation, r.peer_address, r.data_centre)
            for r in chosen
        ]

    def list_local(self, now: float) -> list[tuple[messages.Report, float]]:
        """Return the fresh reports of this data centre with their ages."""
        return [
            (m.report, now - m.reported_at)
            for m in self._members.values()
            if m.report is not None
            and m.data_centre == self._data_centre
            and now - m.reported_at <= self._get_local_fresh_seconds()
        ]

    def choose_summary_targets(self, now: float) -> list[str]:
        """Return the addresses that this instance sends summaries to now.

        One random instance of each data centre to which this instance is an
        envoy. The choice varies, so that a receiver that is dead or
        partitioned costs one summary only.
        """
        if not self.is_large():
            return []
        local = tuple(sorted(r.instance for r, _ in self.list_local(now)))
        names = (*local, self._own)
        data_centres = {m.data_centre for m in self._members.values()}
        targets = []
        for data_centre in sorted(data_centres - {self._data_centre}):
            if self._own in rendezvous.choose(data_centre, names, ENVOY_COUNT):
                targets += self._choose_summary_target(data_centre, now)
        return targets

    def _choose_summary_target(
        self, data_centre: str, now: float
    ) -> list[str]:
        members = [
            m
            for m in self._members.values()
            if m.data_centre == data_centre and _is_retained(m, now)
        ]
        fresh_seconds = self._get_remote_fresh_seconds()
        fresh = [m for m in members if now - m.reported_at <= fresh_seconds]
        return (
            [random.choice(fresh or members).peer_address] if members else []
        )

    def _get_local_fresh_seconds(self) -> float:
        return max(FRESH_SECONDS, MISSED_REPORTS * self.get_report_interval())

    def _get_remote_fresh_seconds(self) -> float:
        fresh = self._get_local_fresh_seconds()
        if self.is_large():
            fresh += MISSED_SUMMARIES * SUMMARY_SECONDS
        return fresh

    def _get_or_add(
        self, name: str, data_centre: str, peer_address: str, now: float
    ) -> members_module.Member | None:
        member = self._members.get(name)
        if member is None and len(self._members) < MAX_MEMBERS:
            member = members_module.Member(
                None, float("-inf"), now, peer_address, data_centre
            )
            self._members[name] = member
            self._local_count += data_centre == self._data_centre
            self._last_added_at = now
        return member

    def _drop_unreported(self) -> None:
        """Let one that is only named make room for one that reports."""
        if len(self._members) < MAX_MEMBERS:
            return
        for name, member in self._members.items():
            if member.report is None:
                del self._members[name]
                self._local_count -= member.data_centre == self._data_centre
                return

    def _record_first_report(
        self, report: messages.Report, now: float
    ) -> None:
        if self._first_report_at is None:
            self._first_report_at = now
        if now - self._first_report_at <= GROWING_SECONDS:
            self._first_ready_states.append(report.ready)

    def _is_newer(
        self,
        member: members_module.Member,
        report: messages.Report,
        now: float,
    ) -> bool:
        last = member.report
        if last is None:
            return True
        if last.incarnation == report.incarnation:
            # Datagrams may arrive out of order.
            return report.number > last.number
        # A summary may still hold a report of an earlier incarnation.
        return now >= member.reported_at


def _is_retained(member: members_module.Member, now: float) -> bool:
    return now - max(member.reported_at, member.added_at) <= FORGET_SECONDS
