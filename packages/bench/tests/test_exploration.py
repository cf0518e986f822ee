"""Tests of waxwinglever_bench.exploration."""

import testtools

from waxwinglever_bench import exploration

# Seeds in which each planted fault makes two owners overlap.
FOUND_IN = {
    "no-majority-bound": range(19, 32),
    "no-takeover-wait": range(0, 5),
    "no-lease-wait": range(198, 212),
    "unknown-write-forgotten": range(315, 319),
}


class ExplorationTest(testtools.TestCase):
    """Guards against rules that fail, and an explorer that misses it."""

    def test_the_rules_hold_and_slices_are_served_again(self):
        results = [exploration.explore(seed) for seed in range(18)]
        for result in results:
            self.assertIsNone(result.overlap, result)
            self.assertEqual(0, result.unserved, result)
        # Without elections, assignments and requests the runs show nothing.
        self.assertTrue(max(result.term for result in results) > 3)
        self.assertTrue(max(result.epochs for result in results) > 10)
        self.assertTrue(sum(result.dispatched for result in results) > 100)

    def test_the_rules_hold_where_planted_faults_are_found(self):
        for seeds in FOUND_IN.values():
            for seed in seeds[-4:]:
                self.assertIsNone(exploration.explore(seed).overlap, seed)

    def test_each_planted_fault_is_found(self):
        self.assertEqual(set(exploration.PLANTED), set(FOUND_IN))
        for name, seeds in FOUND_IN.items():
            with exploration.planted(name):
                self.assertTrue(
                    any(exploration.explore(seed).overlap for seed in seeds),
                    name,
                )
