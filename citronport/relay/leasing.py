"""Both sides of leasing: requested leases and granted leases."""

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
from citronport.scheduler.direct import endpoint_limits
from citronport.scheduler.direct import health as health_module
from citronport.scheduler.direct import leases as leases_module
from citronport.scheduler.direct import load_tracker
from citronport.scheduler.direct import row_budget


class Leasing:
    """Passes leasing messages to the lease client or the lease server.

    Attributes:
        owners: owners of the endpoints.
        lease_client: requests leases from other instances.
        lease_server: grants leases to other instances.
        leases: granted leases.

    Args:
        own: name of this instance.
        capacity: processor cores of this instance.
        members: the other instances.
        cluster_state: current configuration and endpoints.
        dispatcher: reserves capacity; leasing is enabled in it.
        loads: loads and step times of endpoints.
        health: health of endpoints.
        limits: limits announced by endpoints.
        is_ready: returns whether this instance may own endpoints.
        send: sends a message to the named instance.
        ticker: the clock.
        log: the event log.
        early: rules for instances that still discover the others; None if
            only those that are ready for callers own endpoints.
        budget: limits what other instances report.
    """

    def __init__(
        self,
        own: str,
        capacity: float,
        members: membership_module.Membership,
        cluster_state: cluster_state_module.ClusterState,
        dispatcher: dispatcher_module.Dispatcher,
        loads: load_tracker.LoadTracker,
        health: health_module.Health,
        limits: endpoint_limits.EndpointLimits,
        is_ready: collections.abc.Callable[[], bool],
        send: messages.SendMessage,
        ticker: clock.Clock,
        log: eventlog.Log,
        early: owners_module.StartupOwnership | None = None,
        budget: row_budget.RowBudget | None = None,
    ) -> None:
        budget = budget or row_budget.RowBudget()
        self._ticker = ticker
        self.owners = owners_module.Owners(
            own,
            capacity,
            members,
            cluster_state,
            is_ready,
            log,
            self._on_owner_change,
            early,
        )
        self.lease_client = lease_client_module.LeaseClient(
            own,
            self.owners,
            loads,
            limits.brittle,
            dispatcher.exclusions.list_unusable,
            send,
            ticker,
            log,
        )
        self.leases = leases_module.Leases(loads, budget)
        self.lease_server = lease_server_module.LeaseServer(
            own,
            dispatcher,
            self.leases,
            cluster_state,
            loads,
            health,
            limits.brittle,
            send,
            ticker,
            log,
            budget,
        )
        dispatcher.owners = self.owners
        dispatcher.lease_client = self.lease_client

    def handle(self, message: messages.LeaseMessage) -> None:
        """Handle a message of another instance or of this one."""
        match message:
            case messages.Ask():
                self.lease_server.handle_ask(message)
            case messages.Begun():
                self.lease_server.handle_begun(message)
            case messages.Ended():
                self.lease_server.handle_ended(message)
            case messages.EndpointLeaving():
                self.lease_server.handle_leaving(message)
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
        # Until a new owner learns which requests run at its endpoints, full
        # endpoints look idle to it, and it grants their capacity again. Each
        # instance therefore reports its leases as soon as it sees the new
        # owner. The next renewal may be half a second away.
        gevent.spawn(self.lease_client.renew)

    def run_renewal_loop(self) -> None:
        """Renew the leases held here at a fixed interval, indefinitely."""
        while True:
            self._ticker.sleep(leases_module.RENEW_INTERVAL_SECONDS)
            self.lease_client.renew()
