"""Stand-ins of the store, workers and requesters, and a fleet of instances.

Only the standard library is used. The stand-ins run in the process of the
script; each instance is a process of its own, started with the command of
``deploy/system.toml`` and with settings filled into its template.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

ZONES = (
    "bangna",
    "bangna",
    "bangphli",
    "bangphli",
    "lat-krabang",
    "lat-krabang",
    "rangsit",
)
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
LLM, APP = "huvo11a", "wuno96b"
PORTS = {"front": 8221, "ready": 8224, "control": 8229, "directory": 8220}


class Record:
    """Writes what happens to ``record.txt``, one line each."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._start = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text):
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        """Write one line, also to standard output."""
        self.write(text)
        print(f"{self.now():8.3f} {text}", flush=True)


def choose_subnet():
    """Return a part of 127.0.0.0/8 in which the ports are free."""
    numbers = list(range(20, 250))
    random.shuffle(numbers)
    for number in numbers:
        try:
            for port in (*PORTS.values(), 8225, 9464, 7600):
                with socket.socket() as sock:
                    sock.bind((f"127.77.{number}.1", port))
            return f"127.77.{number}"
        except OSError:
            continue
    raise RuntimeError("no free ports")


# HTTP


async def read_head(reader):
    """Return first line and headers of a message; None at the end."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, on_data=lambda data: None):
    """Return the body of a message.

    Raises:
        asyncio.IncompleteReadError: it ended early.
    """
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = (await reader.readexactly(size + 2))[:-2]
            if not size:
                return b"".join(parts)
            parts.append(data)
            on_data(data)
    length = headers.get("content-length")
    if length is None:
        return b""
    data = await reader.readexactly(int(length))
    on_data(data)
    return data


def render(status, body=b"", **headers):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


class Server:
    """A server whose connections end when it does."""

    def __init__(self):
        self.address = ""
        self._server = None
        self._writers = set()

    async def open(self, host, port=0):
        """Listen; ``address`` says where."""
        self._server = await asyncio.start_server(
            self._run, host, port, limit=1 << 20, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    async def _run(self, reader, writer):
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        """Serve one connection."""
        raise NotImplementedError

    def crash(self, reset=True):
        """End at once, with all connections."""
        self._server.close()
        for writer in list(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()


class Store(Server):
    """The platform's store: reads, watches, and writes of the platform.

    A change ends all watches that wait for it at once; each is answered with
    all changes since its revision.
    """

    def __init__(self, record):
        super().__init__()
        self._record = record
        self._items = {}
        self._events = []
        self.revision = 100
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write an item; return the time of its confirmation."""
        data = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self.revision,
            "createdRev": known["createdRev"] if known else self.revision,
            "lease": 0,
        }
        self._items[key] = item
        self._wake(item)
        shown = data[:60].decode("latin-1")
        self._record.write(
            f"store: {key} written at revision {self.revision},"
            f" {len(data)} bytes: {shown}"
        )
        return self._record.now()

    def delete(self, key):
        """Remove an item; return the time of its confirmation."""
        self.revision += 1
        del self._items[key]
        self._wake({"key": key, "revision": self.revision, "deleted": True})
        self._record.write(f"store: {key} removed at {self.revision}")
        return self._record.now()

    def _wake(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader, writer):
        """Answer the reading calls."""
        while True:
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            path, _, query = line.split()[1].partition("?")
            fields = {}
            for field in filter(None, query.split("&")):
                name, _, value = field.partition("=")
                fields[name] = re.sub(
                    "%(..)", lambda m: chr(int(m[1], 16)), value
                )
            await asyncio.sleep(0.004)
            status, body = await self._answer(path, fields)
            writer.write(
                render(
                    status,
                    json.dumps(body).encode(),
                    Content_Type="application/json",
                )
            )
            await writer.drain()

    async def _answer(self, path, fields):
        if path == "/citronport/kv-key":
            item = self._items.get(fields["key"])
            if item is None:
                return 404, {"currentRev": self.revision}
            return 200, {**item, "currentRev": self.revision}
        prefix = fields.get("prefix", "")
        if path == "/citronport/kv-range":
            after = fields.get("after", "")
            keys = sorted(
                k for k in self._items if k.startswith(prefix) and k > after
            )
            return 200, {
                "items": [self._items[k] for k in keys[:500]],
                "morePages": len(keys) > 500,
                "currentRev": self.revision,
            }
        if path == "/citronport/kv-watch":
            after = int(fields["after"])
            if after > self.revision:
                return 410, {}
            until = time.monotonic() + int(fields["waitMs"]) / 1000
            while True:
                found = [
                    e
                    for e in self._events
                    if e["revision"] > after and e["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "currentRev": self.revision}
                changed = self._changed
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        return 404, {}


@dataclasses.dataclass
class Run:
    """One run of a request at a worker."""

    request: str
    worker: str
    began: float
    ended: float = -1.0
    outcome: str = "running"


class Worker(Server):
    """A worker of a plain service or of a model service."""

    def __init__(self, name, service, zone, slots, record, work_s=0.02):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.record = record
        self.runs = []
        self.arrivals = []
        self.seq = 0
        self.born = int(time.time() * 1000)
        self._places = asyncio.Semaphore(slots)

    def make_entry(self, **changes):
        """Return its entry in the store's list."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
            **changes,
        }

    async def serve(self, reader, writer):
        """Answer requests, one at a time on a connection."""
        while True:
            line, headers = await read_head(reader)
            body = await read_body(reader, headers)
            request = headers.get("x-attempt-id", "")
            if line.startswith("GET /healthz"):
                writer.write(render(200, X_Instance_Id=self.name))
                continue
            if headers.get("x-expect-instance", self.name) != self.name:
                writer.write(render(421, X_Instance_Id=self.name))
                continue
            if not request:
                writer.write(render(400, X_Not_Executed=1))
                continue
            self.arrivals.append((self.record.now(), request))
            self.record.write(f"{self.name}: {request} reaches it")
            async with self._places:
                await self.run(line, headers, body, request, reader, writer)
            await writer.drain()

    async def run(self, line, headers, body, request, reader, writer):
        """Run one request; end if its connection is closed."""
        run = Run(request, self.name, self.record.now())
        self.runs.append(run)
        self.record.write(f"{self.name}: {request} runs")
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(
            self.work(line, headers, body, request, writer)
        )
        try:
            await asyncio.wait(
                (gone, work), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                work.cancel()
                run.outcome = "cut"
                raise ConnectionResetError
            work.result()
            run.outcome = "done"
        finally:
            gone.cancel()
            work.cancel()
            await asyncio.gather(gone, work, return_exceptions=True)
            run.ended = self.record.now()
            self.record.write(f"{self.name}: {request} ends: {run.outcome}")

    async def work(self, line, headers, body, request, writer):
        """Make the answer to a request."""
        if self.service == LLM:
            await self.stream(request, headers, writer)
            return
        await asyncio.sleep(self.work_s)
        writer.write(
            render(
                200,
                f"answer to {request}".encode() * 8,
                X_Attempt_Id=request,
                X_Response_Seal=f"seal-{request}",
            )
        )

    async def stream(self, request, headers, writer, events=20, pause=0.02):
        """Send a stream of events."""
        first = int(headers.get("last-event-id", "0"))
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\nX-Attempt-Id: {request}\r\n"
                f"X-Response-Seal: seal-{request}\r\n\r\n"
            ).encode()
        )
        for number in range(first + 1, events + 1):
            await asyncio.sleep(pause)
            data = f"id: {number}\ndata: {request} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        writer.write(b"0\r\n\r\n")


def make_configuration(version, routes=None, keys=(KEY,), **limits):
    """Return a configuration of the operators."""
    return {
        "version": version,
        "routes": routes
        or [
            make_route("r-stream", "/lohu930/", "streaming", LLM, 15000, 800),
            make_route(
                "r-write", "/puxa403/", "non_idempotent", APP, 1000, 125
            ),
            make_route(
                "r-read", "/cufi504/", "idempotent", APP, 1000, 125, attempts=2
            ),
        ],
        "services": [
            {
                "name": LLM,
                "healthPath": "/healthz",
                "maxConns": 360,
                "coldStartS": 3.0,
                "coldPerS": 11.0,
                "engine": {"slots": 8, "kvCapacity": 527789, "stride": 6},
            },
            {
                "name": APP,
                "healthPath": "/healthz",
                "maxConns": 100,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            **limits,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": list(keys),
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": 1000000,
                "burst": 1000000,
            }
        ],
    }


def make_route(
    name,
    prefix,
    kind,
    service,
    timeout_ms,
    target_ms,
    attempts=1,
    resumable=False,
):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 0,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": resumable,
        **({"gapAimMs": 250} if kind == "streaming" else {}),
    }


# Instances


def fill_template(text, fields):
    """Fill in the placeholders of the settings template."""

    def fill(match):
        name, _, form = match[1].partition("|")
        value = fields
        for part in name.split("."):
            value = value[int(part)] if part.isdecimal() else value[part]
        if form == "json":
            return json.dumps(value)
        return ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


class Fleet:
    """The instances: processes started with the deploy file's command."""

    def __init__(self, record, store, subnet, number=7):
        self._record = record
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self._folder = tempfile.TemporaryDirectory()
        self._store = store
        self.hosts = [f"{subnet}.{n + 1}" for n in range(number)]
        self._running = {}

    def start(self, host):
        """Start an instance."""
        number = self.hosts.index(host)
        path = pathlib.Path(self._folder.name) / f"{number}.conf"
        listen = {k: f"{host}:{p}" for k, p in PORTS.items()}
        path.write_text(
            fill_template(
                self._template,
                {
                    "node": f"front-{number}",
                    "zone": ZONES[number % len(ZONES)],
                    "listen": listen,
                    "portRange": [7600, 7615],
                    "platform": {"address": self._store.address},
                    "seeds": [
                        f"{h}:{PORTS['control']}" for h in self.hosts[::2][:3]
                    ],
                    "limits": {
                        "memoryMb": 300,
                        "cpuShare": 0.537,
                        "cores": 2,
                        "maxFds": 4100,
                    },
                    "bounds": {
                        "graceS": 8,
                        "retryBudgetRatio": 0.2,
                        "budgetExtra": 54,
                        "budgetWindowS": 10,
                        "reuseAfterS": 2,
                        "quotaOver": 0.25,
                        "quotaSlack": 140000,
                    },
                },
            )
        )
        command = [
            sys.executable if word in ("python3", "python") else word
            for word in self._command
        ]
        command[-1] = str(path)
        log = open(pathlib.Path(self._folder.name) / f"{number}.log", "ab")
        self._running[host] = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                "PATH": os.environ.get("PATH", ""),
                "HOME": os.environ.get("HOME", "/tmp"),
                "LANG": "C.UTF-8",
                "PYTHONPATH": f"{ROOT}:{ROOT / 'target/deps'}",
                "PYTHONDONTWRITEBYTECODE": "1",
                "CITRONPORT_BOOT": str(path),
            },
        )
        log.close()
        self._record.write(f"instance {host} started")

    def start_all(self):
        """Start all instances."""
        for host in self.hosts:
            self.start(host)

    def signal(self, host, number):
        """Send a signal to an instance."""
        self._running[host].send_signal(number)
        self._record.write(f"instance {host} gets {number.name}")

    def wait(self, host):
        """Wait until a killed instance is gone; return its exit code."""
        return self._running[host].wait(20)

    def poll(self, host):
        """Return the exit code of an instance, None while it runs."""
        return self._running[host].poll()

    def read_log(self, host):
        """Return what an instance has written so far."""
        number = self.hosts.index(host)
        path = pathlib.Path(self._folder.name) / f"{number}.log"
        return path.read_text(errors="replace")

    def close(self):
        """Kill all instances that still run."""
        for process in self._running.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()

    async def is_ready(self, host):
        """Return whether the platform's check finds an instance ready."""
        try:
            status, _, _ = await fetch(
                host, PORTS["ready"], "GET", "/citronport/readyz"
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return status == 200

    async def wait_ready(self, seconds=20):
        """Wait until all are ready; return whether they are."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = await asyncio.gather(*map(self.is_ready, self.hosts))
            if all(found):
                return True
            await asyncio.sleep(0.1)
        return False


async def fetch(
    host, port, method, target, headers=None, body=b"", timeout=1.0
):
    """Return status, headers and body of one exchange."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join((*lines, "", "")).encode() + body)
            line, found = await read_head(reader)
            return int(line.split()[1]), found, await read_body(reader, found)
        finally:
            writer.close()


# Requesters


@dataclasses.dataclass
class Attempt:
    """One attempt of a requester and how it ended.

    ``status`` is 0 if there was no complete answer; ``sealed`` says whether
    a success carried the worker's proof and whole body.
    """

    request: str
    route: str
    instance: str
    sent: float
    status: int = 0
    sealed: bool = False
    ended: float = -1.0
    detail: str = ""
    body: bytes = b""
    headers: dict = dataclasses.field(default_factory=dict)
    events: int = 0
    received: bytes = b""

    @property
    def served(self):
        """Whether it got a success with its proof."""
        return self.status == 200 and self.sealed


class Requesters:
    """Requesters that ask the directory and keep its answers."""

    def __init__(self, record, fleet):
        self._record = record
        self._fleet = fleet
        self._addresses = []
        self._until = 0.0
        self._numbers = iter(range(1, 10**9))
        self.attempts = []
        self.tasks = set()

    async def resolve(self):
        """Return the addresses to use; those known if nothing answers."""
        if time.monotonic() < self._until:
            return self._addresses
        for host in random.sample(self._fleet.hosts, 3):
            target = f"/citronport/resolve?name={HOST}&region=r&zone=bangna"
            try:
                status, _, body = await fetch(
                    host, PORTS["directory"], "GET", target
                )
                found = json.loads(body).get("addresses")
            except (OSError, EOFError, TimeoutError, ValueError):
                continue
            if status == 200 and found:
                self._addresses = found
                self._until = time.monotonic() + 2
                break
        return self._addresses

    def send(self, route, **options):
        """Send a request in the background."""
        task = asyncio.ensure_future(self.request(route, **options))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def request(
        self,
        route,
        instance=None,
        deadline=1.0,
        method="POST",
        path="2f",
        body=b"",
        key=KEY,
        headers=None,
    ):
        """Send one attempt on a new connection."""
        request = f"{next(self._numbers):016x}"
        if instance is None:
            addresses = await self.resolve()
            if not addresses:
                addresses = [
                    f"{h}:{PORTS['front']}" for h in self._fleet.hosts
                ]
            instance = random.choice(addresses)
        attempt = Attempt(request, route, instance, self._record.now())
        self.attempts.append(attempt)
        self._record.write(f"requester: {request} {route} to {instance}")
        try:
            async with asyncio.timeout(deadline):
                await self._exchange(
                    attempt,
                    instance,
                    method,
                    f"{route}{path}",
                    body,
                    key,
                    deadline,
                    headers or {},
                )
        except TimeoutError:
            attempt.detail = "time limit"
        except (OSError, EOFError, ValueError) as error:
            attempt.status = 0
            attempt.detail = f"connection: {type(error).__name__}"
        attempt.ended = self._record.now()
        self._record.write(
            f"requester: {request} ends: {attempt.status}"
            f" {'sealed' if attempt.sealed else ''} {attempt.detail}"
        )
        return attempt

    async def _exchange(
        self, attempt, instance, method, target, body, key, deadline, extra
    ):
        host, _, port = instance.rpartition(":")
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20
        )
        try:
            headers = {
                "Host": HOST,
                "X-Attempt-Id": attempt.request,
                "X-Deadline-Ms": int(deadline * 1000),
                "X-Api-Key": key,
                **extra,
            }
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join((*lines, "", "")).encode() + body)
            await writer.drain()
            line, attempt.headers = await read_head(reader)
            status = int(line.split()[1])

            def count(data):
                attempt.events += data.count(b"\n\n")
                attempt.received += data

            attempt.body = await read_body(reader, attempt.headers, count)
            attempt.status = status
            attempt.sealed = "x-response-seal" in attempt.headers
        finally:
            writer.close()


