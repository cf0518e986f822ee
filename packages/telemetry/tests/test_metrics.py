"""Tests of waxwinglever_telemetry.metrics."""

import threading

import testtools

from waxwinglever_telemetry import metrics

# Arguments of observe_request, and the expected label values.
OBSERVED = (
    (("t", "s", "read", "ran"), ("t", "s", "read", "ran")),
    (("t", "s", "made-up", "ran"), ("t", "s", "other", "ran")),
    (("t", "s", "read", "odd"), ("t", "s", "read", "other")),
    (("t", "x", "read", "ran"), ("other", "other", "other", "ran")),
)


class MetricsTest(testtools.TestCase):
    """Guards against unbounded memory and invalid Prometheus text."""

    def setUp(self):
        super().setUp()
        self.metrics = metrics.Metrics()
        self.metrics.set_classes("t", "s", ("read",))

    def lines(self) -> list[str]:
        return self.metrics.render().decode().splitlines()

    def test_unknown_labels_count_as_other(self):
        for arguments, expected in OBSERVED:
            self.metrics.observe_request(*arguments, 0.003)
            tenant, service, request_class, outcome = expected
            labels = (
                f'class="{request_class}",outcome="{outcome}"'
                f',service="{service}",tenant="{tenant}"'
            )
            self.assertIn(
                f"{metrics.LATENCY}_count{{{labels}}} 1.0", self.lines()
            )

    def test_buckets_reach_from_1_ms_to_10_s(self):
        self.metrics.observe_request("t", "s", "read", "ran", 0.003)
        buckets = [x for x in self.lines() if "_bucket{" in x]
        self.assertIn('le="0.001"', buckets[0])
        self.assertTrue(buckets[0].endswith(" 0.0"))
        self.assertIn('le="10.0"', buckets[-2])
        self.assertTrue(buckets[-2].endswith(" 1.0"))

    def test_label_sets_are_bounded(self):
        for i in range(2 * metrics.MAX_LABEL_SETS):
            self.metrics.count("peers_total", {"peer": str(i)})
        lines = [x for x in self.lines() if x.startswith("waxwinglever_peers")]
        self.assertEqual(metrics.MAX_LABEL_SETS + 1, len(lines))
        self.assertIn('waxwinglever_peers_total{peer="other"} 256', lines)

    def test_label_values_are_escaped(self):
        self.metrics.set_gauge("up", 1, {"a": 'x"\n\\\ud800'})
        self.assertIn('waxwinglever_up{a="x\\"\\n\\\\?"} 1', self.lines())

    def test_a_name_cannot_be_used_for_two_kinds(self):
        self.metrics.set_gauge("up", 1)
        self.assertRaises(TypeError, self.metrics.count, "up")

    def test_concurrent_counts_are_not_lost(self):
        def count_events():
            for _ in range(500):
                self.metrics.count("events_total")

        threads = [threading.Thread(target=count_events) for _ in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertIn("waxwinglever_events_total 2000", self.lines())
