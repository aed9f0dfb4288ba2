"""Settings of one entry instance, read from YAML and checked whole."""

import ipaddress
import pathlib

import pydantic
import result
import yaml


class Listener(pydantic.BaseModel):
    """An address to listen on, or to connect to."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int = pydantic.Field(ge=1, le=65535)

    def __str__(self) -> str:
        """Return "ip:port"."""
        return f"{self.address}:{self.port}"


class Settings(pydantic.BaseModel):
    """What an instance knows before it asks anybody.

    Attributes:
        instance: name of this instance, as the platform lists it.
        data_centre: name of the data centre it stands in.
        callers: where callers connect.
        peers: where other instances connect.
        operators: where status, metrics and drain are served.
        platform: addresses of the platform's services, tried in order.
        trace_file: spans are written there as JSON lines; None is off.
        event_file: decisions are written there as JSON lines; None is off.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    instance: str = pydantic.Field(min_length=1, max_length=64)
    data_centre: str = pydantic.Field(min_length=1, max_length=64)
    callers: Listener
    peers: Listener
    operators: Listener
    platform: tuple[Listener, ...] = pydantic.Field(min_length=1)
    trace_file: str | None = None
    event_file: str | None = None

    @pydantic.model_validator(mode="after")
    def check_listeners_differ(self) -> "Settings":
        """Refuse two parts that listen on one address and port."""
        listeners = [self.callers, self.peers, self.operators]
        if len({str(listener) for listener in listeners}) < len(listeners):
            raise ValueError(
                "callers, peers and operators need three different ports"
            )
        return self


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file.

    Args:
        path: a YAML file.

    Returns:
        The settings, or one line that names each wrong place.
    """
    try:
        raw = yaml.safe_load(path.read_text())
    except OSError as error:
        return result.Err(f"{path}: {error.strerror}")
    except yaml.YAMLError as error:
        return result.Err(f"{path}: not YAML: {_join_lines(error)}")
    if not isinstance(raw, dict):
        return result.Err(f"{path}: a mapping is needed at the top")
    try:
        return result.Ok(Settings.model_validate(raw))
    except pydantic.ValidationError as error:
        return result.Err(f"{path}: {describe_errors(error)}")


def describe_errors(error: pydantic.ValidationError) -> str:
    """Return one line that names each wrong place and why."""
    parts = []
    for item in error.errors():
        place = ".".join(str(step) for step in item["loc"]) or "(top)"
        parts.append(f"{place}: {item['msg']}")
    return "; ".join(parts)


def _join_lines(error: Exception) -> str:
    return " ".join(str(error).split())
