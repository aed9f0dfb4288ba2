"""Puts the status of this instance together from its parts."""

import collections.abc
import dataclasses

from citronport import clock
from citronport import const as common
from citronport import settings as settings_module
from citronport import telemetry
from citronport.catalogue import const as catalogue_const
from citronport.catalogue import store
from citronport.operators import models
from citronport.scheduler import models as decisions


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parts:
    """What a status is read from; nothing is changed through it.

    Attributes:
        settings: of this instance.
        incarnation: unique for each start of the process.
        ticker: the clock.
        published: catalogue and instance list.
        counts: what was counted since the start.
        summarize: work waiting and in progress, by tier.
        get_owned: names of the endpoints that this instance owns.
        count_running: requests of this instance at an endpoint.
        is_warm: whether an owned endpoint was shown warm.
        is_linked: whether a link to an instance is open.
        is_leaving: whether no new work is taken.
        connected: names of the endpoints that answer.
        reports: last load report by endpoint.
    """

    settings: settings_module.Settings
    incarnation: str
    ticker: clock.Clock
    published: store.Store
    counts: telemetry.Counts
    summarize: collections.abc.Callable[[], decisions.InstanceSummary]
    get_owned: collections.abc.Callable[[], frozenset[str]]
    count_running: collections.abc.Callable[[str], int]
    is_warm: collections.abc.Callable[[str], bool]
    is_linked: collections.abc.Callable[[str], bool]
    is_leaving: collections.abc.Callable[[], bool]
    connected: set[str]
    reports: dict[str, decisions.LoadReport]


class Reader:
    """Reads the status of an instance.

    Args:
        parts: where from.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._started = parts.ticker.now()
        self._changed = self._started
        parts.published.add_listener(self._note_change)

    def read(self) -> models.Status:
        """Return the status as it is now."""
        parts = self._parts
        now = parts.ticker.now()
        versions = parts.published.get_versions()
        fleet = parts.published.fleet
        return models.Status(
            instance=parts.settings.instance,
            incarnation=parts.incarnation,
            data_centre=parts.settings.data_centre,
            program=common.VERSION,
            leaving=parts.is_leaving(),
            up_seconds=now - self._started,
            catalogue_version=versions.get(catalogue_const.PATH_CATALOGUE, 0),
            catalogue_seconds=now - self._changed,
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
                for code, number in sorted(parts.counts.refusals.items())
            },
            task_deaths=dict(parts.counts.task_deaths),
        )

    def _note_change(self, path: str) -> None:
        if path == catalogue_const.PATH_CATALOGUE:
            self._changed = self._parts.ticker.now()

    def _read_peers(self) -> tuple[models.PeerStatus, ...]:
        parts = self._parts
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
                linked=parts.is_linked(name),
            )
            for name, instance in sorted(parts.published.instances.items())
            if name != parts.settings.instance
        )

    def _read_endpoints(self) -> tuple[models.EndpointStatus, ...]:
        fleet = self._parts.published.fleet
        if fleet is None:
            return ()
        return tuple(
            self._read_endpoint(fleet.endpoints[name])
            for name in sorted(self._parts.get_owned())
            if name in fleet.endpoints
        )

    def _read_endpoint(
        self, endpoint: decisions.Endpoint
    ) -> models.EndpointStatus:
        parts = self._parts
        report = parts.reports.get(endpoint.name)
        return models.EndpointStatus(
            name=endpoint.name,
            kind=str(endpoint.kind),
            data_centre=endpoint.data_centre,
            listed=str(endpoint.state),
            connected=endpoint.name in parts.connected,
            cold=not parts.is_warm(endpoint.name),
            running=parts.count_running(endpoint.name),
            concurrency=endpoint.concurrency,
            reported_running=report.running if report else 0,
            reported_queued=report.queued if report else 0,
        )

    def _read_tiers(self) -> tuple[models.TierStatus, ...]:
        summary = self._parts.summarize()
        outcomes: list[dict[str, int]] = [{} for _ in range(common.TIERS)]
        for (tier, outcome), number in self._parts.counts.outcomes.items():
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