def make_workers(record, llm=9, app=4):
    """Return the workers of a small deployment, not listening yet."""
    zones = ("bangna", "bangphli", "lat-krabang", "rangsit")
    workers = []
    for n in range(llm):
        workers.append(
            Worker(
                f"i-{random.randrange(16**8):08x}",
                LLM,
                zones[n % 4],
                8,
                record,
            )
        )
    for n in range(app):
        workers.append(
            Worker(
                f"i-{random.randrange(16**8):08x}",
                APP,
                zones[n % 4],
                6,
                record,
            )
        )
    return workers


@dataclasses.dataclass
class Scene:
    """All that a script uses."""

    record: Record
    store: Store
    workers: list
    fleet: Fleet
    requesters: Requesters


async def set_up(folder, instances=7, llm=9, app=4):
    """Start a small deployment; return it once all instances are ready."""
    record = Record(folder)
    subnet = choose_subnet()
    store = Store(record)
    await store.open(f"{subnet}.254", 8225)
    workers = make_workers(record, llm, app)
    for worker in workers:
        await worker.open(f"{subnet}.200")
    store.put("op/config", make_configuration(7))
    for worker in workers:
        store.put(f"servers/{worker.name}", worker.make_entry())
    fleet = Fleet(record, store, subnet, instances)
    return Scene(record, store, workers, fleet, Requesters(record, fleet))


def run(folder, play):
    """Play a script; exit with its result.

    Args:
        folder: folder for ``record.txt``.
        play: coroutine function of the folder; returns 0, 1 or 2.
    """

    async def bound():
        async with asyncio.timeout(115):
            return await play(folder)

    try:
        code = asyncio.run(bound())
    except Exception as error:
        print(f"could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    sys.exit(code)


def count_statuses(attempts):
    """Return how often attempts ended in which way."""
    return dict(
        collections.Counter(
            a.status or a.detail for a in attempts
        ).most_common()
    )


KILL, TERM, HUP = signal.SIGKILL, signal.SIGTERM, signal.SIGHUP
STOP, CONTINUE = signal.SIGSTOP, signal.SIGCONT
