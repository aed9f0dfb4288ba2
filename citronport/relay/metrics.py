"""Counters and histograms of an instance, served as Prometheus text."""

import bisect
import collections
import collections.abc
import dataclasses
import typing
from typing import Any

from citronport import errors

if typing.TYPE_CHECKING:
    import aioprometheus

BUCKETS = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0,
    float("inf"),
)  # fmt: skip
"""Upper bounds of histogram buckets, seconds. They include the latency
objectives of the deployments."""

_LABEL_REPLACEMENTS = str.maketrans({'"': "_", "\\": "_", "\n": "_"})


class Durations:
    """Histogram of durations.

    Attributes:
        counts: number of durations in each bucket, without lower ones.
        total: sum of the durations, seconds.
    """

    def __init__(self) -> None:
        self.counts = [0] * len(BUCKETS)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        """Add a duration."""
        self.counts[bisect.bisect_left(BUCKETS, seconds)] += 1
        self.total += seconds


class Counts:
    """Counters and histograms since the start of the process.

    Attributes:
        requests: requests by kind of route, tier and outcome.
        refusals: refusals by name of the result code.
        sends: sends to endpoints, by result.
        scoped_sends: sends to endpoints, by scope: "local", or "remote" if
            the endpoint is known to be in another data centre.
        body_bytes: bytes of bodies sent to endpoints and received from them,
            by scope and direction ("request" or "answer").
        leased_sends: sends to an endpoint that its owner chose.
        unowned_start_sends: sends just after the start of this instance, to
            an endpoint without an owner.
        repeats: sends of a request beyond the first one.
        overdue_repeats: sends of a request whose first event was overdue at
            another endpoint.
        cut_sends: sends during which the endpoint's connection broke.
        body_ends: answers by what proved their end.
        resumptions: streams that callers took up, by how the version that
            began them was found.
        resumption_proofs: those that no instance knew, by what proved that
            one version alone can have begun them.
        first_byte_seconds: time to the first byte of an answer, by kind of
            route.
        longest_pauses: longest pause of each stream.
        queue_seconds: time in the queue of this instance.
    """

    def __init__(self) -> None:
        self.requests: collections.Counter[tuple[str, int, str]] = (
            collections.Counter()
        )
        self.refusals: collections.Counter[str] = collections.Counter()
        self.sends: collections.Counter[str] = collections.Counter()
        self.scoped_sends: collections.Counter[str] = collections.Counter()
        self.body_bytes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.leased_sends = 0
        self.unowned_start_sends = 0
        self.repeats = 0
        self.overdue_repeats = 0
        self.cut_sends = 0
        self.body_ends: collections.Counter[str] = collections.Counter()
        self.resumptions: collections.Counter[str] = collections.Counter()
        self.resumption_proofs: collections.Counter[str] = (
            collections.Counter()
        )
        self.first_byte_seconds: dict[str, Durations] = (
            collections.defaultdict(Durations)
        )
        self.longest_pauses = Durations()
        self.queue_seconds = Durations()

    def record_scope(self, *, remote: bool, request_bytes: int) -> None:
        """Count a send to an endpoint by its scope.

        Args:
            remote: whether the endpoint is in another data centre.
            request_bytes: size of the request's body.
        """
        scope = get_scope(remote=remote)
        self.scoped_sends[scope] += 1
        self.body_bytes[scope, "request"] += request_bytes


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class State:
    """State of an instance at the time of a scrape.

    Attributes:
        up_seconds: time since the start.
        ready: whether callers should use this instance.
        running: requests in progress.
        waiting: requests that wait for an endpoint.
        peers_in_reach: other instances in reach.
        known_instances: instances that may serve callers, including this one.
        configuration_version: version in force; 0 without one.
        store_seconds: age of the store's latest answer.
        store_revision: store revision up to which all changes are known.
        store_calls: calls to the store since the start.
        store_failures: calls to the store without a usable answer.
        store_refused: watches that it refused for lack of history.
        store_era: how often it was restored from a copy, as it states.
        store_lost: items that it has lost by that and that have not been
            written again.
        summaries_made: summaries made of this data centre.
        summaries_taken: summaries of other data centres that were applied;
            duplicates are not counted.
        news_taken: successful fetches of changes from other instances.
        news_failed: fetches that failed or timed out.
        news_received: bytes received by all fetches.
        news_behind_seconds: time for which others have been ahead.
        endpoints: listed endpoints.
        cold: cold endpoints.
        limited: endpoints that name a limit in their answers.
        brittle: endpoints that must not have to turn requests away.
        leaving: endpoints that are about to stop.
        paused: endpoints that want no request of this instance now.
        path_lost: whether this instance reaches no endpoint now.
        leases: slots granted to other instances now.
        barred: requests that are not sent any more, as they are suspected
            of crashing endpoints.
        barred_parts: parts of prompts, or sets of them, with which no request
            is sent any more for the same reason.
        streams: streams whose software version is remembered.
        peer_row_bytes: bytes of the rows that other instances have reported.
        peer_rows_refused: how often there was no room for further ones.
        lines_dropped: log lines dropped since they were last logged.
        rejected: inputs that could not be used, by fault.
        oldest_report_seconds: age of the oldest report in use.
    """

    up_seconds: float
    ready: bool
    running: int
    waiting: int
    peers_in_reach: int
    known_instances: int
    configuration_version: int
    store_seconds: float
    store_revision: int
    store_calls: int
    store_failures: int
    store_refused: int
    store_era: int
    store_lost: int
    summaries_made: int
    summaries_taken: int
    news_taken: int
    news_failed: int
    news_received: int
    news_behind_seconds: float
    endpoints: int
    cold: int
    limited: int
    brittle: int
    leaving: int
    paused: int
    path_lost: bool
    leases: int
    barred: int
    barred_parts: int
    streams: int
    peer_row_bytes: int
    peer_rows_refused: int
    lines_dropped: int
    rejected: collections.abc.Mapping[errors.InputFault, int]
    oldest_report_seconds: float


