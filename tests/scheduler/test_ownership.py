"""Tests of endpoint ownership."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from citronport.scheduler import budget
from citronport.scheduler import models
from citronport.scheduler import ownership

NAMES = ("entry-1", "entry-2", "entry-3")
COLD_CONCURRENCY = 3


def make_members(names):
    """Return members of one data centre."""
    return {
        name: ownership.Member(name=name, data_centre="dc-1") for name in names
    }


class OwnershipTest(testtools.TestCase):
    """Tests of the rights of one owner among three instances."""

    def setUp(self):
        """Create the instance that ranks first of three."""
        super().setUp()
        first = ownership.rank_instances("engine", NAMES)[0]
        self.others = [name for name in NAMES if name != first]
        self.owners = ownership.Ownership(first, 0.0)
        self.owners.update_endpoints({"engine": "dc-1"}, 0.0)
        self.owners.update_members(make_members(NAMES), 1, 0.0)

    def confirm(self, now):
        """Renew both authorities."""
        self.owners.record_platform_confirmation(now)
        for name in self.others:
            self.owners.record_contact(name, now, 1)

    def test_new_owner_waits_for_idle_endpoint(self):
        """A new owner waits until the earlier lease and work have ended."""
        self.confirm(7.0)
        self.owners.record_idle("engine", 3.5)
        self.assertFalse(self.owners.may_send_cold("engine", 7.0))
        self.owners.record_idle("engine", 3.7)
        self.assertTrue(self.owners.may_send_cold("engine", 7.0))

    def test_release_ends_the_wait(self):
        """A release by the earlier owner lets the new one send at once."""
        self.confirm(1.0)
        self.owners.record_release("engine")
        self.assertTrue(self.owners.may_send_cold("engine", 1.0))

    def test_lease_runs_out_in_a_stopped_process(self):
        """No send to a cold start after a pause longer than the lease.

        A process is paused after its decision and resumes seconds later. By
        then a new owner may send to the cold endpoint, which would crash
        under the requests of both.
        """
        self.confirm(1.0)
        self.owners.record_release("engine")
        self.assertFalse(self.owners.may_send_cold("engine", 4.1))

    def test_announced_leave_gives_no_right_to_a_cold_start(self):
        """Only the list gives it: an announcement may not reach everyone."""
        second = ownership.rank_instances("engine", NAMES)[1]
        owners = ownership.Ownership(second, 0.0)
        owners.update_endpoints({"engine": "dc-1"}, 0.0)
        owners.update_members(make_members(NAMES), 1, 0.0)
        for name in set(NAMES) - {second}:
            owners.update_leaving(name, True, 0.0)
        owners.record_platform_confirmation(10.0)
        owners.record_idle("engine", 9.0)
        self.assertEqual({"engine"}, owners.get_ownership(10.0).owned)
        self.assertFalse(owners.may_send_cold("engine", 10.0))

    def test_answer_under_another_list_is_no_contact(self):
        """Only answers under the same list version count as contacts.

        A peer with a newer list may know another owner; a peer that answered
        before the list changed has not seen the change.
        """
        for name in self.others:
            self.owners.record_contact(name, 1.0, 2)
        self.assertEqual(
            models.ColdShare.NONE, self.owners.get_cold_share(1.0)
        )
        self.confirm(1.0)
        self.owners.update_members(make_members(NAMES), 2, 1.5)
        self.assertEqual(
            models.ColdShare.UPPER_HALF, self.owners.get_cold_share(1.5)
        )

    def test_own_leave_keeps_another_leave(self):
        """An instance's return must not end the leave of another one.

        Another instance announces its leave; then this one leaves and
        returns. If the announcement of one instance replaced that of the
        other, work would be forwarded to an instance that refuses it.
        """
        name = self.others[0]
        self.owners.update_leaving(name, True, 0.0)
        me = self.owners._instance
        self.owners.update_leaving(me, True, 1.0)
        self.assertEqual(self.others[1], self.owners.find_owner("engine"))
        self.owners.update_leaving(me, False, 2.0)
        self.assertEqual(me, self.owners.find_owner("engine"))
        self.assertEqual(
            {me, self.others[1]}, set(self.owners._get_eligible())
        )

    def test_one_authority_gives_half(self):
        """One authority alone gives its half of the cold-start capacity."""
        self.assertEqual(
            models.ColdShare.NONE, self.owners.get_cold_share(1.0)
        )
        self.owners.record_platform_confirmation(1.0)
        self.assertEqual(
            models.ColdShare.UPPER_HALF, self.owners.get_cold_share(1.0)
        )
        self.confirm(2.0)
        self.assertEqual(models.ColdShare.ALL, self.owners.get_cold_share(2.0))
        self.confirm(9.0)
        self.owners._platform_confirmed_at = 0.0
        self.assertEqual(
            models.ColdShare.LOWER_HALF, self.owners.get_cold_share(9.0)
        )


class ColdBudgetMachine(stateful.RuleBasedStateMachine):
    """Model of a cold endpoint and three instances with random faults.

    Instances lose the platform and each other, are paused and resumed,
    replaced, and removed from the list and added again. In any order, the
    endpoint must never exceed its cold-start concurrency.
    """

    def __init__(self):
        """Start with a list of all three."""
        super().__init__()
        self.now = 0.0
        self.version = 1
        self.listed = set(NAMES)
        self.platform_reachable = set(NAMES)
        self.broken_links = set()
        self.stopped = set()
        self.in_progress = dict.fromkeys(NAMES, 0)
        self.versions = dict.fromkeys(NAMES, 0)
        self.views = {name: self.start(name) for name in NAMES}

    def start(self, name):
        """Start one process."""
        view = ownership.Ownership(name, self.now)
        view.update_endpoints({"engine": "dc-1"}, self.now)
        self.versions[name] = 0
        return view

    def receive_list(self, name, version, names):
        """Pass a list to an instance if it is newer than its own."""
        if version > self.versions[name]:
            self.versions[name] = version
            self.views[name].update_members(
                make_members(names), version, self.now
            )
            self.lists = {**getattr(self, "lists", {}), version: names}

    def exchange_messages(self):
        """Let running instances contact the platform and each other."""
        awake = [name for name in NAMES if name not in self.stopped]
        for name in awake:
            if name in self.platform_reachable:
                self.receive_list(name, self.version, set(self.listed))
                self.views[name].record_platform_confirmation(self.now)
        for _ in NAMES:
            for asking in awake:
                for answering in awake:
                    self.contact(asking, answering)
        if not any(self.in_progress.values()):
            for name in awake:
                self.views[name].record_idle("engine", self.now)

    def contact(self, asking, answering):
        """Let one instance contact another, if the link is up."""
        if (
            asking == answering
            or frozenset({asking, answering}) in self.broken_links
        ):
            return
        version = self.versions[answering]
        if version > self.versions[asking]:
            self.receive_list(asking, version, self.lists[version])
        self.views[asking].record_contact(answering, self.now, version)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 4.0, 7.0]))
    def pass_time(self, seconds):
        """Advance the time, with an exchange every half second."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.exchange_messages()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_platform(self, name):
        """Break or restore an instance's connection to the platform."""
        self.platform_reachable ^= {name}

    @stateful.rule(pair=strategies.sampled_from([(0, 1), (0, 2), (1, 2)]))
    def toggle_link(self, pair):
        """Break or restore the link between two instances."""
        self.broken_links ^= {frozenset(NAMES[i] for i in pair)}

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_stop(self, name):
        """Pause or resume a process."""
        self.stopped ^= {name}

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def replace(self, name):
        """Kill a process and start another one under its name."""
        self.stopped.discard(name)
        self.in_progress[name] = 0
        self.views[name] = self.start(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_listed(self, name):
        """Remove an instance from the platform's list, or add it again."""
        if self.listed != {name}:
            self.listed ^= {name}
            self.version += 1

    @stateful.rule()
    def send(self):
        """Let each running instance send as much as it may by its view."""
        for name, view in self.views.items():
            share = budget.get_share(
                COLD_CONCURRENCY, view.get_cold_share(self.now)
            )
            while (
                name not in self.stopped
                and view.may_send_cold("engine", self.now)
                and self.in_progress[name] < share
            ):
                self.in_progress[name] += 1

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def finish(self, name):
        """End the requests of an instance."""
        self.in_progress[name] = 0

    @stateful.invariant()
    def stays_within_cold_concurrency(self):
        """Check that the cold-start concurrency is not exceeded."""
        assert sum(self.in_progress.values()) <= COLD_CONCURRENCY, (
            self.in_progress
        )


ColdBudgetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=40,
    database=None,
)


class ColdBudgetTest(ColdBudgetMachine.TestCase, testtools.TestCase):
    """Runs the state machine on fixed random sequences."""
