"""Servers of an instance: for callers, lookups, readiness and metrics."""

from citronport.callers import connections
from citronport.callers import server as caller_server
from citronport.platform import const as wire
from citronport.relay import application as application_module
from citronport.relay import forward_server
from citronport.relay import message_limits
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import models

BODY_MEMORY_SHARE = 0.2
"""Share of the memory that all request bodies together may take."""

FORWARD_DESCRIPTORS_SHARE = 8
"""The part of the file descriptors, as divisor, that connections of other
instances may take: callers and endpoints need most of them."""

RESERVED_DESCRIPTORS = 200
"""Number of file descriptors that are reserved for files, as the platform
requires."""


def make_caller_server(
    settings: settings_module.Settings,
    application: application_module.Application,
) -> caller_server.Server:
    """Return the server for requests of callers."""
    limits = make_limits(settings, None)
    server = _make_server(settings.callers, application, limits)
    server.singleton_headers = wire.SINGLETON_HEADERS
    return server


def make_forward_server(
    settings: settings_module.Settings,
    application: forward_server.ForwardServer,
) -> caller_server.Server:
    """Return the server for requests that other instances forward."""
    address = settings_module.Listener(
        address=settings.peers.address, port=settings.reports
    )
    limits = connections.Limits(
        connections=max(1, settings.files // FORWARD_DESCRIPTORS_SHARE),
        body_bytes=message_limits.MAX_MESSAGE_BYTES,
        total_body_bytes=int(settings.memory_mb * 1e6 * BODY_MEMORY_SHARE),
    )
    return _make_server(address, application, limits)


def make_limits(
    settings: settings_module.Settings,
    configuration: models.Configuration | None,
) -> connections.Limits:
    """Return the limits on size and time of callers' requests.

    The limits of the configuration are used once one is known.
    """
    limits = connections.Limits(
        connections=(settings.files - RESERVED_DESCRIPTORS) // 2,
        total_body_bytes=int(settings.memory_mb * 1e6 * BODY_MEMORY_SHARE),
    )
    if configuration is None:
        return limits
    configured = configuration.limits
    return connections.Limits(
        connections=limits.connections,
        total_body_bytes=limits.total_body_bytes,
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
) -> caller_server.Server:
    return caller_server.make_server(
        listener.address, listener.port, application, limits
    )
