"""Servers of an instance: for callers, lookups, readiness and metrics."""

import dataclasses

from citronport import byte_budget
from citronport import resources
from citronport.callers import connections
from citronport.callers import server as caller_server
from citronport.platform import const as wire
from citronport.relay import application as application_module
from citronport.relay import forward_server
from citronport.relay import message_limits
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import models

FORWARD_DESCRIPTORS_SHARE = 8
"""The part of the file descriptors, as divisor, that connections of other
instances may take: callers and endpoints need most of them."""

RESERVED_DESCRIPTORS = 200
"""Number of file descriptors that are reserved for files, as the platform
requires."""


def make_request_servers(
    settings: settings_module.Settings,
    callers: application_module.Application,
    forwards: forward_server.ForwardServer,
) -> tuple[caller_server.Server, caller_server.Server]:
    """Return the servers for requests of callers and of other instances.

    The bytes of all requests are one sum, whichever way they come.
    """
    shares = make_shares(settings)
    budget = byte_budget.ByteBudget(
        shares.request_bytes,
        shares.small_request_bytes,
        shares.largest_request_bytes,
    )
    caller_port = _make_server(
        settings.callers, callers, make_limits(settings, None), budget
    )
    caller_port.singleton_headers = wire.SINGLETON_HEADERS
    limits = connections.Limits(
        connections=max(1, settings.files // FORWARD_DESCRIPTORS_SHARE),
        body_bytes=message_limits.MAX_MESSAGE_BYTES,
    )
    address = settings_module.Listener(
        address=settings.peers.address, port=settings.reports
    )
    return caller_port, _make_server(address, forwards, limits, budget)


def make_shares(settings: settings_module.Settings) -> resources.Shares:
    """Return what the clients of each port may use."""
    return resources.make_shares(settings.memory_mb * 1e6, settings.files)


def make_limits(
    settings: settings_module.Settings,
    configuration: models.Configuration | None,
) -> connections.Limits:
    """Return the limits on size and time of callers' requests.

    The limits of the configuration are used once one is known.
    """
    limits = connections.Limits(
        connections=(settings.files - RESERVED_DESCRIPTORS) // 2
    )
    if configuration is None:
        return limits
    configured = configuration.limits
    return dataclasses.replace(
        limits,
        idle_seconds=configured.idle_seconds,
        head_seconds=configured.head_seconds,
        body_bytes=configured.body_bytes,
    )


def make_other_servers(
    settings: settings_module.Settings,
    lookups: application_module.Lookups,
    readiness: application_module.Readiness,
    metrics: application_module.Metrics,
) -> list[caller_server.Server]:
    """Return the servers for lookups, readiness and metrics."""
    address = settings_module.Listener(
        address=settings.callers.address, port=settings.metrics
    )
    return [
        _make_server(settings.lookups, lookups),
        _make_server(settings.readiness, readiness),
        _make_server(address, metrics),
    ]


def _make_server(
    listener: settings_module.Listener,
    application: object,
    limits: connections.Limits | None = None,
    budget: byte_budget.ByteBudget | None = None,
) -> caller_server.Server:
    return caller_server.make_server(
        listener.address, listener.port, application, limits, budget
    )
