"""A fleet of instances under random faults, and the promises to check."""

import collections
import dataclasses
import http.client
import random
import re
import signal
import time

import gevent

from standins import processes
from tests.platform import test_models as wire_samples
from tests.relay import engines
from tests.relay import fakes
from tests.relay import instances

INSTANCES = 4
MAX_DOWN = 2
"""Instances that may be down at once; the others remember barred parts."""

ENGINES = 6
CALLERS = 16
SLOTS = 8
FAULTS_IN_SERIES = 24
"""Faults in one run; each begins before the one before is over."""

PLAIN_SECONDS = 0.08
"""Time from the start of a plain request to its answer."""

DRAIN_SECONDS = 2.0
"""Time after which an engine that leaves gets no new request."""

STABLE_SECONDS = 3.0
"""Time after a fault in which an instance may act on an old view."""

KNOWN_CRASHES = 5
ALLOWED_SENDS = 3
MAX_TAKEN_UP = 2
FAULTS = (
    "kill",
    "term",
    "freeze",
    "reload",
    "store",
    "crash",
    "crash",
    "leave",
    "part",
    "configure",
)
"""Names of the methods that cause one fault each. Crashes come twice as often
as others: a running request has to be at the engine."""

NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""

KINDS = {
    "review": {"kind": "streaming", "resumable": True, "maxAttempts": 2},
    "draft": {"kind": "streaming", "resumable": False, "maxAttempts": 1},
    "book": {"kind": "non_idempotent", "resumable": False, "maxAttempts": 1},
    "status": {"kind": "idempotent", "resumable": False, "maxAttempts": 2},
}


VERSIONS = ("v1", "v2")
EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]+)\n\n")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What a caller saw of one request.

    Attributes:
        request_id: id of the request.
        kind: name of its route.
        status: HTTP status; 0 if none came.
        body: the body; None if it was not complete.
        received: all that came of the body.
        code: result code of a refusal; empty without one.
        resumes: the outcome of the attempt that it takes up; None if none.
    """

    request_id: str
    kind: str
    status: int
    body: bytes | None
    received: bytes = b""
    code: str = ""
    resumes: "Outcome | None" = None

    @property
    def target(self):
        """Path of the request, which is that of the first attempt."""
        if self.resumes:
            return self.resumes.target
        return f"/{self.kind}/{self.request_id}"

    def list_events(self):
        """Return number and text of each event of the stream."""
        earlier = self.resumes.list_events() if self.resumes else []
        found = [(int(n), text) for n, text in EVENT.findall(self.received)]
        return earlier + found if self.status == 200 else earlier


class SoakEngine(engines.Engine):
    """An engine that records what runs there, and may leave.

    Attributes:
        late: requests that reached it after it had to be left alone.
        left_at: time at which the store knew that it leaves; None before.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.left_at = None
        self.software = VERSIONS[number % len(VERSIONS)]
        super().__init__(fleet.case, number)

    def make_entry(self):
        """Return version and time of its start."""
        return {"version": self.software, "born": int(time.time() * 1000)}

    def leave(self):
        """Leave gracefully, and come back under another name."""
        if self.is_down or self.left_at is not None:
            return
        name = self.name
        self.case.put_endpoint(name, address=self.address, state="draining")
        self.left_at = time.monotonic()
        gevent.sleep(DRAIN_SECONDS + 1.5)
        self.left_at = None
        if not self.is_down and self.name == name:
            self.case.store.delete(f"servers/{name}")
            (self.software,) = set(VERSIONS) - {self.software}
            self.register()

    def _answer(self, sock, request):
        _, target, headers, _ = request
        request_id = headers["x-attempt-id"]
        if len(self.running) > SLOTS:
            sock.sendall(
                fakes.render(
                    503, X_Attempt_Id=request_id, X_Not_Executed="full"
                )
            )
            return
        self.fleet.record_run(self, request_id)
        if target.split("/")[1] in ("book", "status"):
            gevent.sleep(PLAIN_SECONDS)
            fakes.answer(body=target.encode())(sock, headers)
            return
        first = int(headers.get("last-event-id", -1)) + 1
        text = f"{self.software} {target}"
        events = [
            fakes.make_event(n, text) for n in range(first, engines.EVENTS)
        ]
        fakes.stream(*events, pause=0.03)(sock, headers)


