"""An entry of another writer in the store's list, and a restart of all."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

RECOVER_S = 12.0
"""Bound ``recoverS`` of the site."""

DOWN_S = 1.0
"""How long all processes are down; the site's days have 0.53 to 1.3 s."""

RATE = 20.0
UNREADABLE = b'{"service":"other","notes":' + b'{"more":' * 3000


async def send_requests(scene, until):
    """Send requests of all kinds at a steady rate."""
    kinds = (
        (
            "/lohu930/",
            {
                "deadline": 15.0,
                "headers": {
                    "X-Model": "m",
                    "X-Token-Counts": "600,120",
                    "X-Prompt-Prefix": "5c1e07a2:60,91bd3f06:540",
                },
            },
        ),
        ("/puxa403/", {"deadline": 1.0}),
        ("/cufi504/", {"deadline": 1.0, "method": "GET"}),
    )
    number = 0
    while scene.record.now() < until:
        route, options = kinds[number % len(kinds)]
        number += 1
        scene.requesters.send(route, **options)
        await asyncio.sleep(1 / RATE)


async def play(folder):
    """Play the case; return the exit code."""
    scene = await standins.set_up(folder)
    record, fleet = scene.record, scene.fleet
    try:
        fleet.start_all()
        if not await fleet.wait_ready():
            return standins.NOT_RUN
        began = record.now()
        record.say(f"all instances are ready; traffic begins at {began:.1f}")
        traffic = asyncio.ensure_future(send_requests(scene, began + 40))
        await asyncio.sleep(6)
        if standins.TROUBLE:
            scene.store.put("servers/another-writer", UNREADABLE)
            record.say("another writer has put an entry that can't be read")
        await asyncio.sleep(6)
        killed = record.now()
        record.say("all processes are killed")
        for host in fleet.hosts:
            fleet.signal(host, standins.KILL)
        for host in fleet.hosts:
            fleet.wait(host)
        await asyncio.sleep(DOWN_S)
        fleet.start_all()
        back = record.now()
        record.say("all processes are started again")
        await traffic
        await asyncio.wait(scene.requesters.tasks, timeout=16)
        return judge(scene, killed, back)
    finally:
        fleet.close()


def judge(scene, killed, back):
    """Apply the rule RECOVER; return the exit code."""
    record = scene.record
    attempts = scene.requesters.attempts
    before = [a for a in attempts if a.sent < killed - 1]
    after = [a for a in attempts if a.sent > back + RECOVER_S]
    shares = []
    for name, chosen in (
        ("before the fault", before),
        ("12 s after the machines were back", after),
    ):
        served = sum(a.served for a in chosen)
        shares.append(served / len(chosen))
        record.say(
            f"{name}: {served} of {len(chosen)} served;"
            f" {standins.count_statuses(chosen)}"
        )
    if shares[0] < 0.25:
        record.say("could not judge: too few were served before the fault")
        return standins.NOT_RUN
    broken = shares[1] < 0.25
    record.say(f"RECOVER is {'broken' if broken else 'kept'}")
    return standins.BROKEN if broken else standins.HELD


if __name__ == "__main__":
    standins.run(pathlib.Path(__file__).parent, play)
