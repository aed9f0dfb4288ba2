"""Learning what requests take, on engines that no sheet tells of."""

import random

import testtools

from citronport.scheduler.direct import profiles

SERVICE = "engines"


def run_some(learnt, begin, read, number, seed=1):
    """Let an engine begin some requests.

    Args:
        learnt: the profiles that learn from it.
        begin: steps until a first event, beyond the prompt.
        read: steps for each prompt token.
        number: of requests.
        seed: for the lengths of the prompts and the noise.
    """
    draw = random.Random(seed)
    for _ in range(number):
        tokens = int(draw.lognormvariate(7.0, 1.2))
        steps = (begin + read * tokens) * draw.uniform(0.8, 1.2)
        learnt.record_first_event(SERVICE, tokens, steps)
        learnt.record_end(SERVICE, 400.0)


class ProfilesTest(testtools.TestCase):
    """Load: engines ten times off what the start takes them for."""

    def test_learns_an_engine_that_reads_slowly(self):
        """Fifty requests tell the reading to a fifth."""
        learnt = profiles.Profiles()
        run_some(learnt, begin=3.0, read=0.05, number=50)
        found = learnt.get(SERVICE)
        self.assertAlmostEqual(0.05, found.steps_per_token, delta=0.01)
        self.assertAlmostEqual(400.0, found.total_steps, delta=1.0)

    def test_learns_an_engine_that_reads_fast(self):
        """The same at a tenth of the time that the start has."""
        learnt = profiles.Profiles()
        run_some(learnt, begin=30.0, read=0.0005, number=50)
        found = learnt.get(SERVICE)
        self.assertLess(found.steps_per_token, 0.003)
        self.assertAlmostEqual(30.0, found.base_steps, delta=8.0)

    def test_a_pause_of_an_engine_is_no_habit(self):
        """One request in twenty takes a second for nothing of its own."""
        learnt = profiles.Profiles()
        run_some(learnt, begin=10.0, read=0.005, number=60)
        before = learnt.get(SERVICE)
        learnt.record_first_event(SERVICE, 100, 1000.0)
        after = learnt.get(SERVICE)
        first = before.base_steps + 5000 * before.steps_per_token
        second = after.base_steps + 5000 * after.steps_per_token
        self.assertAlmostEqual(first, second, delta=0.2 * first)

    def test_prompts_of_one_length_tell_no_slope(self):
        """The reading stays as it was believed; nothing is divided by 0."""
        learnt = profiles.Profiles()
        for _ in range(30):
            learnt.record_first_event(SERVICE, 500, 20.0)
        self.assertEqual(
            profiles.DEFAULT_PROFILE.steps_per_token,
            learnt.get(SERVICE).steps_per_token,
        )

    def test_a_new_instance_goes_by_what_others_tell(self):
        """Until it has seen enough of its own."""
        old, new = profiles.Profiles(), profiles.Profiles()
        self.assertEqual([], old.make_report_rows())
        run_some(old, begin=3.0, read=0.05, number=50)
        ((service, begin, read, stay),) = old.make_report_rows()
        new.set_remote(
            service,
            profiles.Profile(
                base_steps=begin, steps_per_token=read, total_steps=stay
            ),
        )
        self.assertEqual(old.get(SERVICE), new.get(SERVICE))
        run_some(new, begin=6.0, read=0.1, number=60, seed=2)
        self.assertAlmostEqual(
            0.1, new.get(SERVICE).steps_per_token, delta=0.02
        )
