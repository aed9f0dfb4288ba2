"""What runs at each endpoint, from own sends and from others' reports."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import models
from citronport.scheduler.direct import profiles
from citronport.scheduler.direct import runs

START_PACE = 5.0
"""Pace of an engine before any was measured, milliseconds; with the first
streams, a third of a second after a start, it is not used any more."""

PACE_WEIGHT = 0.3
"""Weight of the newest measured pace."""

MIN_PACE = 0.2
MAX_PACE = 500.0
"""Bounds of a measured pace, milliseconds; what lies beyond comes from a
cut or pause."""

MAX_IDLE_ROWS = 12
"""Paces told in one report of endpoints without own work: with 45 endpoints
each is told every fourth report, and a report stays below 2 KB."""

LEASED_IDLE_ROWS = 3
"""The same in a large fleet: the owner hears each pace at a request's end,
and the others need it only when they find no owner."""

ANSWER_WEIGHT = 0.2
"""Weight of the newest answer of a plain service in its mean time."""

START_ANSWER_SECONDS = 0.05
"""Time of a plain answer before any was measured."""

UNTRIED_SHARE = 0.9
"""What an untried endpoint's answer is taken to need, as a share of the
fastest known one's."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What runs at an endpoint.

    Attributes:
        requests: sent there and not ended.
        unread: prompt tokens of those with no event yet.
    """

    requests: int
    unread: int


@dataclasses.dataclass(slots=True)
class _Heard:
    loads: dict[str, tuple[int, int]]
    paces: dict[str, float]


class Board:
    """Loads and paces of all endpoints, as seen by one instance.

    Attributes:
        profiles: what requests of a service take, in steps.
    """

    def __init__(self) -> None:
        self.profiles = profiles.Profiles()
        self._own: dict[str, dict[str, runs.Run]] = {}
        # Requests of this instance whose places another one handed out:
        # they count there, and would count twice if told from here.
        self._leased: dict[str, dict[str, runs.Run]] = {}
        self._paces: dict[str, float] = {}
        self._answers: dict[str, float] = {}
        self._turn = 0
        self._heard: dict[str, _Heard] = {}
        # Sums over all instances, kept up with each report: a choice
        # among 45 endpoints would else look at 60 reports for each.
        self._others: dict[str, list[int]] = {}
        self._middles: dict[str, float] = {}
        self._typical: float | None = None

    def note_sent(
        self, endpoint: str, work: models.Work, now: float, service: str = ""
    ) -> runs.Run:
        """Note that a request goes to an endpoint; return its record.

        Args:
            endpoint: where.
            work: the request.
            now: clock time, seconds.
            service: of the endpoint, if a slot is free there: what the
                request takes is then learnt, and no wait for a slot.
        """
        run = runs.Run(work.request_id, work.prompt_tokens, now)
        run.service = service
        run.ahead = self.get_load(endpoint).unread if service else 0
        self._own.setdefault(endpoint, {})[work.request_id] = run
        return run

    def note_leased(
        self, endpoint: str, work: models.Work, now: float
    ) -> runs.Run:
        """Note a request whose place another instance has handed out."""
        run = runs.Run(work.request_id, work.prompt_tokens, now)
        self._leased.setdefault(endpoint, {})[work.request_id] = run
        return run

    def note_held(self, endpoint: str, request_id: str, unread: int) -> None:
        """Note another instance's request, which counts here from now on."""
        run = runs.Run(request_id, unread, 0.0)
        if not unread:
            run.first = 0.0
        self._own.setdefault(endpoint, {})[request_id] = run

    def note_begun(self, endpoint: str, request_id: str, now: float) -> None:
        """Note that another instance's request has got its first event."""
        run = self._own.get(endpoint, {}).get(request_id)
        if run is not None and run.first is None:
            run.first = now
            self._learn_begin(endpoint, run, now)

    def note_events(
        self,
        endpoint: str,
        run: runs.Run,
        events: int,
        tokens: int,
        now: float,
    ) -> None:
        """Note events of a stream.

        Args:
            endpoint: where it runs.
            run: its record.
            events: how many came.
            tokens: tokens in one event.
            now: clock time, seconds.
        """
        if run.first is None:
            run.begin(events, now)
            self._learn_begin(endpoint, run, now)
            return
        pace = run.measure(events, tokens, now)
        if pace is not None:
            self._learn(endpoint, pace)

    def note_answer(self, endpoint: str, run: runs.Run, now: float) -> None:
        """Note the whole answer of a plain service."""
        run.taken = now - run.sent
        self.note_taken(endpoint, run.taken)

    def note_taken(self, endpoint: str, taken: float) -> None:
        """Take the time of one plain answer, seconds."""
        known = self._answers.get(endpoint, taken)
        self._answers[endpoint] = known + ANSWER_WEIGHT * (taken - known)

    def note_end(
        self, endpoint: str, request_id: str, now: float | None = None
    ) -> None:
        """Note that a request has ended or left an endpoint.

        Args:
            endpoint: where it was.
            request_id: of the request.
            now: clock time, seconds, if the place was used to its end.
        """
        run = self._own.get(endpoint, {}).get(request_id)
        if run and run.service and run.first is not None and now is not None:
            step = self.get_pace(endpoint) * runs.PACE_SECONDS
            self.profiles.note_end(run.service, (now - run.sent) / step)
        _remove(self._own, endpoint, request_id)

    def note_lease_end(self, endpoint: str, request_id: str) -> None:
        """Note that a leased request has ended or left an endpoint."""
        _remove(self._leased, endpoint, request_id)

    def list_leased(self) -> list[tuple[str, runs.Run]]:
        """Return the leased requests with their endpoints."""
        return [
            (endpoint, run)
            for endpoint, held in self._leased.items()
            for run in held.values()
        ]

    def get_own_pace(self, endpoint: str) -> float | None:
        """Return the pace that this instance measured, if it did."""
        return self._paces.get(endpoint)

    def hear_pace(self, sender: str, endpoint: str, pace: float) -> None:
        """Take the pace of one endpoint that another instance measured."""
        heard = self._heard.setdefault(sender, _Heard({}, {}))
        heard.paces[endpoint] = pace
        self._middles.pop(endpoint, None)

    def hear(
        self,
        sender: str,
        loads: collections.abc.Iterable[tuple[str, int, int, int]],
    ) -> None:
        """Take the loads that another instance tells.

        Args:
            sender: its name.
            loads: rows as ``list_own`` makes them. A load that has no row
                is none; a pace that has no row stays as it was.
        """
        heard = self._heard.setdefault(sender, _Heard({}, {}))
        self._add(heard.loads, -1)
        heard.loads = {}
        for name, requests, unread, pace in loads:
            if requests:
                heard.loads[name] = (requests, unread)
            if pace:
                heard.paces[name] = pace / 1e6
                self._middles.pop(name, None)
        self._add(heard.loads, 1)

    def drop_silent(self, fresh: collections.abc.Container[str]) -> None:
        """Forget the loads of instances that are out of reach."""
        for sender in [s for s in self._heard if s not in fresh]:
            heard = self._heard.pop(sender)
            self._add(heard.loads, -1)
            self._middles.clear()

    def list_own(
        self, idle_rows: int = MAX_IDLE_ROWS
    ) -> list[tuple[str, int, int, int]]:
        """Return own loads and paces, in the form that is told.

        All loads are told each time; of the paces of endpoints without
        own work only some, other ones each time.

        Args:
            idle_rows: how many of these paces.
        """
        rows = []
        self._typical = None
        idle = [name for name in self._paces if name not in self._own]
        turn = self._turn = (self._turn + idle_rows) % max(1, len(idle))
        told = (idle[turn:] + idle[:turn])[:idle_rows]
        for name in [*self._own, *told]:
            load = self._count_own(name)
            pace = int(self._paces.get(name, 0.0) * 1e6)
            rows.append((name, load.requests, load.unread, pace))
        return rows

    def get_load(self, endpoint: str) -> Load:
        """Return what runs at an endpoint, of all instances."""
        own = self._count_own(endpoint)
        others = self._others.get(endpoint)
        if others is None:
            return own
        return Load(own.requests + others[0], own.unread + others[1])

    def count_requests(self, endpoint: str) -> int:
        """Return the requests at an endpoint, of all instances."""
        others = self._others.get(endpoint)
        own = len(self._own.get(endpoint, ()))
        return own if others is None else own + others[0]

    def count_own(self, endpoint: str) -> int:
        """Return the requests of this instance at an endpoint."""
        return len(self._own.get(endpoint, ()))

    def get_pace(self, endpoint: str) -> float:
        """Return the time of one step, milliseconds."""
        middle = self._middles.get(endpoint)
        if middle is None:
            middle = self._middles[endpoint] = self._find_middle(endpoint)
        return middle

    def _find_middle(self, endpoint: str) -> float:
        known = [
            pace
            for heard in self._heard.values()
            if (pace := heard.paces.get(endpoint)) is not None
        ]
        own = self._paces.get(endpoint)
        if own is not None:
            known.append(own)
        if not known:
            return self.get_typical_pace()
        return _find_median(known)

    def get_typical_pace(self) -> float:
        """Return the middle of all known paces, milliseconds.

        An engine that nobody has measured yet is taken for a common one.
        It is looked up anew with each report, as hundreds of paces change
        a little all the time.
        """
        if self._typical is None:
            known = list(self._paces.values())
            for heard in self._heard.values():
                known += heard.paces.values()
            self._typical = _find_median(known) if known else START_PACE
        return self._typical

    def get_answer_seconds(self, endpoint: str) -> float:
        """Return the mean time of a plain answer, seconds."""
        seconds = self._answers.get(endpoint)
        if seconds is not None:
            return seconds
        # An endpoint that nobody has tried yet looks a little better than
        # the best of the others, or it would never be tried.
        best = min(self._answers.values(), default=START_ANSWER_SECONDS)
        return UNTRIED_SHARE * best

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._paces.pop(endpoint, None)
        self._answers.pop(endpoint, None)
        self._middles.pop(endpoint, None)
        for heard in self._heard.values():
            heard.paces.pop(endpoint, None)

    def _count_own(self, endpoint: str) -> Load:
        here = self._own.get(endpoint)
        if not here:
            return Load(0, 0)
        unread = sum(r.prompt_tokens for r in here.values() if r.first is None)
        return Load(len(here), unread)

    def _add(self, loads: dict[str, tuple[int, int]], sign: int) -> None:
        for name, (requests, unread) in loads.items():
            total = self._others.setdefault(name, [0, 0])
            total[0] += sign * requests
            total[1] += sign * unread
            if total == [0, 0]:
                del self._others[name]

    def _learn_begin(self, endpoint: str, run: runs.Run, now: float) -> None:
        if run.service:
            step = self.get_pace(endpoint) * runs.PACE_SECONDS
            tokens = run.ahead + run.prompt_tokens
            self.profiles.note_begun(
                run.service, tokens, (now - run.sent) / step
            )

    def _learn(self, endpoint: str, pace: float) -> None:
        pace = min(MAX_PACE, max(MIN_PACE, pace))
        known = self._paces.get(endpoint)
        self._middles.pop(endpoint, None)
        if known is None:
            self._paces[endpoint] = pace
        else:
            self._paces[endpoint] = known + PACE_WEIGHT * (pace - known)


def _find_median(values: list[float]) -> float:
    values.sort()
    return values[len(values) // 2]


def _remove(
    requests: dict[str, dict[str, runs.Run]], endpoint: str, request_id: str
) -> None:
    known = requests.get(endpoint)
    if known is None:
        return
    known.pop(request_id, None)
    if not known:
        del requests[endpoint]
