"""Models of the response to ``GET /status``."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerStatus:
    """Another instance, as seen by the responding instance.

    Attributes:
        name: name of the instance.
        data_centre: data centre of the instance.
        listed: service state in the platform's list.
        operators: operator "ip:port"; empty if the list has none.
        linked: whether a link to it is open; not all peers need one.
    """

    name: str
    data_centre: str
    listed: str
    operators: str
    linked: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointStatus:
    """An endpoint that the responding instance owns.

    Attributes:
        name: name of the endpoint.
        kind: engine or plain service.
        data_centre: data centre of the endpoint.
        listed: service state in the catalogue.
        connected: whether the endpoint responds.
        cold: whether it is treated as cold because it was not yet seen to
            be warm.
        running: requests of this instance in progress at the endpoint.
        concurrency: requests that it can run efficiently at once.
        reported_running: requests in progress, by its latest load report.
        reported_queued: requests waiting there, by its latest load report.
    """

    name: str
    kind: str
    data_centre: str
    listed: str
    connected: bool
    cold: bool
    running: int
    concurrency: int
    reported_running: int
    reported_queued: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class TierStatus:
    """One tier at the responding instance.

    Attributes:
        tier: number of the tier; 0 has the highest priority.
        running: requests in progress at owned endpoints.
        queued_tokens: tokens of the requests waiting for owned endpoints.
        outcomes: number of its callers' requests by outcome: "whole" is
            goodput, "late" completed after the deadline, "left" means that
            the caller disconnected, and a number is the code of a refusal.
    """

    tier: int
    running: int
    queued_tokens: int
    outcomes: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Status:
    """Status of an instance.

    Attributes:
        instance: name of the instance.
        incarnation: unique for each start of its process.
        data_centre: data centre of the instance.
        program: version of the program.
        leaving: whether it accepts no new work.
        up_seconds: time since its start.
        catalogue_version: catalogue version in force here; 0 for none.
        catalogue_seconds: time since that version came into force here.
        list_version: version of the instance list in force; 0 for none.
        data_centres: service state in the catalogue, by data centre.
        peers: the other listed instances.
        endpoints: endpoints that the instance owns.
        tiers: all tiers, starting with 0.
        refusals: number of refusals sent to its callers, by code.
        task_deaths: number of unhandled errors, by task.
    """

    instance: str
    incarnation: str
    data_centre: str
    program: str
    leaving: bool
    up_seconds: float
    catalogue_version: int
    catalogue_seconds: float
    list_version: int
    data_centres: dict[str, str]
    peers: tuple[PeerStatus, ...]
    endpoints: tuple[EndpointStatus, ...]
    tiers: tuple[TierStatus, ...]
    refusals: dict[str, int]
    task_deaths: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unreachable:
    """An instance whose status could not be read.

    Attributes:
        address: operator "ip:port" of the instance.
        name: name of the instance; empty if no other instance listed it.
        reason: reason of the failure, in one line.
    """

    address: str
    name: str
    reason: str


Answer = Status | Unreachable
