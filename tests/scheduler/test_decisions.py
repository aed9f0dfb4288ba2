"""Tests of what the scheduler's decisions mean for callers."""

import dataclasses

import testtools

from citronport import errors
from citronport.scheduler import core
from citronport.scheduler import models
from measures.decisions import instances
from measures.decisions import loads
from measures.decisions import site as site_module

ENGINE = models.Endpoint(
    name="engine-1",
    kind=models.Kind.ENGINE,
    models=("floor",),
    data_centre="dc-1",
    address="127.0.0.1:1",
    concurrency=4,
)


def make_request(name, **changes):
    """Return a request that an idle endpoint can serve at once."""
    fields = {
        "request_id": name,
        "entry": "entry",
        "workspace": "ws-1",
        "tier": 0,
        "model": "floor",
        "prompt_tokens": 100,
        "max_tokens": 10,
        "deadline": 100.0,
        **changes,
    }
    return models.Request(**fields)


def make_scheduler(endpoint=ENGINE, limits=None):
    """Return a scheduler that owns one warm endpoint."""
    entry = models.Entry(
        name="entry",
        workspace="ws-1",
        tier=0,
        limits=limits or models.Limits(),
    )
    fleet = models.Fleet(
        version=1,
        data_centres={"dc-1": models.Service.IN},
        endpoints={endpoint.name: endpoint},
        entries={"entry": entry},
    )
    scheduler = core.Scheduler("a")
    scheduler.handle(models.FleetChanged(fleet=fleet), 0.0)
    scheduler.handle(
        models.OwnershipChanged(
            owned=frozenset({endpoint.name}), owners={endpoint.name: "a"}
        ),
        0.0,
    )
    scheduler.handle(models.EndpointConnected(endpoint=endpoint.name), 0.0)
    report = models.LoadReport(running=0, queued=0, cold=False, age=0.1)
    scheduler.handle(
        models.EndpointReported(endpoint=endpoint.name, report=report), 1.0
    )
    return scheduler


def get_refusals(actions):
    """Return the refusal codes by request id."""
    return {
        a.request_id: a.refusal.code
        for a in actions
        if isinstance(a, models.Refuse)
    }


class OutcomeTest(testtools.TestCase):
    """Tests of the outcome of single requests."""

    def send(self, scheduler, name, now, **changes):
        """Send a request to a scheduler; return the actions."""
        request = make_request(name, **changes)
        return scheduler.handle(models.RequestArrived(request=request), now)

    def test_deadline_of_a_running_request(self):
        """A running request is refused and cancelled at its deadline.

        Both happen in the same step: the caller gets "outcome unknown", and
        the endpoint has room for the next request.
        """
        scheduler = make_scheduler()
        sent = self.send(scheduler, "r", 1.0, deadline=5.0)
        self.assertIsInstance(sent[0], models.Dispatch)
        late = scheduler.handle(models.TimePassed(), 5.0)
        code = errors.Code.DEADLINE_PASSED_RUNNING
        self.assertEqual({"r": code}, get_refusals(late))
        cancel = models.Cancel(request_id="r", endpoint="engine-1")
        self.assertIn(cancel, late)
        self.assertTrue(scheduler.is_idle())

    def test_no_new_work_for_leaving_endpoint(self):
        """Nothing is sent to an endpoint that the catalogue takes out."""
        for change in (
            {"data_centres": {"dc-1": models.Service.OUT}},
            {
                "endpoints": {
                    "engine-1": dataclasses.replace(
                        ENGINE, state=models.Service.LEAVING
                    )
                }
            },
        ):
            scheduler = make_scheduler()
            fleet = dataclasses.replace(scheduler.fleet, version=2, **change)
            scheduler.handle(models.FleetChanged(fleet=fleet), 2.0)
            got = self.send(scheduler, "r", 3.0)
            code = errors.Code.NO_ENDPOINT
            self.assertEqual({"r": code}, get_refusals(got))

    def test_late_start_is_refused_while_nothing_lower_is_served(self):
        """A request that cannot finish in time is refused at once."""
        slow = dataclasses.replace(ENGINE, prefill_rate=10.0)
        scheduler = make_scheduler(slow)
        got = self.send(scheduler, "r", 1.0, deadline=3.0)
        code = errors.Code.DEADLINE_TOO_NEAR
        self.assertEqual({"r": code}, get_refusals(got))
        self.assertGreater(got[0].refusal.retry_after, 0)

    def test_not_refused_while_a_lower_tier_is_served_elsewhere(self):
        """The same request waits while another instance runs a lower tier."""
        slow = dataclasses.replace(ENGINE, prefill_rate=10.0)
        scheduler = make_scheduler(slow)
        summary = models.InstanceSummary(
            instance="b", version=1, running=(0, 0, 0, 1)
        )
        scheduler.handle(models.InstanceReported(summary=summary), 1.0)
        got = self.send(scheduler, "r", 1.0, deadline=3.0)
        self.assertEqual({}, get_refusals(got))

    def test_pressure_elsewhere_stops_lower_tiers(self):
        """The floor 1 of another instance lets tier 1 start, but not 3."""
        scheduler = make_scheduler()
        summary = models.InstanceSummary(instance="b", version=1, floor=1)
        scheduler.handle(models.InstanceReported(summary=summary), 1.0)
        self.assertEqual([], self.send(scheduler, "low", 1.0, tier=3))
        high = self.send(scheduler, "high", 1.0, tier=1)
        self.assertEqual(["high"], [a.request_id for a in high])

    def test_small_workspace_is_next(self):
        """A small workspace waits for at most one request of a large one."""
        scheduler = make_scheduler(dataclasses.replace(ENGINE, concurrency=1))
        for number in range(6):
            self.send(scheduler, f"big-{number}", 1.0)
        self.send(scheduler, "small", 1.0, workspace="ws-2")
        order = []
        running = "big-0"
        for step in range(6):
            now = 2.0 + step
            scheduler.handle(models.FirstToken(request_id=running), now)
            done = models.AnswerFinished(request_id=running)
            for action in scheduler.handle(done, now + 0.5):
                running = action.request_id
                order.append(running)
        self.assertIn("small", order[:2])

    def test_limits_count_the_other_instances(self):
        """Two requests in progress elsewhere leave one of a limit of three."""
        scheduler = make_scheduler(limits=models.Limits(concurrency=3))
        summary = models.InstanceSummary(
            instance="b", version=1, usage={"entry": 2}
        )
        scheduler.handle(models.InstanceReported(summary=summary), 1.0)
        self.assertEqual({}, get_refusals(self.send(scheduler, "r1", 1.0)))
        got = get_refusals(self.send(scheduler, "r2", 1.0))
        self.assertEqual({"r2": errors.Code.CONCURRENCY_LIMIT}, got)

    def test_rate_limit_refills(self):
        """At two requests per second, the third gets a retry delay."""
        limits = models.Limits(requests_per_second=2.0)
        scheduler = make_scheduler(limits=limits)
        refused = [self.send(scheduler, f"r{n}", 1.0) for n in range(3)][2]
        code = errors.Code.RATE_LIMIT
        self.assertEqual({"r2": code}, get_refusals(refused))
        wait = refused[0].refusal.retry_after
        again = self.send(scheduler, "r3", 1.0 + max(0.5, wait))
        self.assertEqual({}, get_refusals(again))

    def test_retry_delays_are_spread(self):
        """The callers of a refused burst must not retry as a burst."""
        scheduler = core.Scheduler("a")
        waits = [
            self.send(scheduler, f"r{n}", 0.0)[0].refusal.retry_after
            for n in range(50)
        ]
        self.assertGreater(max(waits) / min(waits), 1.4)

    def test_only_unsent_dispatch_is_retried(self):
        """Only a request that was certainly not sent may be sent again."""
        scheduler = make_scheduler()
        self.send(scheduler, "r", 1.0)
        unsent = models.DispatchFailed(request_id="r", sent=False)
        got = scheduler.handle(unsent, 1.1)
        self.assertIsInstance(got[0], models.Dispatch)
        sent = models.DispatchFailed(request_id="r", sent=True)
        got = scheduler.handle(sent, 1.2)
        self.assertEqual({"r": errors.Code.ENDPOINT_LOST}, get_refusals(got))

    def test_unsent_dispatches_are_bounded(self):
        """An endpoint that refuses each connection is not tried forever."""
        scheduler = make_scheduler()
        got = self.send(scheduler, "r", 1.0)
        unsent = models.DispatchFailed(request_id="r", sent=False)
        rounds = 0
        while not get_refusals(got):
            rounds += 1
            self.assertLess(rounds, 10)
            got = scheduler.handle(unsent, 1.0 + rounds)
        self.assertEqual({"r": errors.Code.NO_ENDPOINT}, get_refusals(got))


