"""Tests of waxwinglever_bench.placement_trace."""

import attrs
import testtools

from waxwinglever_bench import placement_trace

SMALL = placement_trace.TraceParameters(
    rounds=30, nodes_per_zone=3, slices=64, keys=500, hot_rounds=6
)


def without_call_times(result):
    return [attrs.evolve(item, call_ms=0) for item in result.policies]


class PlacementTraceTest(testtools.TestCase):
    """Guards against irreproducible results and uneven planned placement."""

    def test_the_same_seed_gives_the_same_metrics(self):
        first = placement_trace.run_trace(SMALL)
        second = placement_trace.run_trace(SMALL)
        self.assertEqual(without_call_times(first), without_call_times(second))

    def test_planned_placement_has_the_lowest_imbalance(self):
        result = placement_trace.run_trace(SMALL)
        metrics = {item.name: item for item in result.policies}
        planned = metrics["plan_moves"]
        for name in ("rendezvous", "orphans-only"):
            self.assertTrue(
                planned.imbalance_mean < metrics[name].imbalance_mean
            )
        self.assertEqual(0, metrics["orphans-only"].moved_while_stable)

    def test_a_zone_leaves_and_returns(self):
        weights = [
            sum(node.weight for node in nodes)
            for nodes in placement_trace.nodes_by_round(SMALL)
        ]
        self.assertTrue(max(weights[10:15]) <= 6)
        self.assertTrue(weights[15] >= 8)
