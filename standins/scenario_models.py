"""Models of scenario files: a layout and a list of steps."""

import pathlib
from typing import Any

import pydantic
import yaml

from standins import proxy


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class LayoutModel(_StrictModel):
    """The fleet of a scenario; see ``fleet.Layout``."""

    data_centres: tuple[str, ...] = ("dc-1", "dc-2")
    instances: int = 3
    engines: tuple[dict[str, Any], ...] = ()
    services: tuple[str, ...] = ()
    entries: tuple[dict[str, Any], ...] = ()


class Send(_StrictModel):
    """Send a group of requests.

    Attributes:
        by: name of the group, which other steps refer to.
        entry: catalogue entry whose key is used; None takes the first.
        to: name of the model, or of the service if ``service`` is set.
        service: whether the requests call a plain service.
        method: HTTP method of a service call.
        at: instance to connect to; None rotates over the instances that
            the lookup returned.
        count: number of requests.
        every: seconds between two requests; 0 sends all at once.
        tokens: length of the answer.
        prompt_chars: length of the prompt.
        stream: whether the answer is streamed.
        keyed: whether requests carry a ticket and an idempotency key.
        idempotent: False marks the requests as non-idempotent.
        repeats: maximum number of retries, each at the next instance. A
            keyed request is retried after every outcome but a complete
            answer, others only if they did not run.
        deadline: seconds.
        wait: whether the next step waits for all outcomes.
    """

    by: str
    entry: str | None = None
    to: str
    service: bool = False
    method: str = "POST"
    at: str | None = None
    count: int = pydantic.Field(default=1, ge=1, le=5000)
    every: float = 0.0
    tokens: int = 20
    prompt_chars: int = 200
    stream: bool = True
    keyed: bool = False
    idempotent: bool = True
    repeats: int = 0
    deadline: float = 20.0
    wait: bool = False


