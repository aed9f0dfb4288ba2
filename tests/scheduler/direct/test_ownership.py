"""Tests of choosing the owners of endpoints without coordination."""

import testtools

from citronport.scheduler.direct import ownership

POOL = ownership.Pool(service="engines", number=0)


def make_candidates(count, capacity=1.0, name="i"):
    """Return candidates of equal capacity."""
    return tuple(
        ownership.Candidate(instance=f"{name}{n}", capacity=capacity)
        for n in range(count)
    )


class OwnershipTest(testtools.TestCase):
    """The choice of an owner, which is the same on all instances."""

    def test_choice_does_not_depend_on_the_order(self):
        """Instances list each other in different orders."""
        candidates = make_candidates(60)
        named = {
            ownership.choose_owner(POOL, candidates),
            ownership.choose_owner(POOL, candidates[::-1]),
        }
        self.assertEqual(1, len(named))

    def test_removed_instance_moves_only_its_own_pools(self):
        """Guards against pools that lose their owner's view of the loads.

        Instances are replaced all day. A pool keeps its owner as long as
        that instance remains.
        """
        candidates = make_candidates(60)
        pools = [ownership.Pool(service="s", number=n) for n in range(40)]
        before = {p: ownership.choose_owner(p, candidates) for p in pools}
        gone = before[pools[0]]
        rest = tuple(c for c in candidates if c.instance != gone)
        for pool in pools:
            owner = ownership.choose_owner(pool, rest)
            if before[pool] != gone:
                self.assertEqual(before[pool], owner)
        self.assertNotEqual(gone, ownership.choose_owner(pools[0], rest))

    def test_small_instances_own_nothing_beside_large_ones(self):
        """Small instances are busy with their own callers."""
        candidates = (
            *make_candidates(50, 0.5),
            *make_candidates(10, 2.1, "large"),
        )
        owner = ownership.choose_owner(POOL, candidates)
        self.assertTrue(owner.startswith("large"))

    def test_no_candidates(self):
        """An instance without peers that is not ready itself has no owner."""
        self.assertIsNone(ownership.choose_owner(POOL, ()))

    def test_number_of_pools_grows_with_the_endpoints(self):
        """Thousands of endpoints are spread evenly over many owners."""
        self.assertEqual(1, ownership.count_pools(0))
        self.assertEqual(1, ownership.count_pools(45))
        pools = ownership.count_pools(5100)
        self.assertEqual(80, pools)
        counts = [0] * pools
        for number in range(5100):
            pool = ownership.find_pool("s", f"e{number}", pools)
            counts[pool.number] += 1
        self.assertLess(max(counts), 2 * ownership.POOL_ENDPOINTS)
