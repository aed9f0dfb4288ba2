"""Metrics of an instance, built from its status and counts on request."""

from typing import Any

import aioprometheus
from aioprometheus import renderer

from citronport import telemetry
from citronport.operators import models

_UNSAFE = str.maketrans({'"': "_", "\\": "_", "\n": "_"})

Labels = dict[str, str]


def render(
    status: models.Status, counts: telemetry.Counts
) -> tuple[bytes, str]:
    """Return the metrics in the text format, and their content type.

    All collectors are created anew for each scrape, so that endpoints which
    the instance no longer has disappear from its metrics, and no value is
    counted twice.
    """
    registry = aioprometheus.Registry()
    _add_instance(registry, status)
    _add_tiers(registry, status)
    _add_endpoints(registry, status)
    _add_counts(registry, counts)
    _add_first_token(registry, counts)
    body, headers = renderer.render(registry, [])
    return body, headers["Content-Type"]


def _gauge(registry: aioprometheus.Registry, name: str, doc: str) -> Any:
    return aioprometheus.Gauge(f"citronport_{name}", doc, registry=registry)


def _counter(registry: aioprometheus.Registry, name: str, doc: str) -> Any:
    return aioprometheus.Counter(f"citronport_{name}", doc, registry=registry)


def _add_instance(
    registry: aioprometheus.Registry, status: models.Status
) -> None:
    _gauge(registry, "up_seconds", "Time since the start.").set(
        {}, round(status.up_seconds, 3)
    )
    _gauge(registry, "leaving", "1 while no new work is taken.").set(
        {}, int(status.leaving)
    )
    _gauge(registry, "catalogue_version", "Version in force here.").set(
        {}, status.catalogue_version
    )
    _gauge(
        registry,
        "catalogue_seconds",
        "Time since the catalogue in force came into force here.",
    ).set({}, round(status.catalogue_seconds, 3))
    _gauge(registry, "instance_list_version", "Version in force here.").set(
        {}, status.list_version
    )
    _gauge(registry, "peer_links", "Open links to other instances.").set(
        {}, sum(peer.linked for peer in status.peers)
    )


def _add_tiers(
    registry: aioprometheus.Registry, status: models.Status
) -> None:
    running = _gauge(
        registry, "running", "Requests in progress at owned endpoints."
    )
    queued = _gauge(
        registry, "queued_tokens", "Work waiting for owned endpoints."
    )
    for tier in status.tiers:
        labels = {"tier": str(tier.tier)}
        running.set(labels, tier.running)
        queued.set(labels, tier.queued_tokens)


def _add_endpoints(
    registry: aioprometheus.Registry, status: models.Status
) -> None:
    running = _gauge(
        registry, "endpoint_running", "Requests in progress there."
    )
    connected = _gauge(registry, "endpoint_connected", "1 while it answers.")
    cold = _gauge(registry, "endpoint_cold", "1 until it was shown warm.")
    for endpoint in status.endpoints:
        labels = {"endpoint": endpoint.name.translate(_UNSAFE)}
        running.set(labels, endpoint.running)
        connected.set(labels, int(endpoint.connected))
        cold.set(labels, int(endpoint.cold))


def _add_counts(
    registry: aioprometheus.Registry, counts: telemetry.Counts
) -> None:
    requests = _counter(
        registry,
        "requests_total",
        'Requests of callers here; outcome "whole" is goodput.',
    )
    for (tier, outcome), number in counts.outcomes.items():
        requests.set({"tier": str(tier), "outcome": outcome}, number)
    refusals = _counter(
        registry, "refusals_total", "Refusals given to callers, by code."
    )
    for code, number in counts.refusals.items():
        refusals.set({"code": str(code)}, number)
    deaths = _counter(
        registry, "task_deaths_total", "Unforeseen errors that ended a task."
    )
    for task, number in counts.task_deaths.items():
        deaths.set({"task": task}, number)
    reads = _counter(
        registry, "platform_reads_total", "Calls to the platform."
    )
    for (path, outcome), number in counts.platform_reads.items():
        reads.set({"path": path, "outcome": outcome}, number)


def _add_first_token(
    registry: aioprometheus.Registry, counts: telemetry.Counts
) -> None:
    collector = aioprometheus.Histogram(
        "citronport_first_token_seconds",
        "Time to the first piece of an answer.",
        registry=registry,
        buckets=telemetry.FIRST_TOKEN_BUCKETS_SECONDS,
    )
    for tier, observed in enumerate(counts.first_token):
        collector.set_value({"tier": str(tier)}, observed)
