"""A request to be forwarded and the components that all requests share."""

import collections.abc
import dataclasses
import typing

from citronport import clock
from citronport.platform import requests
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import eventlog
from citronport.relay import metrics
from citronport.relay import paths as paths_module
from citronport.relay import retry_budgets as retry_budgets_module
from citronport.relay import stream_versions as stream_versions_module
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import pauses as pauses_module
from citronport.scheduler.direct import suspects as suspects_module

if typing.TYPE_CHECKING:
    from citronport.relay import forwarding


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Origin:
    """The instance that forwarded a request, and what it did before.

    Attributes:
        instance: its name.
        tried: names of the endpoints that it tried.
        paused: names of the endpoints that want no request of it.
        possible_runs: endpoints that have run the request or may have.
        is_counted: whether it has counted the request for the budget of
            repeats, so that a further send is a repeat.
        last_event_id: id of the last event that the caller has received;
            None if it has received none.
    """

    instance: str
    tried: frozenset[str]
    paused: frozenset[str]
    possible_runs: int
    is_counted: bool
    last_event_id: str | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A validated request of a caller.

    Attributes:
        work: properties that scheduling depends on.
        service: service that the request is sent to.
        method: HTTP method.
        target: path and query, unchanged.
        headers: headers by lower-case name.
        body: the complete body.
        fingerprint: hash that is equal for requests with equal content.
        parts: fingerprints of the parts of its prompt that others may share;
            empty for a plain service, which no part crashes.
        workspace: workspace of the caller; None if no API keys are in use.
        units: units charged to the workspace's limit.
        version: version of the configuration used for validation.
        resumption: the stream that its caller takes up again, if any.
        origin: the instance that forwarded it; None for a caller's request.
    """

    work: models.Work
    service: str
    method: str
    target: str
    headers: requests.Headers
    body: bytes | bytearray
    fingerprint: str
    workspace: models.Workspace | None
    units: float
    version: int
    parts: tuple[str, ...] = ()
    resumption: requests.Resumption | None = None
    origin: Origin | None = None

    @property
    def content(self) -> suspects_module.Content:
        """What the request holds that may crash endpoints."""
        return suspects_module.Content(
            fingerprint=self.fingerprint,
            parts=self.parts,
            workspace=self.workspace.name if self.workspace else "",
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class RelayContext:
    """Components shared by all requests of an instance.

    Attributes:
        cluster_state: current configuration and endpoints.
        dispatcher: reserves endpoint capacity.
        loads: loads and step times of endpoints.
        health: health of endpoints.
        limits: rate limits announced by endpoints.
        pauses: pauses that endpoints ask this instance for.
        paths: whether this instance has a path to the endpoints.
        suspects: contents that are suspected of crashing endpoints.
        forwarder: sends requests by way of other instances.
        stream_versions: software versions that began streams.
        ticker: the clock.
        log: the event log.
        counts: counters for the metrics.
        retry_budgets: retry budgets of services.
        renew_view: waits until the view of the store is no older than the
            latest time in which this process did not run.
        count_instances: returns the number of known instances.
        data_centre: data centre of this instance.
    """

    cluster_state: cluster_state_module.ClusterState
    dispatcher: dispatcher_module.Dispatcher
    loads: load_tracker.LoadTracker
    health: health_module.Health
    limits: endpoint_limits.EndpointLimits
    pauses: pauses_module.Pauses
    paths: paths_module.Paths
    suspects: suspects_module.Suspects
    forwarder: "forwarding.Forwarder"
    stream_versions: stream_versions_module.StreamVersions
    ticker: clock.Clock
    log: eventlog.Log
    counts: metrics.Counts
    retry_budgets: retry_budgets_module.RetryBudgets
    renew_view: collections.abc.Callable[[], None]
    count_instances: collections.abc.Callable[[], int]
    data_centre: str
