"""Settings of an entry instance, read from YAML and validated."""

import ipaddress
import pathlib

import pydantic
import result

from citronport import const
from citronport import documents
from citronport import logs
from citronport import resources
from citronport import validation


class Listener(pydantic.BaseModel):
    """An address to listen on, or to connect to."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int = pydantic.Field(ge=1, le=65535)

    def __str__(self) -> str:
        """Return "ip:port"."""
        return f"{self.address}:{self.port}"

    def overlaps(self, other: "Listener") -> bool:
        """Return whether both cannot be listened on at the same time."""
        if self.port != other.port:
            return False
        # The unspecified address covers all addresses.
        any_address = (
            self.address.is_unspecified or other.address.is_unspecified
        )
        return any_address or self.address == other.address


class Settings(pydantic.BaseModel):
    """Settings of an instance.

    Attributes:
        instance: name of this instance, as the platform lists it.
        data_centre: name of the data centre of this instance.
        callers: where callers connect.
        peers: where other instances connect.
        operators: where status, metrics and drain are served.
        platform: addresses of the platform's services, tried in order.
        memory_mb: memory that the process may take, in MB; limits what
            callers and other instances can make it hold.
        log_level: lowest level of the messages that are logged.
        trace_file: file for spans as JSON lines; None turns traces off.
        trace_share: share of requests that are traced, 0 to 1; a request
            with a trace header of its caller follows the caller's flag.
        event_file: file for decisions as JSON lines; None turns them off.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    instance: str = pydantic.Field(max_length=64, pattern=const.NAME_PATTERN)
    data_centre: str = pydantic.Field(
        max_length=64, pattern=const.NAME_PATTERN
    )
    callers: Listener
    peers: Listener
    operators: Listener
    platform: tuple[Listener, ...] = pydantic.Field(min_length=1)
    memory_mb: float = pydantic.Field(
        default=resources.DEFAULT_MEMORY_MB, gt=0, le=1e9
    )
    log_level: logs.Level = logs.Level.INFO
    trace_file: str | None = pydantic.Field(default=None, min_length=1)
    trace_share: float = pydantic.Field(default=1.0, ge=0, le=1)
    event_file: str | None = pydantic.Field(default=None, min_length=1)

    @pydantic.model_validator(mode="after")
    def check_clashes(self) -> "Settings":
        """Reject listeners or files that conflict."""
        listeners = (
            ("callers", self.callers),
            ("peers", self.peers),
            ("operators", self.operators),
        )
        for index, (name, listener) in enumerate(listeners):
            for other_name, other in listeners[:index]:
                if listener.overlaps(other):
                    raise validation.make_error(
                        (name, "port"),
                        f"{listener} is taken by {other_name} already",
                    )
        if self.event_file is not None and self.event_file == self.trace_file:
            raise validation.make_error(
                ("event_file",), "trace_file names the same file"
            )
        return self


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file.

    Args:
        path: a YAML file.

    Returns:
        The settings, or one line that lists each error.
    """
    match documents.read_text(path):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(text):
            return parse_settings(text).map_err(lambda r: f"{path}: {r}")


def parse_settings(text: str) -> result.Result[Settings, str]:
    """Parse the text of a settings file; see ``read_settings``."""
    return validation.parse(text, Settings)
