"""The event trace: each decision as a JSON line, for tests and support."""

import collections.abc
import json
import pathlib
import time
from typing import Any

from citronport.scheduler import models

Recorder = collections.abc.Callable[[models.Event, list[models.Action]], None]


def make_event_recorder(instance: str, path: str | None) -> Recorder:
    """Return a function that appends events and actions to a file.

    Args:
        instance: instance name, written to each line.
        path: the file; None writes nothing.
    """
    if path is None:
        return lambda event, actions: None
    file = pathlib.Path(path).open("a", buffering=1)

    def record(event: models.Event, actions: list[models.Action]) -> None:
        if not actions and not isinstance(event, models.RequestArrived):
            return
        line = {
            "time": time.time(),
            "instance": instance,
            "event": type(event).__name__,
            **_describe_event(event),
            "actions": [_describe_action(action) for action in actions],
        }
        file.write(json.dumps(line) + "\n")

    return record


def _describe_event(event: models.Event) -> dict[str, Any]:
    match event:
        case models.RequestArrived():
            return {
                "request": event.request.request_id,
                "tier": event.request.tier,
                "forwarded": event.forwarded,
            }
        case _:
            return {"request": getattr(event, "request_id", None)}


def _describe_action(action: models.Action) -> dict[str, Any]:
    described: dict[str, Any] = {
        "kind": type(action).__name__,
        "request": action.request_id,
    }
    match action:
        case models.Refuse():
            described["code"] = int(action.refusal.code)
        case models.Forward():
            described["instance"] = action.instance
        case models.Dispatch() | models.Cancel():
            described["endpoint"] = action.endpoint
    return described
