"""Tests of waxwinglever_routing.balancer."""

import collections
import heapq
import random

import testtools

from waxwinglever_routing import balancer

NODES = tuple(f"n{i}" for i in range(6))


class Simulation:
    """Simulated requests to nodes with given mean service times."""

    def __init__(self, service_s, seed=1):
        self.now_s = 1000.0
        self.service_s = service_s
        self.rng = random.Random(f"traffic/{seed}")
        self.balancer = balancer.Balancer(
            random.Random(seed), now=lambda: self.now_s
        )
        self.running = []

    def run(self, seconds, rate, nodes, failing=()):
        """Returns the number of requests that each node got."""
        counts = collections.Counter()
        end_s = self.now_s + seconds
        while True:
            next_s = self.now_s + self.rng.expovariate(rate)
            while self.running and self.running[0][0] <= next_s:
                self.now_s, name, took_s, ok = heapq.heappop(self.running)
                balancer.request_ended(self.balancer, name, took_s, ok)
            self.now_s = next_s
            if next_s >= end_s:
                return counts
            name = balancer.choose(self.balancer, nodes)
            counts[name] += 1
            balancer.request_started(self.balancer, name)
            took_s = self.rng.expovariate(1 / self.service_s[name])
            ok = name not in failing
            heapq.heappush(self.running, (next_s + took_s, name, took_s, ok))


def equal_service_times(**changes):
    return {**dict.fromkeys(NODES, 0.01), **changes}


class BalancerSimulationTest(testtools.TestCase):
    """Guards against a full share of load for slow, failing or new nodes."""

    def test_equal_nodes_get_equal_shares(self):
        counts = Simulation(equal_service_times()).run(60, 300, NODES)
        fair = sum(counts.values()) / len(NODES)
        for name in NODES:
            self.assertTrue(0.75 < counts[name] / fair < 1.25, counts)

    def test_a_straggler_gets_a_clearly_smaller_share(self):
        for seed in range(3):
            simulation = Simulation(equal_service_times(n0=0.05), seed)
            simulation.run(10, 300, NODES)
            counts = simulation.run(30, 300, NODES)
            fair = sum(counts.values()) / len(NODES)
            self.assertTrue(counts["n0"] < 0.5 * fair, counts)
            self.assertTrue(counts["n0"] > 0, counts)

    def test_a_straggler_that_recovers_gets_its_share_again(self):
        simulation = Simulation(equal_service_times(n0=0.05))
        simulation.run(30, 300, NODES)
        simulation.service_s["n0"] = 0.01
        simulation.run(30, 300, NODES)
        counts = simulation.run(30, 300, NODES)
        fair = sum(counts.values()) / len(NODES)
        self.assertTrue(counts["n0"] > 0.7 * fair, counts)

    def test_a_failing_node_is_avoided_and_comes_back(self):
        simulation = Simulation(equal_service_times())
        simulation.run(10, 300, NODES)
        failing = simulation.run(30, 300, NODES, failing=("n0",))
        fair = sum(failing.values()) / len(NODES)
        self.assertTrue(0 < failing["n0"] < 0.05 * fair, failing)
        simulation.run(15, 300, NODES)
        counts = simulation.run(20, 300, NODES)
        fair = sum(counts.values()) / len(NODES)
        self.assertTrue(counts["n0"] > 0.7 * fair, counts)

    def test_new_and_returning_nodes_ramp_up(self):
        simulation = Simulation(equal_service_times())
        simulation.run(10, 300, NODES[1:])
        for absence_s in (0, 2 * balancer.ABSENCE_S):
            simulation.run(absence_s, 300, NODES[1:])
            first = simulation.run(1, 300, NODES)
            simulation.run(10, 300, NODES)
            later = simulation.run(10, 300, NODES)
            fair = sum(first.values()) / len(NODES)
            self.assertTrue(first["n0"] < 0.5 * fair, first)
            fair = sum(later.values()) / len(NODES)
            self.assertTrue(later["n0"] > 0.7 * fair, later)


