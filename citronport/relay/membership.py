"""Which instances there are, from what they tell of themselves."""

import collections.abc
import dataclasses
import random

from citronport.relay import messages
from citronport.scheduler.direct import rendezvous

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

REPORTS_PER_SECOND = 80.0
"""Reports that an instance takes a second, at most. In a large data centre
each reports less often, so that reading them costs 2% of a core at any
size."""

LARGE_FLEET = 13
"""Instances from which on what each tells all others, and asks the store, is
kept small: below, it costs less than a hundredth of a core and of a link."""

SUMMARY_SECONDS = 0.3
"""Pause between two summaries of a data centre for one of the others."""

ENVOYS = 2
"""Instances that tell one data centre of another one. While one of them is
dead and not yet seen to be, the other one's summaries go on."""

TOLD_MEMBERS = 8
"""Members named in one report; other ones each time."""

SETTLED_MEMBERS = 2
"""The same once no new instance has been heard of for a while: names would
be half of the bytes of a report."""

GROWING_SECONDS = 0.15
"""Time without a new instance after which one that has just started knows
most of those that run: a seed and its neighbours answer in a few
milliseconds, and the next report of a neighbour names others."""

SETTLED_SECONDS = 10.0
"""Time without a new instance after which a fleet counts as settled."""

SILENT_REPORTS = 3.0
"""Reports that must stay out before an instance counts as out of reach."""

SILENT_SUMMARIES = 3.0
"""The same for the summaries by which other data centres hear of it."""


@dataclasses.dataclass(slots=True)
class Member:
    """Another instance and its latest report.

    Attributes:
        report: what it told last; None if only others told of it.
        heard: clock time of its latest report, seconds.
        told: clock time at which it was first told of, seconds.
        peers: its address for other instances.
        data_centre: where it stands.
    """

    report: messages.Report | None
    heard: float
    told: float
    peers: str
    data_centre: str


