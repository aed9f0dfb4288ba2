"""Tests of who may send to an endpoint."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import testtools

from citronport.scheduler import budget
from citronport.scheduler import models
from citronport.scheduler import ownership

NAMES = ("entry-1", "entry-2", "entry-3")
BEARS = 3


def make_members(names):
    """Return members of one data centre."""
    return {
        name: ownership.Member(name=name, data_centre="dc-1") for name in names
    }


class OwnershipTest(testtools.TestCase):
    """One owner at a time, and a wait between two."""

    def setUp(self):
        """Make the first of three instances."""
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
        """An earlier owner's lease and work must be over first."""
        self.confirm(7.0)
        self.owners.record_idle("engine", 3.5)
        self.assertFalse(self.owners.may_send_cold("engine", 7.0))
        self.owners.record_idle("engine", 3.7)
        self.assertTrue(self.owners.may_send_cold("engine", 7.0))

    def test_release_ends_the_wait(self):
        """The earlier owner says that it has nothing more there."""
        self.confirm(1.0)
        self.owners.record_release("engine")
        self.assertTrue(self.owners.may_send_cold("engine", 1.0))

    def test_lease_runs_out_in_a_stopped_process(self):
        """No send to a cold start after a pause longer than the lease.

        The process is stopped after it decided and wakes seconds later.
        A new owner may feed the cold start by then; without the check the
        endpoint would get both and fall over.
        """
        self.confirm(1.0)
        self.owners.record_release("engine")
        self.assertFalse(self.owners.may_send_cold("engine", 4.1))

    def test_announced_leave_gives_no_right_to_a_cold_start(self):
        """Only the list does; an announcement may reach some only."""
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
        """All peers must stand behind the list by which this one owns.

        A peer that answers by a newer list may know of another owner; one
        that answered before the list changed has not seen the change.
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

    def test_own_leave_does_not_end_another_one(self):
        """Each instance speaks for itself only.

        Another one said that it leaves; then this one leaves and is back.
        Taken as one set, the second word ended the first, and work was
        forwarded to an instance that refuses it.
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

    def test_halves_without_one_authority(self):
        """Each authority alone gives its half."""
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
    """A cold endpoint, three instances, and everything that can go wrong.

    Instances are cut off from the platform and from each other, stopped
    and woken, replaced, taken off the list and put back. Whatever the
    order, the endpoint never holds more than it bears.
    """

    def __init__(self):
        """Start with a list of all three."""
        super().__init__()
        self.now = 0.0
        self.version = 1
        self.listed = set(NAMES)
        self.reading = set(NAMES)
        self.cut = set()
        self.stopped = set()
        self.at_endpoint = dict.fromkeys(NAMES, 0)
        self.versions = dict.fromkeys(NAMES, 0)
        self.views = {name: self.start(name) for name in NAMES}

    def start(self, name):
        """Start one process."""
        view = ownership.Ownership(name, self.now)
        view.update_endpoints({"engine": "dc-1"}, self.now)
        self.versions[name] = 0
        return view

    def see_list(self, name, version, names):
        """Give one instance a list, if it is newer."""
        if version > self.versions[name]:
            self.versions[name] = version
            self.views[name].update_members(
                make_members(names), version, self.now
            )
            self.lists = {**getattr(self, "lists", {}), version: names}

    def exchange(self):
        """Let everybody who can ask the platform and each other."""
        awake = [name for name in NAMES if name not in self.stopped]
        for name in awake:
            if name in self.reading:
                self.see_list(name, self.version, set(self.listed))
                self.views[name].record_platform_confirmation(self.now)
        for _ in NAMES:
            for asking in awake:
                for answering in awake:
                    self.ask(asking, answering)
        if not any(self.at_endpoint.values()):
            for name in awake:
                self.views[name].record_idle("engine", self.now)

    def ask(self, asking, answering):
        """Let one instance hear of another."""
        if asking == answering or frozenset({asking, answering}) in self.cut:
            return
        version = self.versions[answering]
        if version > self.versions[asking]:
            self.see_list(asking, version, self.lists[version])
        self.views[asking].record_contact(answering, self.now, version)

    @stateful.rule(seconds=strategies.sampled_from([1.0, 4.0, 7.0]))
    def pass_time(self, seconds):
        """Let time pass, with exchanges as often as they come."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.5
            self.exchange()

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_platform(self, name):
        """Cut an instance off from the platform, or heal it."""
        self.reading ^= {name}

    @stateful.rule(pair=strategies.sampled_from([(0, 1), (0, 2), (1, 2)]))
    def toggle_link(self, pair):
        """Cut the link of two instances, or heal it."""
        self.cut ^= {frozenset(NAMES[i] for i in pair)}

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_stop(self, name):
        """Stop a process, or wake it."""
        self.stopped ^= {name}

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def replace(self, name):
        """Kill a process and start another under its name."""
        self.stopped.discard(name)
        self.at_endpoint[name] = 0
        self.views[name] = self.start(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def toggle_listed(self, name):
        """Take an instance off the platform's list, or put it back."""
        if self.listed != {name}:
            self.listed ^= {name}
            self.version += 1

    @stateful.rule()
    def send(self):
        """Let all that run send as much as they believe they may."""
        for name, view in self.views.items():
            share = budget.get_share(BEARS, view.get_cold_share(self.now))
            while (
                name not in self.stopped
                and view.may_send_cold("engine", self.now)
                and self.at_endpoint[name] < share
            ):
                self.at_endpoint[name] += 1

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def finish(self, name):
        """End the requests of an instance."""
        self.at_endpoint[name] = 0

    @stateful.invariant()
    def bears_it(self):
        """The endpoint never holds more than it bears."""
        assert sum(self.at_endpoint.values()) <= BEARS, self.at_endpoint


ColdBudgetMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=80,
    stateful_step_count=40,
    database=None,
)


class ColdBudgetTest(ColdBudgetMachine.TestCase, testtools.TestCase):
    """Runs the machine over fixed random orders."""