class BalancerTest(testtools.TestCase):
    """Guards against wrong choices in single situations."""

    def setUp(self):
        super().setUp()
        self.now_s = 10.0
        self.state = balancer.Balancer(random.Random(1), now=lambda: self.now_s)

    def test_excluded_nodes_are_never_chosen(self):
        for nodes, exclude, expected in (
            ((), (), None),
            (("a",), ("a",), None),
            (("a", "b"), ("a",), "b"),
            (tuple("abcdefghijkl"), tuple("abcdefghijk"), "l"),
        ):
            self.assertEqual(
                expected, balancer.choose(self.state, nodes, exclude)
            )

    def test_backoff_grows_to_its_maximum_and_ends(self):
        backoffs = []
        for _ in range(7):
            balancer.request_started(self.state, "a")
            balancer.request_ended(self.state, "a", 0.01, False)
            backoffs.append(self.state.views["a"].avoid_until_s - self.now_s)
            self.assertEqual("b", balancer.choose(self.state, ("a", "b")))
            self.assertEqual("a", balancer.choose(self.state, ("a",)))
            self.now_s += backoffs[-1]
        self.assertEqual(sorted(backoffs), backoffs)
        self.assertAlmostEqual(balancer.BACKOFF_FIRST_S, backoffs[0])
        self.assertAlmostEqual(balancer.BACKOFF_MAX_S, backoffs[-1])

    def test_burst_of_failures_counts_once(self):
        for _ in range(20):
            balancer.request_started(self.state, "a")
        for _ in range(20):
            balancer.request_ended(self.state, "a", 0.01, False)
        self.assertEqual(1, self.state.views["a"].failures)
        self.assertEqual(0, self.state.views["a"].in_flight)

    def test_idle_views_are_bounded(self):
        balancer.request_started(self.state, "busy")
        for i in range(2 * balancer.MAX_NODES):
            balancer.choose(self.state, (f"n{i}",))
        self.assertEqual(balancer.MAX_NODES, len(self.state.views))
        self.assertIn("busy", self.state.views)


class HedgeDelayTest(testtools.TestCase):
    """Guards against hedges that come too late to help, or too often."""

    def test_hedge_delay_is_near_the_quantile(self):
        rng = random.Random(5)
        state = balancer.Balancer(rng=rng, now=lambda: 0.0)
        for low in (0.1, 0.01):
            for _ in range(3000):
                balancer.request_started(state, "a")
                balancer.request_ended(
                    state, "a", rng.uniform(low, 2 * low), True
                )
            delay = balancer.hedge_delay_s(state)
            self.assertTrue(1.6 * low < delay < 2.6 * low, delay)


class SameZoneTest(testtools.TestCase):
    """Guards against needless traffic between zones and slow near nodes."""

    def choose(self, near_s, best_s, tolerance):
        """Returns the choice between nodes of the same and another zone."""
        state = balancer.Balancer(random.Random(1), now=lambda: 1000.0)
        for name, seconds in (("near", near_s), ("far", best_s)):
            view = balancer.refresh_view(state, name, 0.0)
            view.latency_s = seconds
            view.sampled_s = view.considered_s = 1000.0
        return balancer.choose_preferring_zone(
            state, ["near", "far"], ["near"], (), tolerance
        )

    def test_same_zone_is_preferred_within_the_tolerance(self):
        cases = ((0.1, 0.1, 1.2, "near"), (0.15, 0.1, 2.0, "near"))
        cases += ((0.15, 0.1, 1.2, "far"), (0.3, 0.1, 2.0, "far"))
        for near_s, best_s, tolerance, expected in cases:
            self.assertEqual(expected, self.choose(near_s, best_s, tolerance))

    def test_failed_node_of_the_same_zone_is_avoided(self):
        state = balancer.Balancer(random.Random(1), now=lambda: 1000.0)
        balancer.request_started(state, "near")
        balancer.request_ended(state, "near", 0.1, False)
        for _ in range(20):
            found = balancer.choose_preferring_zone(
                state, ["near", "far"], ["near"], (), 9.0
            )
            self.assertEqual("far", found)

    def test_excluded_node_of_the_same_zone_is_not_chosen(self):
        state = balancer.Balancer(random.Random(1), now=lambda: 1000.0)
        found = balancer.choose_preferring_zone(
            state, ["near", "far"], ["near"], ["near"], 9.0
        )
        self.assertEqual("far", found)
