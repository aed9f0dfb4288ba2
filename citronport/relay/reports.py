"""Contents of the reports that instances send to each other."""

import collections.abc

from citronport import clock
from citronport.relay import follower as follower_module
from citronport.relay import membership
from citronport.relay import messages
from citronport.relay import mirror as mirror_module
from citronport.relay import paths as paths_module
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import profiles as profiles_module
from citronport.scheduler.direct import quota
from citronport.scheduler.direct import suspects as suspects_module


class Reports:
    """Makes this instance's reports and applies those of other instances.

    Args:
        settings: settings of this instance.
        incarnation: unique for each start of the process.
        members: the other instances.
        board: loads and paces of endpoints.
        quotas: limits of workspaces.
        suspects: requests suspected of crashing endpoints.
        limits: request rates that endpoints named as their limits.
        mirror: the local copy of the store.
        follower: reads the store.
        paths: whether this instance has a path to the endpoints.
        is_ready: returns whether callers should use this instance.
        is_leaving: returns whether this instance is shutting down.
        is_starting: returns whether it has a configuration and still
            discovers the others.
        ticker: the clock.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: str,
        members: membership.Membership,
        board: load_tracker.LoadTracker,
        quotas: quota.Quotas,
        suspects: suspects_module.Suspects,
        limits: endpoint_limits.EndpointLimits,
        mirror: mirror_module.Mirror,
        follower: follower_module.Follower,
        paths: paths_module.Paths,
        is_ready: collections.abc.Callable[[], bool],
        is_leaving: collections.abc.Callable[[], bool],
        is_starting: collections.abc.Callable[[], bool],
        ticker: clock.Clock,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._members = members
        self._board = board
        self._quotas = quotas
        self._suspects = suspects
        self._limits = limits
        self._mirror = mirror
        self._follower = follower
        self._paths = paths
        self._is_ready = is_ready
        self._is_leaving = is_leaving
        self._is_starting = is_starting
        self._ticker = ticker
        self._started_at = ticker.now()
        self._number = 0

    def update_settings(self, settings: settings_module.Settings) -> None:
        """Use new settings; the addresses of this instance don't change."""
        self._settings = settings

    def make(self, data_centre: str = "") -> messages.Report:
        """Return this instance's report.

        Args:
            data_centre: only name members of it; any by default.
        """
        now = self._ticker.now()
        settings = self._settings
        self._number += 1
        fresh = self._members.list_fresh(now)
        self._quotas.retain(self._members.list_retained(now))
        self._board.drop_stale(
            {r.instance for r in fresh},
            {
                r.instance
                for r in fresh
                if not self._members.is_remote(r.data_centre)
            },
        )
        idle_rows = (
            load_tracker.LEASING_IDLE_ROWS_PER_REPORT
            if self._members.is_large()
            else load_tracker.MAX_IDLE_ROWS_PER_REPORT
        )
        return messages.Report(
            protocol=messages.PROTOCOL,
            instance=settings.instance,
            incarnation=self._incarnation,
            number=self._number,
            up_seconds=now - self._started_at,
            data_centre=settings.data_centre,
            capacity=settings.capacity,
            caller_address=str(settings.callers),
            peer_address=str(settings.peers),
            ready=self._is_ready(),
            leaving=self._is_leaving(),
            starting=self._is_starting(),
            revision=self._mirror.revision,
            store_seconds=(
                -1.0
                if self._follower.on_standby
                else now - self._follower.answered_at
            ),
            knows_lost=bool(self._mirror.list_lost()),
            path_lost=self._paths.is_lost,
            admitted_units=self._quotas.get_totals(),
            loads=self._board.make_report_rows(idle_rows),
            profiles=self._board.profiles.make_report_rows(),
            members=self._members.list_members(now, data_centre),
            suspects=self._suspects.list_updates(now),
            limits=self._limits.list_updates(now),
        )

    def apply(self, report: messages.Report) -> None:
        """Apply a new report of another instance."""
        if self._members.is_remote(report.data_centre):
            # Its admitted units are part of the sums of its data centre.
            return
        now = self._ticker.now()
        self._board.apply_report(
            report.instance, [tuple(row) for row in report.loads]
        )
        for service, base, per_token, total in report.profiles:
            self._board.profiles.set_remote(
                service,
                profiles_module.Profile(
                    base_steps=base,
                    steps_per_token=per_token,
                    total_steps=total,
                ),
            )
        self._quotas.apply_totals(
            report.instance,
            report.incarnation,
            report.admitted_units,
            now,
            # The summary of another data centre has its units as well.
            report.up_seconds
            if report.data_centre == self._settings.data_centre
            else float("inf"),
        )
        self._suspects.apply_updates(report.suspects, now)
        self._limits.apply_updates(report.limits, now)
