"""Load and speed of each endpoint, from own sends and others' reports."""

import collections.abc
import dataclasses

from citronport.scheduler.direct import models
from citronport.scheduler.direct import overdue
from citronport.scheduler.direct import profiles
from citronport.scheduler.direct import row_budget
from citronport.scheduler.direct import runs

DEFAULT_STEP_MS = 5.0
"""Step time that is assumed until one has been measured. The first streams
replace it about a third of a second after a start."""

STEP_MS_WEIGHT = 0.3
"""Weight of the newest sample in the moving average of the step time."""

MIN_STEP_MS = 0.2
MAX_STEP_MS = 500.0
"""Bounds of a measured step time; values outside are caused by a cut
connection or a paused engine."""

MAX_IDLE_ROWS_PER_REPORT = 12
"""Step times of idle endpoints (without requests of this instance) in one
report. With 45 endpoints, each is included in every fourth report, and a
report stays below 2 KB."""

LEASING_IDLE_ROWS_PER_REPORT = 3
"""The same while slots are leased: the owner of an endpoint receives its
step time at the end of each request, and other instances need it only when
they find no owner."""

ANSWER_WEIGHT = 0.2
"""Weight of the newest sample in the mean answer time of an endpoint of a
plain service."""

DEFAULT_ANSWER_SECONDS = 0.05
"""Time of a plain answer that is assumed until one has been measured."""

_TABLE = "loads"

UNTRIED_FACTOR = 0.9
"""Assumed answer time of an untried endpoint, relative to the fastest known
one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of an endpoint.

    Attributes:
        requests: requests in flight.
        prefill_backlog: prompt tokens of the requests without a first
            event.
    """

    requests: int
    prefill_backlog: int


@dataclasses.dataclass(slots=True)
class _RemoteReport:
    loads: dict[str, tuple[int, int]]
    step_ms: dict[str, float]


