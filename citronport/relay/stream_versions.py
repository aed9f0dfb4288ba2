"""Remembers at which software versions streams began.

A caller takes a stream up again at any instance, when the one that began it
may be gone. While streams of several versions may be alive, each instance
therefore reports to a few others, the keepers of the stream, at which version
it began, before its caller gets the first event.
"""

import random
import sys

import gevent

from citronport import clock
from citronport import errors
from citronport.platform import requests
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import metrics
from citronport.relay import owners as owners_module
from citronport.relay import route_history
from citronport.relay import store_history
from citronport.relay import stream_messages
from citronport.relay import stream_questions
from citronport.relay import stream_records
from citronport.relay import version_proofs
from citronport.scheduler.direct import models
from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import ring as ring_module
from citronport.scheduler.direct import routing
from citronport.scheduler.direct import runs
from citronport.scheduler.direct import software_history

KEEPERS = 3
"""Instances that keep the version of a stream in a large fleet. In a small
one all do, so that any number of instances may be lost."""

MAX_OWNER_POOLS = 2
"""Most pools of a service whose owners are asked too."""

ANSWER_CONFIRM_SECONDS = 0.05
"""How long an answer may wait for the store. Those who ask wait for 0.06 s
before they ask once more the ones that have not answered."""

RING_CACHE_SECONDS = 0.05
"""How long the list of instances is cached. Reports that change it arrive at
intervals of 0.1 s or more."""

ROWS_PER_MESSAGE = 100
GROUP_SIZE = 12
"""Messages sent without a pause."""

GROUP_PAUSE_SECONDS = 0.005

OTHER_INSTANCE_RETRY_SECONDS = 0.1
"""Retry time where another instance may know the stream."""


