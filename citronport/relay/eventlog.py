"""Structured log lines: one JSON object a line, on standard output.

Each event is a data class; its name and its fields are the line. Writing
never waits: what the reader does not take in time is counted and dropped.
"""

import collections
import dataclasses
import fcntl
import json
import os
import re
import time

from citronport import clock

LINES_PER_SECOND = 200
"""Lines a second that are written at most. At 94 requests a second and
instance it holds two lines for each; a burst of refusals is summed up."""

_WORD_END = re.compile(r"(?<!^)(?=[A-Z])")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Started:
    """The process began to work."""

    incarnation: str
    version: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ready:
    """The instance can serve callers, or no longer can."""

    ready: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """A stop was ordered."""

    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stopped:
    """The process ends."""

    requests: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SettingsReloaded:
    """The settings file was read again."""

    accepted: bool
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationInForce:
    """A new version of the configuration is used from now on."""

    version: int
    revision: int
    routes: int
    workspaces: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InputRejected:
    """A value of the store could not be used and was left out."""

    code: int
    key: str
    revision: int
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreChanged:
    """Operators took a data centre out or back."""

    data_centre: str
    evacuated: bool
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointListed:
    """An endpoint appeared in the list, or its entry changed."""

    endpoint: str
    service: str
    data_centre: str
    leaving: bool
    cold_seconds: float
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EndpointGone:
    """An endpoint's entry was removed; lapsed: around a store outage."""

    endpoint: str
    revision: int
    lapsed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreLost:
    """The store stopped answering."""

    reason: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreBack:
    """The store answers again."""

    away_seconds: float
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PeerChanged:
    """Another instance came into reach or went out of it."""

    peer: str
    in_reach: bool
    known: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NewsFromPeer:
    """Changes of the store were taken from another instance."""

    peer: str
    revision: int
    items: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerChanged:
    """Another instance hands out the places of a service's endpoints."""

    service: str
    pool: int
    owner: str
    candidates: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerSilent:
    """An owner did not answer and is passed over for a while."""

    owner: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestRefused:
    """A request was refused before it was looked for a place.

    Attributes:
        request: its id; empty if its head holds none.
        route: name of the route; empty if none fits.
        code: numbered result code.
        status: HTTP status.
        retry_after: seconds until it may come back; -1 if that is no use.
        version: of the configuration used; 0 without one.
        store_seconds: age of the store's newest answer.
        reach: share of the instances in reach, for limits.
    """

    request: str
    route: str
    code: int
    status: int
    retry_after: float
    version: int
    store_seconds: float
    reach: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestSent:
    """A request goes to an endpoint.

    Attributes:
        request: its id.
        endpoint: chosen.
        attempt: number of the send, from 1.
        waited: seconds in the queue here.
        prompt: tokens to read.
        output: most tokens to write.
        hint: tokens that the caller expects.
        expected: seconds to the first event, as estimated.
        load: requests that are known to be there.
        pace: known pace of the endpoint, milliseconds a step.
        leased: whether the owner of the endpoint chose it.
    """

    request: str
    endpoint: str
    attempt: int
    waited: float
    prompt: int
    output: int
    hint: int
    expected: float
    load: int
    pace: float
    leased: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SendFailed:
    """A send brought no answer, or one that it did not run."""

    request: str
    endpoint: str
    attempt: int
    what: str
    ran: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestEnded:
    """The caller's request has its final answer, or its caller left.

    Attributes:
        request: its id.
        route: name of the route.
        repeat: what the route allows to be sent a second time.
        objective: seconds in which an answer is worth most.
        max_gap: longest pause of a stream in time, seconds; 0: not said.
        tier: 0 is served first.
        outcome: "answered", "refused", "cut" or "left".
        status: HTTP status; 0 if none was sent.
        code: numbered result code; 0 for an endpoint's own answer.
        endpoint: which answered; empty if none did.
        attempts: sends to endpoints.
        waited: seconds in the queue here.
        first: seconds to the first byte of the answer; -1 without one.
        longest: longest pause between two events of a stream, seconds.
        seconds: from the head of the request to the end.
        version: of the configuration used.
    """

    request: str
    route: str
    repeat: str
    objective: float
    max_gap: float
    tier: int
    outcome: str
    status: int
    code: int
    endpoint: str
    attempts: int
    waited: float
    first: float
    longest: float
    seconds: float
    version: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LinesDropped:
    """Lines that were not written since the last such line."""

    count: int
    by_event: dict[str, int]


class Log:
    """Writes events within a bound, without waiting for the reader.

    Args:
        instance: name of this instance, on each line.
        ticker: the clock.
        descriptor: where lines go.
    """

    def __init__(
        self, instance: str, ticker: clock.Clock, descriptor: int = 1
    ) -> None:
        self._instance = instance
        self._ticker = ticker
        self._descriptor = descriptor
        self._second = 0
        self._written = 0
        self._rest = b""
        self.dropped: collections.Counter[str] = collections.Counter()
        # A reader that stops reading must not stop the instance.
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, event: object) -> None:
        """Write one event, or count it as dropped."""
        now = self._ticker.now()
        name = get_event_name(type(event))
        if int(now) != self._second:
            self._second = int(now)
            self._written = 0
            self._tell_dropped(now)
        if self._written >= LINES_PER_SECOND:
            self.dropped[name] += 1
            return
        self._written += 1
        self._put(event, name, now)

    def _tell_dropped(self, now: float) -> None:
        if not self.dropped:
            return
        counts = dict(self.dropped)
        self.dropped.clear()
        event = LinesDropped(count=sum(counts.values()), by_event=counts)
        self._put(event, get_event_name(LinesDropped), now)

    def _put(self, event: object, name: str, now: float) -> None:
        fields = {
            field.name: _shorten(getattr(event, field.name))
            for field in dataclasses.fields(event)  # type: ignore[arg-type]
        }
        line = {
            "at": round(now, 4),
            "time": round(time.time(), 3),
            "instance": self._instance,
            "event": name,
            **fields,
        }
        data = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        if not self._flush():
            self.dropped[name] += 1
            return
        self._rest = data
        self._flush()

    def _flush(self) -> bool:
        while self._rest:
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                # Nobody will ever read; there is nobody to tell either.
                self._rest = b""
                return True
            self._rest = self._rest[written:]
        return True


def get_event_name(kind: type) -> str:
    """Return the name of an event as it stands in the lines."""
    return _WORD_END.sub("_", kind.__name__).lower()


def _shorten(value: object) -> object:
    return round(value, 4) if isinstance(value, float) else value