class Cut(_StrictModel):
    """Inject a fault on the links between two sets of nodes.

    Attributes:
        between: first set: names of nodes or groups ("entries",
            "endpoints", "callers", "platform").
        and_: second set.
        one_way: whether only connections from the first set to the second
            are affected.
        how: kind of fault.
        seconds: see ``proxy.Fault``.
        size: see ``proxy.Fault``.
        share: see ``proxy.Fault``.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, populate_by_name=True
    )

    between: tuple[str, ...]
    and_: tuple[str, ...] = pydantic.Field(alias="and")
    one_way: bool = False
    how: proxy.How = proxy.How.RESET
    seconds: float = 0.05
    size: int = 64
    share: float = 1.0


class Partition(_StrictModel):
    """Partition the network between groups; other nodes reach all groups."""

    groups: tuple[tuple[str, ...], ...]
    how: proxy.How = proxy.How.HOLD


class Edit(_StrictModel):
    """Publish an operator's edit.

    Attributes:
        data_centre: data centre whose state is set.
        endpoint: endpoint whose state is set.
        instance: instance whose state is set.
        state: "in", "leaving" or "out".
        add_entry: catalogue entry to add, with its unhashed key.
        remove_entry: name of a catalogue entry to remove.
        raw: text to publish as the next version of the catalogue.
        older: whether to publish the last but one catalogue again.
    """

    data_centre: str | None = None
    endpoint: str | None = None
    instance: str | None = None
    state: str = "in"
    add_entry: dict[str, Any] | None = None
    remove_entry: str | None = None
    raw: str | None = None
    older: bool = False


class Wait(_StrictModel):
    """Wait for an event, or pause if only ``seconds`` is set.

    Attributes:
        seconds: timeout, after which the scenario fails; or the length of
            the pause.
        outcomes: group of which all requests have an outcome.
        done: as ``outcomes``, but only for ``count`` requests.
        received: group of which endpoints have received ``count``
            requests.
        answering: group of which ``count`` requests have a first token.
        ended: process that has ended.
        served: entry whose key is accepted by the instances ``at``.
        at: instances that ``served`` refers to; all if empty.
        count: number of requests, 1 if not given.
    """

    seconds: float = 30.0
    outcomes: str | None = None
    received: str | None = None
    answering: str | None = None
    ended: str | None = None
    served: str | None = None
    at: tuple[str, ...] = ()
    count: int | None = None


class Expect(_StrictModel):
    """Check conditions; numbers count the requests of a group.

    Attributes:
        of: group of requests.
        whole: number of complete answers; "all" for every request.
        whole_at_least: minimum number of complete answers.
        not_run: number of requests that were finally refused as "not run".
        unknown: number of requests with another outcome than ``whole`` and
            ``not_run``.
        cut: number of answers that began but are incomplete.
        codes: the only codes that refusals and stream errors may have.
        answered_within: maximum number of seconds from each send to its
            outcome.
        received: number of requests that endpoints received.
        received_at_most: maximum number that endpoints received.
        last_new_work: endpoint, or data centre whose endpoints are meant,
            that received nothing later than ``within`` seconds after its
            state was changed.
        within: seconds for ``last_new_work``, and timeout for ``exit``.
        exit: process that must end with exit code 0.
        never_back: entry whose key no instance refused after it had
            accepted it; needs a ``probe`` step.
        tier_order: no request of a higher tier was shed while an endpoint
            served one of a lower tier, anywhere in the fleet.
    """

    of: str | None = None
    whole: int | str | None = None
    whole_at_least: int | None = None
    not_run: int | None = None
    unknown: int | None = None
    cut: int | None = None
    codes: tuple[int, ...] | None = None
    answered_within: float | None = None
    received: int | None = None
    received_at_most: int | None = None
    last_new_work: str | None = None
    within: float = 4.0
    exit: str | None = None
    never_back: str | None = None
    tier_order: bool = False


class Step(_StrictModel):
    """One step of a scenario; exactly one field is set.

    Attributes:
        start: process to start or restart at the same address.
        kill: process to kill with SIGKILL.
        freeze: process to suspend with SIGSTOP.
        wake: process to continue with SIGCONT.
        stop: instance to stop gracefully with SIGTERM.
        cut: fault to inject on links.
        partition: groups to separate from each other.
        heal: "all", or a node whose links are healed.
        platform: mode of the platform: "down", "stale" or "up".
        edit: an operator's edit.
        edits: edits to publish at the same time.
        cold: engine to restart cold without warning.
        slow: slowdown factors by engine name.
        send: requests to send.
        probe: entry whose key each instance is asked for repeatedly from
            now on.
        wait: event to wait for.
        expect: conditions to check.
    """

    start: str | None = None
    kill: str | None = None
    freeze: str | None = None
    wake: str | None = None
    stop: str | None = None
    cut: Cut | None = None
    partition: Partition | None = None
    heal: str | None = None
    platform: str | None = None
    edit: Edit | None = None
    edits: tuple[Edit, ...] | None = None
    cold: str | None = None
    slow: dict[str, float] | None = None
    send: Send | None = None
    probe: str | None = None
    wait: Wait | None = None
    expect: Expect | None = None

    @pydantic.model_validator(mode="after")
    def check_single_field(self) -> "Step":
        """Reject a step with none or several of its fields."""
        if len(self.model_fields_set) != 1:
            raise ValueError("a step must have exactly one field")
        return self

    @property
    def verb(self) -> str:
        """The name of the field that is set."""
        return next(iter(self.model_fields_set))


class Scenario(_StrictModel):
    """A scenario file.

    Attributes:
        promise: the guarantee that the scenario checks.
        story: what the callers see, in what order, and why.
        layout: the fleet.
        steps: in order of execution.
        settle: seconds to wait before the final checks, so that late
            violations are seen.
    """

    promise: str
    story: str
    layout: LayoutModel
    steps: tuple[Step, ...]
    settle: float = 1.5


def read_scenario(path: pathlib.Path) -> Scenario:
    """Read and check a scenario file.

    Raises:
        ValueError: the file is not a valid scenario.
    """
    return Scenario.model_validate(yaml.safe_load(path.read_text()))
