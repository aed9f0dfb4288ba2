"""Simulation of seven instances, each with its own scheduler."""

import collections.abc

from citronport import errors
from citronport.scheduler import models
from citronport.scheduler import ownership
from measures.decisions import loads
from measures.decisions import site as site_module

NAMES = tuple(f"entry-{n}" for n in range(1, 8))
SUMMARY_INTERVAL_SECONDS = 0.25
TICK_INTERVAL_SECONDS = 0.05
LEASE_SECONDS = 4.0
"""Time until the endpoints of a silent owner get new owners."""

REJOIN_DELAY_SECONDS = 2.0
"""Time until an instance that resumes gets its endpoints back."""


class Instances:
    """Runs the schedulers and passes messages between them."""

    def __init__(
        self,
        site: site_module.Site,
        make: collections.abc.Callable[[str], object],
        tick: float = TICK_INTERVAL_SECONDS,
        independent: bool = False,
    ) -> None:
        """Start the schedulers.

        Args:
            site: the simulated site.
            make: creates the scheduler of an instance, by its name.
            tick: seconds between two ``TimePassed`` events.
            independent: whether each instance dispatches to every
                endpoint, within a limit of its own, in place of one owner
                for each endpoint.
        """
        self._independent = independent
        self._tick_seconds = tick
        self._site = site
        self._clock = site.clock
        self.schedulers = {name: make(name) for name in NAMES}
        self._frozen: dict[str, list[models.Event]] = {}
        self._silent: set[str] = set()
        self._entry_instances: dict[str, str] = {}
        self._owner: dict[str, str] = {}
        self._refused_by: dict[str, tuple[str, ...]] = {}
        self._requests: dict[str, models.Request] = {}
        self._incarnations: dict[str, int] = {}
        self._ended: set[str] = set()
        self._clock.call_later(0.0, self._tick)
        self._clock.call_later(0.1, self._send_summaries)
        self._assign(NAMES)

    def arrive(self, arrival: loads.Arrival) -> None:
        """Pass a request to the first reachable instance of its workspace."""
        request = arrival.request
        usable = [n for n in NAMES if n not in self._silent]
        ranked = ownership.rank_instances(request.workspace, usable)
        self._requests[request.request_id] = request
        self._entry_instances[request.request_id] = ranked[0]
        self._handle(ranked[0], models.RequestArrived(request=request))

    def connect(self, endpoint: str, *, up: bool) -> None:
        """Report a connection change to all instances."""
        self._incarnations[endpoint] = self._site.engines[endpoint].incarnation
        event: models.Event = models.EndpointLost(endpoint=endpoint)
        if up:
            event = models.EndpointConnected(endpoint=endpoint)
        self._broadcast(event)

    def report(self, endpoint: str, report: models.LoadReport) -> None:
        """Pass a load report to all instances."""
        self._broadcast(
            models.EndpointReported(endpoint=endpoint, report=report)
        )

    def publish(self, fleet: models.Fleet) -> None:
        """Pass a newer catalogue to all instances."""
        self._broadcast(models.FleetChanged(fleet=fleet))

    def freeze(self, instance: str, seconds: float) -> None:
        """Freeze an instance until after its lease has expired."""
        self._frozen[instance] = []
        left = [n for n in NAMES if n != instance]
        self._clock.call_later(2.0, self._mark_silent, instance)
        self._clock.call_later(LEASE_SECONDS, self._assign, left)
        self._clock.call_later(seconds, self._wake, instance)
        self._clock.call_later(
            seconds + REJOIN_DELAY_SECONDS, self._assign, NAMES
        )

    def take_first_token(self, sender: str, request_id: str) -> None:
        """See ``site.Policy``."""
        self._handle(sender, models.FirstToken(request_id=request_id))

    def finish(
        self, sender: str, request_id: str, output: int, cached: int
    ) -> None:
        """See ``site.Policy``."""
        self._handle(
            sender,
            models.AnswerFinished(
                request_id=request_id,
                output_tokens=output,
                cached_tokens=cached,
            ),
        )
        entry = self._entry_instances[request_id]
        if entry != sender:
            event = models.AnswerFinished(request_id=request_id)
            self._clock.call_later(
                site_module.HOP_SECONDS, self._handle, entry, event
            )

    def fail(self, sender: str, request_id: str, sent: bool) -> None:
        """See ``site.Policy``."""
        self._handle(
            sender, models.DispatchFailed(request_id=request_id, sent=sent)
        )

    def _broadcast(self, event: models.Event) -> None:
        for name in NAMES:
            self._handle(name, event)

    def _assign(self, names: collections.abc.Iterable[str]) -> None:
        names = list(names)
        owners = {
            endpoint: ownership.rank_instances(endpoint, names)[0]
            for endpoint in self._site.engines
        }
        self._silent &= set(NAMES) - set(names)
        for name in NAMES:
            owned = frozenset(
                e
                for e, owner in owners.items()
                if owner == name or self._independent
            )
            self._handle(
                name, models.OwnershipChanged(owned=owned, owners=owners)
            )

    def _mark_silent(self, instance: str) -> None:
        if instance in self._frozen:
            self._silent.add(instance)
            self._broadcast(models.InstanceGone(instance=instance))

    def _wake(self, instance: str) -> None:
        missed = self._frozen.pop(instance)
        # A real instance checks its lease before it handles other events.
        changes = [e for e in missed if isinstance(e, models.OwnershipChanged)]
        if changes:
            self._handle(
                instance,
                models.OwnershipChanged(
                    owned=frozenset(), owners=changes[-1].owners
                ),
            )
        for event in missed:
            if not isinstance(event, models.TimePassed):
                self._handle(instance, event)

    def _tick(self) -> None:
        self._broadcast(models.TimePassed())
        if self._clock.now < loads.LOAD_SECONDS + site_module.DRAIN_SECONDS:
            self._clock.call_later(self._tick_seconds, self._tick)

    def _send_summaries(self) -> None:
        for name, scheduler in self.schedulers.items():
            if name in self._frozen:
                continue
            event = models.InstanceReported(summary=scheduler.summarize())
            for other in NAMES:
                if other != name:
                    self._clock.call_later(
                        site_module.HOP_SECONDS, self._handle, other, event
                    )
        if self._clock.now < loads.LOAD_SECONDS + site_module.DRAIN_SECONDS:
            self._clock.call_later(
                SUMMARY_INTERVAL_SECONDS, self._send_summaries
            )

    def _handle(self, name: str, event: models.Event) -> None:
        if name in self._frozen:
            self._frozen[name].append(event)
            return
        actions = self.schedulers[name].handle(event, self._clock.now)
        for action in actions:
            self._execute(name, action)

    def _execute(self, name: str, action: models.Action) -> None:
        request_id = action.request_id
        match action:
            case models.Dispatch():
                self._dispatch(name, action)
            case models.Forward():
                event = models.RequestArrived(
                    request=self._requests[request_id], forwarded=True
                )
                self._clock.call_later(
                    site_module.HOP_SECONDS,
                    self._handle,
                    action.instance,
                    event,
                )
            case models.Cancel():
                if action.endpoint:
                    self._site.cancel(action.endpoint, request_id)
                self._handle(
                    name, models.AnswerFinished(request_id=request_id)
                )
            case models.Refuse():
                self._refuse(name, action)

    def _dispatch(self, name: str, action: models.Dispatch) -> None:
        request = self._requests[action.request_id]
        if action.request_id in self._ended:
            self._handle(
                name,
                models.DispatchFailed(
                    request_id=action.request_id,
                    sent=False,
                    code=errors.Code.DEADLINE_PASSED_WAITING,
                ),
            )
            return
        self._site.send(
            name,
            request,
            action.endpoint,
            self._incarnations[action.endpoint],
            lambda: self._answer(action.request_id),
        )

    def _answer(self, request_id: str) -> None:
        self._ended.add(request_id)
        self._site.ledger.record_answer(request_id, self._clock.now)

    def _refuse(self, name: str, action: models.Refuse) -> None:
        request_id = action.request_id
        refusal = action.refusal
        if self._entry_instances[request_id] == name:
            self._ended.add(request_id)
            self._site.refuse(request_id, refusal.code)
            return
        if refusal.meaning.ran == errors.Ran.OUTCOME_UNKNOWN:
            self._ended.add(request_id)
            self._site.refuse(request_id, refusal.code)
            return
        tried = (*self._refused_by.get(request_id, ()), name)
        self._refused_by[request_id] = tried
        event = models.RequestArrived(
            request=self._requests[request_id], refused_by=tried
        )
        self._clock.call_later(
            site_module.HOP_SECONDS,
            self._handle,
            self._entry_instances[request_id],
            event,
        )
