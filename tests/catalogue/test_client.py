"""Tests of the delay of an edit after an outage of the platform."""

import random

import result
import testtools

from citronport import clock
from citronport.catalogue import client
from citronport.catalogue import const

MAX_DELAY_SECONDS = 9.0
"""Time within which an edit has to be in force everywhere."""


class _EditDeliveredError(Exception):
    """The edit was delivered."""


class UnresponsivePlatform:
    """A platform that stops responding for a while, on a manual clock.

    Requests that are sent or open during the outage are never answered,
    also not after the platform has recovered.
    """

    def __init__(self, ticker, silent_from, back_at):
        self._ticker = ticker
        self._silent = (silent_from, back_at)

    def fetch(self, path, address, version, wait):
        """Return the edit that is published when the platform recovers."""
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
    """A single instance, which gets edits from the platform only."""

    def measure_delay(self, away_seconds):
        """Return the time from recovery to the delivery of the edit."""
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
        """An edit is in force soon after the platform has recovered.

        Guards against callers being refused for 20 s after an edit that
        admits them. A watch that was open during the outage is lost for
        its full duration, as is each retry sent before the recovery, and
        any of them delays its detection. A short watch and retries without
        a hold time bound the delay.
        """
        self.patch(random, "uniform", lambda low, high: high)
        self.patch(client.logging, "warning", lambda *words: None)
        delays = {}
        for seconds in range(1, 60):
            delay = self.measure_delay(seconds)
            if delay > MAX_DELAY_SECONDS:
                delays[seconds] = delay
        self.assertEqual({}, delays)
