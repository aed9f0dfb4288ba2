"""Supervision of background tasks."""

import collections.abc
import pathlib
import traceback
import types
from typing import Any

from absl import logging
import gevent

from citronport import clock

LOG = "tasks:"
RESTART_SECONDS = 1.0
"""Delay before a failed task is restarted. Without it, a task that fails at
each start would occupy an entire core."""

EXIT_TASK_DIED = 70
"""Exit code after the failure of a task that the process requires."""


class Supervisor:
    """Starts tasks and handles unexpected errors that end them.

    Args:
        ticker: the clock.
        on_death: called with the name of each failed task.
    """

    def __init__(
        self,
        ticker: clock.Clock,
        on_death: collections.abc.Callable[[str], None],
    ) -> None:
        self._ticker = ticker
        self._on_death = on_death

    def start_restarting(
        self,
        name: str,
        function: collections.abc.Callable[..., None],
        *arguments: Any,
    ) -> gevent.Greenlet:
        """Start a task and restart it whenever it fails.

        For tasks that hold no state, or state that can be lost: watches,
        reports, sweeps.
        """
        return gevent.spawn(self._run_with_restarts, name, function, arguments)

    def start_required(
        self,
        name: str,
        function: collections.abc.Callable[..., None],
        *arguments: Any,
    ) -> gevent.Greenlet:
        """Start a task and end the process if it fails.

        For tasks whose state guarantees depend on. A failure can leave the
        state half updated: the load of an endpoint may be wrong, so that
        too much is sent to a cold start, or a request may be lost. When the
        process ends, the connections of its callers break at once, which
        correctly means "outcome unknown".
        """
        return gevent.spawn(self._run_required, name, function, arguments)

    def report_unhandled(self) -> None:
        """Log and count failures of all other tasks without error texts.

        gevent prints a traceback with the text of the error, which may
        contain a caller's content. Only type and location are logged.
        """
        gevent.get_hub().print_exception = self._report_unhandled

    def _run_with_restarts(
        self,
        name: str,
        function: collections.abc.Callable[..., None],
        arguments: tuple,
    ) -> None:
        while True:
            try:
                function(*arguments)
                return
            except Exception as error:
                self._record_death(name, error)
            self._ticker.sleep(RESTART_SECONDS)

    def _run_required(
        self,
        name: str,
        function: collections.abc.Callable[..., None],
        arguments: tuple,
    ) -> None:
        try:
            function(*arguments)
        except Exception as error:
            self._record_death(name, error)
            logging.error(
                "%s process exits, because it requires task %s.", LOG, name
            )
            raise SystemExit(EXIT_TASK_DIED) from None

    def _record_death(self, name: str, error: BaseException) -> None:
        self._on_death(name)
        logging.error(
            "%s task %s failed with %s.", LOG, name, describe_error(error)
        )

    def _report_unhandled(
        self,
        context: Any,
        kind: type[BaseException],
        value: BaseException,
        trace: types.TracebackType | None,
    ) -> None:
        if value is None or isinstance(value, KeyboardInterrupt):
            return
        self._record_death("unnamed", value.with_traceback(trace))


def describe_error(error: BaseException) -> str:
    """Return the type and the location of an error, never its text."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    last = frames[-1]
    name = pathlib.Path(last.filename).name
    return f"{type(error).__name__} at {name}:{last.lineno}"