class Fleet:
    """Instances, engines and callers of one run.

    Args:
        case: the test case that owns store and processes.
        seed: decides on faults and requests.
    """

    def __init__(self, case, seed):
        self.case = case
        self.seed = seed
        self.faults = []
        self.outcomes = []
        self.runs = collections.Counter()
        self.late = []
        self.disturbed_at = 0.0
        self.down = set()
        self.known_at = None
        self.known_sends = 0
        self.sent_parts = 0
        self.ended = False
        self.version = 10
        self.configure()
        self.engines = [SoakEngine(self, n) for n in range(ENGINES)]
        self.hosts = case.start_all(INSTANCES)

    def configure(self):
        """Publish a new version of the configuration."""
        self.version += 1
        routes = [
            {**wire_samples.ROUTE, "name": name, "prefix": f"/{name}/"}
            | {"trafficSplit": [{"service": "llm", "weight": 1}]}
            | fields
            for name, fields in KINDS.items()
        ]
        tenant = wire_samples.CONFIGURATION["tenants"][0]
        limits = {"ratePerS": 10**7, "burst": 10**7}
        self.case.store.put(
            "op/config",
            {
                **wire_samples.CONFIGURATION,
                "version": self.version,
                "routes": routes,
                "tenants": [tenant | limits],
            },
        )

    def run(self):
        """Send requests under faults until all is calm again."""
        callers = [
            gevent.spawn(self._call, number) for number in range(CALLERS)
        ]
        gevent.sleep(1.0)
        chance = self._make_chance("faults")
        tasks = []
        for number in range(FAULTS_IN_SERIES):
            name = chance.choice(FAULTS)
            self.faults.append(name)
            cause_fault = getattr(self, f"_{name}")
            own_chance = self._make_chance(f"fault {number}")
            tasks.append(gevent.spawn(cause_fault, own_chance))
            gevent.sleep(chance.uniform(0.1, 0.9))
        gevent.joinall(tasks, raise_error=True)
        gevent.sleep(STABLE_SECONDS + 1.0)
        self.ended = True
        gevent.joinall(callers, timeout=10.0, raise_error=True)

    def record_run(self, engine, request_id):
        """Record that an engine begins to run a request."""
        now = time.monotonic()
        self.runs[request_id] += 1
        is_calm = now - self.disturbed_at > STABLE_SECONDS
        left_at = engine.left_at
        if left_at is not None and now - left_at > DRAIN_SECONDS and is_calm:
            self.late.append(request_id)

    def count_part_sends(self):
        """Return the requests with the crashing part that reached engines."""
        return sum(engine.sends for engine in self.engines)

    def _make_chance(self, what):
        # Tasks that share one source would draw from it in varying order.
        return random.Random(f"{self.seed} {what}")

    def _call(self, number):
        chance = self._make_chance(f"caller {number}")
        connections = {}
        count = 0
        while not self.ended:
            count += 1
            host = chance.choice(self.hosts)
            kind = chance.choice(tuple(KINDS))
            request_id = f"c{number}-{count}"
            connection = connections.setdefault(
                host,
                http.client.HTTPConnection(
                    host, instances.PORTS["callers"], timeout=6.0
                ),
            )
            outcome = self._ask(connection, request_id, kind, ("common",))
            self.outcomes.append(outcome)
            if outcome.body is None:
                connections.pop(host).close()
                self._take_up(outcome, chance)
            gevent.sleep(chance.uniform(0.02, 0.15))

    def _take_up(self, outcome, chance):
        """Take a stream up again, at any instance, until it is whole."""
        for number in range(MAX_TAKEN_UP):
            events = outcome.list_events()
            if outcome.kind != "review" or not events or outcome.body:
                return
            first = outcome
            while first.resumes and first.resumes.list_events():
                first = first.resumes
            outcome = self.ask_once(
                chance.choice(self.hosts),
                f"{first.request_id}-{number}",
                outcome.kind,
                Resumes=first.request_id,
                Last_Event_Id=str(events[-1][0]),
                resumes=outcome,
            )
            self.outcomes.append(outcome)

    def ask_once(
        self,
        host,
        request_id,
        kind,
        parts=("common",),
        resumes=None,
        **headers,
    ):
        """Send a request on a connection of its own; return the outcome."""
        connection = http.client.HTTPConnection(
            host, instances.PORTS["callers"], timeout=6.0
        )
        try:
            return self._ask(
                connection, request_id, kind, parts, resumes, **headers
            )
        finally:
            connection.close()

    def _ask(
        self, connection, request_id, kind, parts, resumes=None, **fields
    ):
        prefix = ",".join(f"{p}:20" for p in (*parts, request_id))
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": request_id,
            "X-Api-Key": "key-1",
            "X-Deadline-Ms": "4000",
            "X-Token-Counts": "60,60",
            "X-Prompt-Prefix": prefix,
            **{k.replace("_", "-"): value for k, value in fields.items()},
        }
        status, body, received, code = 0, None, b"", ""
        try:
            target = f"/{kind}/{fields.get('Resumes', request_id)}"
            connection.request("POST", target, b"", headers)
            response = connection.getresponse()
            status = response.status
            code = response.headers.get("X-Citronport-Code", "")
            while piece := response.read1():
                received += piece
            # Marks the response as read, so that its connection is reused.
            response.read()
            body = received
        except (OSError, http.client.HTTPException):
            # The caller sees a refused, cut or silent connection.
            pass
        return Outcome(
            request_id=request_id,
            kind=kind,
            status=status,
            body=body,
            received=received,
            code=code,
            resumes=resumes,
        )

    def _choose_instance(self, chance):
        up = [n for n in range(1, INSTANCES + 1) if n not in self.down]
        if len(up) <= INSTANCES - MAX_DOWN:
            return None
        number = chance.choice(up)
        self.down.add(number)
        return number

    def _restart(self, number, chance):
        gevent.sleep(chance.uniform(0.0, 1.0))
        self.case.start(number)
        self._calm(number)

    def _calm(self, number):
        self.disturbed_at = time.monotonic()
        self.down.discard(number)

    def _kill(self, chance):
        number = self._choose_instance(chance)
        if number is not None:
            self.case.running.signal(f"entry-{number}", signal.SIGKILL)
            self.case.running.wait(f"entry-{number}", 5.0)
            self._restart(number, chance)

    def _term(self, chance):
        number = self._choose_instance(chance)
        if number is not None:
            for _ in range(chance.randrange(1, 3)):
                self.case.running.signal(f"entry-{number}", signal.SIGTERM)
            if self.case.running.wait(f"entry-{number}", 12.0) is None:
                raise AssertionError(f"entry-{number} does not stop")
            self._restart(number, chance)

    def _freeze(self, chance):
        number = self._choose_instance(chance)
        if number is not None:
            self.case.running.signal(f"entry-{number}", signal.SIGSTOP)
            gevent.sleep(chance.uniform(0.2, 2.5))
            self.case.running.signal(f"entry-{number}", signal.SIGCONT)
            self._calm(number)

    def _reload(self, chance):
        number = self._choose_instance(chance)
        if number is not None:
            self.case.running.signal(f"entry-{number}", signal.SIGHUP)
            self._calm(number)

    def _store(self, chance):
        self.case.store.mode = chance.choice(("silent", "busy"))
        gevent.sleep(chance.uniform(0.5, 2.5))
        self.case.store.mode = "well"
        self.disturbed_at = time.monotonic()

    def _crash(self, chance):
        for _ in range(chance.randrange(1, 4)):
            up = [e for e in self.engines if not e.is_down and not e.left_at]
            if up:
                max(up, key=lambda engine: len(engine.running)).crash()
            gevent.sleep(chance.uniform(0.0, 0.3))

    def _leave(self, chance):
        chance.choice(self.engines).leave()

    def _configure(self, chance):
        del chance
        self.configure()

    def _part(self, chance):
        for _ in range(chance.randrange(2, 8)):
            self.sent_parts += 1
            host = chance.choice(self.hosts)
            parts = chance.choice(
                (("common", engines.CRASHING), (engines.CRASHING, "other"))
            )
            gevent.spawn(
                self.ask_once, host, f"p-{self.sent_parts}", "review", parts
            )
            self._note_known()
            gevent.sleep(chance.uniform(0.05, 0.3))

    def _note_known(self):
        """Note the sends at the time from which the part has to be known."""
        now = time.monotonic()
        if self.count_part_sends() < KNOWN_CRASHES:
            return
        if self.known_at is None:
            self.known_at = now + STABLE_SECONDS
        if now < self.known_at:
            self.known_sends = self.count_part_sends()


