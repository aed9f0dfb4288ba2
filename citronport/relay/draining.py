"""The last seconds of an instance that stops."""

import collections.abc

from citronport import clock

ACCEPT_SECONDS = 2.5
"""How long a stopping instance still accepts requests. Callers cache a lookup
response for two seconds; new lookup responses omit the instance at once."""

EXIT_MARGIN_SECONDS = 0.7
"""Time left between the latest exit of the process and its forced kill."""

POLL_SECONDS = 0.25
"""Interval between two checks whether anything runs."""


def drain(
    grace_seconds: float,
    stop_accepting: collections.abc.Callable[[], None],
    is_idle: collections.abc.Callable[[], bool],
    ticker: clock.Clock,
) -> None:
    """Wait until nothing runs any more, or until the process has to end.

    Args:
        grace_seconds: time from the signal to the forced kill, seconds.
        stop_accepting: called when no caller comes any more.
        is_idle: returns whether nothing runs.
        ticker: the clock.
    """
    max_seconds = grace_seconds - EXIT_MARGIN_SECONDS
    started = ticker.now()
    ticker.sleep(min(ACCEPT_SECONDS, max_seconds))
    stop_accepting()
    while ticker.now() - started < max_seconds and not is_idle():
        ticker.sleep(POLL_SECONDS)