class Membership:
    """The other instances, as one instance sees them.

    In a large fleet an instance reports to those of its own data centre
    only; envoys tell the other data centres of all of them at once. So
    what an instance reads and sends grows with its data centre, and not
    with the fleet.

    Args:
        own: name of this instance.
        data_centre: where it stands.
    """

    def __init__(self, own: str, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._members: dict[str, Member] = {}
        self._near = 0
        self._grown = float("-inf")
        self._strangers: list[str] = []

    def get_pause(self) -> float:
        """Return the shortest pause between two reports, seconds."""
        told = self._near if self.is_large() else len(self._members)
        return told / REPORTS_PER_SECOND

    def get_lag(self) -> float:
        """Return the time until others hear of this instance, seconds."""
        pause = self.get_pause()
        return pause + SUMMARY_SECONDS if self.is_large() else pause

    def is_large(self) -> bool:
        """Return whether data centres hear of each other by summaries."""
        # Instances that have long been gone count, too: a fleet that a
        # cut has halved must not change its ways within it.
        return len(self._members) + 1 >= LARGE_FLEET

    def is_far(self, data_centre: str) -> bool:
        """Return whether a data centre is told of by its envoys only."""
        return data_centre != self._data_centre and self.is_large()

    def is_alone(self) -> bool:
        """Return whether nobody else has been heard of yet."""
        return not self._members

    def is_growing(self, now: float) -> bool:
        """Return whether this instance still gets to know the others."""
        return self.is_alone() or now - self._grown < GROWING_SECONDS

    def is_settled(self, now: float) -> bool:
        """Return whether no new instance has been heard of for a while.

        Args:
            now: clock time, seconds.
        """
        if self.is_alone():
            return False
        return now - self._grown > SETTLED_SECONDS

    def hear(self, report: messages.Report, now: float) -> bool:
        """Take a report; return False if it is old or one's own.

        Args:
            report: of another instance.
            now: clock time at which it was written, seconds.
        """
        if report.instance == self._own:
            return False
        member = self._find(
            report.instance, report.data_centre, report.peers, now
        )
        if not self._is_newer(member, report, now):
            return False
        last = member.report
        if last is None or last.incarnation != report.incarnation:
            self._strangers.append(report.peers)
        member.report = report
        member.heard = now
        member.peers = report.peers
        self.learn(report.members, now)
        return True

    def learn(
        self,
        members: collections.abc.Iterable[tuple[str, str, str, str]],
        now: float,
    ) -> None:
        """Take the names and addresses that another instance tells.

        Args:
            members: rows as ``list_members`` makes them.
            now: clock time, seconds.
        """
        for name, _, peers, data_centre in members:
            if name == self._own:
                continue
            known = name in self._members
            member = self._find(name, data_centre, peers, now)
            if not known:
                self._strangers.append(peers)
            elif member.report is None:
                member.peers = peers

    def drop_gone(self, now: float) -> None:
        """Forget the instances that nobody has heard of for long."""
        gone = [n for n, m in self._members.items() if not _is_tried(m, now)]
        for name in gone:
            member = self._members.pop(name)
            self._near -= member.data_centre == self._data_centre

    def take_strangers(self) -> list[str]:
        """Return the addresses of instances that may not know this one yet.

        Each start of another instance that reports to this one is named
        once, whether it did so by itself or was told of by others.
        """
        strangers, self._strangers = self._strangers, []
        return strangers

    def list_fresh(self, now: float) -> list[messages.Report]:
        """Return the reports of the instances in reach."""
        near, far = self._get_fresh(), self._get_far_fresh()
        own = self._data_centre
        return [
            m.report
            for m in self._members.values()
            if m.report is not None
            and now - m.heard <= (near if m.data_centre == own else far)
        ]

    def list_usable(self, now: float) -> list[messages.Report]:
        """Return the reports of those that callers may be sent to."""
        listed = max(LISTED_SECONDS, self._get_far_fresh())
        return [
            m.report
            for m in self._members.values()
            if m.report is not None
            and now - m.heard <= listed
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
            if report.leaving and now - member.heard > self._get_far_fresh():
                continue
            names.add(name)
        return tuple(sorted(names))

    def get_oldest_age(self, now: float) -> float:
        """Return the age of the oldest report in use, seconds."""
        ages = [now - m.heard for m in self._members.values()]
        fresh = self._get_far_fresh()
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
            if not self.is_far(m.data_centre) and _is_tried(m, now)
        ]

    def list_members(
        self, now: float, data_centre: str = ""
    ) -> list[tuple[str, str, str, str]]:
        """Return what to tell others of the instances in reach.

        Args:
            now: clock time, seconds.
            data_centre: whose members are wanted; all by default.
        """
        fresh = [
            r
            for r in self.list_fresh(now)
            if not data_centre or r.data_centre == data_centre
        ]
        settled = self.is_settled(now) and not data_centre
        number = SETTLED_MEMBERS if settled else TOLD_MEMBERS
        told = random.sample(fresh, min(number, len(fresh)))
        return [
            (r.instance, r.incarnation, r.peers, r.data_centre) for r in told
        ]

    def list_near(self, now: float) -> list[tuple[messages.Report, float]]:
        """Return the fresh reports of this data centre and their ages."""
        return [
            (m.report, now - m.heard)
            for m in self._members.values()
            if m.report is not None
            and m.data_centre == self._data_centre
            and now - m.heard <= self._get_fresh()
        ]

    def choose_targets(self, now: float) -> list[str]:
        """Return whom this instance tells of its data centre now.

        One of each data centre that it is an envoy to, another one each
        time: a receiver that is dead or cut off then costs one summary.
        """
        if not self.is_large():
            return []
        near = tuple(sorted(r.instance for r, _ in self.list_near(now)))
        names = (*near, self._own)
        places = {m.data_centre for m in self._members.values()}
        targets = []
        for place in sorted(places - {self._data_centre}):
            if self._own in rendezvous.choose(place, names, ENVOYS):
                targets += self._choose_target(place, now)
        return targets

    def _choose_target(self, place: str, now: float) -> list[str]:
        tried = [
            m
            for m in self._members.values()
            if m.data_centre == place and _is_tried(m, now)
        ]
        far = self._get_far_fresh()
        fresh = [m for m in tried if now - m.heard <= far]
        return [random.choice(fresh or tried).peers] if tried else []

    def _get_fresh(self) -> float:
        return max(FRESH_SECONDS, SILENT_REPORTS * self.get_pause())

    def _get_far_fresh(self) -> float:
        fresh = self._get_fresh()
        if self.is_large():
            fresh += SILENT_SUMMARIES * SUMMARY_SECONDS
        return fresh

    def _find(
        self, name: str, data_centre: str, peers: str, now: float
    ) -> Member:
        member = self._members.get(name)
        if member is None:
            member = Member(None, float("-inf"), now, peers, data_centre)
            self._members[name] = member
            self._near += data_centre == self._data_centre
            self._grown = now
        return member

    def _is_newer(
        self, member: Member, report: messages.Report, now: float
    ) -> bool:
        last = member.report
        if last is None:
            return True
        if last.incarnation == report.incarnation:
            # Datagrams may overtake each other.
            return report.number > last.number
        # An envoy may still tell of the start before the latest one.
        return now >= member.heard


def _is_tried(member: Member, now: float) -> bool:
    return now - max(member.heard, member.told) <= TRIED_SECONDS
