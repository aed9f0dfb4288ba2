"""Servers of an instance: for callers, lookups, readiness and metrics."""

import dataclasses

from citronport import byte_budget
from citronport.callers import connections
from citronport.callers import server as caller_server
from citronport.platform import const as wire
from citronport.relay import application as application_module
from citronport.relay import forward_server
from citronport.relay import message_limits
from citronport.relay import settings as settings_module
from citronport.scheduler.direct import models


def make_request_servers(
    settings: settings_module.Settings,
    callers: application_module.Application,
    forwards: forward_server.ForwardServer,
) -> tuple[caller_server.Server, caller_server.Server]:
    """Return the servers for requests of callers and of other instances.

    The bytes of all requests are one sum, whichever way they come.
    """
    shares = settings.shares
    budget = byte_budget.make_budget(shares)
    caller_port = _make_server(
        settings.callers, callers, make_limits(settings, None), budget
    )
    caller_port.singleton_headers = wire.SINGLETON_HEADERS
    limits = connections.Limits(
        connections=shares.forwards,
        body_bytes=message_limits.MAX_MESSAGE_BYTES,
    )
    address = settings_module.Listener(
        address=settings.peers.address, port=settings.reports
    )
    return caller_port, _make_server(address, forwards, limits, budget)


def make_limits(
    settings: settings_module.Settings,
    configuration: models.Configuration | None,
) -> connections.Limits:
    """Return the limits on size and time of callers' requests.

    The limits of the configuration are used once one is known.
    """
    limits = connections.Limits(connections=settings.shares.callers)
    if configuration is None:
        return limits
    configured = configuration.limits
    return dataclasses.replace(
        limits,
        idle_seconds=configured.idle_seconds,
        head_seconds=configured.head_seconds,
        head_bytes=configured.head_bytes,
        line_bytes=configured.head_bytes + 1,
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
    shares = settings.shares
    return [
        _make_server(
            listener, application, connections.Limits(connections=number)
        )
        for listener, application, number in (
            (settings.lookups, lookups, shares.lookups),
            (settings.readiness, readiness, shares.readiness),
            (address, metrics, shares.metrics),
        )
    ]


def _make_server(
    listener: settings_module.Listener,
    application: object,
    limits: connections.Limits,
    budget: byte_budget.ByteBudget | None = None,
) -> caller_server.Server:
    return caller_server.make_server(
        listener.address, listener.port, application, limits, budget
    )