def find_broken_promises(fleet):
    """Return what broke a promise to callers, one line each."""
    found = []
    for outcome in fleet.outcomes:
        runs = fleet.runs[outcome.request_id]
        resumable = outcome.kind in ("review", "status")
        if not resumable and runs > 1:
            found.append(f"{outcome.request_id} ran {runs} times")
        if not resumable and runs and outcome.status in NOT_RUN:
            found.append(f"{outcome.request_id} ran and got {outcome.status}")
        is_whole = outcome.status == 200 and outcome.body is not None
        if outcome.kind in ("book", "status"):
            if is_whole and outcome.body != outcome.target.encode():
                found.append(f"{outcome.request_id} got a wrong body")
            continue
        events = outcome.list_events()
        if [number for number, _ in events] != list(range(len(events))):
            found.append(f"{outcome.request_id} misses or repeats events")
        texts = {text.decode() for _, text in events}
        if len(texts) > 1:
            found.append(f"{outcome.request_id} has events of two versions")
        if not texts <= {f"{v} {outcome.target}" for v in VERSIONS}:
            found.append(f"{outcome.request_id} got another one's events")
        if is_whole and len(events) != engines.EVENTS:
            found.append(f"{outcome.request_id} ends before its last event")
    found += [f"{name} reached a leaving engine" for name in fleet.late]
    if fleet.known_at is not None:
        sends = fleet.count_part_sends() - fleet.known_sends
        if sends > ALLOWED_SENDS:
            found.append(f"{sends} sends of a part that was known")
    return found


def list_taken_up(fleet):
    """Return the outcomes of attempts that took a stream up again."""
    return [outcome for outcome in fleet.outcomes if outcome.resumes]


def wait_until_up(fleet):
    """Wait until all instances listen."""
    for host in fleet.hosts:
        processes.wait_for_port(host, instances.METRICS)
