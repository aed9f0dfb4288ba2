"""Clocks: the process clock, and a manual one for tests."""

import time
from typing import Protocol

import gevent


class Clock(Protocol):
    """The interface of a clock."""

    def now(self) -> float:
        """Return a monotonic time in seconds."""

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class RuntimeClock:
    """The monotonic clock of the process."""

    def now(self) -> float:
        """Return the monotonic time, seconds."""
        # CLOCK_BOOTTIME includes the time during which the machine is
        # suspended. CLOCK_MONOTONIC does not, so that a lease measured with
        # it would outlast its validity after a suspension.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Wait on the event loop."""
        gevent.sleep(seconds)


class ManualClock:
    """A clock that advances only when a test advances it."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current time of the test."""
        return self._now

    def sleep(self, seconds: float) -> None:
        """Advance by a number of seconds and let other tasks run."""
        self.advance(seconds)
        gevent.sleep(0)

    def advance(self, seconds: float) -> None:
        """Advance the time."""
        self._now += seconds
