"""Traffic to two engines, one of which becomes cold."""

import asyncio
import collections
import random
import time

import standins_2 as standins

COLD_PER_S = 11.0
BOUND = COLD_PER_S * 1.5 + 5
PER_SECOND = 70
CRASH_PER_S = 3 * COLD_PER_S


class Engine(standins.Streamer):
    """An engine that crashes if it gets too much while it is cold."""

    has_crashed = False

    async def _handle(self, line, headers, body, writer):
        now = time.monotonic()
        since = max(now - 1, self.cold_since)
        recent = sum(1 for a in self.arrivals if a[0] > since)
        if now < self.cold_until and recent >= CRASH_PER_S:
            self.has_crashed = True
        if self.has_crashed:
            writer.transport.abort()
            return False
        return await super()._handle(line, headers, body, writer)


async def start_engines(store, record):
    """Start two engines and publish a configuration; return the engines."""
    workers = [
        Engine(store, record, standins.find_address(), "huvo11a", zone)
        for zone in ("attiki-a", "attiki-b")
    ]
    for worker in workers:
        await worker.start()
    store.put(
        "op/config",
        standins.make_configuration(
            [standins.make_route()], cold_per_s=COLD_PER_S
        ),
    )
    return workers


class Load:
    """Sends requests at a steady rate, each to an instance at random.

    Attributes:
        sent: time at which each request was sent, by its id.
        statuses: number of answers by status.
    """

    def __init__(self, instances, record, per_second):
        self._instances = instances
        self._record = record
        self._random = random.Random(1)
        self.sent = {}
        self.statuses = collections.Counter()
        self._asks = []
        self._task = asyncio.create_task(self._send(per_second))

    async def stop(self):
        """Send no more, and wait for the answers."""
        self._task.cancel()
        await asyncio.gather(*self._asks)

    async def _send(self, per_second):
        while True:
            request = f"{len(self.sent):016x}"
            self.sent[request] = time.monotonic()
            self._asks.append(asyncio.create_task(self._ask(request)))
            await asyncio.sleep(1 / per_second)

    async def _ask(self, request):
        host = self._random.choice(self._instances.hosts)
        address = (host, self._instances.ports["front"])
        _, status, _ = await standins.ask(
            address,
            self._record,
            f"/lohu930/{request}",
            tokens=(100, 10),
            request=request,
        )
        self.statuses[status] += 1


def judge(record, worker, load, since, seconds):
    """Return whether a worker got no more than its bound while cold.

    Counted are requests that were sent and arrived inside the same second.
    """
    cold = [a for a in worker.arrivals if since <= a[0] <= since + seconds]
    most = max(
        (
            sum(
                1
                for b in cold
                if 0 <= b[0] - a[0] < 1 and load.sent[b[1]] >= a[0]
            )
            for a in cold
        ),
        default=0,
    )
    record.say(f"by status: {dict(load.statuses)}")
    record.say(
        f"the cold worker got {len(cold)} requests, at most {most} in a"
        f" second; bound {BOUND}; crashed: {worker.has_crashed}"
    )
    return most <= BOUND
