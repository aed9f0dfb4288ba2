"""Decoders of the values in the platform's store."""

import base64
import dataclasses
import json
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec
import result

from citronport import inputs
from citronport import pages
from citronport import revisions
from citronport.platform import const
from citronport.scheduler.direct import models

_MILLISECONDS = 1000.0

_REPEAT_POLICIES = {
    "idempotent": models.RepeatPolicy.IDEMPOTENT,
    "non_idempotent": models.RepeatPolicy.NON_IDEMPOTENT,
    "streaming": models.RepeatPolicy.STREAM,
}


MAX_ERA = 10**6
"""Most restorations of a store; a revision then fits into 63 bits."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """One item of the store.

    Attributes:
        key: key of the item.
        value: content of the item; None if it was deleted.
        revision: revision of the store at the item's last change, see
            ``revisions.make_revision``.
        is_restored: whether it contradicts what was known before the store
            was restored from a copy, and may be older than that.
        is_lost: whether the store has lost it by that, so that it is known
            from another instance only.
    """

    key: str
    value: bytes | None
    revision: int
    is_restored: bool = False
    is_lost: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreResponse:
    """Decoded response of the store.

    Attributes:
        items: items or changes, in the order of the response. One that can
            be read as far as its key has an empty value, which is invalid
            for each reader.
        revision: revision of the store at the time of the response, see
            ``revisions.make_revision``.
        more: whether another page follows.
        rejected: why items without a readable key were left out.
    """

    items: tuple[Item, ...]
    revision: int
    more: bool = False
    rejected: tuple[str, ...] = ()


_Revision = Annotated[int, msgspec.Meta(ge=0, lt=revisions.PER_ERA)]
_Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
_Prefix = Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?\Z")]
_State = Annotated[str, msgspec.Meta(pattern=r"^(ready|draining)\Z")]

_Model = TypeVar("_Model")


class _WireModel(msgspec.Struct, frozen=True):
    # Unknown fields are ignored, since the platform may add some at any
    # time. A wrong type in a known field invalidates the whole value.
    pass


class _Key(_WireModel, kw_only=True):
    key: str


class _Change(_Key, kw_only=True):
    revision: _Revision


class _Item(_Change, kw_only=True):
    value: str = ""
    deleted: bool = False


class _RangePage(_WireModel, kw_only=True):
    # An invalid item must not invalidate the others.
    items: tuple[msgspec.Raw, ...]
    revision: _Revision = msgspec.field(name="currentRev")
    more: bool = msgspec.field(default=False, name="morePages")


class _EventsPage(_WireModel, kw_only=True):
    items: tuple[msgspec.Raw, ...] = msgspec.field(name="events")
    revision: _Revision = msgspec.field(name="currentRev")
    more: bool = False


class _Split(_WireModel, kw_only=True):
    service: str
    weight: inputs.Amount


class _Route(_WireModel, kw_only=True):
    name: str
    host: str
    prefix: _Prefix
    kind: str
    timeout_ms: inputs.PositiveMilliseconds = msgspec.field(name="timeoutMs")
    # Despite its name this is the objective, not a bound on latency.
    target_ms: inputs.Milliseconds = msgspec.field(
        default=0, name="targetLatencyMs"
    )
    priority: inputs.Tier = 0
    service: str | None = None
    split: tuple[_Split, ...] = msgspec.field(default=(), name="trafficSplit")
    # Number of endpoints that a request may reach, not of all retries.
    attempts: inputs.Count = msgspec.field(default=1, name="maxAttempts")
    public: bool = False
    resumable: bool = False
    gap_ms: inputs.Milliseconds | None = msgspec.field(
        default=None, name="gapAimMs"
    )


class _Engine(_WireModel, kw_only=True):
    slots: inputs.Slots
    cache_tokens: inputs.Natural = msgspec.field(default=0, name="kvCapacity")
    # Tokens in one event of a stream.
    stride: inputs.Count = 1


class _Service(_WireModel, kw_only=True):
    name: str
    health_path: str = msgspec.field(default="/healthz", name="healthPath")
    max_connections: inputs.Natural = msgspec.field(default=0, name="maxConns")
    cold_s: inputs.Seconds = msgspec.field(default=0, name="coldStartS")
    cold_per_s: inputs.Amount = msgspec.field(default=0, name="coldPerS")
    engine: _Engine | None = None


class _Limits(_WireModel, kw_only=True):
    head_bytes: inputs.Positive = msgspec.field(name="maxHeaderBytes")
    body_bytes: inputs.Positive = msgspec.field(name="maxBodyBytes")
    head_ms: inputs.PositiveMilliseconds = msgspec.field(
        name="headerTimeoutMs"
    )
    idle_ms: inputs.PositiveMilliseconds = msgspec.field(name="idleTimeoutMs")


class _Workspace(_WireModel, kw_only=True):
    name: inputs.HeaderText
    keys: tuple[str, ...] = msgspec.field(default=(), name="apiKeys")
    priority: inputs.Tier | None = None
    # "tokens"; any other value means that requests are counted.
    unit: str = "requests"
    plain_tokens: inputs.Amount = msgspec.field(default=0, name="plainTokens")
    rate: inputs.Amount = msgspec.field(default=0, name="ratePerS")
    burst: inputs.Amount = 0


class _Configuration(_WireModel, kw_only=True):
    version: inputs.Whole
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits
    tenants: tuple[_Workspace, ...] | None = None


class _EndpointRecord(_WireModel, kw_only=True):
    service: str
    address: str
    zone: str
    software: str = msgspec.field(name="version")
    slots: inputs.Slots
    state: _State
    cold_ms: inputs.MillisecondsLeft = msgspec.field(
        default=0, name="coldLeftMs"
    )
    born: inputs.UnixMilliseconds = 0


def parse_era(text: str | None) -> result.Result[int, str]:
    """Decode how often the store has been restored; 0 if it is not stated."""
    if text is None:
        return result.Ok(0)
    return inputs.attempt(
        lambda: msgspec.convert(text.strip(), _Era, strict=False)
    )


def parse_range(
    body: bytes, era: int = 0
) -> result.Result[StoreResponse, str]:
    """Decode a page of the store's items."""
    return inputs.attempt(
        lambda: _make_response(pages.decode(body, _RangePage, "items"), era)
    )


