"""How soon an edit is known after the platform was away."""

import random

import result
import testtools

from citronport import clock
from citronport.catalogue import client
from citronport.catalogue import const

MAX_DELAY_SECONDS = 9.0
"""Within which an edit is in force everywhere."""


class _EditDeliveredError(Exception):
    """The edit has arrived."""


class UnresponsivePlatform:
    """A platform that falls silent for a while, on the paused clock.

    A question that is asked meanwhile, or was held then, stays without an
    answer, also once the platform is back.
    """

    def __init__(self, ticker, silent_from, back_at):
        self._ticker = ticker
        self._silent = (silent_from, back_at)

    def fetch(self, path, address, version, wait):
        """Return the edit that is published as the platform returns."""
        held = wait if version else 0.0
        start, end = self._silent
        now = self._ticker.now()
        if start <= now < end or now < start < now + held:
            self._ticker.advance(held + const.CONNECT_TIMEOUT_SECONDS)
            return result.Err("TimeoutError")
        newest = 2 if now >= end else 1
        if version < newest:
            return result.Ok(
                client.Published(path=path, version=newest, value="")
            )
        self._ticker.advance(held)
        return result.Ok(None)


class OutageTest(testtools.TestCase):
    """One instance; nobody else tells it of edits."""

    def measure_delay(self, away_seconds):
        """Return the time from the platform's return to the edit."""
        ticker = clock.ManualClock(100.0)
        back_at = 110.0 + away_seconds
        platform = UnresponsivePlatform(ticker, 110.0, back_at)
        self.patch(client, "fetch", platform.fetch)

        def deliver(published):
            if published.version == 2:
                raise _EditDeliveredError

        try:
            client.watch(
                const.PATH_CATALOGUE,
                const.CATALOGUE_WATCH_SECONDS,
                ("platform",),
                ticker,
                deliver,
                lambda requested_at, version: None,
                lambda path, outcome: None,
            )
        except _EditDeliveredError:
            return ticker.now() - back_at

    def test_edit_is_in_force_soon_after_an_outage(self):
        """Callers are refused for 20 s after an edit that lets them in.

        The platform falls silent and comes back; a watch that it held then
        is out for its whole length, and so is each question of a watch
        that follows: any of them hides the return. A short watch, and
        questions that wait for nothing while they fail, bound both.
        """
        self.patch(random, "uniform", lambda low, high: high)
        self.patch(client.logging, "warning", lambda *words: None)
        late = {}
        for seconds in range(1, 60):
            delay = self.measure_delay(seconds)
            if delay > MAX_DELAY_SECONDS:
                late[seconds] = delay
        self.assertEqual({}, late)
