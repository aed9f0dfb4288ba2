"""Limits how many requests an instance sends to a cold endpoint."""

import collections

from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

WINDOW_SECONDS = 1.1
"""Window in which sends to a cold endpoint are counted.

The bound holds for one second at the endpoint; the additional tenth allows
for network delays that differ between sends.
"""

SENDER_SHARE = 0.8
"""Share of a cold endpoint's rate that all senders use together.

The rest is for instances that do not know each other yet.
"""

OWNER_SHARE = 0.5
"""Share of a cold endpoint's rate that its owner uses.

Two owners at once plus one request of each instance that finds no owner stay
below the bound of one and a half times the rate plus five requests.
"""


def compute_window_limit(rate: float, instances: int) -> int:
    """Return how many requests each sender may send per window."""
    return max(1, int(rate * SENDER_SHARE / max(1, instances)))


class ColdStarts:
    """Tracks cold endpoints and the sends of this instance to them."""

    def __init__(self) -> None:
        self._cold_until: dict[str, float] = {}
        self._send_times: dict[str, collections.deque[float]] = {}

    def set_cold(self, endpoint: str, until: float) -> None:
        """Record that an endpoint is cold at least until a clock time."""
        self._cold_until[endpoint] = max(
            until, self._cold_until.get(endpoint, 0.0)
        )

    def is_cold(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is cold."""
        return now < self._cold_until.get(endpoint, 0.0)

    def may_send(
        self, endpoint: str, role: roles.Role, rate: float, now: float
    ) -> bool:
        """Return whether an endpoint may get one more request.

        A freshly started endpoint looks idle to all instances. If all sent
        there at once, it would exceed its rate and crash. Each instance has
        a fixed share of the rate, which needs no coordination.
        """
        if rate <= 0 or not self.is_cold(endpoint, now):
            return True
        sent = self._count_recent_sends(endpoint, now)
        match role:
            case roles.Owner():
                return sent < max(1, int(rate * OWNER_SHARE))
            case roles.Sender(own=own, instances=instances):
                rate *= role.known_share
                # With more instances than requests per second, even one
                # request per second from each would be too much.
                senders = max(1, int(rate * SENDER_SHARE))
                chosen = rendezvous.choose(endpoint, instances, senders)
                if own not in chosen:
                    return False
                return sent < compute_window_limit(rate, len(chosen))

    def record_send(self, endpoint: str, now: float) -> None:
        """Count a send, also to a warm endpoint, as it may turn cold."""
        sent = self._send_times.setdefault(
            endpoint, collections.deque(maxlen=64)
        )
        sent.append(now)

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self._cold_until.pop(endpoint, None)
        self._send_times.pop(endpoint, None)

    def _count_recent_sends(self, endpoint: str, now: float) -> int:
        sent = self._send_times.get(endpoint)
        if sent is None:
            return 0
        while sent and sent[0] <= now - WINDOW_SECONDS:
            sent.popleft()
        return len(sent)
