"""Orders parsed from the command line, and their execution.

Modules that only one command needs are imported where it runs, because an
instance may have as little as 128 MB and all instances may start at once
after a power loss. A relay takes 49 MB at its start instead of 51 MB and
loads 542 modules instead of 612.
"""

import collections.abc
import dataclasses
import pathlib
import sys
from typing import Any

import result

from citronport import clock
from citronport import const
from citronport import documents
from citronport import errors
from citronport import logs
from citronport import resources

EXIT_FAILED = 1
EXIT_WRONG_USE = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Serve:
    """Run an instance."""

    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Relay:
    """Run an instance that sends to endpoints by itself."""

    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Explain:
    """Explain the outcome of a request."""

    request: str
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckSettings:
    """Check a settings file."""

    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class CheckCatalogue:
    """Check a catalogue."""

    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowStatus:
    """Show the status of the fleet."""

    addresses: tuple[str, ...]
    path: str | None
    as_json: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drain:
    """Stop an instance gracefully."""

    address: str
    wait: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShowVersion:
    """Print the version."""


Order = (
    Serve
    | Relay
    | Explain
    | CheckSettings
    | CheckCatalogue
    | ShowStatus
    | Drain
    | ShowVersion
)


def execute(order: Order) -> int:
    """Execute an order; return the exit code."""
    match order:
        case Serve():
            return _serve(order)
        case Relay():
            return _relay(order)
        case Explain():
            return _explain(order)
        case CheckSettings():
            return _check_settings(order.path)
        case CheckCatalogue():
            return _check_catalogue(order.path)
        case ShowStatus():
            return _show_status(order)
        case Drain():
            return _drain(order)
        case ShowVersion():
            print(const.VERSION)
            return 0


def report_failure(reason: str, code: int) -> int:
    """Print an error in one line; return the exit code."""
    print(f"citronport: {reason}", file=sys.stderr)
    return code


def _serve(order: Serve) -> int:
    from citronport import core
    from citronport import settings

    match settings.read_settings(pathlib.Path(order.path)):
        case result.Err(reason):
            return report_failure(reason, EXIT_WRONG_USE)
        case result.Ok(checked):
            pass
    logs.configure(checked.log_level)
    resources.return_freed_memory()
    try:
        core.Daemon(checked, clock.RuntimeClock()).serve()
    except OSError as error:
        # An address is in use or not local, or a file cannot be written.
        return report_failure(str(error), EXIT_FAILED)
    return 0


def _relay(order: Relay) -> int:
    from citronport.relay import core as relay_core
    from citronport.relay import settings as relay_settings

    path = pathlib.Path(order.path)
    match relay_settings.read_settings(path):
        case result.Err(reason):
            fault = int(errors.InputFault.BAD_SETTINGS)
            return report_failure(f"{fault}: {reason}", EXIT_WRONG_USE)
        case result.Ok(checked):
            pass
    logs.configure(checked.log_level)
    resources.return_freed_memory()
    try:
        relay_core.Instance(path, checked, clock.RuntimeClock()).serve()
    except OSError as error:
        return report_failure(str(error), EXIT_FAILED)
    return 0


def _explain(order: Explain) -> int:
    from citronport.relay import explanation

    paths = [pathlib.Path(path) for path in order.paths]
    match explanation.explain(order.request, paths):
        case result.Err(reason):
            return report_failure(reason, EXIT_FAILED)
        case result.Ok(found):
            print(explanation.render(found))
            return 0


def _check(
    checked: result.Result[Any, str],
    describe: collections.abc.Callable[[Any], str],
) -> int:
    match checked:
        case result.Err(reason):
            return report_failure(reason, EXIT_WRONG_USE)
        case result.Ok(value):
            print(describe(value))
            return 0


def _check_settings(path: str) -> int:
    from citronport import settings

    return _check(
        settings.read_settings(pathlib.Path(path)),
        lambda checked: (
            f"{path}: valid: {checked.instance} in "
            f"{checked.data_centre}, callers at {checked.callers}"
        ),
    )


def _check_catalogue(path: str) -> int:
    from citronport.catalogue import models as catalogue_models

    text = documents.read_text(pathlib.Path(path))
    checked = text.and_then(
        lambda text: catalogue_models.parse_catalogue(text).map_err(
            lambda reason: f"{path}: {reason}"
        )
    )
    return _check(
        checked,
        lambda catalogue: (
            f"{path}: valid: version {catalogue.version}, "
            f"{len(catalogue.data_centres)} data centres, "
            f"{len(catalogue.endpoints)} endpoints, "
            f"{len(catalogue.entries)} entries"
        ),
    )


def _show_status(order: ShowStatus) -> int:
    from citronport import settings
    from citronport.operators import client as operator_client
    from citronport.operators import models as operator_models
    from citronport.operators import overview

    addresses = list(order.addresses)
    if order.path is not None:
        match settings.read_settings(pathlib.Path(order.path)):
            case result.Err(reason):
                return report_failure(reason, EXIT_WRONG_USE)
            case result.Ok(checked):
                addresses.append(str(checked.operators))
    answers = operator_client.fetch_statuses(addresses, _show_progress)
    if order.as_json:
        print(overview.render_json(answers))
    else:
        print(overview.render_text(answers, styled=sys.stdout.isatty()))
    reached = any(isinstance(a, operator_models.Status) for a in answers)
    return 0 if reached else EXIT_FAILED


def _show_progress(done: int, total: int) -> None:
    if not sys.stderr.isatty():
        return
    end = "\r" if done < total else "\r\033[K"
    print(f"{done} of {total} instances asked", end=end, file=sys.stderr)


def _drain(order: Drain) -> int:
    from citronport.operators import client as operator_client

    match operator_client.request_drain(order.address):
        case result.Err(reason):
            return report_failure(f"{order.address}: {reason}", EXIT_FAILED)
        case result.Ok(_):
            print(f"{order.address} is leaving")
    if not order.wait:
        return 0
    if operator_client.wait_for_exit(order.address, _show_running):
        print(f"{order.address} has ended")
        return 0
    return report_failure(f"{order.address} has not ended", EXIT_FAILED)


def _show_running(running: int) -> None:
    if sys.stderr.isatty():
        print(
            f"{running} requests in progress\033[K", end="\r", file=sys.stderr
        )
