"""The log event of a request's end; see ``events``."""

import msgspec


class RequestEnded(msgspec.Struct, frozen=True, kw_only=True):
    """A request got its final answer, or its caller disconnected.

    Attributes:
        request: id of the request.
        route: name of the route.
        repeat: repeat policy of the route.
        objective: latency objective of the route, seconds.
        max_gap: longest pause of a stream that still counts as in time,
            seconds; 0 if the route sets none.
        tier: tier of the request; tier 0 is served first.
        workspace: workspace that was charged; empty if no keys are in use.
        units: units charged to its limit; 0 for a forwarded request.
        outcome: "answered", "refused", "cut" or "left".
        status: HTTP status; 0 if none was sent.
        code: numbered result code; 0 for an endpoint's own answer.
        endpoint: name of the endpoint that answered; empty if none did.
        attempts: number of sends to endpoints.
        waited: seconds in the queue of this instance.
        first: seconds to the first byte of the answer; -1 without one.
        longest: longest pause between two events of a stream, seconds.
        seconds: seconds from the head of the request to the end.
        version: version of the configuration used.
        end: "framed" if a length or chunks proved the end of the answer,
            "closed" if only the end of its connection did; empty if it was
            not read to its end.
        rest: bytes after the last complete event of a stream.
    """

    request: str
    route: str
    repeat: str
    objective: float
    max_gap: float
    tier: int
    workspace: str
    units: float
    outcome: str
    status: int
    code: int
    endpoint: str
    attempts: int
    waited: float
    first: float
    longest: float
    seconds: float
    version: int
    end: str
    rest: int
