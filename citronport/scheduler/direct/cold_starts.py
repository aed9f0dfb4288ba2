"""How much a cold endpoint gets from one instance."""

import collections

from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

WINDOW_SECONDS = 1.1
"""Span over which sends to a cold endpoint are counted.

The bound speaks of one second at the endpoint; links delay some sends more
than others, and a tenth covers it.
"""

SENDER_SHARE = 0.8
"""Part of the rate a cold endpoint bears that all instances use.

The rest is for instances that do not know each other yet.
"""

OWNER_SHARE = 0.5
"""Part of that rate that an owner of the endpoint hands out. Two owners at
once, and one request of each instance that finds none, stay together below
the bound of one and a half times the rate and five more.
"""


def compute_window_limit(rate: float, instances: int) -> int:
    """Return the requests a window that each sender may send."""
    return max(1, int(rate * SENDER_SHARE / max(1, instances)))


class ColdStarts:
    """Which endpoints are cold, and what this instance sent them."""

    def __init__(self) -> None:
        self._cold_until: dict[str, float] = {}
        self._send_times: dict[str, collections.deque[float]] = {}

    def set_cold(self, endpoint: str, until: float) -> None:
        """Note that an endpoint is cold until a clock time, at least."""
        self._cold_until[endpoint] = max(
            until, self._cold_until.get(endpoint, 0.0)
        )

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is cold."""
        return now < self._cold_until.get(endpoint, 0.0)

    def may_send(
        self, endpoint: str, role: roles.Role, rate: float, now: float
    ) -> bool:
        """Return whether one more request fits to a cold endpoint.

        Load: a fresh endpoint looks empty, so that every instance would
        send there at once. Harm: it crashes above its rate. Each instance
        has a fixed part of the rate, so that no agreement is needed.
        """
        if rate <= 0 or not self.is_cold(endpoint, now):
            return True
        sent = self._count_recent_sends(endpoint, now)
        match role:
            case roles.Owner():
                return sent < max(1, int(rate * OWNER_SHARE))
            case roles.Sender(own=own, instances=instances):
                # With more instances than requests a second, a whole
                # request a second each would already be too much.
                senders = max(1, int(rate * SENDER_SHARE))
                chosen = rendezvous.choose(endpoint, instances, senders)
                if own not in chosen:
                    return False
                return sent < compute_window_limit(rate, len(chosen))

    def record_send(self, endpoint: str, now: float) -> None:
        """Count a send; kept for warm ones too, as one may turn cold."""
        sent = self._send_times.setdefault(
            endpoint, collections.deque(maxlen=64)
        )
        sent.append(now)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is gone."""
        self._cold_until.pop(endpoint, None)
        self._send_times.pop(endpoint, None)

    def _count_recent_sends(self, endpoint: str, now: float) -> int:
        sent = self._send_times.get(endpoint)
        if sent is None:
            return 0
        while sent and sent[0] <= now - WINDOW_SECONDS:
            sent.popleft()
        return len(sent)
