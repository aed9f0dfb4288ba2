"""The command line of the binary: parses arguments into an order."""

import contextlib
import inspect
import io
from typing import Any

import fire
from fire import core as fire_core
from fire import decorators

from citronport import orders
from citronport import settings

HELP = """\
citronport - a request scheduler for unlike engines

Usage: citronport COMMAND [ARGUMENTS]

Commands:
  serve FILE                  run one entry instance until SIGTERM
  relay FILE                  run one instance that sends by itself
  explain ID FILE...          tell from log files why a request failed
  check settings FILE         check a settings file
  check catalogue FILE        check a catalogue before it is published
  status [ADDRESS...]         show the fleet: [--settings=FILE] [--json]
  drain ADDRESS [--wait]      have an instance finish its work and stop
  version                     print the version

An ADDRESS is the operators' "ip:port" of an instance.

Examples:
  citronport check settings docs/examples/settings.yaml
  citronport serve docs/examples/settings.yaml
  citronport status 127.0.0.1:8002
  citronport status --settings=docs/examples/settings.yaml --json
  citronport drain 127.0.0.1:8002 --wait
  citronport explain 9c41d07be2a35f68 entry-*.log

citronport COMMAND --help tells more. Exit codes: 0 done, 1 failed,
2 wrong use.
"""


class UsageError(Exception):
    """The command line is invalid; the text is shown to the operator."""


class _Checks:
    """Check a file without using it."""

    def settings(self, file: str) -> orders.CheckSettings:
        """Check a settings file.

        Prints one line: the instance and its addresses, or each fault
        with its line and place.

        Args:
            file: a YAML settings file.
        """
        return orders.CheckSettings(path=str(file))

    def catalogue(self, file: str) -> orders.CheckCatalogue:
        """Check a catalogue before it is published.

        Prints one line: what it holds, or each fault with its line and
        place.

        Args:
            file: a YAML catalogue.
        """
        return orders.CheckCatalogue(path=str(file))


class _Commands:
    # fire calls a method before it has parsed all arguments: "serve FILE
    # typo" would serve first and report the error afterwards. Methods
    # therefore only return an order, which is executed once all is parsed.

    def __init__(self) -> None:
        self.check = _Checks()

    def serve(self, file: str) -> orders.Serve:
        """Run one entry instance until SIGTERM.

        SIGTERM and "drain" stop it gracefully: no new work, and the end
        comes when the last request in progress has its answer.

        Args:
            file: a YAML settings file; see docs/OPERATING.md.
        """
        return orders.Serve(path=str(file))

    def relay(self, file: str) -> orders.Relay:
        """Run one instance that sends to endpoints by itself.

        For platforms whose store lists the endpoints; SIGTERM stops it
        gracefully, SIGHUP has it read the file again.

        Args:
            file: a YAML settings file; see docs/DEPLOYING.md.
        """
        return orders.Relay(path=str(file))

    # Keeps arguments as text: fire would parse an id that consists of digits
    # and an "e" as a number.
    @decorators.SetParseFn(str)
    def explain(self, request: str, *files: str) -> orders.Explain:
        """Tell from log files why a request ended as it did.

        Prints the request's way in order of time, what its instance came
        to believe around it, and the cause in one sentence.

        Args:
            request: the id that the caller sent.
            files: log files of one or more instances.
        """
        if not files:
            raise UsageError("explain needs a FILE")
        return orders.Explain(request=request, paths=tuple(files))

    def status(
        self,
        *addresses: str,
        settings: str | None = None,
        json: bool = False,
    ) -> orders.ShowStatus:
        """Show the fleet at a glance.

        Asks the named instances, or the one of a settings file; each
        tells of the others it knows. An instance out of reach is shown.

        Args:
            addresses: operators' "ip:port" of instances.
            settings: a settings file whose instance is asked.
            json: print JSON for scripts.
        """
        if not isinstance(json, bool):
            raise UsageError("--json takes no value")
        if not addresses and settings is None:
            raise UsageError("status needs an ADDRESS or --settings=FILE")
        return orders.ShowStatus(
            addresses=tuple(_check_address(a) for a in addresses),
            path=None if settings is None else str(settings),
            as_json=json,
        )

    def drain(self, address: str, *, wait: bool = False) -> orders.Drain:
        """Have an instance finish its work and stop, as SIGTERM does.

        Args:
            address: operators' "ip:port" of the instance.
            wait: return when the process has ended.
        """
        if not isinstance(wait, bool):
            raise UsageError("--wait takes no value")
        return orders.Drain(address=_check_address(address), wait=wait)

    def version(self) -> orders.ShowVersion:
        """Print the version."""
        return orders.ShowVersion()


def run(arguments: list[str]) -> int:
    """Run a command line.

    Args:
        arguments: arguments after the program's name.

    Returns:
        The exit code.
    """
    if not arguments or {"-h", "--help", "help"} & set(arguments):
        print(_describe_command(arguments), end="")
        return 0
    try:
        order = parse(arguments)
    except UsageError as error:
        reason = f"{error} (see citronport --help)"
        return orders.report_failure(reason, orders.EXIT_WRONG_USE)
    return orders.execute(order)


def parse(arguments: list[str]) -> orders.Order:
    """Parse a command line.

    Raises:
        UsageError: the command line is invalid; the text is one line.
    """
    # On invalid arguments fire prints long help texts. They are suppressed;
    # only the error that it raises is reported, in one line.
    with contextlib.redirect_stderr(io.StringIO()):
        try:
            order = fire.Fire(
                _Commands(),
                command=_reject_separator(arguments),
                name="citronport",
                serialize=lambda _: None,
            )
        except fire_core.FireExit as error:
            raise UsageError(_describe_usage_error(error, arguments)) from None
    if not isinstance(order, orders.Order):
        raise UsageError(f"incomplete command: {' '.join(arguments)}")
    return order


def _reject_separator(arguments: list[str]) -> list[str]:
    # fire treats arguments after "--" as its own flags, one of which opens an
    # interactive shell.
    if "--" in arguments:
        raise UsageError("-- is not supported")
    return arguments


def _describe_usage_error(
    error: fire_core.FireExit, arguments: list[str]
) -> str:
    trace = error.trace
    last = trace.elements[-1]
    text = last.ErrorAsStr() if last.HasError() else "invalid arguments"
    if text.startswith("Could not consume arg"):
        word = text.partition(": ")[2]
        fault = (
            "unknown command"
            if word == arguments[0]
            else "unexpected argument"
        )
        return f"{fault}: {word}"
    if "required argument" in text:
        return f"missing argument: {text.rpartition(': ')[2]}"
    return " ".join(text.split())


def _check_address(address: Any) -> str:
    host, _, port = str(address).rpartition(":")
    try:
        settings.Listener.model_validate(
            {"address": host.strip("[]"), "port": port}
        )
    except ValueError:
        raise UsageError(f'not an "ip:port" address: {address}') from None
    return str(address)


def _describe_command(arguments: list[str]) -> str:
    target: Any = _Commands()
    words = [a for a in arguments if not a.startswith("-") and a != "help"]
    for word in words:
        if word.startswith("_") or not hasattr(target, word):
            return HELP
        target = getattr(target, word)
    if not words or isinstance(target, _Checks):
        return HELP
    return f"citronport {' '.join(words)}\n\n{inspect.getdoc(target)}\n"
