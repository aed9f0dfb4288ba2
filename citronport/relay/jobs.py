"""A request to be carried, and what all requests of an instance share."""

import collections.abc
import dataclasses

from citronport import clock
from citronport.platform import requests
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import eventlog
from citronport.relay import metrics
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import models
from citronport.scheduler.direct import retries
from citronport.scheduler.direct import suspects as suspects_module


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request of a caller, checked and read whole.

    Attributes:
        work: what the decisions need.
        service: where it goes.
        method: HTTP method.
        target: path and query, as they came.
        headers: headers by their names in lower case.
        body: the body.
        fingerprint: the same for all requests that ask for the same.
        workspace: whose it is; None where no keys are used.
        units: what it was charged with.
        version: of the configuration that it was checked against.
    """

    work: models.Work
    service: str
    method: str
    target: str
    headers: requests.Fields
    body: bytes
    fingerprint: str
    workspace: models.Workspace | None
    units: float
    version: int


class RelayContext:
    """What all requests of an instance share.

    Args:
        cluster_state: what is in force.
        dispatcher: finds places.
        board: loads and paces.
        health: which endpoints answer.
        limits: what endpoints in need have said they take.
        suspects: requests under which endpoints ended.
        ticker: the clock.
        log: where decisions are told.
        counts: get what happened.
        get_retry_budget: returns the budget of repeats of a service.
        count_instances: returns how many instances there may be.
    """

    def __init__(
        self,
        cluster_state: cluster_state_module.ClusterState,
        dispatcher: dispatcher_module.Dispatcher,
        board: load_tracker.LoadTracker,
        health: health_module.Health,
        limits: endpoint_limits.EndpointLimits,
        suspects: suspects_module.SuspectRequests,
        ticker: clock.Clock,
        log: eventlog.Log,
        counts: metrics.Counts,
        get_retry_budget: collections.abc.Callable[[str], retries.RetryBudget],
        count_instances: collections.abc.Callable[[], int],
    ) -> None:
        self.cluster_state = cluster_state
        self.dispatcher = dispatcher
        self.board = board
        self.health = health
        self.limits = limits
        self.suspects = suspects
        self.ticker = ticker
        self.log = log
        self.counts = counts
        self.get_retry_budget = get_retry_budget
        self.count_instances = count_instances
