"""What an instance tells operators; the form of ``GET /status``."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerStatus:
    """Another instance, as the answering one sees it.

    Attributes:
        name: its name.
        data_centre: where it stands.
        listed: state in the platform's list.
        operators: operators' "ip:port", empty if the list has none.
        linked: whether a link to it is open; none is needed to each.
    """

    name: str
    data_centre: str
    listed: str
    operators: str
    linked: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndpointStatus:
    """An endpoint that the answering instance owns.

    Attributes:
        name: its name.
        kind: engine or plain service.
        data_centre: where it stands.
        listed: state in the catalogue.
        connected: whether it answers.
        cold: whether it counts as in cold start: not shown warm yet.
        running: requests that this instance has in progress there.
        concurrency: requests it runs well at once.
        reported_running: requests in progress by its own last report.
        reported_queued: requests waiting there by its own last report.
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
    """One tier at the answering instance.

    Attributes:
        tier: 0 is served first.
        running: requests in progress at endpoints it owns.
        queued_tokens: work waiting for endpoints it owns.
        outcomes: requests of its callers by outcome: "whole" is goodput,
            "late" came after the deadline, "left" means that the caller
            went, a number is the code of a refusal.
    """

    tier: int
    running: int
    queued_tokens: int
    outcomes: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Status:
    """An instance.

    Attributes:
        instance: its name.
        incarnation: unique for each start of its process.
        data_centre: where it stands.
        program: version of the program.
        leaving: whether it takes no new work.
        up_seconds: time since its start.
        catalogue_version: in force here; 0 for none.
        catalogue_seconds: time since that version came in force here.
        list_version: of the instance list; 0 for none.
        data_centres: state in the catalogue by name.
        peers: the other listed instances.
        endpoints: those it owns.
        tiers: from 0.
        refusals: refusals given to its callers, by code.
        task_deaths: unforeseen errors by task.
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
    """An instance that gave no status.

    Attributes:
        address: operators' "ip:port".
        name: empty if nobody named it.
        reason: why, one line.
    """

    address: str
    name: str
    reason: str


Answer = Status | Unreachable
