"""Notices changes of the settings file."""

import collections.abc
import pathlib
import typing

from absl import logging

from citronport import clock

LOG = "relay:"

POLL_SECONDS = 2.0
"""Interval at which the settings file is checked for changes."""


def watch(
    path: pathlib.Path,
    ticker: clock.Clock,
    handle_change: collections.abc.Callable[[], None],
) -> typing.NoReturn:
    """Call a function after each change of a file, indefinitely."""
    seen = _get_file_version(path)
    while True:
        ticker.sleep(POLL_SECONDS)
        changed = _get_file_version(path)
        if changed != seen:
            seen = changed
            handle_change()


def _get_file_version(path: pathlib.Path) -> tuple[int, int]:
    try:
        status = path.stat()
    except OSError as error:
        # A file that is being replaced exists again at the next check.
        logging.warning(
            "%s cannot read settings file %s: %s.", LOG, path, error.strerror
        )
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