class StreamVersions:
    """Knows where streams began, or asks the instances that keep it.

    Args:
        own: name of this instance.
        members: the other instances.
        cluster_state: source of the listed endpoints.
        owners: owners of the endpoints, who get reports of first events.
        send: sends a message to the named instance.
        proofs: whether the list of endpoints is as recent as a stream.
        counts: counters for the metrics.
        ticker: the clock.
        records: the streams that are known.
    """

    def __init__(
        self,
        own: str,
        members: membership_module.Membership,
        cluster_state: cluster_state_module.ClusterState,
        owners: owners_module.Owners,
        send: messages.SendMessage,
        proofs: version_proofs.VersionProofs,
        counts: metrics.Counts,
        ticker: clock.Clock,
        records: stream_records.StreamRecords | None = None,
    ) -> None:
        self._own = own
        self._members = members
        self._cluster_state = cluster_state
        self._owners = owners
        self._send = send
        self._counts = counts
        self._ticker = ticker
        self._history = software_history.SoftwareHistory()
        self._routes = route_history.RouteHistory(cluster_state, ticker)
        if records is None:
            records = stream_records.StreamRecords(ticker)
        self._records = records
        self._shared_services: set[str] = set()
        self._questions = stream_questions.StreamQuestions(own, send, ticker)
        self._proofs = proofs
        self._ring = ring_module.Ring(())
        self._ring_until = float("-inf")
        self._incarnations: dict[str, str] = {}
        # The number of a list that was never read.
        self._list_number = 0

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._records)

    def update(self) -> None:
        """Take over the listed endpoints, and forget old streams.

        Streams that began while one version served are reported to their
        keepers as soon as a second one may serve.
        """
        now = self._ticker.now()
        self._refresh_ring()
        self._proofs.update()
        self._routes.update()
        if self._list_number != self._cluster_state.list_number:
            self._list_number = self._cluster_state.list_number
            self._history.update(
                self._cluster_state.endpoints.values(),
                self._cluster_state.evacuated,
                self._cluster_state.take_removed_versions(),
                now,
                self._cluster_state.take_weight_changes(),
            )
        self._records.drop_expired()
        shared = {
            service
            for service in self._history.list_services()
            if self._get_versions(service).get_only(is_named=True) is None
        }
        newly_shared = shared - self._shared_services
        self._shared_services = shared
        if newly_shared:
            gevent.spawn(self._share_all, newly_shared)

    def record_gap(self, seconds: float) -> None:
        """Record that the list was not followed for a time.

        Args:
            seconds: how long ago the latest change was known for sure.
        """
        if seconds > software_history.MAX_GAP_SECONDS:
            self._history.record_gap(self._ticker.now())

    def record_past(self, past: store_history.Past) -> None:
        """Record what the store has listed before the start."""
        self._history.record_past(
            past.versions, past.weights, self._ticker.now()
        )

    def assign(
        self, request_id: str, route: models.Route
    ) -> stream_records.StreamVersion:
        """Return where a new stream has to begin.

        Args:
            request_id: id of the caller's attempt.
            route: its route.
        """
        key = _make_key(request_id, None)
        service = routing.choose_service(route, _draw(key))
        return stream_records.StreamVersion(
            service=service, software=self._history.assign(service, key)
        )

    def record(
        self,
        request_id: str,
        resumption: requests.Resumption | None,
        endpoint: models.Endpoint,
    ) -> None:
        """Remember at which version a request brings its first event.

        Args:
            request_id: id of the request.
            resumption: the stream that it takes up again, if any.
            endpoint: the endpoint that brings the event.
        """
        key = _make_key(request_id, resumption)
        version = stream_records.StreamVersion(
            service=endpoint.service, software=endpoint.software
        )
        self._records.store(key, version, is_reported=False)
        if endpoint.service in self._shared_services:
            row = (key, endpoint.service, endpoint.software)
            for keeper in self._choose_keepers(key):
                self._send_rows(keeper, [row])

    def forget(
        self, request_id: str, resumption: requests.Resumption | None = None
    ) -> None:
        """Forget a stream that is complete, unless others rely on it."""
        key = _make_key(request_id, resumption)
        version = self._records.get(key)
        if version and version.service not in self._shared_services:
            self._records.forget(key)

    def resolve(
        self, resumption: requests.Resumption, route: models.Route
    ) -> stream_records.StreamVersion | errors.Refusal:
        """Return where a stream that a caller takes up may go on.

        Args:
            resumption: the stream.
            route: its route.
        """
        # The stream began before this moment, at a version that the store
        # listed before.
        asked_at = self._ticker.now()
        is_named = bool(resumption.begun_by)
        key = _make_key("", resumption)
        draw = _draw(key) if is_named else random.random()
        service = routing.choose_service(route, draw)
        known = self._records.get(key)
        if known is not None:
            self._counts.resumptions["own"] += 1
            return _check_route(known, route)
        is_current = self._proofs.confirm(asked_at)
        versions = self._get_versions(service)
        has_moved = self._routes.list_services(route, draw) != {service}
        only = None if has_moved else versions.get_only(is_named=is_named)
        if is_current and only is not None and len(route.shares) == 1:
            self._counts.resumptions["only version"] += 1
            self._counts.resumption_proofs[version_proofs.STORE] += 1
            return stream_records.StreamVersion(service=service, software=only)
        answers = self._questions.ask(
            key,
            service,
            self._choose_keepers(key) | self._list_owners(service),
            confirm=not (is_current and versions.is_complete),
        )
        for answer in answers.values():
            if answer.service:
                found = stream_records.StreamVersion(
                    service=answer.service, software=answer.software
                )
                self._counts.resumptions["asked"] += 1
                return _check_route(found, route)
        if has_moved:
            return self._refuse(answers, is_current=is_current)
        return self._choose_unknown(
            service, key, answers, is_named=is_named, is_current=is_current
        )

    def _choose_unknown(
        self,
        service: str,
        key: int,
        answers: stream_questions.Answers,
        *,
        is_named: bool,
        is_current: bool,
    ) -> stream_records.StreamVersion | errors.Refusal:
        """Return where a stream that no instance knows may go on.

        Args:
            service: the service that it began at.
            key: its key.
            answers: answers of the instances that were asked for it.
            is_named: whether the caller names it.
            is_current: whether the own view is as recent as the stream.
        """
        versions = self._get_versions(service)
        names = versions.names.union(*(a.versions for a in answers.values()))
        merged = software_history.Versions(
            names=names,
            is_complete=version_proofs.is_complete(
                versions, answers, is_current=is_current
            ),
        )
        only = merged.get_only(is_named=is_named)
        if only is not None:
            proof = (
                version_proofs.STORE
                if is_current
                else self._proofs.find(answers)
            )
            if proof is not None:
                self._counts.resumptions["only version"] += 1
                self._counts.resumption_proofs[proof] += 1
                return stream_records.StreamVersion(
                    service=service, software=only
                )
        if is_named and is_current and names == versions.names:
            assigned = self._find_assigned(service, key)
            if assigned is not None:
                self._counts.resumptions["assigned"] += 1
                return stream_records.StreamVersion(
                    service=service, software=assigned
                )
        return self._refuse(answers, is_current=is_current)

    def _refuse(
        self, answers: stream_questions.Answers, *, is_current: bool
    ) -> errors.Refusal:
        self._counts.resumptions["unknown"] += 1
        is_final = bool(answers) and is_current
        return errors.Refusal(
            code=errors.Code.STREAM_UNKNOWN,
            retry_after=None if is_final else OTHER_INSTANCE_RETRY_SECONDS,
        )

    def handle(self, message: messages.InstanceMessage) -> None:
        """Handle a message of another instance; ignore most on leases.

        An owner gets reports of first events anyway, so that streams of an
        instance that is killed are known although one version served.
        """
        match message:
            case stream_messages.StreamsBegun(rows=rows):
                for key, service, software in rows:
                    version = stream_records.StreamVersion(
                        service=sys.intern(service),
                        software=sys.intern(software),
                    )
                    self._records.store(key, version, is_reported=True)
            case stream_messages.FindStream():
                self._answer(message)
            case stream_messages.StreamFound():
                self._questions.handle(message)
            case messages.Begun():
                self._record_leased(message)
            case messages.Ended(request=request, verdict=runs.Verdict.GOOD):
                self.forget(request)

    def _record_leased(self, begun: messages.Begun) -> None:
        key = _make_key(begun.request, None)
        known = self._cluster_state.endpoints.get(begun.endpoint)
        # The list here may be older than that of the sender, and name the
        # version that the endpoint had before it started again.
        if known is not None and key not in self._records:
            version = stream_records.StreamVersion(
                service=known.service, software=begun.software
            )
            self._records.store(key, version, is_reported=True)

    def _answer(self, question: stream_messages.FindStream) -> None:
        if question.key in self._records or not question.confirm:
            self._send_answer(question, is_current=False)
        else:
            gevent.spawn(self._confirm_and_answer, question)

    def _confirm_and_answer(
        self, question: stream_messages.FindStream
    ) -> None:
        is_current = self._proofs.confirm(
            self._ticker.now(), ANSWER_CONFIRM_SECONDS
        )
        self._send_answer(question, is_current=is_current)

    def _send_answer(
        self, question: stream_messages.FindStream, *, is_current: bool
    ) -> None:
        known = self._records.get(question.key)
        versions = self._get_versions(question.service)
        found = stream_messages.StreamFound(
            protocol=messages.PROTOCOL,
            instance=self._own,
            key=question.key,
            service=known.service if known else "",
            software=(known.software or "") if known else "",
            versions=sorted(versions.names),
            is_complete=versions.is_complete,
            is_current=is_current,
            out_of_contact=self._proofs.list_out_of_contact(),
        )
        self._send(question.instance, found)

    def _get_versions(self, service: str) -> software_history.Versions:
        now = self._ticker.now()
        late = self._proofs.was_one_cut_off()
        return self._history.get_versions(service, now, may_be_late=late)

    def _find_assigned(self, service: str, key: int) -> str | None:
        """Return the version at which an unknown stream can have begun."""
        return self._history.find_assigned(
            service,
            key,
            self._ticker.now(),
            # Another instance assigns versions by what it knows.
            self._proofs.get_view_seconds(),
        )

    def _choose_keepers(self, key: int) -> set[str]:
        """Return the other instances that keep the version of a stream."""
        self._refresh_ring()
        number = KEEPERS if self._members.is_large() else len(self._ring.names)
        return set(self._ring.choose(key, number)) - {self._own}

    def _refresh_ring(self) -> None:
        now = self._ticker.now()
        if now < self._ring_until:
            return
        self._ring_until = now + RING_CACHE_SECONDS
        reports = self._members.list_fresh(now)
        ordered = tuple(sorted({r.instance for r in reports} | {self._own}))
        if ordered != self._ring.names:
            self._ring = ring_module.Ring(ordered)
        fresh = {r.instance: r.incarnation for r in reports}
        new = {n for n, i in fresh.items() if self._incarnations.get(n) != i}
        self._incarnations |= fresh
        if new and self._shared_services:
            # Instances that restart in turn would forget a stream one after
            # the other, though never all of them are gone.
            gevent.spawn(self._share_all, self._shared_services, new)

    def _list_owners(self, service: str) -> set[str]:
        pools = self._owners.count_pools(service)
        if pools > MAX_OWNER_POOLS:
            return set()
        now = self._ticker.now()
        return self._owners.list_owners(service, now) - {self._own}

    def _share_all(
        self, services: set[str], keepers: set[str] | None = None
    ) -> None:
        """Report all known streams of some services to their keepers.

        Args:
            services: the services.
            keepers: the keepers to report to; all by default.
        """
        rows: dict[str, list[stream_messages.Row]] = {}
        for key, version in self._records.list_items():
            if version.service in services:
                row = (key, version.service, version.software or "")
                chosen = self._choose_keepers(key)
                for keeper in chosen if keepers is None else chosen & keepers:
                    rows.setdefault(keeper, []).append(row)
        sent = 0
        for keeper, kept in rows.items():
            for start in range(0, len(kept), ROWS_PER_MESSAGE):
                self._send_rows(keeper, kept[start : start + ROWS_PER_MESSAGE])
                sent += 1
                if sent % GROUP_SIZE == 0:
                    self._ticker.sleep(GROUP_PAUSE_SECONDS)

    def _send_rows(
        self, instance: str, rows: list[stream_messages.Row]
    ) -> None:
        begun = stream_messages.StreamsBegun(
            protocol=messages.PROTOCOL, rows=rows
        )
        self._send(instance, begun)


def _make_key(request_id: str, resumption: requests.Resumption | None) -> int:
    """Return the key of a stream: a hash of the attempt that began it."""
    begun_by = resumption.begun_by if resumption else ""
    return rendezvous.compute_hash(begun_by or request_id)


def _draw(key: int) -> float:
    """Return a number from 0 up to 1 that depends on the key of a stream."""
    return key / rendezvous.HASHES


def _check_route(
    version: stream_records.StreamVersion, route: models.Route
) -> stream_records.StreamVersion | errors.Refusal:
    """Return a version if the route still allows its service."""
    if version.service in {share.service for share in route.shares}:
        return version
    return errors.Refusal(code=errors.Code.VERSION_GONE)
