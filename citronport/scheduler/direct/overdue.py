"""Requests without a first event, and the endpoints that begin nothing."""

import collections
import collections.abc
import dataclasses

MIN_OVERDUE = 2
"""Overdue requests from which an endpoint may count as silent; a single one
may hang by itself."""

MAX_SILENT_SHARE = 0.25
"""Largest share of a service's endpoints that is skipped as silent."""

GIVEN_UP_RETENTION_SECONDS = 10.0
"""How long a request that was sent elsewhere counts as overdue at its first
endpoint."""

MAX_GIVEN_UP = 8
"""Requests that were given up and are kept, for each endpoint."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """An endpoint to be checked, with requests that wait.

    Attributes:
        name: name of the endpoint.
        seconds: expected time until the waiting requests begin, seconds.
        objective: longest objective of a route to its service, seconds.
        may_delay: whether waiting there is no fault, as the endpoint is cold
            or all its slots are taken; ages restart meanwhile.
    """

    name: str
    seconds: float
    objective: float
    may_delay: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Silent:
    """An endpoint that begins nothing.

    Attributes:
        endpoint: name of the endpoint.
        overdue: number of overdue requests.
        age: age of the oldest, seconds.
        expected: expected time to the first event of the oldest, seconds.
    """

    endpoint: str
    overdue: int
    age: float
    expected: float


@dataclasses.dataclass(slots=True)
class _Waiting:
    """A request without a first event.

    Attributes:
        sent_at: clock time from which its age counts, seconds.
        expected: expected time to the first event, seconds; None if unknown.
        objective: objective of its route, seconds; None if unknown.
        has_prompt: whether renewals report its first event.
        confirmed_at: clock time at which its holder last reported that it
            waits; None for a request of this instance.
    """

    sent_at: float
    expected: float | None
    objective: float | None
    has_prompt: bool
    confirmed_at: float | None


@dataclasses.dataclass(slots=True)
class _Record:
    waiting: dict[str, _Waiting] = dataclasses.field(default_factory=dict)
    given_up: collections.deque[tuple[float, _Waiting]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_GIVEN_UP)
    )
    begun_at: float = float("-inf")
    skipped_at: float = float("-inf")


class OverdueTracker:
    """Tracks which requests wait for their first event, by endpoint.

    Attributes:
        factor: multiple of the expected time after which a request is
            overdue; 0 if nothing is tracked.
    """

    def __init__(self) -> None:
        self.factor = 0.0
        self._records: dict[str, _Record] = {}
        self._silent: set[str] = set()

    def record_send(
        self,
        endpoint: str,
        request_id: str,
        now: float,
        *,
        expected: float,
        objective: float,
        has_prompt: bool,
        is_leased_out: bool = False,
    ) -> None:
        """Record that a request is sent to an endpoint.

        Args:
            endpoint: name of the endpoint.
            request_id: id of the request.
            now: clock time, seconds.
            expected: expected time to its first event, seconds.
            objective: objective of its route, seconds.
            has_prompt: whether it has prompt tokens.
            is_leased_out: whether another instance sends it; its age counts
                up to the last renewal of the lease, as the instance may have
                died or its messages may not have been read yet.
        """
        if self.factor:
            self._get(endpoint).waiting[request_id] = _Waiting(
                now,
                expected,
                objective,
                has_prompt,
                now if is_leased_out else None,
            )

    def record_takeover(
        self, endpoint: str, request_id: str, now: float
    ) -> None:
        """Record a lease that another owner granted and that still waits.

        Its age counts from now, and its expected time is not known.
        """
        if self.factor:
            self._get(endpoint).waiting[request_id] = _Waiting(
                now, None, None, True, now
            )

    def record_renewal(
        self, endpoint: str, request_id: str, now: float, *, has_prompt: bool
    ) -> None:
        """Record that the holder of a lease still holds it.

        Args:
            endpoint: name of the endpoint.
            request_id: id of the request.
            now: clock time, seconds.
            has_prompt: whether the holder reports a prompt that has not been
                processed; never for a request of a plain service.
        """
        record = self._records.get(endpoint)
        waiting = record and record.waiting.get(request_id)
        if not waiting:
            return
        if waiting.has_prompt and not has_prompt:
            self.record_begun(endpoint, request_id, now)
        else:
            waiting.confirmed_at = now

    def record_begun(self, endpoint: str, request_id: str, now: float) -> bool:
        """Record a first event or an answer.

        Returns:
            Whether it ends a silence.
        """
        if not self.factor:
            return False
        record = self._get(endpoint)
        record.waiting.pop(request_id, None)
        record.given_up.clear()
        record.begun_at = now
        was_silent = endpoint in self._silent
        self._silent.discard(endpoint)
        return was_silent

    def record_end(
        self, endpoint: str, request_id: str, given_up_at: float | None = None
    ) -> None:
        """Record that a request has left an endpoint.

        Args:
            endpoint: name of the endpoint.
            request_id: id of the request.
            given_up_at: clock time at which it was sent elsewhere since it
                was overdue, seconds; None if it ended for another reason.
        """
        record = self._records.get(endpoint)
        waiting = record and record.waiting.pop(request_id, None)
        if record and waiting and given_up_at is not None:
            record.given_up.append((given_up_at, waiting))

    def list_endpoints(self) -> set[str]:
        """Return the endpoints where requests wait or were given up."""
        return {
            name
            for name, record in self._records.items()
            if record.waiting or record.given_up
        }

    def count_waiting(self, endpoint: str) -> int:
        """Return the number of requests that wait for their first event."""
        record = self._records.get(endpoint)
        return len(record.waiting) if record else 0

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self._records.pop(endpoint, None)
        self._silent.discard(endpoint)

    def has_begun_elsewhere(
        self,
        endpoint: str,
        listed: collections.abc.Iterable[str],
        since: float,
    ) -> bool:
        """Return whether another endpoint has begun a request since then.

        If none has, the path or the load is at fault, and not the endpoint.

        Args:
            endpoint: name of the endpoint.
            listed: names of all endpoints of its service.
            since: clock time, seconds.
        """
        return any(
            record.begun_at > since
            for name in listed
            if name != endpoint and (record := self._records.get(name))
        )

    def find_silent(
        self,
        targets: collections.abc.Iterable[Target],
        listed: collections.abc.Sequence[str],
        now: float,
        owners: int = 1,
    ) -> list[Silent]:
        """Return the endpoints of a service to skip from now on.

        An endpoint that is skipped already is returned again once its probe
        is overdue too.

        Args:
            targets: those of ``list_endpoints`` that are of the service.
            listed: names of all endpoints of the service.
            now: clock time, seconds.
            owners: number of owners among which the endpoints are divided.
        """
        found = [s for t in targets if (s := self._check(t, listed, now))]
        max_new = int(MAX_SILENT_SHARE * len(listed) / owners) - len(
            self._silent.intersection(listed)
        )
        skipped = []
        for silent in sorted(found, key=lambda s: s.age, reverse=True):
            if silent.endpoint not in self._silent:
                if max_new <= 0:
                    continue
                max_new -= 1
                self._silent.add(silent.endpoint)
            self._records[silent.endpoint].skipped_at = now
            skipped.append(silent)
        return skipped

    def _check(
        self,
        target: Target,
        listed: collections.abc.Sequence[str],
        now: float,
    ) -> Silent | None:
        record = self._records.get(target.name)
        if record is None:
            return None
        if target.may_delay:
            for waiting in record.waiting.values():
                waiting.sent_at = now
            return None
        late = self._list_late(record, target, now)
        is_silent = target.name in self._silent
        if is_silent:
            # Only probes count; the earlier requests led to the first pause.
            late = [w for w in late if w.sent_at > record.skipped_at]
        if len(late) < (1 if is_silent else MIN_OVERDUE):
            return None
        oldest = min(late, key=lambda w: w.sent_at)
        if record.begun_at >= oldest.sent_at or not self.has_begun_elsewhere(
            target.name, listed, oldest.sent_at
        ):
            return None
        return Silent(
            endpoint=target.name,
            overdue=len(late),
            age=now - oldest.sent_at,
            expected=_get_expected(oldest, target),
        )

    def _list_late(
        self, record: _Record, target: Target, now: float
    ) -> list[_Waiting]:
        given_up = record.given_up
        while given_up and now - given_up[0][0] > GIVEN_UP_RETENTION_SECONDS:
            given_up.popleft()
        late = [waiting for _, waiting in given_up]
        for waiting in record.waiting.values():
            limit = compute_limit(
                self.factor,
                _get_expected(waiting, target),
                target.objective
                if waiting.objective is None
                else waiting.objective,
            )
            until = now
            if waiting.confirmed_at is not None:
                until = waiting.confirmed_at
            if until - waiting.sent_at > limit:
                late.append(waiting)
        return late

    def _get(self, endpoint: str) -> _Record:
        return self._records.setdefault(endpoint, _Record())


def compute_limit(factor: float, expected: float, objective: float) -> float:
    """Return the age from which a request is overdue, seconds."""
    return max(factor * expected, objective)


def _get_expected(waiting: _Waiting, target: Target) -> float:
    # Prompts that were sent later delay the first event too, where an engine
    # processes several at once.
    return max(waiting.expected or 0.0, target.seconds)
