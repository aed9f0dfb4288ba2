"""Settings of one entry instance, read from YAML and checked whole."""

import enum
import ipaddress
import pathlib

import pydantic
import result

from citronport import documents

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*$"
"""Names go into headers, tickets and metric labels."""


class LogLevel(enum.StrEnum):
    """From which level on log lines are written."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Listener(pydantic.BaseModel):
    """An address to listen on, or to connect to."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    address: ipaddress.IPv4Address | ipaddress.IPv6Address
    port: int = pydantic.Field(ge=1, le=65535)

    def __str__(self) -> str:
        """Return "ip:port"."""
        return f"{self.address}:{self.port}"

    def overlaps(self, other: "Listener") -> bool:
        """Return whether both can not be listened on at once."""
        if self.port != other.port:
            return False
        # The unspecified address stands for all addresses.
        any_address = (
            self.address.is_unspecified or other.address.is_unspecified
        )
        return any_address or self.address == other.address


class Settings(pydantic.BaseModel):
    """What an instance knows before it asks anybody.

    Attributes:
        instance: name of this instance, as the platform lists it.
        data_centre: name of the data centre it stands in.
        callers: where callers connect.
        peers: where other instances connect.
        operators: where status, metrics and drain are served.
        platform: addresses of the platform's services, tried in order.
        log_level: from which level on log lines are written.
        trace_file: spans are written there as JSON lines; None is off.
        trace_share: share of requests that are traced, 0 to 1; a request
            whose caller traces it already follows the caller's mark.
        event_file: decisions are written there as JSON lines; None is off.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    instance: str = pydantic.Field(max_length=64, pattern=NAME_PATTERN)
    data_centre: str = pydantic.Field(max_length=64, pattern=NAME_PATTERN)
    callers: Listener
    peers: Listener
    operators: Listener
    platform: tuple[Listener, ...] = pydantic.Field(min_length=1)
    log_level: LogLevel = LogLevel.INFO
    trace_file: str | None = pydantic.Field(default=None, min_length=1)
    trace_share: float = pydantic.Field(default=1.0, ge=0, le=1)
    event_file: str | None = pydantic.Field(default=None, min_length=1)

    @pydantic.model_validator(mode="after")
    def check_clashes(self) -> "Settings":
        """Refuse two parts that need the same address and port, or file."""
        listeners = (
            ("callers", self.callers),
            ("peers", self.peers),
            ("operators", self.operators),
        )
        for index, (name, listener) in enumerate(listeners):
            for other_name, other in listeners[:index]:
                if listener.overlaps(other):
                    raise documents.make_error(
                        (name, "port"),
                        f"{listener} is taken by {other_name} already",
                    )
        if self.event_file is not None and self.event_file == self.trace_file:
            raise documents.make_error(
                ("event_file",), "trace_file names the same file"
            )
        return self


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file.

    Args:
        path: a YAML file.

    Returns:
        The settings, or one line that names each wrong place.
    """
    match read_text(path):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(text):
            return parse_settings(text).map_err(lambda r: f"{path}: {r}")


def parse_settings(text: str) -> result.Result[Settings, str]:
    """Check the text of a settings file; see ``read_settings``."""
    return documents.parse(text, Settings)


def read_text(path: pathlib.Path) -> result.Result[str, str]:
    """Return the text of a file, or one line that says why not."""
    try:
        return result.Ok(path.read_text())
    except OSError as error:
        return result.Err(f"{path}: {error.strerror}")
    except UnicodeDecodeError:
        return result.Err(f"{path}: not text")
