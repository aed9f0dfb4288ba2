"""Settings of an instance in relay mode, read from YAML."""

import pathlib
from typing import Annotated
from typing import Any

import pydantic
import result

from citronport import documents
from citronport import settings as common

MAX_NAME_BYTES = 64


def _parse_listener(value: Any) -> Any:
    if not isinstance(value, str):
        return value
    host, _, port = value.rpartition(":")
    return {"address": host, "port": port}


def _split_list(value: Any) -> Any:
    if value is None:
        return ()
    if not isinstance(value, str):
        return value
    return tuple(part for part in value.split(",") if part)


Listener = Annotated[
    common.Listener, pydantic.BeforeValidator(_parse_listener)
]
"""An address, also in the form "ip:port"."""


class Bounds(pydantic.BaseModel):
    """Bounds that the operators guarantee to callers.

    Attributes:
        grace_seconds: time from the signal to stop until the process is
            killed.
        retry_ratio: repeats allowed for each request of a service.
        retry_extra: repeats allowed in a window beyond that.
        retry_window_seconds: window over which repeats are counted.
        limit_over: tolerated excess over a workspace's limit, as a share of
            the limit.
        limit_slack: tolerated excess beyond that, in units.
        reuse_seconds: time after which the address of an endpoint that has
            left may be used by another one.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    grace_seconds: float = pydantic.Field(default=8.0, gt=0)
    retry_ratio: float = pydantic.Field(default=0.2, ge=0)
    retry_extra: float = pydantic.Field(default=0.0, ge=0)
    retry_window_seconds: float = pydantic.Field(default=10.0, gt=0)
    limit_over: float = pydantic.Field(default=0.0, ge=0)
    limit_slack: float = pydantic.Field(default=0.0, ge=0)
    reuse_seconds: float = pydantic.Field(default=2.0, ge=0)

    @pydantic.model_validator(mode="before")
    @classmethod
    def drop_unset(cls, value: Any) -> Any:
        """Use the default for a key without a value."""
        if isinstance(value, dict):
            return {k: v for k, v in value.items() if v is not None}
        return value


class Settings(pydantic.BaseModel):
    """Settings of an instance.

    Attributes:
        instance: name of the instance.
        data_centre: data centre of the instance.
        callers: address for requests of callers.
        readiness: address for the platform's readiness checks.
        lookups: address at which callers look up which instances to use.
        peers: address at which other instances fetch changes of the store.
        reports: UDP port for reports, the same on all instances.
        metrics: port of the metrics.
        store: address of the platform's store.
        seeds: ``peers`` of some instances, which may be outdated or down.
        memory_mb: memory beyond which the process is killed.
        cores: processor cores, or a part of one, that the process may use.
        core_speed: speed of these cores relative to a reference core.
        files: maximum number of file descriptors of the process.
        bounds: bounds that the operators guarantee.
        log_level: minimum level of log lines.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    instance: str = pydantic.Field(
        max_length=MAX_NAME_BYTES, pattern=common.NAME_PATTERN
    )
    data_centre: str = pydantic.Field(
        max_length=MAX_NAME_BYTES, pattern=common.NAME_PATTERN
    )
    callers: Listener
    readiness: Listener
    lookups: Listener
    peers: Listener
    reports: int = pydantic.Field(ge=1, le=65535)
    metrics: int = pydantic.Field(ge=1, le=65535)
    store: Listener
    seeds: Annotated[
        tuple[Listener, ...], pydantic.BeforeValidator(_split_list)
    ] = ()
    memory_mb: float = pydantic.Field(default=150.0, gt=0)
    cores: float = pydantic.Field(default=1.0, gt=0)
    core_speed: float = pydantic.Field(default=1.0, gt=0)
    files: int = pydantic.Field(default=1024, ge=64)
    bounds: Bounds = Bounds()
    log_level: common.LogLevel = common.LogLevel.INFO

    @property
    def capacity(self) -> float:
        """Return the capacity of the process, in reference cores."""
        return self.cores * self.core_speed


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file; see ``settings.read_settings``."""
    match common.read_text(path):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(text):
            checked = documents.parse(text, Settings)
            return checked.map_err(lambda r: f"{path}: {r}")
