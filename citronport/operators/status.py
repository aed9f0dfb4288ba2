"""Collects the status of this instance from its components."""

import collections.abc
import dataclasses

from citronport import clock
from citronport import const as common
from citronport import settings as settings_module
from citronport import telemetry
from citronport.catalogue import const as catalogue_const
from citronport.catalogue import store
from citronport.operators import models
from citronport.scheduler import models as scheduler_models


@dataclasses.dataclass(frozen=True, kw_only=True)
class StatusSources:
    """Sources of a status, for reading only.

    Attributes:
        settings: settings of this instance.
        incarnation: unique for each start of the process.
        ticker: the clock.
        published: store of the catalogue and the instance list.
        counts: counts since the start of the process.
        summarize: returns the waiting and running work of each tier.
        get_owned_endpoints: returns the names of the owned endpoints.
        count_running: returns the number of requests of this instance in
            progress at an endpoint.
        is_warm: whether an owned endpoint was seen to be warm.
        is_linked: whether a link to an instance is open.
        is_leaving: whether the instance accepts no new work.
        connected: names of the endpoints that respond.
        reports: latest load report by endpoint.
    """

    settings: settings_module.Settings
    incarnation: str
    ticker: clock.Clock
    published: store.Store
    counts: telemetry.Counts
    summarize: collections.abc.Callable[[], scheduler_models.InstanceSummary]
    get_owned_endpoints: collections.abc.Callable[[], frozenset[str]]
    count_running: collections.abc.Callable[[str], int]
    is_warm: collections.abc.Callable[[str], bool]
    is_linked: collections.abc.Callable[[str], bool]
    is_leaving: collections.abc.Callable[[], bool]
    connected: set[str]
    reports: dict[str, scheduler_models.LoadReport]


class StatusReader:
    """Reads the current status of this instance.

    Args:
        sources: what the status is read from.
    """

    def __init__(self, sources: StatusSources) -> None:
        self._sources = sources
        self._started = sources.ticker.now()
        self._catalogue_changed = self._started
        sources.published.add_listener(self._record_change)

    def read(self) -> models.Status:
        """Return the current status."""
        sources = self._sources
        now = sources.ticker.now()
        versions = sources.published.get_versions()
        fleet = sources.published.fleet
        return models.Status(
            instance=sources.settings.instance,
            incarnation=sources.incarnation,
            data_centre=sources.settings.data_centre,
            program=common.VERSION,
            leaving=sources.is_leaving(),
            up_seconds=now - self._started,
            catalogue_version=versions.get(catalogue_const.PATH_CATALOGUE, 0),
            catalogue_seconds=now - self._catalogue_changed,
            list_version=versions.get(catalogue_const.PATH_INSTANCES, 0),
            data_centres=(
                {n: str(s) for n, s in fleet.data_centres.items()}
                if fleet
                else {}
            ),
            peers=self._read_peers(),
            endpoints=self._read_endpoints(),
            tiers=self._read_tiers(),
            refusals={
                str(code): number
                for code, number in sorted(sources.counts.refusals.items())
            },
            task_deaths=dict(sources.counts.task_deaths),
        )

    def _record_change(self, path: str) -> None:
        if path == catalogue_const.PATH_CATALOGUE:
            self._catalogue_changed = self._sources.ticker.now()

    def _read_peers(self) -> tuple[models.PeerStatus, ...]:
        sources = self._sources
        return tuple(
            models.PeerStatus(
                name=name,
                data_centre=instance.data_centre,
                listed=str(instance.state),
                operators=(
                    f"{instance.address}:{instance.operator_port}"
                    if instance.operator_port
                    else ""
                ),
                linked=sources.is_linked(name),
            )
            for name, instance in sorted(sources.published.instances.items())
            if name != sources.settings.instance
        )

    def _read_endpoints(self) -> tuple[models.EndpointStatus, ...]:
        fleet = self._sources.published.fleet
        if fleet is None:
            return ()
        return tuple(
            self._read_endpoint(fleet.endpoints[name])
            for name in sorted(self._sources.get_owned_endpoints())
            if name in fleet.endpoints
        )

    def _read_endpoint(
        self, endpoint: scheduler_models.Endpoint
    ) -> models.EndpointStatus:
        sources = self._sources
        report = sources.reports.get(endpoint.name)
        return models.EndpointStatus(
            name=endpoint.name,
            kind=str(endpoint.kind),
            data_centre=endpoint.data_centre,
            listed=str(endpoint.state),
            connected=endpoint.name in sources.connected,
            cold=not sources.is_warm(endpoint.name),
            running=sources.count_running(endpoint.name),
            concurrency=endpoint.concurrency,
            reported_running=report.running if report else 0,
            reported_queued=report.queued if report else 0,
        )

    def _read_tiers(self) -> tuple[models.TierStatus, ...]:
        summary = self._sources.summarize()
        outcomes: list[dict[str, int]] = [{} for _ in range(common.TIERS)]
        for (tier, outcome), number in self._sources.counts.outcomes.items():
            outcomes[tier][outcome] = number
        return tuple(
            models.TierStatus(
                tier=tier,
                running=summary.running[tier],
                queued_tokens=summary.queued_tokens[tier],
                outcomes=outcomes[tier],
            )
            for tier in range(common.TIERS)
        )
