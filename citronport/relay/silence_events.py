"""Events about endpoints that begin no request; see ``events``."""

import msgspec


class EndpointSilent(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint begins no request and is skipped for a while.

    Attributes:
        endpoint: name of the endpoint.
        overdue: requests without a first event that are overdue there.
        age: age of the oldest, seconds.
        expected: expected time to its first event, seconds.
    """

    endpoint: str
    overdue: int
    age: float
    expected: float