class LoadTracker:
    """Tracks load and step time of all endpoints, as one instance sees them.

    Attributes:
        profiles: steps that requests of each service take.
        overdue: requests without a first event.

    Args:
        early_step_times: whether an endpoint without a step time gets one
            from the first events of a stream.
        budget: limits the rows of other instances.
    """

    def __init__(
        self,
        *,
        early_step_times: bool = False,
        budget: row_budget.RowBudget | None = None,
    ) -> None:
        self._early_step_times = early_step_times
        self._budget = budget or row_budget.RowBudget()
        self._budget.add_table(_TABLE, self._drop_report)
        # Endpoints whose step time comes from an incomplete sample.
        self._early: set[str] = set()
        self.profiles = profiles.Profiles()
        self.overdue = overdue.OverdueTracker()
        self._own: dict[str, dict[str, runs.Run]] = {}
        # Requests of this instance whose slots another one leased out:
        # the lessor counts them, so reporting them here would count twice.
        self._leased: dict[str, dict[str, runs.Run]] = {}
        self._step_ms: dict[str, float] = {}
        self._answer_seconds: dict[str, float] = {}
        self._rotation = 0
        self._remote: dict[str, _RemoteReport] = {}
        # Sums over the other instances, updated with each report; otherwise
        # a choice among 45 endpoints would read 60 reports for each of them.
        self._remote_totals: dict[str, list[int]] = {}
        self._median_step_ms: dict[str, float] = {}
        self._typical_step_ms: float | None = None

    def record_send(
        self, endpoint: str, work: models.Work, now: float, service: str = ""
    ) -> runs.Run:
        """Record that a request is sent to an endpoint; return its run.

        Args:
            endpoint: name of the endpoint.
            work: the request.
            now: clock time, seconds.
            service: service of the endpoint if a slot is free there, else
                empty. Its profile learns only from requests with a service,
                whose times include no wait for a slot.
        """
        run = runs.Run(work.request_id, work.prompt_tokens, now)
        run.service = service
        run.prefill_backlog = (
            self.get_load(endpoint).prefill_backlog if service else 0
        )
        self._own.setdefault(endpoint, {})[work.request_id] = run
        return run

    def record_leased_send(
        self, endpoint: str, work: models.Work, now: float
    ) -> runs.Run:
        """Record a request whose slot is leased from another instance."""
        run = runs.Run(work.request_id, work.prompt_tokens, now)
        self._leased.setdefault(endpoint, {})[work.request_id] = run
        return run

    def record_remote_request(
        self, endpoint: str, request_id: str, prefill_tokens: int
    ) -> None:
        """Count a request of another instance as one of the own requests."""
        run = runs.Run(request_id, prefill_tokens, 0.0)
        if not prefill_tokens:
            run.first_event_at = 0.0
        self._own.setdefault(endpoint, {})[request_id] = run

    def record_first_event(
        self, endpoint: str, request_id: str, now: float
    ) -> None:
        """Record the first event of another instance's request."""
        run = self._own.get(endpoint, {}).get(request_id)
        if run is not None and run.first_event_at is None:
            run.first_event_at = now
            self._update_profile(endpoint, run, now)

    def record_events(
        self,
        endpoint: str,
        run: runs.Run,
        events: int,
        tokens: int,
        now: float,
    ) -> bool:
        """Record events of a stream.

        Args:
            endpoint: name of the endpoint.
            run: the request there.
            events: number of events received.
            tokens: tokens in one event.
            now: clock time, seconds.

        Returns:
            Whether they gave the endpoint its first step time, before a
            sample was complete.
        """
        if run.first_event_at is None:
            run.record_first_event(events, now)
            self._update_profile(endpoint, run, now)
            return False
        step_ms = run.record_events(events, tokens, now)
        if step_ms is not None:
            self._update_step_ms(endpoint, step_ms)
            return False
        if not self._early_step_times or endpoint in self._step_ms:
            return False
        step_ms = run.get_early_step_ms(tokens)
        if step_ms is None:
            return False
        self._update_step_ms(endpoint, step_ms)
        self._early.add(endpoint)
        return True

    def record_answer(self, endpoint: str, run: runs.Run, now: float) -> None:
        """Record a complete answer of a plain service."""
        run.answer_seconds = now - run.sent_at
        self.record_answer_seconds(endpoint, run.answer_seconds)

    def record_answer_seconds(self, endpoint: str, seconds: float) -> None:
        """Add a sample of the time of a plain answer, seconds."""
        mean = self._answer_seconds.get(endpoint, seconds)
        self._answer_seconds[endpoint] = mean + ANSWER_WEIGHT * (
            seconds - mean
        )

    def record_end(
        self, endpoint: str, request_id: str, now: float | None = None
    ) -> None:
        """Record that a request has ended or left an endpoint.

        Args:
            endpoint: name of the endpoint.
            request_id: id of the request.
            now: clock time, seconds, if the request ran to its end; None
                if its duration must not be learnt.
        """
        run = self._own.get(endpoint, {}).get(request_id)
        if (
            run
            and run.service
            and run.first_event_at is not None
            and now is not None
        ):
            step = self.get_step_ms(endpoint) * runs.SECONDS_PER_MS
            self.profiles.record_end(run.service, (now - run.sent_at) / step)
        self.overdue.record_end(endpoint, request_id)
        _remove(self._own, endpoint, request_id)

    def record_leased_end(self, endpoint: str, request_id: str) -> None:
        """Record that a leased request has ended or left an endpoint."""
        self.overdue.record_end(endpoint, request_id)
        _remove(self._leased, endpoint, request_id)

    def list_leased(self) -> list[tuple[str, runs.Run]]:
        """Return the leased requests with their endpoints."""
        return [
            (endpoint, run)
            for endpoint, held in self._leased.items()
            for run in held.values()
        ]

    def get_own_step_ms(self, endpoint: str) -> float | None:
        """Return the step time measured by this instance, if any."""
        return self._step_ms.get(endpoint)

    def apply_step_ms(
        self, sender: str, endpoint: str, step_ms: float
    ) -> None:
        """Apply the step time that another instance has measured."""
        known = self._remote.get(sender)
        loads = known.loads if known else ()
        if not self._hold_rows(sender, loads, (endpoint,)):
            return
        report = self._remote.setdefault(sender, _RemoteReport({}, {}))
        report.step_ms[endpoint] = step_ms
        self._median_step_ms.pop(endpoint, None)

    def apply_report(
        self,
        sender: str,
        rows: collections.abc.Iterable[tuple[str, int, int, int]],
    ) -> None:
        """Apply a report of another instance.

        Args:
            sender: name of the other instance.
            rows: rows of its ``make_report_rows``. An endpoint without a
                row has no load from that instance, but keeps its step time.
        """
        loads = {}
        step_ms = {}
        for name, requests, prefill_backlog, step_nanoseconds in rows:
            if requests:
                loads[name] = (requests, prefill_backlog)
            if step_nanoseconds:
                step_ms[name] = step_nanoseconds / 1e6
        if not self._hold_rows(sender, loads, step_ms):
            loads = step_ms = {}
        report = self._remote.setdefault(sender, _RemoteReport({}, {}))
        self._add_remote(report.loads, -1)
        report.loads = loads
        report.step_ms |= step_ms
        for name in step_ms:
            self._median_step_ms.pop(name, None)
        self._add_remote(loads, 1)

    def drop_stale(
        self,
        fresh: collections.abc.Container[str],
        reporting: collections.abc.Container[str],
    ) -> None:
        """Forget the reports of unreachable instances.

        An instance of another data centre may have reported its loads while
        this one knew too few instances to exchange summaries instead. No
        later report would replace them, and these loads would occupy slots
        for as long as that instance is in reach.

        Args:
            fresh: names of the instances in reach, whose step times are
                kept.
            reporting: names of those that report their loads.
        """
        for sender, report in list(self._remote.items()):
            if sender not in reporting:
                self._add_remote(report.loads, -1)
                report.loads = {}
            if sender not in fresh:
                self._drop_report(sender)
                self._budget.hold(_TABLE, sender, 0)

    def make_report_rows(
        self, idle_rows: int = MAX_IDLE_ROWS_PER_REPORT
    ) -> list[tuple[str, int, int, int]]:
        """Return the own loads and step times as rows of a report.

        Each report includes all own loads. The step times of endpoints
        without own requests are spread over several reports, in rotation.

        Args:
            idle_rows: endpoints without own requests in this report.
        """
        rows = []
        self._typical_step_ms = None
        idle = [name for name in self._step_ms if name not in self._own]
        start = self._rotation = (self._rotation + idle_rows) % max(
            1, len(idle)
        )
        selected = (idle[start:] + idle[:start])[:idle_rows]
        for name in [*self._own, *selected]:
            load = self._get_own_load(name)
            step_nanoseconds = int(self._step_ms.get(name, 0.0) * 1e6)
            rows.append(
                (name, load.requests, load.prefill_backlog, step_nanoseconds)
            )
        return rows

    def get_load(self, endpoint: str) -> Load:
        """Return the load of an endpoint, from all instances."""
        own = self._get_own_load(endpoint)
        others = self._remote_totals.get(endpoint)
        if others is None:
            return own
        return Load(own.requests + others[0], own.prefill_backlog + others[1])

    def count_requests(self, endpoint: str) -> int:
        """Return the number of requests at an endpoint, of all instances."""
        others = self._remote_totals.get(endpoint)
        own = len(self._own.get(endpoint, ()))
        return own if others is None else own + others[0]

    def count_own_requests(self, endpoint: str) -> int:
        """Return the number of own requests at an endpoint."""
        return len(self._own.get(endpoint, ()))

    def get_step_ms(self, endpoint: str) -> float:
        """Return the median of all instances' step times of an endpoint.

        Without any, returns the typical step time.
        """
        median = self._median_step_ms.get(endpoint)
        if median is None:
            median = self._median_step_ms[endpoint] = (
                self._compute_median_step_ms(endpoint)
            )
        return median

    def _compute_median_step_ms(self, endpoint: str) -> float:
        known = [
            step_ms
            for report in self._remote.values()
            if (step_ms := report.step_ms.get(endpoint)) is not None
        ]
        own = self._step_ms.get(endpoint)
        if own is not None:
            known.append(own)
        if not known:
            return self.get_typical_step_ms()
        return _find_median(known)

    def get_typical_step_ms(self) -> float:
        """Return the median of all known step times.

        Used for engines that have not been measured yet. Computed once per
        report, since hundreds of step times change slightly all the time.
        """
        if self._typical_step_ms is None:
            known = list(self._step_ms.values())
            for report in self._remote.values():
                known += report.step_ms.values()
            self._typical_step_ms = (
                _find_median(known) if known else DEFAULT_STEP_MS
            )
        return self._typical_step_ms

    def get_answer_seconds(self, endpoint: str) -> float:
        """Return the mean time of a plain answer, seconds."""
        seconds = self._answer_seconds.get(endpoint)
        if seconds is not None:
            return seconds
        # An untried endpoint is assumed to be slightly faster than the best
        # of the others, or it would never be chosen.
        best = min(
            self._answer_seconds.values(), default=DEFAULT_ANSWER_SECONDS
        )
        return UNTRIED_FACTOR * best

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self.overdue.forget(endpoint)
        self._step_ms.pop(endpoint, None)
        self._early.discard(endpoint)
        self._answer_seconds.pop(endpoint, None)
        self._median_step_ms.pop(endpoint, None)
        for report in self._remote.values():
            report.step_ms.pop(endpoint, None)

    def _hold_rows(
        self,
        sender: str,
        loads: collections.abc.Iterable[str],
        step_times: collections.abc.Iterable[str],
    ) -> bool:
        """Return whether there is room for more rows of a sender.

        Args:
            sender: name of another instance.
            loads: endpoints with its requests.
            step_times: endpoints with a step time, besides the known ones.
        """
        known = self._remote.get(sender)
        names = {*known.step_ms, *step_times} if known else step_times
        size = row_budget.count_bytes(loads) + row_budget.count_bytes(names)
        return self._budget.hold(
            _TABLE, sender, row_budget.SENDER_BYTES + size
        )

    def _drop_report(self, sender: str) -> None:
        """Forget what an instance has reported."""
        report = self._remote.pop(sender, None)
        if report is not None:
            self._add_remote(report.loads, -1)
            self._median_step_ms.clear()

    def _get_own_load(self, endpoint: str) -> Load:
        own = self._own.get(endpoint)
        if not own:
            return Load(0, 0)
        prefill_backlog = sum(
            r.prompt_tokens for r in own.values() if r.first_event_at is None
        )
        return Load(len(own), prefill_backlog)

    def _add_remote(
        self, loads: dict[str, tuple[int, int]], sign: int
    ) -> None:
        for name, (requests, prefill_backlog) in loads.items():
            total = self._remote_totals.setdefault(name, [0, 0])
            total[0] += sign * requests
            total[1] += sign * prefill_backlog
            if total == [0, 0]:
                del self._remote_totals[name]

    def _update_profile(
        self, endpoint: str, run: runs.Run, now: float
    ) -> None:
        if run.service:
            step = self.get_step_ms(endpoint) * runs.SECONDS_PER_MS
            tokens = run.prefill_backlog + run.prompt_tokens
            self.profiles.record_first_event(
                run.service, tokens, (now - run.sent_at) / step
            )

    def _update_step_ms(self, endpoint: str, step_ms: float) -> None:
        step_ms = min(MAX_STEP_MS, max(MIN_STEP_MS, step_ms))
        mean = self._step_ms.get(endpoint)
        self._median_step_ms.pop(endpoint, None)
        if mean is None or endpoint in self._early:
            self._early.discard(endpoint)
            self._step_ms[endpoint] = step_ms
        else:
            self._step_ms[endpoint] = mean + STEP_MS_WEIGHT * (step_ms - mean)


def _find_median(values: list[float]) -> float:
    values.sort()
    return values[len(values) // 2]


def _remove(
    requests: dict[str, dict[str, runs.Run]], endpoint: str, request_id: str
) -> None:
    endpoint_requests = requests.get(endpoint)
    if endpoint_requests is None:
        return
    endpoint_requests.pop(request_id, None)
    if not endpoint_requests:
        del requests[endpoint]