def get_scope(*, remote: bool) -> str:
    """Return the label of sends within or between data centres."""
    return "remote" if remote else "local"


def render(state: State, counts: Counts) -> tuple[bytes, str]:
    """Return the metrics in the text format, and their content type."""
    # Imported at the first query: the library loads an event loop of its
    # own, which would delay the start of an instance.
    import aioprometheus
    from aioprometheus import renderer

    registry = aioprometheus.Registry()

    def gauge(name: str, doc: str, value: float) -> None:
        full = f"citronport_{name}"
        aioprometheus.Gauge(full, doc, registry=registry).set({}, value)

    def counter(
        name: str,
        doc: str,
        values: collections.abc.Iterable[tuple[dict[str, str], int]],
    ) -> None:
        full = f"citronport_{name}"
        collector = aioprometheus.Counter(full, doc, registry=registry)
        for labels, value in values:
            collector.set(labels, value)

    _add_state(gauge, state)
    _add_counts(counter, state, counts)
    _add_histograms(registry, counts)
    body, headers = renderer.render(registry, [])
    return body, headers["Content-Type"]


def _add_state(gauge: Any, state: State) -> None:
    gauge("up_seconds", "Time since the start.", round(state.up_seconds, 3))
    gauge("ready", "1 while callers should come here.", int(state.ready))
    gauge("running", "Requests in progress.", state.running)
    gauge("waiting", "Requests that wait for an endpoint.", state.waiting)
    gauge("peers_in_reach", "Other instances in reach.", state.peers_in_reach)
    gauge(
        "instances_known", "Instances that may serve.", state.known_instances
    )
    gauge(
        "configuration_version",
        "Version in force.",
        state.configuration_version,
    )
    gauge(
        "store_age_seconds",
        "Age of the store's newest answer.",
        round(state.store_seconds, 3),
    )
    gauge("store_era", "Times it was restored.", state.store_era)
    gauge(
        "store_lost_items",
        "Items that it has lost by that, until they are written again.",
        state.store_lost,
    )
    gauge("store_revision", "Known up to here.", state.store_revision)
    gauge(
        "news_behind_seconds",
        "Time for which other instances have known more.",
        round(state.news_behind_seconds, 3),
    )
    gauge("endpoints", "Listed endpoints.", state.endpoints)
    gauge("endpoints_cold", "Cold endpoints.", state.cold)
    gauge("endpoints_limited", "Those that name a limit.", state.limited)
    gauge("endpoints_brittle", "Those that are brittle.", state.brittle)
    gauge("endpoints_leaving", "Those about to stop.", state.leaving)
    gauge("endpoints_paused", "Those that asked for a pause.", state.paused)
    gauge("path_lost", "1 while no endpoint is reached.", int(state.path_lost))
    gauge("leases", "Leases held by others now.", state.leases)
    gauge(
        "requests_barred",
        "Requests not sent, as endpoints ended under them.",
        state.barred,
    )
    gauge(
        "parts_barred",
        "Parts of prompts not sent, as endpoints ended under them.",
        state.barred_parts,
    )
    gauge(
        "streams",
        "Streams whose software version is remembered.",
        state.streams,
    )
    gauge(
        "peer_row_bytes",
        "Rows that other instances have reported.",
        state.peer_row_bytes,
    )
    gauge(
        "peer_rows_refused",
        "Times at which there was no room for further ones.",
        state.peer_rows_refused,
    )
    gauge(
        "report_age_seconds",
        "Age of the oldest report in use.",
        round(state.oldest_report_seconds, 3),
    )


