"""Finds a place for each request, or lets it wait for one."""

import dataclasses
import random

from gevent import event as gevent_event

from citronport import clock
from citronport import errors
from citronport.relay import membership as membership_module
from citronport.relay import world as world_module
from citronport.scheduler.direct import board as board_module
from citronport.scheduler.direct import cold as cold_module
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import models
from citronport.scheduler.direct import selection
from citronport.scheduler.direct import waiting

KICK_SECONDS = 0.025
"""Pause between two looks at waiting requests when nothing else happens: a
pause for a suspect or cold endpoint ends without an event."""

RETRY_SHARE = 0.3
"""Longest time to come back, as a share of what the caller has left; it
waits for a third of that at most."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Booking:
    """A place that one request has taken.

    Attributes:
        place: the endpoint and what is expected of it.
        run: record of the request on the board.
    """

    place: selection.Place
    run: board_module.Run

    @property
    def endpoint(self) -> models.Endpoint:
        """Where the request goes."""
        return self.place.endpoint


class Dispatcher:
    """Books places for requests.

    Args:
        own: name of this instance.
        world: what is in force.
        members: the other instances.
        board: loads and paces.
        health: which endpoints answer.
        cold: which endpoints are cold.
        ticker: the clock.
    """

    def __init__(
        self,
        own: str,
        world: world_module.World,
        members: membership_module.Membership,
        board: board_module.Board,
        health: health_module.Health,
        cold: cold_module.ColdStarts,
        ticker: clock.Clock,
    ) -> None:
        self._world = world
        self._members = members
        self._board = board
        self._health = health
        self._cold = cold
        self._ticker = ticker
        self._selector = selection.Selector(own, board, health, cold)
        self._queues: dict[str, waiting.Queue] = {}

    def acquire(
        self, work: models.Work, service: str, tried: frozenset[str]
    ) -> Booking | errors.Refusal:
        """Return a place for a request; wait for one if need be."""
        now = self._ticker.now()
        queue = self._queues.setdefault(service, waiting.Queue())
        woken: gevent_event.AsyncResult = gevent_event.AsyncResult()
        waiter = waiting.Waiter(
            work=work, since=now, tried=tried, handle=woken
        )
        queue.add(waiter)
        try:
            self._match(service, queue)
            # Not "get": its timeout could not be told from the one for
            # the whole request, which has to end the request.
            woken.wait(timeout=waiting.compute_patience(work, now))
        finally:
            queue.remove(waiter)
        return woken.value or self._refuse(work, service)

    def release(self, booking: Booking, request_id: str) -> None:
        """Give a place back."""
        self._board.note_end(booking.endpoint.name, request_id)
        self.kick()

    def kick(self) -> None:
        """Look whether requests that wait have a place now."""
        for service, queue in self._queues.items():
            if len(queue):
                self._match(service, queue)

    def kick_again_and_again(self) -> None:
        """Look at the waiting requests for ever."""
        while True:
            self._ticker.sleep(KICK_SECONDS)
            self.kick()

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    def _match(self, service: str, queue: waiting.Queue) -> None:
        now = self._ticker.now()
        configuration = self._world.configuration
        known = configuration and configuration.services.get(service)
        if not known:
            return
        endpoints = self._world.list_endpoints(service)
        instances = self._members.list_known(now)

        def choose(waiter: waiting.Waiter) -> Booking | None:
            return self._book(waiter, known, endpoints, instances, now)

        for waiter, booking in queue.match(choose, now):
            waiter.handle.set(booking)

    def _book(
        self,
        waiter: waiting.Waiter,
        service: models.Service,
        endpoints: list[models.Endpoint],
        instances: tuple[str, ...],
        now: float,
    ) -> Booking | None:
        fresh = [e for e in endpoints if e.name not in waiter.tried]
        seen = fresh or endpoints
        number = selection.count_candidates(len(seen), len(instances))
        if number < len(seen):
            seen = random.sample(seen, number)
        place = self._selector.choose(
            waiter.work, service, seen, instances, now
        )
        if place is None:
            return None
        name = place.endpoint.name
        self._cold.note_send(name, now)
        self._health.note_send(name)
        run = self._board.note_sent(name, waiter.work, now)
        return Booking(place=place, run=run)

    def _refuse(self, work: models.Work, service: str) -> errors.Refusal:
        listed = self._world.list_endpoints(service)
        code = errors.Code.OVERLOADED if listed else errors.Code.NO_ENDPOINT
        left = max(0.0, work.deadline - self._ticker.now())
        # Spread by chance: callers that are refused in one burst would
        # else come back in one.
        pause = waiting.RETRY_SECONDS * random.uniform(1.0, 2.0)
        return errors.Refusal(
            code=code, retry_after=min(pause, RETRY_SHARE * left)
        )
