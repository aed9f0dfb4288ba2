"""Which instances there are, from what they tell of themselves."""

import dataclasses
import random

from citronport.relay import messages

FRESH_SECONDS = 1.0
"""Age up to which a report counts for shared limits and loads: several
reports may be lost on the way before an instance looks out of reach."""

LISTED_SECONDS = 2.0
"""Age up to which callers are sent to an instance. A dead one is found by
its callers at their next connection; one that is only slow to report must
not lose all its callers at once."""

KNOWN_SECONDS = 30.0
"""How long a silent instance counts as one that may still serve callers.

An instance that is cut off from the others goes on serving its part of each
limit; cuts of half a minute are the longest that the limits have to hold
for.
"""

TRIED_SECONDS = 300.0
"""How long reports still go to a silent instance, so that two parts of the
fleet find each other again after a cut."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance and its latest report.

    Attributes:
        report: what it told last; None if only others told of it.
        heard: clock time of its latest report, seconds.
        told: clock time at which it was first told of, seconds.
        peers: its address for other instances.
    """

    report: messages.Report | None
    heard: float
    told: float
    peers: str


REPORTS_PER_SECOND = 80.0
"""Reports that an instance takes a second, at most. In a large fleet each
reports less often, so that reading them costs 2% of a core at any size."""

LARGE_FLEET = 13
"""Instances from which on what each tells all others, and asks the store, is
kept small: below, it costs less than a hundredth of a core and of a link."""

TOLD_MEMBERS = 8
"""Members named in one report; other ones each time."""

SETTLED_MEMBERS = 2
"""The same once no new instance has been heard of for a while. Names were
half of the bytes of a report (400 of 850), and reports between data centres
three quarters of all bytes there; each instance still hears of 160 members
a second, so that one cut off finds the others again."""

SETTLED_SECONDS = 10.0
"""Time without a new instance after which a fleet counts as settled: all
of ninety know each other 3 s after a start."""

SILENT_REPORTS = 3.0
"""Reports that must stay out before an instance counts as out of reach."""


class Membership:
    """The other instances, as one instance sees them.

    Args:
        own: name of this instance.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._members: dict[str, Member] = {}
        self._grown = float("-inf")
        self._strangers: list[str] = []

    def get_pause(self) -> float:
        """Return the shortest pause between two reports, seconds."""
        return len(self._members) / REPORTS_PER_SECOND

    def hear(self, report: messages.Report, now: float) -> bool:
        """Take a report; return False if it is old or one's own."""
        if report.instance == self._own:
            return False
        member = self._members.get(report.instance)
        if member is None:
            member = Member(None, now, now, report.peers)
            self._members[report.instance] = member
            self._grown = now
        last = member.report
        if (
            last is not None
            and last.incarnation == report.incarnation
            and last.number >= report.number
        ):
            # Datagrams may overtake each other.
            return False
        if last is None or last.incarnation != report.incarnation:
            self._strangers.append(report.peers)
        member.report = report
        member.heard = now
        member.peers = report.peers
        self._learn(report.members, now)
        return True

    def take_strangers(self) -> list[str]:
        """Return the addresses of instances that may not know this one yet.

        Each start of another instance is named once, whether it reported
        by itself or was told of by others.
        """
        strangers, self._strangers = self._strangers, []
        return strangers

    def list_fresh(self, now: float) -> list[messages.Report]:
        """Return the reports of the instances in reach."""
        return [
            m.report
            for m in self._members.values()
            if m.report is not None and now - m.heard <= self._get_fresh()
        ]

    def list_usable(self, now: float) -> list[messages.Report]:
        """Return the reports of those that callers may be sent to."""
        return [
            m.report
            for m in self._members.values()
            if m.report is not None
            and now - m.heard <= max(LISTED_SECONDS, self._get_fresh())
            and m.report.ready
            and not m.report.leaving
        ]

    def list_known(self, now: float) -> tuple[str, ...]:
        """Return the names of all that may serve callers, and this one."""
        names = {self._own}
        for name, member in self._members.items():
            report = member.report
            if report is None or now - member.heard > KNOWN_SECONDS:
                continue
            # One that said it would leave has gone if it is silent.
            if report.leaving and now - member.heard > self._get_fresh():
                continue
            names.add(name)
        return tuple(sorted(names))

    def get_oldest_age(self, now: float) -> float:
        """Return the age of the oldest report in use, seconds."""
        ages = [now - m.heard for m in self._members.values()]
        fresh = self._get_fresh()
        return max((a for a in ages if a <= fresh), default=0.0)

    def compute_reach(self, now: float) -> float:
        """Return the share of the known instances that are in reach."""
        known = len(self.list_known(now))
        return min(1.0, (1 + len(self.list_fresh(now))) / known)

    def get_address(self, instance: str) -> str | None:
        """Return the address of an instance for other instances."""
        member = self._members.get(instance)
        return member.peers if member else None

    def list_addresses(self, now: float) -> list[str]:
        """Return the addresses to which reports go."""
        return [
            m.peers
            for m in self._members.values()
            if now - max(m.heard, m.told) <= TRIED_SECONDS
        ]

    def list_members(self, now: float) -> list[tuple[str, str, str]]:
        """Return what to tell others of the instances in reach."""
        fresh = self.list_fresh(now)
        settled = now - self._grown > SETTLED_SECONDS
        number = SETTLED_MEMBERS if settled else TOLD_MEMBERS
        told = random.sample(fresh, min(number, len(fresh)))
        return [(r.instance, r.incarnation, r.peers) for r in told]

    def _get_fresh(self) -> float:
        return max(FRESH_SECONDS, SILENT_REPORTS * self.get_pause())

    def _learn(self, members: list[tuple[str, str, str]], now: float) -> None:
        for name, _, peers in members:
            if name == self._own:
                continue
            member = self._members.get(name)
            if member is None:
                self._members[name] = Member(None, float("-inf"), now, peers)
                self._grown = now
                self._strangers.append(peers)
            elif member.report is None:
                member.peers = peers
