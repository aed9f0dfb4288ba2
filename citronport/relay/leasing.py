"""Both sides of leasing: places asked for and places handed out."""

import collections.abc

import gevent

from citronport import clock
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import eventlog
from citronport.relay import lessee as lessee_module
from citronport.relay import lessor as lessor_module
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import owners as owners_module
from citronport.relay import world as world_module
from citronport.scheduler.direct import board as board_module
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import leases as leases_module


class Leasing:
    """Hands messages on leases to the side that they are for.

    Attributes:
        owners: who hands out what.
        lessee: asks for places.
        lessor: hands them out.
        leases: what was handed out.

    Args:
        own: name of this instance.
        capacity: processor cores that it has.
        members: the other instances.
        world: what is in force.
        dispatcher: finds places; it leases from now on.
        board: loads and paces.
        health: which endpoints answer.
        is_ready: whether this instance may own endpoints.
        tell: sends a message to an instance, named.
        ticker: the clock.
        log: where decisions are told.
    """

    def __init__(
        self,
        own: str,
        capacity: float,
        members: membership_module.Membership,
        world: world_module.World,
        dispatcher: dispatcher_module.Dispatcher,
        board: board_module.Board,
        health: health_module.Health,
        is_ready: collections.abc.Callable[[], bool],
        tell: messages.SendLeaseMessage,
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._ticker = ticker
        self.owners = owners_module.Owners(
            own, capacity, members, world, is_ready, log, self._note_change
        )
        self.lessee = lessee_module.Lessee(
            own, self.owners, board, tell, ticker, log
        )
        self.leases = leases_module.Leases(board)
        self.lessor = lessor_module.Lessor(
            own, dispatcher, self.leases, world, board, health, tell, ticker
        )
        dispatcher.owners = self.owners
        dispatcher.lessee = self.lessee

    def take(self, message: messages.LeaseMessage) -> None:
        """Take a message of another instance, or one's own."""
        match message:
            case messages.Ask():
                self.lessor.take_ask(message)
            case messages.Begun():
                self.lessor.take_begun(message)
            case messages.Ended():
                self.lessor.take_ended(message)
            case messages.Holding():
                self.lessor.take_holding(message)
            case (
                messages.Granted()
                | messages.Queued()
                | messages.Full()
                | messages.Declined()
            ):
                self.lessee.take(message)

    def _note_change(self) -> None:
        # A new owner takes full endpoints for idle until it hears what
        # runs there, and hands out their places once more. Each instance
        # tells it with its first question, and not up to half a second
        # later.
        gevent.spawn(self.lessee.renew)

    def renew_again_and_again(self) -> None:
        """Tell owners what this instance holds, for ever."""
        while True:
            self._ticker.sleep(leases_module.RENEW_SECONDS)
            self.lessee.renew()
