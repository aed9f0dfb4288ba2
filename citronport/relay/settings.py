"""Settings of an instance that sends by itself, read from YAML."""

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
    """What the operators promise their callers; a default where unsaid.

    Attributes:
        grace_seconds: time from the order to stop until the kill.
        retry_ratio: repeats for each request of a service.
        retry_extra: repeats in a window beyond that.
        retry_window_seconds: span over which repeats are counted.
        limit_over: share beyond a workspace's limit that is tolerated.
        limit_slack: units beyond it that are tolerated besides.
        reuse_seconds: how long an address stays unused after its endpoint.
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
        """Let a key without a value stand for its default."""
        if isinstance(value, dict):
            return {k: v for k, v in value.items() if v is not None}
        return value


class Settings(pydantic.BaseModel):
    """What an instance knows before it asks anybody.

    Attributes:
        instance: its name.
        data_centre: where it stands.
        callers: where callers connect.
        readiness: where the platform asks whether it is ready.
        lookups: where callers ask which instances to use.
        peers: where other instances ask for what is published.
        reports: port of the reports between instances, the same on all.
        metrics: port of the metrics.
        store: where the platform's store listens.
        seeds: ``peers`` of some instances, which may be stale or down.
        memory_mb: memory beyond which the process is killed.
        cores: part of a processor core that the process may use.
        core_speed: how fast that core is, against a common one.
        files: file descriptors that the process may have.
        bounds: what the operators promise.
        log_level: from which level on log lines are written.
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
        """Return what the process can do, in common processor cores."""
        return self.cores * self.core_speed


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file; see ``settings.read_settings``."""
    match common.read_text(path):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(text):
            checked = documents.parse(text, Settings)
            return checked.map_err(lambda r: f"{path}: {r}")