class LoadTest(testtools.TestCase):
    """Tests with short simulated loads on a virtual clock."""

    def run_load(self, rate, faults=(), **options):
        """Return the figures of a load that lasts twenty seconds."""
        arrivals = loads.draw_arrivals(
            7, lambda t: rate, seconds=20.0, **options
        )
        load = loads.Load(name="test", arrivals=arrivals, faults=faults)
        site = site_module.Site(load)
        site.run(instances.Instances(site, core.Scheduler))
        figures = site.ledger.summarize()
        overloads = sum(e.overloads for e in site.engines.values())
        self.assertEqual(0, overloads)
        self.assertEqual(0, figures["doubled"])
        self.assertEqual(0, figures["lost"])
        return figures

    def get_goodput_fraction(self, figures, tier):
        """Return the goodput of a tier as a fraction of its offered load."""
        good = figures["goodput_by_tier"][tier]
        return good / figures["offered_by_tier"][tier]

    def test_top_tier_through_saturation(self):
        """The top tier is answered in time at twice the capacity."""
        figures = self.run_load(loads.CAPACITY_PER_SECOND * 2)
        self.assertGreaterEqual(self.get_goodput_fraction(figures, 0), 0.99)

    def test_top_tier_through_a_data_centre_change(self):
        """The top tier is answered while a data centre restarts cold."""
        faults = (
            loads.Fault(time=5, kind="dc_out", target="dc-2"),
            loads.Fault(time=10, kind="dc_in", target="dc-2"),
        )
        figures = self.run_load(loads.CAPACITY_PER_SECOND * 0.6, faults)
        self.assertGreaterEqual(self.get_goodput_fraction(figures, 0), 0.99)

    def test_restart_without_warning(self):
        """Engines that restart under load are never overloaded."""
        faults = tuple(
            loads.Fault(time=3 + n, kind=kind, target=f"engine-{n}", value=1)
            for n, kind in enumerate(("restart", "cold") * 5)
        )
        self.run_load(loads.CAPACITY_PER_SECOND * 0.6, faults)

    def test_long_requests_do_not_delay_short_ones(self):
        """Status reads are not delayed by a fifth of long reviews."""
        figures = self.run_load(
            loads.CAPACITY_PER_SECOND * 0.6, mix=loads.LONG_WORK_MIX
        )
        self.assertGreaterEqual(self.get_goodput_fraction(figures, 0), 0.99)
