"""Tests of learning durations on engines with unknown properties."""

import random

import testtools

from citronport.scheduler.direct import profiles

SERVICE = "engines"


def run_requests(learnt, base_steps, steps_per_token, number, seed=1):
    """Record simulated requests of an engine.

    Args:
        learnt: profiles that learn from them.
        base_steps: steps to the first event, without the prompt.
        steps_per_token: steps per prompt token.
        number: number of requests.
        seed: seed of the prompt lengths and the noise.
    """
    draw = random.Random(seed)
    for _ in range(number):
        tokens = int(draw.lognormvariate(7.0, 1.2))
        steps = (base_steps + steps_per_token * tokens) * draw.uniform(
            0.8, 1.2
        )
        learnt.record_first_event(SERVICE, tokens, steps)
        learnt.record_end(SERVICE, 400.0)


class ProfilesTest(testtools.TestCase):
    """Engines that differ from the default profile by a factor of ten."""

    def test_learns_an_engine_with_slow_prefill(self):
        """Fifty requests determine the prefill steps to within a fifth."""
        learnt = profiles.Profiles()
        run_requests(learnt, base_steps=3.0, steps_per_token=0.05, number=50)
        found = learnt.get(SERVICE)
        self.assertAlmostEqual(0.05, found.steps_per_token, delta=0.01)
        self.assertAlmostEqual(400.0, found.total_steps, delta=1.0)

    def test_learns_an_engine_with_fast_prefill(self):
        """The same at a tenth of the default steps per token."""
        learnt = profiles.Profiles()
        run_requests(
            learnt, base_steps=30.0, steps_per_token=0.0005, number=50
        )
        found = learnt.get(SERVICE)
        self.assertLess(found.steps_per_token, 0.003)
        self.assertAlmostEqual(30.0, found.base_steps, delta=8.0)

    def test_pause_of_an_engine_is_an_outlier(self):
        """Guards against pauses of the engine that distort the profile.

        One request in twenty takes a second that is not due to its prompt.
        """
        learnt = profiles.Profiles()
        run_requests(learnt, base_steps=10.0, steps_per_token=0.005, number=60)
        before = learnt.get(SERVICE)
        learnt.record_first_event(SERVICE, 100, 1000.0)
        after = learnt.get(SERVICE)
        first = before.base_steps + 5000 * before.steps_per_token
        second = after.base_steps + 5000 * after.steps_per_token
        self.assertAlmostEqual(first, second, delta=0.2 * first)

    def test_prompts_of_one_length_determine_no_slope(self):
        """The default slope is kept, without a division by zero."""
        learnt = profiles.Profiles()
        for _ in range(30):
            learnt.record_first_event(SERVICE, 500, 20.0)
        self.assertEqual(
            profiles.DEFAULT_PROFILE.steps_per_token,
            learnt.get(SERVICE).steps_per_token,
        )

    def test_new_instance_uses_the_profiles_of_others(self):
        """It uses them until it has enough samples of its own."""
        old, new = profiles.Profiles(), profiles.Profiles()
        self.assertEqual([], old.make_report_rows())
        run_requests(old, base_steps=3.0, steps_per_token=0.05, number=50)
        ((service, base_steps, steps_per_token, total_steps),) = (
            old.make_report_rows()
        )
        new.set_remote(
            service,
            profiles.Profile(
                base_steps=base_steps,
                steps_per_token=steps_per_token,
                total_steps=total_steps,
            ),
        )
        self.assertEqual(old.get(SERVICE), new.get(SERVICE))
        run_requests(
            new, base_steps=6.0, steps_per_token=0.1, number=60, seed=2
        )
        self.assertAlmostEqual(
            0.1, new.get(SERVICE).steps_per_token, delta=0.02
        )
