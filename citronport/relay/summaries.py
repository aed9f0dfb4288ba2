"""Summaries that the data centres of a large fleet exchange."""

import collections.abc

from citronport.relay import membership as membership_module
from citronport.relay import message_limits
from citronport.relay import messages
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import profiles as profiles_module
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import suspects as suspects_module

MAX_CHANGES = 64
"""Maximum number of suspects, and of endpoint limits, in one summary."""

MakeReport = collections.abc.Callable[..., messages.Report]
"""Returns the report of this instance; given a data centre, one that names
members of it only."""


class Summaries:
    """Makes the summaries of one data centre and applies those of others.

    Args:
        instance: name of this instance.
        incarnation: unique for each start of the process.
        data_centre: data centre of this instance.
        members: the other instances.
        quotas: limits of workspaces.
        profiles: learnt costs of requests, by service.
        suspects: requests suspected of crashing endpoints.
        limits: request rates that endpoints named as their limits.
        make_report: returns this instance's report.

    Attributes:
        made: summaries made since the start.
        taken: summaries applied since the start.
    """

    def __init__(
        self,
        instance: str,
        incarnation: str,
        data_centre: str,
        members: membership_module.Membership,
        quotas: quota.Quotas,
        profiles: profiles_module.Profiles,
        suspects: suspects_module.Suspects,
        limits: endpoint_limits.EndpointLimits,
        make_report: MakeReport,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._members = members
        self._quotas = quotas
        self._profiles = profiles
        self._suspects = suspects
        self._limits = limits
        self._make_report = make_report
        self.made = 0
        self.taken = 0
        # Incarnation and latest summary number of each envoy, the ones seen
        # least recently first.
        self._last_seen: dict[str, tuple[str, int]] = {}

    def make(self, now: float) -> messages.Summary:
        """Return a summary of this data centre for other ones."""
        self.made += 1
        own_report = self._make_report()
        local = [*self._members.list_local(now), (own_report, 0.0)]
        # One profile for each service is enough: that of its pool's owner.
        profiles = {row[0]: row for r, _ in local for row in r.profiles}
        return messages.Summary(
            protocol=messages.PROTOCOL,
            instance=self._instance,
            incarnation=self._incarnation,
            number=self.made,
            up_seconds=own_report.up_seconds,
            data_centre=self._data_centre,
            is_forwarded=False,
            rows=[_make_row(report, age) for report, age in local],
            admitted_units=self._quotas.get_data_centre_totals(),
            profiles=list(profiles.values()),
            members=self._members.list_members(now),
            suspects=self._suspects.list_updates(now, MAX_CHANGES),
            limits=self._limits.list_updates(now, MAX_CHANGES),
        )

    def apply(self, summary: messages.Summary, now: float) -> bool:
        """Apply a summary; return False if it is outdated or a local one.

        Args:
            summary: summary of any data centre.
            now: clock time, seconds.
        """
        if summary.data_centre == self._data_centre:
            return False
        # The same summary may arrive directly and forwarded. One that
        # arrives after a later one is dropped.
        last = self._last_seen.get(summary.instance)
        incarnation = summary.incarnation
        if last and last[0] == incarnation and last[1] >= summary.number:
            return False
        self._last_seen.pop(summary.instance, None)
        self._last_seen[summary.instance] = (incarnation, summary.number)
        if len(self._last_seen) > membership_module.MAX_MEMBERS:
            del self._last_seen[next(iter(self._last_seen))]
        self.taken += 1
        for row in summary.rows:
            report, age = _read_row(summary, row)
            self._members.apply_report(report, now - age)
        self._members.add_members(summary.members, now)
        self._suspects.apply_updates(summary.suspects, now)
        self._limits.apply_updates(summary.limits, now)
        self._quotas.apply_data_centre_totals(
            summary.data_centre,
            summary.instance,
            incarnation,
            summary.admitted_units,
            now,
            summary.up_seconds,
        )
        for service, base, per_token, total in summary.profiles:
            self._profiles.set_remote(
                service,
                profiles_module.Profile(
                    base_steps=base,
                    steps_per_token=per_token,
                    total_steps=total,
                ),
            )
        return True


def _make_row(report: messages.Report, age: float) -> message_limits.StateRow:
    return (
        report.instance,
        report.incarnation,
        report.number,
        round(age, 3),
        report.capacity,
        report.caller_address,
        report.peer_address,
        report.ready,
        report.leaving,
        report.starting,
        report.revision,
        round(report.store_seconds, 3),
        report.knows_lost,
        report.path_lost,
    )


def _read_row(
    summary: messages.Summary, row: message_limits.StateRow
) -> tuple[messages.Report, float]:
    """Return the report of a row, and its age in seconds."""
    (
        instance,
        incarnation,
        number,
        age,
        capacity,
        callers,
        peers,
        ready,
        leaving,
        starting,
        revision,
        store_seconds,
        knows_lost,
        path_lost,
    ) = row
    report = messages.Report(
        protocol=messages.PROTOCOL,
        instance=instance,
        incarnation=incarnation,
        number=number,
        up_seconds=float("inf"),
        data_centre=summary.data_centre,
        capacity=capacity,
        caller_address=callers,
        peer_address=peers,
        ready=ready,
        leaving=leaving,
        starting=starting,
        revision=revision,
        store_seconds=store_seconds,
        knows_lost=knows_lost,
        path_lost=path_lost,
        admitted_units={},
        loads=[],
        profiles=[],
        members=[],
        suspects=[],
        limits=[],
    )
    return report, age
