"""Workloads of the demo's two users and the fleet that serves them."""

import collections.abc
import dataclasses
import random
from typing import Any

from standins import answers
from standins import caller
from standins import fleet

DATA_CENTRES = ("dc-1", "dc-2", "dc-3", "dc-4")
LEAVING_DATA_CENTRE = "dc-3"
CHAT_PATH = "/v1/chat/completions"

# Two generations of hardware, three sizes of batch and cache, and models that
# only some of the engines serve.
ENGINES: tuple[dict[str, Any], ...] = (
    {"name": "small-1", "models": ("small",), "batch": 8},
    {
        "name": "small-2",
        "models": ("small",),
        "batch": 4,
        "decode_rate": 120.0,
    },
    {
        "name": "small-3",
        "models": ("small",),
        "batch": 8,
        "prefill_rate": 40000.0,
        "cold_seconds": 2.0,
    },
    {
        "name": "small-4",
        "models": ("small",),
        "batch": 4,
        "decode_rate": 90.0,
        "prefill_rate": 9000.0,
        "cold_concurrency": 2,
    },
    {
        "name": "large-1",
        "models": ("large",),
        "batch": 3,
        "cold_prompt_tokens": 20000,
    },
    {
        "name": "large-2",
        "models": ("large",),
        "batch": 2,
        "decode_rate": 120.0,
        "cache_tokens": 40000,
        "cold_prompt_tokens": 14000,
    },
    {
        "name": "large-3",
        "models": ("large",),
        "batch": 4,
        "prefill_rate": 30000.0,
        "cold_prompt_tokens": 20000,
        "cold_concurrency": 2,
    },
    {
        "name": "large-4",
        "models": ("large",),
        "batch": 2,
        "decode_rate": 100.0,
        "prefill_rate": 12000.0,
        "cold_prompt_tokens": 14000,
        "cold_seconds": 2.0,
    },
    {
        "name": "both-1",
        "models": ("small", "large"),
        "batch": 4,
        "decode_rate": 160.0,
        "cold_prompt_tokens": 16000,
    },
    {
        "name": "both-2",
        "models": ("small", "large"),
        "batch": 3,
        "cache_tokens": 30000,
        "cold_prompt_tokens": 16000,
    },
    {
        "name": "both-3",
        "models": ("small", "large"),
        "batch": 6,
        "decode_rate": 250.0,
        "prefill_rate": 40000.0,
        "cache_tokens": 200000,
        "cold_prompt_tokens": 20000,
    },
)
SERVICES = ("reservations", "customs")


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkKind:
    """A class of requests with common parameters.

    Attributes:
        name: description.
        user: user whose workspaces send the requests.
        tier: tier of the catalogue entry.
        model: name of the model or the service.
        shared_prompt_chars: length of the prompt prefix that several requests
            of a workspace have in common.
        own_prompt_chars: length of the rest of the prompt.
        output_tokens: length of the answer; 0 for a plain service.
        deadline: seconds.
        rate: requests per second of all workspaces at normal load.
    """

    name: str
    user: str
    tier: int
    model: str
    shared_prompt_chars: int = 0
    own_prompt_chars: int = 0
    output_tokens: int = 0
    deadline: float
    rate: float


WORK_KINDS = (
    WorkKind(
        name="status read",
        user="siam",
        tier=0,
        model="small",
        own_prompt_chars=200,
        output_tokens=6,
        deadline=6.0,
        rate=10.0,
    ),
    WorkKind(
        name="reservation",
        user="siam",
        tier=0,
        model="reservations",
        deadline=6.0,
        rate=5.0,
    ),
    WorkKind(
        name="farmer answer",
        user="papadakis",
        tier=1,
        model="small",
        shared_prompt_chars=2048,
        own_prompt_chars=300,
        output_tokens=30,
        deadline=10.0,
        rate=6.0,
    ),
    WorkKind(
        name="claim",
        user="papadakis",
        tier=1,
        model="customs",
        deadline=10.0,
        rate=2.0,
    ),
    WorkKind(
        name="drawing tag",
        user="siam",
        tier=2,
        model="small",
        shared_prompt_chars=1024,
        own_prompt_chars=800,
        output_tokens=12,
        deadline=12.0,
        rate=3.0,
    ),
    WorkKind(
        name="billet trial summary",
        user="siam",
        tier=2,
        model="large",
        own_prompt_chars=8000,
        output_tokens=60,
        deadline=15.0,
        rate=1.0,
    ),
    WorkKind(
        name="die history review",
        user="siam",
        tier=3,
        model="large",
        shared_prompt_chars=20000,
        own_prompt_chars=16000,
        output_tokens=200,
        deadline=25.0,
        rate=0.6,
    ),
    WorkKind(
        name="invoice dossier",
        user="papadakis",
        tier=3,
        model="large",
        shared_prompt_chars=28000,
        own_prompt_chars=6000,
        output_tokens=240,
        deadline=25.0,
        rate=0.6,
    ),
)

