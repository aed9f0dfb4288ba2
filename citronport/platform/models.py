"""Decoders of the values in the platform's store."""

import base64
import binascii
import dataclasses
import json
from typing import Any

import pydantic
import result

from citronport.platform import const
from citronport.scheduler.direct import models

_MILLISECONDS = 1000.0

_REPEAT_POLICIES = {
    "idempotent": models.RepeatPolicy.IDEMPOTENT,
    "non_idempotent": models.RepeatPolicy.NON_IDEMPOTENT,
    "streaming": models.RepeatPolicy.STREAM,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """One item of the store.

    Attributes:
        key: key of the item.
        value: content of the item; None if it was deleted.
        revision: revision of the store at the item's last change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreResponse:
    """Decoded response of the store.

    Attributes:
        items: items or changes, in the order of the response.
        revision: revision of the store at the time of the response.
        more: whether another page follows.
    """

    items: tuple[Item, ...]
    revision: int
    more: bool = False


class _WireModel(pydantic.BaseModel):
    # Unknown fields are ignored, since the platform may add some at any
    # time. A wrong type in a known field invalidates the whole value.
    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, strict=True, populate_by_name=False
    )


class _Item(_WireModel):
    key: str
    value: str = ""
    revision: int
    deleted: bool = False


class _RangePage(_WireModel):
    items: tuple[_Item, ...]
    revision: int = pydantic.Field(alias="currentRev")
    more: bool = pydantic.Field(default=False, alias="morePages")


class _EventsPage(_WireModel):
    events: tuple[_Item, ...]
    revision: int = pydantic.Field(alias="currentRev")


class _Split(_WireModel):
    service: str
    weight: float = pydantic.Field(ge=0)


class _Route(_WireModel):
    name: str
    host: str
    prefix: str = pydantic.Field(pattern=r"^/(.*/)?$")
    kind: str
    timeout_ms: float = pydantic.Field(alias="timeoutMs", gt=0)
    # Despite its name this is the objective, not a bound on latency.
    target_ms: float = pydantic.Field(default=0, alias="targetLatencyMs")
    priority: int = 0
    service: str | None = None
    split: tuple[_Split, ...] = pydantic.Field(
        default=(), alias="trafficSplit"
    )
    # Number of endpoints that a request may reach, not of all retries.
    attempts: int = pydantic.Field(default=1, alias="maxAttempts", ge=1)
    public: bool = False
    resumable: bool = False
    gap_ms: float | None = pydantic.Field(default=None, alias="gapAimMs")


class _Engine(_WireModel):
    slots: int = pydantic.Field(ge=1)
    cache_tokens: int = pydantic.Field(default=0, alias="kvCapacity")
    # Tokens in one event of a stream.
    stride: int = pydantic.Field(default=1, ge=1)


class _Service(_WireModel):
    name: str
    health_path: str = pydantic.Field(default="/healthz", alias="healthPath")
    max_connections: int = pydantic.Field(default=0, alias="maxConns")
    cold_s: float = pydantic.Field(default=0, alias="coldStartS")
    cold_per_s: float = pydantic.Field(default=0, alias="coldPerS")
    engine: _Engine | None = None


class _Limits(_WireModel):
    head_bytes: int = pydantic.Field(alias="maxHeaderBytes", gt=0)
    body_bytes: int = pydantic.Field(alias="maxBodyBytes", gt=0)
    head_ms: float = pydantic.Field(alias="headerTimeoutMs", gt=0)
    idle_ms: float = pydantic.Field(alias="idleTimeoutMs", gt=0)


class _Workspace(_WireModel):
    name: str
    keys: tuple[str, ...] = pydantic.Field(default=(), alias="apiKeys")
    priority: int | None = None
    # "tokens"; any other value means that requests are counted.
    unit: str = "requests"
    plain_tokens: float = pydantic.Field(default=0, alias="plainTokens")
    rate: float = pydantic.Field(default=0, alias="ratePerS")
    burst: float = 0


class _Configuration(_WireModel):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: tuple[_Workspace, ...] | None = None


class _EndpointRecord(_WireModel):
    service: str
    address: str = pydantic.Field(pattern=r"^\d+\.\d+\.\d+\.\d+:\d+$")
    zone: str
    slots: int = pydantic.Field(ge=1)
    state: str = pydantic.Field(pattern="^(ready|draining)$")
    cold_ms: float = pydantic.Field(default=0, alias="coldLeftMs")
    born: int = 0


def parse_range(body: bytes) -> result.Result[StoreResponse, str]:
    """Decode a page of the store's items."""
    try:
        page = _RangePage.model_validate_json(body)
        return result.Ok(
            StoreResponse(
                items=tuple(_make_item(item) for item in page.items),
                revision=page.revision,
                more=page.more,
            )
        )
    except (ValueError, binascii.Error) as error:
        return result.Err(_describe(error))


def parse_events(body: bytes) -> result.Result[StoreResponse, str]:
    """Decode the changes in the response to a watch."""
    try:
        page = _EventsPage.model_validate_json(body)
        return result.Ok(
            StoreResponse(
                items=tuple(_make_item(item) for item in page.events),
                revision=page.revision,
            )
        )
    except (ValueError, binascii.Error) as error:
        return result.Err(_describe(error))


def parse_configuration(
    value: bytes,
) -> result.Result[models.Configuration, str]:
    """Decode the operators' configuration."""
    try:
        wire = _Configuration.model_validate_json(value)
        return result.Ok(_make_configuration(wire))
    except (ValueError, KeyError) as error:
        return result.Err(_describe(error))


def parse_endpoint(
    key: str, value: bytes
) -> result.Result[models.Endpoint, str]:
    """Decode the record of an endpoint."""
    try:
        record = _EndpointRecord.model_validate_json(value)
    except ValueError as error:
        return result.Err(_describe(error))
    return result.Ok(
        models.Endpoint(
            name=key.removeprefix(const.PREFIX_ENDPOINTS),
            service=record.service,
            address=record.address,
            data_centre=record.zone,
            slots=record.slots,
            leaving=record.state == "draining",
            cold_seconds=record.cold_ms / _MILLISECONDS,
            started=record.born,
        )
    )


def parse_evacuated_data_centre(key: str) -> str:
    """Return the name of the data centre that a key evacuates."""
    return key.removeprefix(const.PREFIX_EVACUATED)


def _make_item(item: _Item) -> Item:
    value = None
    if not item.deleted:
        value = base64.b64decode(item.value, validate=True)
    return Item(key=item.key, value=value, revision=item.revision)


def _make_configuration(wire: _Configuration) -> models.Configuration:
    keys = None
    if wire.tenants is not None:
        keys = {key: t.name for t in wire.tenants for key in t.keys}
    limits = wire.limits
    return models.Configuration(
        version=wire.version,
        routes=tuple(_make_route(route) for route in wire.routes),
        services={s.name: _make_service(s) for s in wire.services},
        workspaces={t.name: _make_workspace(t) for t in wire.tenants or ()},
        keys=keys,
        limits=models.CallerLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_seconds=limits.head_ms / _MILLISECONDS,
            idle_seconds=limits.idle_ms / _MILLISECONDS,
        ),
    )


