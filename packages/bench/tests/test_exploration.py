"""Tests of waxwinglever_bench.exploration."""

import testtools

from waxwinglever_bench import exploration

# Seeds that include runs in which each mutation makes leases overlap.
DETECTING_SEEDS = {
    "no-majority-bound": range(19, 32),
    "no-takeover-wait": range(0, 5),
    "no-lease-wait": range(198, 212),
    "unknown-write-forgotten": range(315, 319),
}


class ExplorationTest(testtools.TestCase):
    """Guards against unsafe rules and a simulation that doesn't detect them."""

    def test_no_leases_overlap_and_all_slices_are_leased_again(self):
        results = [exploration.explore(seed) for seed in range(18)]
        for result in results:
            self.assertIsNone(result.overlap, result)
            self.assertEqual(0, result.unserved, result)
        # Runs without elections, assignments and requests would prove nothing.
        self.assertTrue(max(result.term for result in results) > 3)
        self.assertTrue(max(result.epochs for result in results) > 10)
        self.assertTrue(sum(result.dispatched for result in results) > 100)

    def test_no_leases_overlap_in_the_seeds_that_detect_mutations(self):
        for seeds in DETECTING_SEEDS.values():
            for seed in seeds[-4:]:
                self.assertIsNone(exploration.explore(seed).overlap, seed)

    def test_each_mutation_is_detected(self):
        self.assertEqual(set(exploration.MUTATIONS), set(DETECTING_SEEDS))
        for name, seeds in DETECTING_SEEDS.items():
            with exploration.mutated(name):
                self.assertTrue(
                    any(exploration.explore(seed).overlap for seed in seeds),
                    name,
                )
