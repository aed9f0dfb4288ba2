"""Settings of an instance in relay mode, read from YAML."""

import dataclasses
import pathlib
import socket
from typing import Annotated
from typing import Any

import msgspec
import result

from citronport import const
from citronport import documents
from citronport import logs
from citronport import resources

MAX_NAME_BYTES = 64
MAX_FILES = 2**31 - 1

NO_LISTENER = 'an "ip:port" address is needed'

Name = Annotated[
    str,
    msgspec.Meta(max_length=MAX_NAME_BYTES, pattern=rf"^{const.NAME}\Z"),
]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
MAX_NUMBER = 1e12
"""Largest number in the settings; sums and products of such numbers stay
finite, and can be rounded."""

PositiveNumber = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
Number = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """An address to listen on, or to connect to."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return "ip:port"."""
        return f"{self.address}:{self.port}"


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
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

    grace_seconds: PositiveNumber = 8.0
    retry_ratio: Number = 0.2
    retry_extra: Number = 0.0
    retry_window_seconds: PositiveNumber = 10.0
    limit_over: Number = 0.0
    limit_slack: Number = 0.0
    reuse_seconds: Number = 2.0


class Scheduling(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Optional rules of scheduling; by default none of them applies.

    Attributes:
        fair_shares: whether workspaces share scarce slots in proportion to
            their limits, instead of in order of arrival.
        remote_penalty: cost of an endpoint in another data centre than the
            sending instance, as a share of the request's objective; 0
            treats all data centres alike.
        early_owners: whether an instance that still discovers the others
            already leases out slots.
        fit_long_answers: whether requests for long answers wait briefly for
            an endpoint that is fast enough to end them by their deadline.
        early_step_times: whether the first events of a stream give a step
            time to an endpoint that has none yet, which its owner learns at
            once.
        overdue_factor: multiple of the expected time to a request's first
            event, or to its plain answer, after which it is overdue, unless
            that is within its objective; 0 if no request ever is. Set it
            above the usual spread of the service's times to the first event
            or answer; a smaller value counts slow endpoints as silent.
    """

    fair_shares: bool = False
    remote_penalty: Share = 0.0
    early_owners: bool = False
    fit_long_answers: bool = False
    early_step_times: bool = False
    overdue_factor: Number = 0.0


class Settings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of an instance.

    Attributes:
        instance: name of the instance.
        data_centre: data centre of the instance.
        callers: address for requests of callers.
        readiness: address for the platform's readiness checks.
        lookups: address at which callers look up which instances to use.
        peers: address at which other instances fetch changes of the store.
        reports: UDP port for reports and TCP port for forwarded requests,
            the same on all instances.
        metrics: port of the metrics.
        store: address of the platform's store.
        seeds: ``peers`` of some instances, which may be outdated or down.
        memory_mb: memory beyond which the process is killed.
        cores: processor cores, or a part of one, that the process may use.
        core_speed: speed of these cores relative to a reference core.
        files: maximum number of file descriptors of the process.
        bounds: bounds that the operators guarantee.
        scheduling: optional rules of scheduling.
        log_level: minimum level of log lines.
    """

    instance: Name
    data_centre: Name
    callers: Listener
    readiness: Listener
    lookups: Listener
    peers: Listener
    reports: Port
    metrics: Port
    store: Listener
    seeds: tuple[Listener, ...] = ()
    memory_mb: PositiveNumber = 150.0
    cores: PositiveNumber = 1.0
    core_speed: PositiveNumber = 1.0
    files: Annotated[int, msgspec.Meta(ge=64, le=MAX_FILES)] = 1024
    bounds: Bounds = Bounds()
    scheduling: Scheduling = Scheduling()
    log_level: logs.Level = logs.Level.INFO

    @property
    def capacity(self) -> float:
        """Return the capacity of the process, in reference cores."""
        return self.cores * self.core_speed

    @property
    def shares(self) -> resources.Shares:
        """Return what the clients of each port may use."""
        return resources.make_shares(self.memory_mb * 1e6, self.files)


def read_settings(path: pathlib.Path) -> result.Result[Settings, str]:
    """Read and check a settings file; see ``settings.read_settings``."""
    match documents.read_text(path):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(text):
            return _parse_safely(text).map_err(lambda r: f"{path}: {r}")


def parse_listener(text: Any) -> Listener:
    """Return the listener of a text in the form "ip:port".

    Raises:
        ValueError: the value is not such a text.
    """
    if not isinstance(text, str):
        raise ValueError(NO_LISTENER)
    host, _, port = text.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
        number = msgspec.convert(port, Port, strict=False)
    except (OSError, msgspec.ValidationError) as error:
        raise ValueError(NO_LISTENER) from error
    return Listener(host, number)


def _parse_safely(text: str) -> result.Result[Settings, str]:
    # A reload must keep the current settings whatever the new text is, for
    # example nested too deeply for the parser.
    try:
        return _parse(text)
    except Exception as error:
        return result.Err(f"unreadable: {type(error).__name__}")


def _parse(text: str) -> result.Result[Settings, str]:
    match documents.load(text):
        case result.Err(reason):
            return result.Err(reason)
        case result.Ok(dict() as raw):
            if isinstance(raw.get("seeds"), str):
                raw["seeds"] = [s for s in raw["seeds"].split(",") if s]
            faults: list[documents.Fault] = []
            settings = _convert(raw, Settings, (), faults)
            if settings is None:
                return result.Err(documents.describe_faults(text, faults))
            return result.Ok(settings)
        case _:
            return result.Err(documents.NO_MAPPING)


def _convert(
    raw: dict,
    kind: type[msgspec.Struct],
    path: documents.Location,
    faults: list[documents.Fault],
) -> Any:
    """Return the struct of a mapping; None if it has faults.

    Converts field by field, so that each fault is found and not only the
    first one. A key without a value gets its default.

    Args:
        raw: the mapping.
        kind: the struct.
        path: path of the mapping from the top of the document.
        faults: receives the faults.
    """
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    found = len(faults)
    values = {}
    for key in raw.keys() - fields.keys():
        faults.append(
            documents.Fault((*path, str(key)), documents.UNKNOWN_KEY)
        )
    for name, field in fields.items():
        location = (*path, name)
        value = raw.get(name)
        if value is None:
            if field.required:
                faults.append(
                    documents.Fault(location, documents.MISSING_VALUE)
                )
        elif field.type in (Bounds, Scheduling) and isinstance(value, dict):
            values[name] = _convert(value, field.type, location, faults)
        else:
            try:
                values[name] = _convert_value(value, field.type)
            except Exception as error:
                faults.append(documents.Fault(location, _describe(error)))
    return kind(**values) if len(faults) == found else None


def _convert_value(value: Any, kind: Any) -> Any:
    if kind is Listener:
        return parse_listener(value)
    if kind == tuple[Listener, ...] and isinstance(value, list):
        return tuple(parse_listener(each) for each in value)
    return msgspec.convert(value, kind, strict=False)


def _describe(error: Exception) -> str:
    text = str(error)
    if text.startswith(("Expected `int`, got", "Expected `float`, got")):
        return documents.NOT_A_NUMBER
    return text
