"""Both sides of leasing: places asked for and places handed out."""

import collections.abc

import gevent

from citronport import clock
from citronport.relay import cluster_state as cluster_state_module
from citronport.relay import dispatcher as dispatcher_module
from citronport.relay import eventlog
from citronport.relay import lease_client as lease_client_module
from citronport.relay import lease_server as lease_server_module
from citronport.relay import membership as membership_module
from citronport.relay import messages
from citronport.relay import owners as owners_module
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import leases as leases_module
from citronport.scheduler.direct import load_tracker


class Leasing:
    """Hands messages on leases to the side that they are for.

    Attributes:
        owners: who hands out what.
        lease_client: asks for places.
        lease_server: hands them out.
        leases: what was handed out.

    Args:
        own: name of this instance.
        capacity: processor cores that it has.
        members: the other instances.
        cluster_state: what is in force.
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
        cluster_state: cluster_state_module.ClusterState,
        dispatcher: dispatcher_module.Dispatcher,
        board: load_tracker.LoadTracker,
        health: health_module.Health,
        is_ready: collections.abc.Callable[[], bool],
        tell: messages.SendLeaseMessage,
        ticker: clock.Clock,
        log: eventlog.Log,
    ) -> None:
        self._ticker = ticker
        self.owners = owners_module.Owners(
            own,
            capacity,
            members,
            cluster_state,
            is_ready,
            log,
            self._on_owner_change,
        )
        self.lease_client = lease_client_module.LeaseClient(
            own, self.owners, board, tell, ticker, log
        )
        self.leases = leases_module.Leases(board)
        self.lease_server = lease_server_module.LeaseServer(
            own,
            dispatcher,
            self.leases,
            cluster_state,
            board,
            health,
            tell,
            ticker,
        )
        dispatcher.owners = self.owners
        dispatcher.lease_client = self.lease_client

    def handle(self, message: messages.LeaseMessage) -> None:
        """Take a message of another instance, or one's own."""
        match message:
            case messages.Ask():
                self.lease_server.handle_ask(message)
            case messages.Begun():
                self.lease_server.handle_begun(message)
            case messages.Ended():
                self.lease_server.handle_ended(message)
            case messages.Holding():
                self.lease_server.handle_holding(message)
            case (
                messages.Granted()
                | messages.Queued()
                | messages.Full()
                | messages.Declined()
            ):
                self.lease_client.handle_answer(message)

    def _on_owner_change(self) -> None:
        # A new owner takes full endpoints for idle until it hears what
        # runs there, and hands out their places once more. Each instance
        # tells it with its first question, and not up to half a second
        # later.
        gevent.spawn(self.lease_client.renew)

    def run_renewal_loop(self) -> None:
        """Tell owners what this instance holds, for ever."""
        while True:
            self._ticker.sleep(leases_module.RENEW_INTERVAL_SECONDS)
            self.lease_client.renew()
