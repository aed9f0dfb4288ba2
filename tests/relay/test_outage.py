"""How soon a change is known after the store was away."""

import random

import result
import testtools

from citronport import clock
from citronport.platform import models
from citronport.relay import follower as follower_module
from citronport.relay import mirror as mirror_module
from tests.relay import samples

APPLY_SECONDS = 2.0
"""Within which a confirmed configuration has to be in force."""

STABLE_SECONDS = 3.0
"""After which a store that is back, and an instance, count as well."""

ROUND_TRIP_SECONDS = 0.004
"""An answer of a store that is well takes so long."""


class UnavailableStore:
    """A store that answers nobody for a while, on the paused clock.

    A question that is asked meanwhile stays without an answer for good,
    also once the store is back: its connection has gone silent.

    Attributes:
        received: bytes of the latest answer.
    """

    def __init__(self, ticker, away_from, back_at):
        self._ticker = ticker
        self._away = (away_from, back_at)
        self.received = 0

    def read(self, prefix, after=""):
        """Return the configuration there was at the start."""
        return self._ask(0.0, lambda: self._answer(1))

    def watch(self, prefix, revision, wait):
        """Return the change that is confirmed as the store returns."""
        return self._ask(wait, lambda: self._wait(revision, wait))

    def _ask(self, wait, answer):
        start, end = self._away
        if start <= self._ticker.now() < end:
            self._ticker.advance(wait + follower_module.ANSWER_TIMEOUT_SECONDS)
            return result.Err("no answer in time")
        self._ticker.advance(ROUND_TRIP_SECONDS)
        return answer()

    def _wait(self, revision, wait):
        start, end = self._away
        now = self._ticker.now()
        if now < start < now + wait:
            # The store goes away under the question.
            self._ticker.advance(wait + follower_module.ANSWER_TIMEOUT_SECONDS)
            return result.Err("no answer in time")
        if now >= end and revision < 2:
            return self._answer(2)
        self._ticker.advance(wait)
        return result.Ok(models.Answer(items=(), revision=revision))

    def _answer(self, revision):
        item = models.Item(key="op/config", value=b"{}", revision=revision)
        return result.Ok(models.Answer(items=(item,), revision=revision))


class OutageTest(testtools.TestCase):
    """An instance on the paused clock; what its neighbours do is no help.

    All instances watch the same changes, so that they ask in step, and
    give up in step when the store falls silent.
    """

    def measure_delay(self, away_seconds, away_from=103.0):
        """Return the time from the store's return to the change, seconds."""
        ticker = clock.ManualClock(100.0)
        back_at = away_from + away_seconds
        known = {}
        follower = follower_module.Follower(
            UnavailableStore(ticker, away_from, back_at),
            mirror_module.Mirror(),
            ticker,
            lambda items: known.update({items[0].revision: ticker.now()}),
            samples.make_log(ticker),
        )
        while 2 not in known:
            if not follower.poll():
                follower.back_off()
        return known[2] - back_at

    def test_change_is_in_force_soon_after_an_outage(self):
        """A caller gets 404 for a route that was confirmed 3 s ago.

        The store falls silent, and each question stayed out as long as a
        watch of a store that is well may. One that was asked just before
        the store was back, and confirmed the route, hid its return for
        2.8 s, and a pause followed: 3.5 s here. Asked without a wait, the
        store is seen within 1.6 s. Lengths of the outage in small steps put
        its end at every moment of a question, with the longest pauses.
        """
        self.patch(random, "uniform", lambda low, high: high)
        delays = {
            tenths / 10: self.measure_delay(tenths / 10)
            for tenths in range(5, 150)
        }
        late = {a: d for a, d in delays.items() if d > APPLY_SECONDS}
        self.assertEqual({}, late)

    def test_watch_that_is_out_as_the_store_falls_silent(self):
        """The same after a short outage, shorter than the watch is long.

        The watch was asked at any moment before the store fell silent, and
        nothing tells that it is lost until it is given up.
        """
        self.patch(random, "uniform", lambda low, high: high)
        late = {}
        for start in range(0, 40):
            for tenths in range(1, 40):
                delay = self.measure_delay(tenths / 10, 102.0 + start / 20)
                if delay > STABLE_SECONDS:
                    late[start, tenths] = delay
        self.assertEqual({}, late)
