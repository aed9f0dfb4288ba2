"""Endpoints that fall over if they have to turn many requests away."""

import collections
import dataclasses

from citronport.scheduler.direct import rendezvous
from citronport.scheduler.direct import roles

WINDOW_SECONDS = 1.0
"""Window in which an endpoint counts the requests that it turns away."""

REJECTION_SHARE = 0.5
"""Share of the tolerated rejections that is used. Requests that are under way
when an endpoint turns others away may be turned away too."""

NEVER = float("-inf")


@dataclasses.dataclass(slots=True)
class _Statement:
    """What an endpoint last said, and what it turned away.

    Attributes:
        tolerated: rejections in ``WINDOW_SECONDS`` that it stands; None if
            it is not brittle.
        stated_at: clock time of the answer that said so.
        rejected_at: clock times of the rejections known here.
    """

    tolerated: float | None = None
    stated_at: float = NEVER
    rejected_at: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=64)
    )


class BrittleEndpoints:
    """Keeps brittle endpoints from having to turn requests away.

    Such an endpoint has no or little room for waiting requests, and the
    rejections of all instances count together. Its owner leases out its
    slots only. Instances that find no owner share the slots without
    agreement: each of some has a fixed part. After rejections all pause.
    """

    def __init__(self) -> None:
        self._statements: dict[str, _Statement] = {}

    def record_statement(
        self, endpoint: str, tolerated: float | None, stated_at: float
    ) -> bool:
        """Record what an answer says; return whether that is a change.

        Args:
            endpoint: name of the endpoint.
            tolerated: rejections that it stands in ``WINDOW_SECONDS``; None
                if it does not say that it is brittle.
            stated_at: clock time at which the answer began, seconds. What a
                later one has said is not changed.
        """
        known = self._statements.setdefault(endpoint, _Statement())
        if stated_at <= known.stated_at:
            return False
        known.stated_at = stated_at
        changed = known.tolerated != tolerated
        known.tolerated = tolerated
        return changed

    def record_rejection(self, endpoint: str, now: float) -> None:
        """Record that an endpoint turned a request away."""
        known = self._statements.get(endpoint)
        if known is not None:
            known.rejected_at.append(now)

    def get_statement(self, endpoint: str) -> tuple[float | None, float]:
        """Return what an endpoint said, and the clock time of that answer."""
        known = self._statements.get(endpoint)
        if known is None:
            return None, NEVER
        return known.tolerated, known.stated_at

    def count(self) -> int:
        """Return how many endpoints are brittle now."""
        return sum(s.tolerated is not None for s in self._statements.values())

    def may_send(
        self,
        endpoint: str,
        slots: int,
        requests: int,
        own_requests: int,
        role: roles.Role,
        now: float,
    ) -> bool:
        """Return whether an endpoint has room for one more request.

        Args:
            endpoint: name of the endpoint.
            slots: requests that it runs at once.
            requests: requests of all instances that are known to be there.
            own_requests: those of this instance.
            role: role of this instance towards the endpoint.
            now: clock time, seconds.
        """
        known = self._statements.get(endpoint)
        if known is None or known.tolerated is None:
            return True
        if requests >= slots:
            return False
        tolerated = REJECTION_SHARE * known.tolerated
        match role:
            case roles.Owner():
                return self._count_rejections(known, now) < max(1, tolerated)
            case roles.Sender(own=own, instances=instances):
                slots = max(1, int(slots * role.known_share))
                tolerated *= role.known_share
                chosen = rendezvous.choose(endpoint, instances, slots)
                if own not in chosen:
                    return False
                if own_requests >= slots // len(chosen):
                    return False
                return self._count_rejections(known, now) < max(
                    1, tolerated / len(chosen)
                )

    def forget(self, endpoint: str) -> None:
        """Remove the state of an endpoint that is gone."""
        self._statements.pop(endpoint, None)

    def _count_rejections(self, known: _Statement, now: float) -> int:
        return sum(now - at < WINDOW_SECONDS for at in known.rejected_at)