# Share of its user's requests that each workspace sends. Two workspaces, one
# of each user, send most of them.
WORKSPACES = {
    "siam": {"extruder-1": 0.7, "extruder-2": 0.2, "extruder-3": 0.1},
    "papadakis": {"thessaly": 0.75, "crete": 0.25},
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Job:
    """One request of the demo.

    Attributes:
        number: unique; part of the body, so that a journal line can be
            matched with its job.
        kind: class of the request.
        workspace: name of the sending workspace.
        body: request body.
        expected: the only correct answer.
    """

    number: int
    kind: WorkKind
    workspace: str
    body: dict[str, Any]
    expected: str

    @property
    def key(self) -> str:
        """The workspace key of the job's catalogue entry."""
        return make_key(self.workspace, self.kind.tier)

    @property
    def is_service(self) -> bool:
        """Whether the job calls a plain service and may run only once."""
        return not self.kind.output_tokens

    @property
    def path(self) -> str:
        """Path of the URL that the job is sent to."""
        if self.is_service:
            return f"/services/{self.kind.model}/submit"
        return CHAT_PATH


def make_key(workspace: str, tier: int) -> str:
    """Return the unhashed key of a catalogue entry."""
    return f"key-{workspace}-{tier}"


def make_layout(subnet: str) -> fleet.Layout:
    """Return the demo's fleet: 7 instances in four data centres."""
    entries = tuple(
        {
            "name": f"{workspace}-{tier}",
            "owner": workspace,
            "class": tier,
            "key": make_key(workspace, tier),
        }
        for user, shares in WORKSPACES.items()
        for workspace in shares
        for tier in sorted({k.tier for k in WORK_KINDS if k.user == user})
    )
    return fleet.Layout(
        subnet=subnet,
        data_centres=DATA_CENTRES,
        instances=7,
        engines=ENGINES,
        services=SERVICES,
        entries=entries,
    )


def make_job(kind: WorkKind, number: int, rng: random.Random) -> Job:
    """Return a request from a workspace that is drawn by its share."""
    shares = WORKSPACES[kind.user]
    workspace = rng.choices(list(shares), list(shares.values()))[0]
    if not kind.output_tokens:
        body = {"workspace": workspace, "number": number}
        expected = answers.make_receipt(caller.encode_body(body))
    else:
        # Users ask repeatedly about the same document, such as a die
        # history or a season of receipts. Each workspace has three of them,
        # and each is the common prefix of many prompts.
        subject = f"{workspace} {kind.name} {rng.randrange(3)}"
        prompt = _repeat_text(subject, kind.shared_prompt_chars)
        prompt += _repeat_text(f"job {number}", kind.own_prompt_chars)
        body = caller.make_chat(kind.model, prompt, kind.output_tokens)
        expected = caller.make_expected(body)
    return Job(
        number=number,
        kind=kind,
        workspace=workspace,
        body=body,
        expected=expected,
    )


def make_arrivals(
    seconds: float, factor: float, rng: random.Random
) -> collections.abc.Iterator[tuple[float, WorkKind]]:
    """Yield Poisson arrivals: seconds from the start and the kind of work."""
    rates = [kind.rate * factor for kind in WORK_KINDS]
    now = rng.expovariate(sum(rates))
    while now < seconds:
        yield now, rng.choices(WORK_KINDS, rates)[0]
        now += rng.expovariate(sum(rates))


def _repeat_text(text: str, length: int) -> str:
    return (f"{text}; " * (length // (len(text) + 2) + 1))[:length]
