"""Stand-ins of the platform for the scripts in review/4 to review/8.

A store, workers and requesters that follow PROTOCOL.md, in one event loop,
and instances that run as processes with the command of the deploy file. Only
the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def __call__(self, text):
        """Write a line with the time since the start."""
        at = time.monotonic() - self._started
        self._file.write(f"{at:8.3f} {text}\n")

    def say(self, text):
        """Write a line, and print it."""
        self(text)
        print(text, flush=True)

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Return first line, headers and body of an HTTP message; None at EOF."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for text in lines:
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line, headers, body


def render(status, headers, body=b""):
    """Return an encoded response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


class Store:
    """The platform's store: it can be read and watched.

    Attributes:
        down: whether it takes connections and answers nothing.
    """

    def __init__(self, address):
        self._host, self._port = address
        self._revision = 100
        self._items = {}
        self._events = []
        self._changed = asyncio.Event()
        self.down = False

    @property
    def address(self):
        """Its "ip:port"."""
        return f"{self._host}:{self._port}"

    async def start(self):
        """Listen."""
        await asyncio.start_server(self._serve, self._host, self._port)

    def put(self, key, value):
        """Write an item as the operator or a worker does."""
        self._revision += 1
        known = self._items.get(key)
        data = json.dumps(value).encode()
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "revision": self._revision,
            "createdRev": known["createdRev"] if known else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._tell(item)

    def delete(self, key):
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._tell(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _tell(self, event):
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while message := await read_message(reader):
                target = message[0].split(" ")[1]
                if self.down:
                    await asyncio.sleep(3600)
                status, body = await self._answer(target)
                if self.down:
                    await asyncio.sleep(3600)
                writer.write(
                    render(
                        status,
                        [("Content-Type", "application/json")],
                        json.dumps(body).encode(),
                    )
                )
        writer.close()

    async def _answer(self, target):
        path, _, query = target.partition("?")
        words = dict(urllib.parse.parse_qsl(query))
        prefix = words.get("prefix", "")
        if path == "/citronport/kv-range":
            keys = sorted(k for k in self._items if k.startswith(prefix))
            keys = [k for k in keys if k > words.get("after", "")]
            return 200, {
                "items": [self._items[k] for k in keys[:500]],
                "morePages": len(keys) > 500,
                "currentRev": self._revision,
            }
        if path == "/citronport/kv-watch":
            until = time.monotonic() + int(words["waitMs"]) / 1000
            while True:
                changed = self._changed
                found = [
                    e
                    for e in self._events
                    if e["revision"] > int(words["after"])
                    and e["key"].startswith(prefix)
                ]
                left = until - time.monotonic()
                if found or left <= 0:
                    return 200, {
                        "events": found,
                        "currentRev": self._revision,
                    }
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left)
        return 404, {}


class Worker:
    """A worker of a service, which registers itself in the store.

    Attributes:
        arrivals: what arrived: time, request id, tenant, tokens.
        cold_since: time at which it last became cold.
        cold_until: time until which it is cold.
        answer: coroutine that answers a request that has run, or None.
    """

    def __init__(self, store, record, address, service, zone, **entry):
        self._store = store
        self._record = record
        self._host, self._port = address
        self.name = f"i-{secrets.token_hex(4)}"
        self._entry = {
            "service": service,
            "address": f"{self._host}:{self._port}",
            "zone": zone,
            "version": "v1",
            "slots": 7,
            "state": "ready",
            "coldLeftMs": 0,
            "born": int(time.time() * 1000),
            "seq": 1,
            **entry,
        }
        self.arrivals = []
        self.cold_since = 0.0
        self.cold_until = 0.0
        self.work_seconds = 0.02
        self.answer = None
        self._beat = None

    async def start(self):
        """Listen, and register every 1.2 s."""
        await asyncio.start_server(self._serve, self._host, self._port)
        self.register()
        self._beat = asyncio.create_task(self._beat_forever())

    def register(self):
        """Write its entry, if the store takes it."""
        if self._store.down:
            return
        left = max(0.0, self.cold_until - time.monotonic())
        self._entry["coldLeftMs"] = int(left * 1000)
        self._store.put(f"servers/{self.name}", self._entry)

    def turn_cold(self, seconds):
        """Become cold again, and say so where it can."""
        self.cold_since = time.monotonic()
        self.cold_until = self.cold_since + seconds
        self.register()

    async def _beat_forever(self):
        last = None
        while True:
            await asyncio.sleep(1.2)
            left = self.cold_until - time.monotonic()
            state = left > 0
            if state or state != last:
                self.register()
            last = state

    async def _serve(self, reader, writer):
        try:
            while message := await read_message(reader):
                line, headers, body = message
                keep = await self._handle(line, headers, body, writer)
                if not keep:
                    break
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _handle(self, line, headers, body, writer):
        method, target, _ = line.split(" ")
        if method == "GET" and target == "/healthz":
            left = max(0.0, self.cold_until - time.monotonic())
            writer.write(
                render(
                    200,
                    [
                        ("X-Instance-Id", self.name),
                        ("X-Cold-Ms", int(left * 1000)),
                    ],
                )
            )
            return True
        if target == "/citronport/report":
            report = {"stage": "colocated", "running": 0, "waiting": 0}
            writer.write(render(200, [], json.dumps(report).encode()))
            return True
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(render(421, [("X-Instance-Id", "i-other")]))
            return True
        request = headers["x-attempt-id"]
        counts = headers.get("x-token-counts", "0,0").split(",")
        tokens = sum(map(int, counts))
        now = time.monotonic()
        self.arrivals.append((now, request, headers.get("x-tenant"), tokens))
        self._record(f"worker {self.name} runs {request} tokens {tokens}")
        await asyncio.sleep(self.work_seconds)
        proof = [
            ("X-Attempt-Id", request),
            ("X-Response-Seal", f"{self.name}.{request}"),
        ]
        if self.answer is not None:
            return await self.answer(request, proof, writer)
        writer.write(render(200, proof, b"done"))
        return True