def _add_counts(counter: Any, state: State, counts: Counts) -> None:
    counter(
        "requests_total",
        "Requests of callers, by kind, tier and outcome.",
        (
            ({"kind": kind, "tier": str(tier), "outcome": outcome}, number)
            for (kind, tier, outcome), number in counts.requests.items()
        ),
    )
    counter(
        "refusals_total",
        "Refusals given to callers, by code.",
        (({"code": c}, number) for c, number in counts.refusals.items()),
    )
    counter(
        "sends_total",
        "Sends to endpoints, by result.",
        (
            ({"result": r.translate(_LABEL_REPLACEMENTS)}, number)
            for r, number in counts.sends.items()
        ),
    )
    counter(
        "endpoint_sends_total",
        "Sends to endpoints, by scope.",
        [({"scope": scope}, n) for scope, n in counts.scoped_sends.items()],
    )
    counter(
        "endpoint_body_bytes_total",
        "Bytes of bodies to and from endpoints, by scope.",
        (
            ({"scope": scope, "direction": direction}, number)
            for (scope, direction), number in counts.body_bytes.items()
        ),
    )
    counter(
        "leased_sends_total",
        "Sends to endpoints that their owner chose.",
        [({}, counts.leased_sends)],
    )
    counter(
        "unowned_start_sends_total",
        "Sends without an owner just after the start.",
        [({}, counts.unowned_start_sends)],
    )
    counter(
        "repeats_total",
        "Sends beyond the first of a request.",
        [({}, counts.repeats)],
    )
    counter(
        "overdue_repeats_total",
        "Sends away from an endpoint where the first event was overdue.",
        [({}, counts.overdue_repeats)],
    )
    counter(
        "cut_sends_total",
        "Sends under which the endpoint's connection broke.",
        [({}, counts.cut_sends)],
    )
    counter(
        "body_ends_total",
        "Answers of endpoints, by what proved their end.",
        [({"end": end}, n) for end, n in counts.body_ends.items()],
    )
    counter(
        "resumptions_total",
        "Streams that callers took up, by how their version was found.",
        [({"found": how}, n) for how, n in counts.resumptions.items()],
    )
    counter(
        "resumption_proofs_total",
        "Streams of the only version, by what proved that it is.",
        [({"proof": p}, n) for p, n in counts.resumption_proofs.items()],
    )
    counter(
        "store_calls_total",
        "Calls to the platform's store.",
        [({}, state.store_calls)],
    )
    counter(
        "store_failures_total",
        "Calls to the platform's store without a usable answer.",
        [({}, state.store_failures)],
    )
    counter(
        "store_refused_watches_total",
        "Watches that the platform's store refused for lack of history.",
        [({}, state.store_refused)],
    )
    counter(
        "summaries_total",
        "Summaries of data centres, by what was done with them.",
        [
            ({"done": "made"}, state.summaries_made),
            ({"done": "taken"}, state.summaries_taken),
        ],
    )
    counter(
        "news_fetches_total",
        "Fetches of changes from other instances, by result.",
        [
            ({"result": "taken"}, state.news_taken),
            ({"result": "failed"}, state.news_failed),
        ],
    )
    counter(
        "news_bytes_total",
        "Bytes of changes that came from other instances.",
        [({}, state.news_received)],
    )
    counter(
        "log_lines_dropped_total",
        "Log lines dropped since they were last told.",
        [({}, state.lines_dropped)],
    )
    counter(
        "inputs_rejected_total",
        "Inputs that could not be used, by code.",
        [({"code": str(int(f))}, n) for f, n in state.rejected.items()],
    )


def _add_histograms(
    registry: "aioprometheus.Registry", counts: Counts
) -> None:
    import aioprometheus

    for name, doc, observed in (
        (
            "first_byte_seconds",
            "Time to the first byte of an answer.",
            {kind: each for kind, each in counts.first_byte_seconds.items()},
        ),
        (
            "pause_seconds",
            "Longest pause of a stream.",
            {"": counts.longest_pauses},
        ),
        (
            "wait_seconds",
            "Time in the queue here.",
            {"": counts.queue_seconds},
        ),
    ):
        collector = aioprometheus.Histogram(
            f"citronport_{name}", doc, registry=registry, buckets=BUCKETS
        )
        for kind, each in observed.items():
            labels = {"kind": kind} if kind else {}
            collector.set_value(labels, _make_histogram(each))


def _make_histogram(durations: Durations) -> Any:
    from aioprometheus import histogram

    made = histogram.Histogram(*BUCKETS)
    made.observations = sum(durations.counts)
    made.sum = durations.total
    for bound, count in zip(BUCKETS, durations.counts, strict=True):
        made.buckets[bound] = count
    return made
