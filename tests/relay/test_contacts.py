"""Which instances may have acted unknown to the others."""

import gevent
import testtools

from citronport import clock
from citronport.relay import contacts
from citronport.relay import membership
from tests.relay import test_membership


class ContactsTest(testtools.TestCase):
    """An instance that knows two others."""

    def setUp(self):
        """Get reports of two others."""
        super().setUp()
        self.ticker = clock.ManualClock(1000.0)
        self.members = membership.Membership("own", "a")
        self.refused = set()
        self.severed = set()
        self.during_probe = lambda: None
        self.contacts = contacts.Contacts(
            self.members, self.ticker, self.probe
        )
        self.number = 0
        self.report("x", "y")

    def probe(self, address):
        """Return what a connection to an instance shows."""
        self.during_probe()
        if address in self.severed:
            return contacts.Probe.UNREACHABLE
        if address in self.refused:
            return contacts.Probe.REFUSED
        return contacts.Probe.ACCEPTED

    def report(self, *names, sent_at=None, **changes):
        """Get a report of each of some instances, sent now or earlier."""
        self.number += 1
        sent_at = self.ticker.now() if sent_at is None else sent_at
        for name in names:
            fields = {
                "up_seconds": sent_at,
                "peer_address": name,
                "revision": 5,
                **changes,
            }
            report = test_membership.make_report(name, self.number, **fields)
            self.members.apply_report(report, sent_at)
        self.contacts.update()

    def may_use_old_view(self):
        """Return whether one may have acted by what is long past."""
        return self.contacts.get_view_seconds() > contacts.RELEVANT_SECONDS

    def end(self, *names):
        """Let processes end; their machines refuse connections."""
        self.refused.update(names)

    def may_know_more(self, *answered, revision=5, current_at=1000.0):
        """Return whether one that has not answered may know more."""
        return self.contacts.may_know_more(set(answered), revision, current_at)

    def test_all_answer(self):
        """Nothing is hidden if all say what they know."""
        self.assertFalse(self.may_know_more("x", "y"))

    def test_silent_one_may_be_cut_off(self):
        """Guards against a silent instance taken for one that is gone."""
        self.ticker.advance(2.0)
        self.assertTrue(self.may_know_more("x"))
        self.ticker.advance(100.0)
        self.assertTrue(self.may_know_more("x"))

    def test_killed_one(self):
        """Guards against refusals as an instance has been killed."""
        self.ticker.advance(0.5)
        self.end("y")
        self.assertFalse(self.may_know_more("x"))
        self.ticker.advance(20.0)
        self.report("x")
        self.assertFalse(self.may_know_more("x"))

    def test_killed_while_out_of_contact(self):
        """Guards against an end that is found long after the last report."""
        self.ticker.advance(4.0)
        self.end("y")
        self.assertTrue(self.may_know_more("x"))

    def test_killed_before_the_store_was_read_last(self):
        """Guards against refusals for what was read since."""
        self.ticker.advance(4.0)
        self.end("y")
        self.assertTrue(self.may_know_more("x"))
        self.assertFalse(self.may_know_more("x", current_at=1004.5))

    def test_killed_while_cut_off(self):
        """Guards against a short cut in which an instance reads and ends."""
        self.severed.add("y")
        self.ticker.advance(1.5)
        self.report("x")
        gevent.sleep(0)
        self.end("y")
        self.severed.clear()
        self.ticker.advance(1.0)
        self.assertTrue(self.may_know_more("x"))
        self.ticker.advance(1.0)
        self.severed.clear()
        self.refused.clear()
        self.report("x", "y")
        self.end("y")
        self.assertFalse(self.may_know_more("x"))

    def test_cut_off_while_an_old_report_is_read(self):
        """Guards against a probe that counts for nothing.

        After a freeze, reports that lie in the socket are read while it runs.
        """
        self.severed.add("y")
        self.during_probe = lambda: self.report("y", sent_at=1000.3)
        self.ticker.advance(2.5)
        self.assertTrue(self.may_know_more("x"))
        self.severed.clear()
        self.end("y")
        self.ticker.advance(0.6)
        self.assertTrue(self.may_know_more("x"))

    def test_killed_one_that_had_read_more(self):
        """Guards against reports whose revision is not looked at."""
        self.report("y", revision=6)
        self.end("y")
        self.assertTrue(self.may_know_more("x"))
        self.assertFalse(self.may_know_more("x", revision=6))

    def test_started_again_after_a_silence(self):
        """Guards against what the process before had read unseen."""
        self.ticker.advance(10.0)
        self.report("y", up_seconds=1.0, incarnation="later")
        self.assertTrue(self.may_know_more("x", "y"))
        self.ticker.advance(contacts.RELEVANT_SECONDS)
        self.assertFalse(self.may_know_more("x", "y"))

    def test_others_in_reach_are_not_probed(self):
        """Guards against connections to instances that report."""
        probed = []
        found = contacts.Contacts(
            self.members, self.ticker, lambda name: probed.append(name)
        )
        found.update()
        self.ticker.advance(membership.FRESH_SECONDS)
        self.report("x")
        found.update()
        gevent.sleep(0)
        self.assertEqual([], probed)
        self.ticker.advance(0.1)
        found.update()
        gevent.sleep(0)
        self.assertEqual(["y"], probed)

    def test_many_silent_instances(self):
        """Guards against a socket for each instance that someone names."""
        names = [f"z{n}" for n in range(3 * contacts.MAX_PROBES)]
        running = peak = 0

        def probe_slowly(address):
            nonlocal running, peak
            running += 1
            peak = max(peak, running)
            gevent.sleep(0.01)
            running -= 1
            return contacts.Probe.REFUSED

        self.contacts = contacts.Contacts(
            self.members, self.ticker, probe_slowly
        )
        self.report(*names)
        self.ticker.advance(20.0)
        # Lets the event loop read the time, from which timeouts count.
        gevent.sleep(0)
        self.assertTrue(self.may_know_more("x", "y"))
        gevent.sleep(contacts.PROBE_SECONDS)
        self.assertLessEqual(peak, contacts.MAX_PROBES)
        self.assertEqual(0, running)

    def test_out_of_contact(self):
        """Guards against others that do not learn who may know more."""
        self.assertEqual([], self.contacts.list_out_of_contact(5, 0.0))
        self.report("z", incarnation="z1")
        self.ticker.advance(4.0)
        self.report("x", "y")
        self.assertEqual(["z1"], self.contacts.list_out_of_contact(5, 1000.0))
        self.assertTrue(self.contacts.knows({"z1"}))
        self.assertFalse(self.contacts.knows({"z1", "other"}))
        self.report("z", incarnation="z1")
        self.assertEqual([], self.contacts.list_out_of_contact(5, 1000.0))

    def test_old_view(self):
        """Guards against a view that is older than what is remembered."""
        self.ticker.advance(contacts.RELEVANT_SECONDS)
        self.assertFalse(self.may_use_old_view())
        self.ticker.advance(0.1)
        self.assertTrue(self.may_use_old_view())

    def test_return_after_a_long_silence(self):
        """Guards against streams begun by an old view just before it."""
        self.ticker.advance(contacts.RELEVANT_SECONDS + 0.1)
        self.report("x", "y")
        self.assertTrue(self.may_use_old_view())
        for _ in range(round(contacts.RELEVANT_SECONDS)):
            self.ticker.advance(1.0)
            self.report("x", "y")
        self.assertTrue(self.may_use_old_view())
        self.ticker.advance(0.1)
        self.assertFalse(self.may_use_old_view())

    def test_killed_after_it_was_out_of_contact(self):
        """Guards against a short cut before the end of an instance."""
        for _ in range(6):
            self.ticker.advance(0.25)
            self.report("x")
        self.may_know_more("x")
        self.end("y")
        self.ticker.advance(1.0)
        self.report("x")
        self.assertTrue(self.may_know_more("x"))
