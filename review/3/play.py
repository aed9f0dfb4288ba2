"""The last worker of an older version leaves; all processes are killed."""

import asyncio
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

EVENTS = 80
PAUSE_S = 0.05
STREAMS = 54
WORKERS = 9
STARTED_BEFORE_S = 60
"""How long the workers of both versions have run when the play begins."""

DOWN_S = 0.8
"""How long all processes are down."""

ROUTE = "/pufi791/"


class VersionedWorker(standins.Worker):
    """A model worker whose events name the version of its software."""

    version = "v1"

    async def stream(self, request, headers, writer):
        """Send a stream, from behind the event that the requester names."""
        first = int(headers.get("last-event-id", "0"))
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\nX-Attempt-Id: {request}\r\n"
                f"X-Response-Seal: seal-{request}\r\n\r\n"
            ).encode()
        )
        for number in range(first + 1, EVENTS + 1):
            await asyncio.sleep(PAUSE_S)
            text = f"id: {number}\ndata: {self.version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def read_stream(scene, outcomes):
    """Read one stream like a requester; take it up again if it is cut."""
    requesters = scene.requesters
    number = len(outcomes)
    outcome = {"versions": [], "statuses": [], "attempts": []}
    outcomes.append(outcome)
    headers = {
        "X-Model": "m",
        "X-Token-Counts": "600,480",
        "X-Prompt-Prefix": f"5c1e07a2:60,{number:08x}:540",
    }
    last, began_as = 0, ""
    until = scene.record.now() + 12
    for _ in range(6):
        left = until - scene.record.now()
        if left <= 0.2 or last == EVENTS:
            return
        if began_as:
            headers |= {"Last-Event-Id": str(last), "Resumes": began_as}
        attempt = await requesters.request(
            ROUTE, deadline=left, headers=headers, body=b"prompt"
        )
        outcome["statuses"].append(attempt.status or attempt.detail)
        for event in attempt.received.split(b"\n\n")[:-1]:
            fields = dict(
                line.split(": ", 1) for line in event.decode().split("\n")
            )
            last = int(fields["id"])
            outcome["versions"].append(fields["data"])
            began_as = began_as or attempt.request
        outcome["attempts"].append(attempt.request)
        await asyncio.sleep(0.4)


async def play(folder):
    """Play the case; return the exit code."""
    scene = await standins.set_up(folder, llm=0)
    record, fleet, store = scene.record, scene.fleet, scene.store
    host = scene.workers[0].address.rpartition(":")[0]
    configuration = standins.make_configuration(8)
    configuration["routes"].append(
        standins.make_route(
            "r-summary", ROUTE, "streaming", standins.LLM, 12000, 300, 2, True
        )
    )
    store.put("op/config", configuration)
    workers = {"v1": [], "v2": []}
    for number in range(WORKERS):
        version = "v2" if number else "v1"
        worker = VersionedWorker(
            f"i-{random.randrange(16**8):08x}",
            standins.LLM,
            "bangna",
            8,
            record,
        )
        worker.version = version
        worker.born = int((time.time() - STARTED_BEFORE_S) * 1000)
        await worker.open(host)
        workers[version].append(worker)
        store.put(f"servers/{worker.name}", worker.make_entry(version=version))
    try:
        fleet.start_all()
        if not await fleet.wait_ready():
            return standins.NOT_RUN
        record.say("all instances are ready; both versions serve")
        outcomes = []
        tasks = []
        for _ in range(STREAMS):
            tasks.append(asyncio.ensure_future(read_stream(scene, outcomes)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.7)
        if standins.TROUBLE:
            for worker in workers["v1"]:
                store.delete(f"servers/{worker.name}")
            record.say("the worker of v1 leaves: its entry is removed")
            await asyncio.sleep(0.8)
            for each in fleet.hosts:
                fleet.signal(each, standins.KILL)
            for each in fleet.hosts:
                fleet.wait(each)
            record.say("all processes are killed; the workers still serve")
            await asyncio.sleep(DOWN_S)
            fleet.start_all()
        await asyncio.wait(tasks, timeout=30)
        return judge(record, outcomes)
    finally:
        fleet.close()


def judge(record, outcomes):
    """Apply the rule ORDER on versions; return the exit code."""
    mixed = [o for o in outcomes if len(set(o["versions"])) > 1]
    for outcome in mixed:
        record.write(f"ORDER: {outcome['attempts']} {outcome['versions']}")
    whole = sum(len(o["versions"]) == EVENTS for o in outcomes)
    began = {
        v: sum(o["versions"][:1] == [v] for o in outcomes)
        for v in ("v1", "v2")
    }
    record.say(
        f"{len(outcomes)} streams, begun at {began}; {whole} are whole;"
        f" {len(mixed)} hold events of two versions"
    )
    if not whole or not min(began.values()):
        return standins.NOT_RUN
    broken = len(mixed) > 2
    record.say(f"ORDER is {'broken' if broken else 'kept'}")
    return standins.BROKEN if broken else standins.HELD


if __name__ == "__main__":
    standins.run(pathlib.Path(__file__).parent, play)
