"""Who owns endpoints, as many instances name it without agreement."""

import testtools

from citronport.scheduler.direct import ownership

POOL = ownership.Pool(service="engines", number=0)


def make_candidates(count, capacity=1.0, name="i"):
    """Return candidates of one capacity."""
    return tuple(
        ownership.Candidate(instance=f"{name}{n}", capacity=capacity)
        for n in range(count)
    )


class OwnershipTest(testtools.TestCase):
    """The ranking that all instances share."""

    def test_all_name_the_same_in_any_order(self):
        """Instances list the others in different orders."""
        candidates = make_candidates(60)
        named = {
            ownership.choose_owner(POOL, candidates),
            ownership.choose_owner(POOL, candidates[::-1]),
        }
        self.assertEqual(1, len(named))

    def test_one_that_goes_moves_only_what_it_owned(self):
        """Load: instances that are replaced all day.

        A pool whose owner stays keeps it, so that its view of the loads
        is not lost with each instance that goes.
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

    def test_small_machines_own_nothing_beside_large_ones(self):
        """Load: machines of unlike size; a small one is kept busy."""
        candidates = (
            *make_candidates(50, 0.5),
            *make_candidates(10, 2.1, "large"),
        )
        owner = ownership.choose_owner(POOL, candidates)
        self.assertTrue(owner.startswith("large"))

    def test_nobody_is_there(self):
        """An instance that hears nobody and is not ready itself."""
        self.assertIsNone(ownership.choose_owner(POOL, ()))

    def test_pools_grow_with_the_endpoints(self):
        """Some thousand endpoints fall to many owners, about evenly."""
        self.assertEqual(1, ownership.count_pools(0))
        self.assertEqual(1, ownership.count_pools(45))
        pools = ownership.count_pools(5100)
        self.assertEqual(80, pools)
        counts = [0] * pools
        for number in range(5100):
            pool = ownership.find_pool("s", f"e{number}", pools)
            counts[pool.number] += 1
        self.assertLess(max(counts), 2 * ownership.POOL_ENDPOINTS)