def _make_route(wire: _Route) -> models.Route:
    shares = tuple(
        models.Share(service=part.service, weight=part.weight)
        for part in wire.split
        if part.weight > 0
    )
    if not shares and wire.service is not None:
        shares = (models.Share(service=wire.service, weight=1.0),)
    if not shares:
        raise ValueError(
            f"route {wire.name} has no service and no share with a weight"
        )
    timeout = wire.timeout_ms / _MILLISECONDS
    return models.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        repeat=_REPEAT_POLICIES[wire.kind],
        timeout=timeout,
        objective=wire.target_ms / _MILLISECONDS or timeout,
        tier=wire.priority,
        shares=shares,
        max_endpoints=wire.attempts,
        public=wire.public,
        resumable=wire.resumable,
        max_gap=None if wire.gap_ms is None else wire.gap_ms / _MILLISECONDS,
    )


def _make_service(wire: _Service) -> models.Service:
    engine = None
    if wire.engine is not None:
        engine = models.Engine(
            slots=wire.engine.slots,
            cache_tokens=wire.engine.cache_tokens,
            event_tokens=wire.engine.stride,
        )
    return models.Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        cold_seconds=wire.cold_s,
        cold_rate=wire.cold_per_s,
        engine=engine,
    )


def _make_workspace(wire: _Workspace) -> models.Workspace:
    return models.Workspace(
        name=wire.name,
        tier=wire.priority,
        rate=wire.rate,
        burst=wire.burst,
        counts_tokens=wire.unit == "tokens",
        plain_tokens=wire.plain_tokens,
    )


def _describe(error: Exception) -> str:
    # Reports only where and what kind an error is, never the value, since
    # that may contain a caller's key.
    if isinstance(error, pydantic.ValidationError):
        faults = [
            f"{'.'.join(map(str, f['loc']))}: {f['type']}"
            for f in error.errors(include_url=False, include_input=False)
        ]
        return "; ".join(faults[:5])
    return type(error).__name__


def dump_lookup(
    addresses: tuple[str, ...], ttl_seconds: float
) -> dict[str, Any]:
    """Return the body of the response to a caller's lookup.

    Args:
        addresses: "ip:port" of the instances to use.
        ttl_seconds: how long the caller may cache the response.
    """
    return {"addresses": list(addresses), "ttlS": ttl_seconds}


def dump_error(code: int, name: str, message: str) -> bytes:
    """Return the body of a refusal, encoded as JSON."""
    body = {"error": {"code": code, "name": name, "message": message}}
    return json.dumps(body).encode()