def parse_events(
    body: bytes, era: int = 0
) -> result.Result[StoreResponse, str]:
    """Decode the changes in the response to a watch."""
    return inputs.attempt(
        lambda: _make_response(pages.decode(body, _EventsPage, "events"), era)
    )


def parse_configuration(
    value: bytes,
) -> result.Result[models.Configuration, str]:
    """Decode the operators' configuration."""
    return inputs.attempt(
        lambda: _make_configuration(_decode(value, _Configuration))
    )


def parse_endpoint(
    key: str, value: bytes
) -> result.Result[models.Endpoint, str]:
    """Decode the record of an endpoint."""
    return inputs.attempt(
        lambda: _make_endpoint(key, _decode(value, _EndpointRecord))
    )


def parse_evacuated_data_centre(key: str) -> str:
    """Return the name of the data centre that a key evacuates."""
    return key.removeprefix(const.PREFIX_EVACUATED)


def _decode(data: bytes, kind: type[_Model]) -> _Model:
    # The decoder does not read the bytes of unknown fields, which may be
    # invalid as well.
    return msgspec.json.decode(data.decode(), type=kind)


def _make_response(page: _RangePage | _EventsPage, era: int) -> StoreResponse:
    parsed = [_parse_item(raw, page.revision, era) for raw in page.items]
    return StoreResponse(
        items=tuple(found.ok_value for found in parsed if found.is_ok()),
        revision=revisions.make_revision(era, page.revision),
        more=page.more,
        rejected=tuple(f.err_value for f in parsed if f.is_err()),
    )


def _parse_item(
    raw: msgspec.Raw, latest: int, era: int
) -> result.Result[Item, str]:
    """Decode an item.

    Args:
        raw: the encoded item.
        latest: revision of the response that holds it, as the store states
            it. It is used if the item's own can't be read.
        era: era of that response.

    Returns:
        The item, with an empty value if it can't be read as a whole, or why
        its key can't be read.
    """
    for kind in (_Item, _Change, _Key):
        parsed = inputs.attempt(
            lambda kind=kind: _make_item(
                msgspec.json.decode(raw, type=kind), latest, era
            )
        )
        if parsed.is_ok():
            break
    return parsed


def _make_item(item: _Key, latest: int, era: int) -> Item:
    value: bytes | None = b""
    if isinstance(item, _Item) and item.deleted:
        value = None
    elif isinstance(item, _Item):
        value = base64.b64decode(item.value, validate=True)
    number = item.revision if isinstance(item, _Change) else latest
    return Item(
        key=item.key,
        value=value,
        revision=revisions.make_revision(era, number),
    )


def _make_endpoint(key: str, record: _EndpointRecord) -> models.Endpoint:
    name = key.removeprefix(const.PREFIX_ENDPOINTS)
    if not name.isascii() or not name.isprintable() or name.split() != [name]:
        raise inputs.InvalidValueError("name does not fit into a header")
    for text in (name, record.service, record.zone, record.software):
        inputs.check_name(text)
    inputs.check_address(record.address)
    return models.Endpoint(
        name=name,
        service=record.service,
        address=record.address,
        data_centre=record.zone,
        software=record.software,
        slots=record.slots,
        leaving=record.state == "draining",
        draining=record.state == "draining",
        cold_seconds=record.cold_ms / _MILLISECONDS,
        started=record.born,
    )


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
