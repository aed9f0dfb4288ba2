"""Chooses what a report tells of things that change now and then."""

import collections.abc

NEWS_SECONDS = 1.0
"""How long a change is told with each report: several may be lost."""

MAX_NEWS = 8
"""Changes told in one report, so that it stays small."""


class Telling:
    """Names the things to tell next.

    Changes are told for a while. What still holds is told one by one in
    turn, for instances that have started since or lost reports.
    """

    def __init__(self) -> None:
        self._news: dict[str, float] = {}
        self._turn = 0

    def note_change(self, name: str, now: float) -> None:
        """Note that there is something new to tell."""
        self._news[name] = now

    def drop(self, name: str) -> None:
        """Forget a thing that is gone."""
        self._news.pop(name, None)

    def choose(
        self,
        standing: collections.abc.Collection[str],
        now: float,
        most: int = MAX_NEWS,
    ) -> list[str]:
        """Return what to tell now.

        Args:
            standing: what holds until it changes; told first if it is new.
            now: clock time, seconds.
            most: changes to tell at once.
        """
        self._news = {
            name: at
            for name, at in self._news.items()
            if now - at <= NEWS_SECONDS
        }
        told = sorted(self._news, key=lambda name: name not in standing)
        told = told[:most]
        for name in told:
            # Those that were left out come first the next time.
            self._news[name] = self._news.pop(name)
        rest = [name for name in standing if name not in self._news]
        if rest:
            self._turn = (self._turn + 1) % len(rest)
            told.append(rest[self._turn])
        return told