class Streamer(Worker):
    """A worker that answers with an event stream of one event."""

    async def _handle(self, line, headers, body, writer):
        if self.answer is None:
            self.answer = self._stream
        return await super()._handle(line, headers, body, writer)

    async def _stream(self, request, proof, writer):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{n}: {v}" for n, v in proof]
        lines += ["Transfer-Encoding: chunked", "", ""]
        event = b"id: 1\ndata: x\n\n"
        writer.write("\r\n".join(lines).encode())
        writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
        return True


class Instances:
    """Instances as processes, with the deploy file's command and template."""

    def __init__(self, number, record, store, memory_mb=150, **fields):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self._command = role["run"].split()
        self._template = (ROOT / role["template"]).read_text()
        self._record = record
        self._store = store
        self._memory_mb = memory_mb
        self._fields = fields
        self.folder = pathlib.Path(tempfile.mkdtemp())
        net = choose_net(number)
        self.hosts = [f"{net}.{n + 1}" for n in range(number)]
        names = ("front", "ready", "control", "directory")
        self.ports = dict(zip(names, find_ports(self.hosts, 4), strict=True))
        self.seeds = [f"{h}:{self.ports['control']}" for h in self.hosts[:3]]
        self.reports = find_ports(self.hosts, 1)[0]
        self._running = {}

    def start(self, number):
        """Start an instance."""
        host = self.hosts[number]
        fields = {
            "node": f"front-{number + 1}",
            "zone": f"attiki-{'abcd'[number % 4]}",
            "platform.address": self._store.address,
            "seeds": self.seeds,
            "portRange.0": self.reports,
            "limits.memoryMb": self._memory_mb,
            "limits.cpuShare": 0.537,
            "limits.cores": 2,
            "limits.maxFds": 4100,
            "bounds.graceS": 8,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetExtra": 54,
            "bounds.budgetWindowS": 10,
            "bounds.reuseAfterS": 2,
            "bounds.quotaOver": 0.25,
            "bounds.quotaSlack": 140000,
            **{f"listen.{n}": f"{host}:{p}" for n, p in self.ports.items()},
            **self._fields,
        }
        text = re.sub(
            r"\{\{([\w.]+)(\|json)?\}\}",
            lambda m: json.dumps(fields[m[1]]),
            self._template,
        )
        path = self.folder / f"node-{number + 1}.conf"
        path.write_text(text)
        words = [
            str(path) if w.startswith("/etc/") else w for w in self._command
        ]
        env = {
            n: os.environ[n]
            for n in ("PATH", "HOME", "LANG")
            if n in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CITRONPORT_BOOT"] = str(path)
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        log = (self.folder / f"node-{number + 1}.log").open("ab")
        self._running[number] = subprocess.Popen(
            words,
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        self._record(f"instance {number + 1} starts at {host}")

    def kill(self, number, how=signal.SIGKILL):
        """Send a signal to an instance; wait for its end after a SIGKILL."""
        process = self._running[number]
        self._record(f"instance {number + 1} gets {how.name}")
        process.send_signal(how)
        if how == signal.SIGKILL:
            process.wait()
            del self._running[number]

    def get_pid(self, number):
        """Return the process id of an instance."""
        return self._running[number].pid

    def has_ended(self, number):
        """Return whether an instance has ended by itself."""
        return self._running[number].poll() is not None

    def stop(self):
        """End all instances that were started."""
        for process in self._running.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_ready(self, numbers, seconds=20):
        """Wait until instances are ready.

        Raises:
            CannotRunError: they are not ready in time.
        """
        until = time.monotonic() + seconds
        for number in numbers:
            address = (self.hosts[number], self.ports["ready"])
            while True:
                answer = await fetch(address, "/citronport/readyz", 1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRunError(f"instance {number + 1} not ready")
                await asyncio.sleep(0.05)

    async def look_up(self, number):
        """Return the addresses in the answer of a directory."""
        address = (self.hosts[number], self.ports["directory"])
        target = f"/citronport/resolve?name={HOST}&region=attiki&zone=a"
        answer = await fetch(address, target, 1.0)
        if answer is None or answer[0] != 200:
            return []
        return json.loads(answer[2])["addresses"]

    async def wait_known(self, numbers, seconds=15):
        """Wait until each of some instances names all of them."""
        until = time.monotonic() + seconds
        for number in numbers:
            while len(await self.look_up(number)) < len(numbers):
                if time.monotonic() > until:
                    raise CannotRunError("instances do not find each other")
                await asyncio.sleep(0.1)


async def fetch(address, target, seconds):
    """Return status, headers and body of a GET; None without an answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(
                    f"GET {target} HTTP/1.1\r\nHost: x\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                found = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None
    if found is None:
        return None
    return int(found[0].split(" ")[1]), found[1], found[2]


async def ask(
    address,
    record,
    path,
    *,
    tokens=None,
    deadline_ms=3000,
    body=b"x",
    request=None,
    parts=None,
):
    """Send one request as a requester; return its status, 0 if none came."""
    request = request or secrets.token_hex(8)
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"X-Api-Key: {KEY}",
        f"Content-Length: {len(body)}",
    ]
    if tokens is not None:
        parts = parts or f"{secrets.token_hex(4)}:{tokens[0]}"
        lines += [
            "X-Model: m",
            f"X-Token-Counts: {tokens[0]},{tokens[1]}",
            f"X-Prompt-Prefix: {parts}",
        ]
    status, headers = 0, {}
    record(f"send {request} to {address[0]} tokens {tokens}")
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write("\r\n".join((*lines, "", "")).encode() + body)
                found = await read_message(reader)
                if found is not None:
                    status, headers = int(found[0].split(" ")[1]), found[1]
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        status = 0
    record(f"answer {request} {status or 'none'}")
    return request, status, headers


def make_route(**changes):
    """Return a route of the configuration."""
    return {
        "name": "r-1",
        "host": HOST,
        "prefix": "/lohu930/",
        "kind": "streaming",
        "timeoutMs": 12000,
        "targetLatencyMs": 800,
        "priority": 0,
        "service": "huvo11a",
        "maxAttempts": 1,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gapAimMs": 300,
        **changes,
    }


def make_configuration(routes, *, cold_per_s=11.0, rate=0, burst=0):
    """Return a configuration with an engine service and a plain one."""
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": "huvo11a",
                "healthPath": "/healthz",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": cold_per_s,
                "engine": {
                    "slots": 7,
                    "kvCapacity": 386765,
                    "kvTokenBytes": 163840,
                    "linkMbps": 1100000.0,
                    "stride": 7,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": "wuno96b",
                "healthPath": "/healthz",
                "maxConns": 100,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 0.0,
                "coldPerS": 0.0,
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": TENANT,
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "ratePerS": rate,
                "burst": burst,
            }
        ],
    }


def choose_net(number):
    """Return the first three parts of unused loopback addresses."""
    for _ in range(100):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for n in range(number):
                for port in (9464,):
                    with socket.socket() as sock:
                        sock.bind((f"{net}.{n + 1}", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no free loopback addresses")


def find_ports(hosts, number):
    """Return ports that are free on all hosts."""
    found = []
    while len(found) < number:
        with socket.socket() as sock:
            sock.bind((hosts[0], 0))
            port = sock.getsockname()[1]
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


def find_address():
    """Return a free address for a stand-in."""
    return "127.0.0.1", find_ports(["127.0.0.1"], 1)[0]


def run(file, play):
    """Run a case and exit with its result.

    Args:
        file: the script's own file; record.txt is written beside it.
        play: coroutine function that gets the record and a list to which it
            appends what is to be stopped, and returns whether the rule held.
    """
    record = Record(pathlib.Path(file).resolve().parent)
    stops = []

    async def play_in_time():
        async with asyncio.timeout(110):
            return await play(record, stops)

    try:
        code = HELD if asyncio.run(play_in_time()) else BROKEN
        record.say("the rule held" if code == HELD else "the rule was broken")
    except (CannotRunError, OSError, TimeoutError) as error:
        record.say(f"could not run: {type(error).__name__} {error}")
        code = NOT_RUN
    finally:
        for stop in stops:
            stop()
        record.close()
    sys.exit(code)
