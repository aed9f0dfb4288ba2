"""CPU cost of scheduling by the number of endpoints and instances."""

import dataclasses
import json as json_module
import time

from citronport.scheduler import core
from citronport.scheduler import models
from measures.decisions import loads

SIZES = (10, 100, 1000, 5100)
ENDPOINTS_PER_INSTANCE = 10
REQUEST_COUNT = 3000
REQUEST_INTERVAL_SECONDS = 0.25
"""Time between two requests, whose deadlines count from their arrival."""


def run(json: str = "") -> None:
    """Measure one scheduler with 10 own endpoints in growing fleets.

    Args:
        json: file for the figures.
    """
    rows = [measure(size) for size in SIZES]
    for row in rows:
        print(
            f"{row['endpoints']:>5} endpoints, {row['instances']:>3} "
            f"instances: {row['decision_us']:.0f} us a request decided, "
            f"{row['summary_us']:.0f} us a summary taken, "
            f"{row['change_ms']:.1f} ms a change of endpoints"
        )
    if json:
        with open(json, "w") as file:
            json_module.dump(rows, file)


def measure(size: int) -> dict[str, float]:
    """Return the CPU time of each kind of event in a fleet of a size."""
    instances = max(1, size // ENDPOINTS_PER_INSTANCE)
    fleet, owners = _make_fleet(size, instances)
    scheduler = core.Scheduler("entry-0")
    owned = frozenset(e for e, o in owners.items() if o == "entry-0")
    change_seconds = _time_events(
        [
            models.FleetChanged(fleet=fleet),
            models.OwnershipChanged(owned=owned, owners=owners),
        ],
        scheduler,
        0.0,
    )
    for name in owned:
        scheduler.handle(models.EndpointConnected(endpoint=name), 0.0)
        report = models.LoadReport(running=0, queued=0, cold=False, age=0.1)
        event = models.EndpointReported(endpoint=name, report=report)
        scheduler.handle(event, 1.0)
    summary_seconds = _time_events(_make_summaries(instances), scheduler, 1.0)
    arrivals = loads.draw_arrivals(1, lambda t: 200.0)[:REQUEST_COUNT]
    began = time.process_time()
    for number, arrival in enumerate(arrivals):
        now = 1.0 + number * REQUEST_INTERVAL_SECONDS
        request = dataclasses.replace(arrival.request, deadline=now + 60.0)
        event = models.RequestArrived(request=request)
        scheduler.handle(event, now)
        name = arrival.request.request_id
        scheduler.handle(models.FirstToken(request_id=name), now + 0.1)
        done = models.AnswerFinished(request_id=name)
        scheduler.handle(done, now + 0.1)
        if number % 10 == 0:
            scheduler.handle(models.TimePassed(), now + 0.1)
    decision_seconds = time.process_time() - began
    return {
        "endpoints": size,
        "instances": instances,
        "decision_us": 1e6 * decision_seconds / len(arrivals),
        "summary_us": 1e6 * summary_seconds / max(1, instances - 1),
        "change_ms": 1e3 * change_seconds,
    }


def _time_events(
    events: list[models.Event], scheduler: core.Scheduler, now: float
) -> float:
    began = time.process_time()
    for event in events:
        scheduler.handle(event, now)
    return time.process_time() - began


def _make_fleet(
    size: int, instances: int
) -> tuple[models.Fleet, dict[str, str]]:
    shapes = list(loads.make_endpoints().values())
    endpoints = {}
    owners = {}
    for number in range(size):
        shape = shapes[number % len(shapes)]
        name = f"engine-{number}"
        fields = {**shape.__dict__, "name": name}
        endpoints[name] = models.Endpoint(**fields)
        owners[name] = f"entry-{number % instances}"
    return loads.make_fleet(endpoints), owners


def _make_summaries(instances: int) -> list[models.Event]:
    waits = {"floor": (0.1, 0.2, 0.5, 1.0), "draft": (0.1, 0.2, 0.5, 1.0)}
    return [
        models.InstanceReported(
            summary=models.InstanceSummary(
                instance=f"entry-{number}",
                version=1,
                running=(1, 1, 1, 1),
                waits=waits,
            )
        )
        for number in range(1, instances)
    ]
