"""Records which other instances may have acted while out of contact."""

import collections.abc
import dataclasses
import enum
import math

import gevent
from gevent import socket

from citronport import clock
from citronport.relay import membership as membership_module
from citronport.relay import messages

DETECTION_SECONDS = 2.0
"""Longest time from the moment at which an instance is out of reach to the
sign that its process is gone for it to count as in contact until its end."""

RELEVANT_SECONDS = 30.0
"""Time after the end of an instance in which its streams may be taken up."""

PROBE_SECONDS = 0.1
"""How long a probe waits. A machine that runs answers within milliseconds."""

PROBE_INTERVAL_SECONDS = 0.5
"""Time between two probes of an instance."""

MAX_PROBES = 16
"""Most probes at once, each with a socket; anyone can name instances that do
not answer. One that is not probed counts as possibly alive."""

OBSERVE_INTERVAL_SECONDS = 0.1
"""Age of what is known of the reports from which they are looked at again."""


class Probe(enum.Enum):
    """What a connection to an instance shows."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    """Its machine runs, its process does not."""
    UNREACHABLE = enum.auto()
    """Its machine is cut off or without power."""


@dataclasses.dataclass(slots=True)
class _Contact:
    """One start of another instance.

    Attributes:
        incarnation: unique for each start of its process; empty if only
            others have named it.
        address: its address for other instances.
        reported_at: clock time of its latest report, or at which it was
            first named, seconds.
        close_seconds: longest time from that report to the sign of its end
            for it to count as in contact until its end.
        revision: revision of the store that it knew then.
        ended_at: clock time at which its process was known to be gone; None
            while it may run.
        silence: longest time without a report that lately ended, seconds.
        returned_at: clock time of the report that ended it.
        probed_at: clock time of the latest probe, seconds.
        probe: the latest probe.
        seen_at: clock time of the latest probe that was not refused while it
            sent no reports: it may have run on after its latest one.
    """

    incarnation: str
    address: str
    reported_at: float
    close_seconds: float
    revision: int
    ended_at: float | None = None
    silence: float = 0.0
    returned_at: float = float("-inf")
    probed_at: float = float("-inf")
    probe: gevent.Greenlet | None = None
    seen_at: float = float("-inf")

    @property
    def was_cut_off(self) -> bool:
        """Whether it may have run on after its latest report."""
        return self.seen_at > self.reported_at

    def was_in_contact_until_end(self) -> bool:
        """Return whether it reported until shortly before its end."""
        return (
            self.ended_at is not None
            and bool(self.incarnation)
            and not self.was_cut_off
            and self.ended_at - self.reported_at <= self.close_seconds
        )

    def apply_report_time(self, reported_at: float) -> None:
        """Record when its latest report was sent."""
        silence = reported_at - self.reported_at
        if silence >= self.get_silence(reported_at):
            self.silence = silence
            self.returned_at = reported_at
        self.reported_at = reported_at
        self.ended_at = None

    def get_silence(self, now: float) -> float:
        """Return its longest silence that matters, seconds."""
        until = now if self.ended_at is None else self.ended_at
        is_recent = now - self.returned_at <= RELEVANT_SECONDS
        return max(
            until - self.reported_at, self.silence if is_recent else 0.0
        )


class Contacts:
    """What is known of the ends of other instances.

    One that sends no reports may be gone, or it may be cut off and serve
    callers by what it has read of the store meanwhile. If its process is gone,
    its machine refuses connections.

    Args:
        members: the other instances.
        ticker: the clock.
        probe: returns what a connection to an address shows.
    """

    def __init__(
        self,
        members: membership_module.Membership,
        ticker: clock.Clock,
        probe: collections.abc.Callable[[str], Probe],
    ) -> None:
        self._members = members
        self._ticker = ticker
        self._probe_address = probe
        self._contacts: dict[str, _Contact] = {}
        # Earlier starts of the same instances.
        self._earlier: list[_Contact] = []
        # Latest time at which one of them was silent and may have run.
        self._cut_off_at = float("-inf")
        self._running_probes = 0
        self._observed_at = float("-inf")

    def update(self) -> None:
        """Take over the latest reports; probe instances that are silent."""
        self._observe()
        now = self._ticker.now()
        fresh = {report.instance for report in self._members.list_fresh(now)}
        self._probe(
            name
            for name, contact in self._contacts.items()
            if name not in fresh
            and now - contact.reported_at <= contact.close_seconds
        )

    def may_know_more(
        self,
        answered: collections.abc.Set[str],
        revision: int,
        current_at: float,
    ) -> bool:
        """Return whether another instance may have read more of the store.

        Args:
            answered: instances that have just said what they know.
            revision: revision of the store that is known here.
            current_at: clock time up to which all changes of the store are
                known here, seconds.
        """
        self._observe()
        silent = self._contacts.keys() - answered
        gevent.joinall(self._probe(silent), timeout=PROBE_SECONDS)
        unheard = [self._contacts[name] for name in silent]
        return any(
            _may_know_more(contact, revision, current_at)
            for contact in (*unheard, *self._earlier)
        )

    def was_one_cut_off(self) -> bool:
        """Return whether another instance may have run on unheard lately."""
        now = self._ticker.now()
        if now - self._observed_at > OBSERVE_INTERVAL_SECONDS:
            self._observe()
        return now - self._cut_off_at <= RELEVANT_SECONDS

    def list_out_of_contact(
        self, revision: int, current_at: float
    ) -> list[str]:
        """Return starts of instances that may have read more unheard.

        One that has just become silent is not among them: whether it is gone
        shows within ``close_seconds``.

        Args:
            revision: revision of the store that is known here.
            current_at: clock time up to which all changes of the store are
                known here, seconds.
        """
        now = self._ticker.now()
        return [
            contact.incarnation
            for contact in (*self._contacts.values(), *self._earlier)
            if (
                contact.was_cut_off
                or now - contact.reported_at > contact.close_seconds
            )
            and _may_know_more(contact, revision, current_at)
        ]

    def knows(self, incarnations: collections.abc.Set[str]) -> bool:
        """Return whether all of some starts of instances are known."""
        contacts = (*self._contacts.values(), *self._earlier)
        return incarnations <= {c.incarnation for c in contacts}

    def get_view_seconds(self) -> float:
        """Return how old the view may be by which another instance acted.

        One that is silent may be cut off and serve callers. What it has
        begun until its return or its end matters for ``RELEVANT_SECONDS``.
        """
        self._observe()
        now = self._ticker.now()
        contacts = (*self._contacts.values(), *self._earlier)
        return max((c.get_silence(now) for c in contacts), default=0.0)

    def _observe(self) -> None:
        now = self._ticker.now()
        self._observed_at = now
        members = self._members.list_retained(now)
        for name, member in members.items():
            if member.report is not None:
                self._apply_report(name, member.report, member.reported_at)
            elif name not in self._contacts:
                self._contacts[name] = _Contact(
                    "", member.peer_address, member.added_at, 0.0, 0
                )
        for name in self._contacts.keys() - members.keys():
            del self._contacts[name]
        if any(
            now - contact.reported_at > contact.close_seconds
            and not contact.was_in_contact_until_end()
            for contact in (*self._contacts.values(), *self._earlier)
        ):
            self._cut_off_at = now
        self._earlier = [
            contact
            for contact in self._earlier
            if now - (contact.ended_at or now) <= RELEVANT_SECONDS
        ]

    def _apply_report(
        self, name: str, report: messages.Report, reported_at: float
    ) -> None:
        contact = self._contacts.get(name)
        close_seconds = DETECTION_SECONDS + (
            self._members.get_fresh_seconds(report.data_centre)
        )
        if contact is None or contact.incarnation != report.incarnation:
            if contact is not None and contact.incarnation:
                _end(contact, _compute_start(report, reported_at))
                self._earlier.append(contact)
            self._contacts[name] = _Contact(
                report.incarnation,
                report.peer_address,
                reported_at,
                close_seconds,
                report.revision,
            )
            return
        contact.revision = max(contact.revision, report.revision)
        if reported_at > contact.reported_at:
            contact.close_seconds = close_seconds
            contact.apply_report_time(reported_at)

    def _probe(
        self, names: collections.abc.Iterable[str]
    ) -> list[gevent.Greenlet]:
        """Probe instances that may run; return the probes."""
        now = self._ticker.now()
        probes = []
        for name in names:
            contact = self._contacts[name]
            if contact.ended_at is not None:
                continue
            is_due = now - contact.probed_at >= PROBE_INTERVAL_SECONDS
            if is_due and self._running_probes < MAX_PROBES:
                self._running_probes += 1
                contact.probed_at = now
                contact.probe = gevent.spawn(self._check_end, contact)
            if contact.probe is not None:
                probes.append(contact.probe)
        return probes

    def _check_end(self, contact: _Contact) -> None:
        probed_at = self._ticker.now()
        try:
            shown = self._probe_address(contact.address)
        finally:
            self._running_probes -= 1
        # Reports that were sent before the probe may be read during it, as
        # after a time in which this process did not run.
        out_of_reach_at = (
            contact.reported_at + contact.close_seconds - DETECTION_SECONDS
        )
        if shown is Probe.REFUSED:
            _end(contact, self._ticker.now())
        elif probed_at > out_of_reach_at or shown is Probe.UNREACHABLE:
            # It may read the store, and be killed before its next report.
            contact.seen_at = probed_at


def probe(address: str) -> Probe:
    """Connect to another instance; return what that shows.

    Args:
        address: "ip:port".
    """
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection(
            (host, int(port)), timeout=PROBE_SECONDS
        ):
            return Probe.ACCEPTED
    except ConnectionRefusedError:
        return Probe.REFUSED
    except OSError:
        return Probe.UNREACHABLE


def _may_know_more(
    contact: _Contact, revision: int, current_at: float
) -> bool:
    """Return whether an instance out of contact may have read more."""
    if contact.revision > revision:
        return True
    if contact.was_in_contact_until_end():
        return False
    return contact.ended_at is None or contact.ended_at > current_at


def _end(contact: _Contact, at: float) -> None:
    if contact.ended_at is None:
        contact.ended_at = max(contact.reported_at, at)


def _compute_start(report: messages.Report, reported_at: float) -> float:
    """Return when a process started, or a later time if that is unknown."""
    if math.isfinite(report.up_seconds):
        return reported_at - report.up_seconds
    return reported_at
