"""Background tasks that may not die silently."""

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
"""Pause before a dead task starts again. A task that dies at each start
would otherwise take the whole processor."""

EXIT_TASK_DIED = 70
"""Exit code when the process may not go on without a task."""


class Supervisor:
    """Starts tasks and sees to those that die of an unforeseen error.

    Args:
        ticker: the clock.
        on_death: called with the name of each task that died.
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
        """Start a task and start it again whenever it dies.

        For tasks whose state is outside of them or can be lost: watches,
        reports, sweeps.
        """
        return gevent.spawn(self._run_with_restarts, name, function, arguments)

    def start_required(
        self,
        name: str,
        function: collections.abc.Callable[..., None],
        *arguments: Any,
    ) -> gevent.Greenlet:
        """Start a task and end the process if it dies.

        For a task that owns state which a promise rests on. Half a step
        may have been done when it died: an endpoint's load may be counted
        wrong, so that a cold start gets too much, or a request may be
        lost. A process that ends tells its callers the truth at once:
        their connections break, which reads "outcome unknown".
        """
        return gevent.spawn(self._run_required, name, function, arguments)

    def report_unhandled(self) -> None:
        """Log and count other tasks that die, without their values.

        gevent prints a traceback with the error's text, which may hold a
        caller's content; only the kind and the place go into the log.
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
            logging.error("%s The process ends without %s.", LOG, name)
            raise SystemExit(EXIT_TASK_DIED) from None

    def _record_death(self, name: str, error: BaseException) -> None:
        self._on_death(name)
        logging.error("%s %s died of %s.", LOG, name, describe_error(error))

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
    """Return the kind and the place of an error, never its text."""
    frames = traceback.extract_tb(error.__traceback__)
    if not frames:
        return type(error).__name__
    last = frames[-1]
    name = pathlib.Path(last.filename).name
    return f"{type(error).__name__} at {name}:{last.lineno}"
