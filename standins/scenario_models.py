"""The language of scenarios, validated: a layout and a list of steps."""

import pathlib
from typing import Any

import pydantic
import yaml

from standins import proxy


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class LayoutModel(_StrictModel):
    """What stands where; see ``fleet.Layout``."""

    data_centres: tuple[str, ...] = ("dc-1", "dc-2")
    instances: int = 3
    engines: tuple[dict[str, Any], ...] = ()
    services: tuple[str, ...] = ()
    entries: tuple[dict[str, Any], ...] = ()


class Send(_StrictModel):
    """A named caller sends requests.

    Attributes:
        by: name of the group of requests; expectations refer to it.
        entry: catalogue entry; its key is used.
        to: model, or service with ``service`` set.
        service: whether it is a call of a plain service.
        method: HTTP method of a service call.
        at: instance to connect to; None takes turns over the lookup.
        count: how many.
        every: seconds between two; 0 sends all at once.
        tokens: length of the answer.
        prompt_chars: length of the prompt.
        stream: whether the answer is streamed.
        keyed: whether it carries ticket and idempotency key.
        idempotent: False marks it as non-idempotent.
        repeats: how often a keyed request is sent again, each time at the
            next entry, after any end but a whole answer; without a key
            only after "not run".
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
    """A fault on the links between two sets of nodes, both ways.

    Attributes:
        between: names or groups ("entries", "endpoints", "callers",
            "platform"), first set.
        and_: second set.
        one_way: only connections from the first set to the second.
        how: kind of fault; its numbers as in ``proxy.Fault``.
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
    """Groups that can't reach each other; others reach all."""

    groups: tuple[tuple[str, ...], ...]
    how: proxy.How = proxy.How.HOLD


class Edit(_StrictModel):
    """An operator's edit; published at once.

    Attributes:
        data_centre: name of the data centre, endpoint or instance whose
            state is set.
        endpoint: as above.
        instance: as above.
        state: "in", "leaving" or "out".
        add_entry: a catalogue entry with its plain key.
        remove_entry: name of an entry.
        raw: a catalogue text published as it is, with the next version.
        older: publish the catalogue before the last one again.
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
    """Wait until something has happened, at most so many seconds.

    Attributes:
        seconds: the bound; past it the scenario fails, but for a plain
            pause (no other field), which is only a pause.
        outcomes: group whose outcomes are all there.
        done: as ``outcomes``, but only so many.
        received: group that endpoints have received ``count`` of.
        answering: group of which ``count`` have a first token.
        ended: process that has ended.
        served: entry that every reachable instance accepts.
        count: see above.
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
    """What must be true now; numbers are counts of a group.

    Attributes:
        of: group of requests.
        whole: exact number of whole answers; "all" is every one.
        whole_at_least: at least so many.
        not_run: exact number of last answers that say "not run".
        unknown: exact number whose outcome is unknown to the caller.
        cut: number of answers that began and didn't end whole.
        codes: the only codes that may have been given.
        received: exact number that endpoints received.
        received_at_most: at most so many.
        last_new_work: endpoints (by data centre or name) that received
            nothing later than ``within`` seconds after their state
            changed.
        within: see above.
        exit: process that ended with code 0.
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
    received: int | None = None
    received_at_most: int | None = None
    last_new_work: str | None = None
    within: float = 4.0
    exit: str | None = None
    never_back: str | None = None
    tier_order: bool = False


class Step(_StrictModel):
    """One step: exactly one field is set.

    Attributes:
        start: instance to start (again), at the same address.
        kill: process to end by SIGKILL.
        freeze: process to stop by SIGSTOP.
        wake: process to wake by SIGCONT.
        stop: instance to stop gracefully by SIGTERM.
        cut: fault on links.
        partition: groups that lose each other.
        heal: "all", or a node whose links are healed.
        platform: "down", "stale" or "up".
        edit: an operator's edit.
        edits: edits that are published at the same time.
        cold: engine that turns cold without warning.
        slow: factor by engine name.
        send: requests.
        probe: entry whose key each instance is asked for, all the time.
        wait: an event to wait for.
        expect: what must be true.
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
        """Refuse a step that says nothing or two things."""
        if len(self.model_fields_set) != 1:
            raise ValueError("a step is one of its fields")
        return self

    @property
    def verb(self) -> str:
        """The name of the field that is set."""
        return next(iter(self.model_fields_set))


class Scenario(_StrictModel):
    """A scenario file.

    Attributes:
        promise: the line of the brief that it proves.
        story: what the callers see, in what order, and why.
        layout: the fleet.
        steps: what happens.
        settle: seconds to wait at the end for late wrong-doing.
    """

    promise: str
    story: str
    layout: LayoutModel
    steps: tuple[Step, ...]
    settle: float = 1.5


def read_scenario(path: pathlib.Path) -> Scenario:
    """Read and check a scenario file.

    Raises:
        ValueError: the file is no scenario.
    """
    return Scenario.model_validate(yaml.safe_load(path.read_text()))
