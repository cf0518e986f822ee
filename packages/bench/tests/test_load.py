"""Tests of waxwinglever_bench.load."""

import random

import testtools
from waxwinglever_bench import callers
from waxwinglever_bench import load


def make_plan(**changed) -> load.Plan:
    """Returns a plan for one second of load."""
    values = {
        "addresses": ("127.0.0.1:1", "127.0.0.2:1"),
        "tenant": "t",
        "service": "s",
        "rate_per_s": 1000.0,
        "seconds": 1.0,
    }
    return load.Plan(**{**values, **changed})


def sample(at_s: float, latency_s: float, kind: str = load.CORRECT):
    """Returns a sample of a request that was sent on time."""
    return load.RequestSample(at_s, 0.0, latency_s, kind)


class ScheduleTest(testtools.TestCase):
    """The same seed must give the same load, at the planned rate."""

    def test_same_seed_same_times(self):
        plan = make_plan()
        first = load.send_times(plan, random.Random("1/0"), 2)
        again = load.send_times(plan, random.Random("1/0"), 2)
        self.assertEqual(first, again)

    def test_processes_share_the_rate(self):
        plan = make_plan(seconds=20.0)
        times = load.send_times(plan, random.Random(1), 4)
        self.assertTrue(4500 < len(times) < 5500, len(times))
        self.assertTrue(times == sorted(times) and times[-1] < 20.0)

    def test_requests_are_distinct(self):
        # Otherwise a response to another request would count as correct.
        plan = make_plan(safe_share=0.0, keys=10)
        rng = random.Random(1)
        requests = [load.make_request(plan, rng, f"1-0-{n}") for n in range(50)]
        self.assertEqual(50, len({(each.path, each.body) for each in requests}))
        self.assertTrue(all(request.key for request in requests))


class SummaryTest(testtools.TestCase):
    """Only correct responses may give latencies; all errors must count."""

    def test_failures_have_no_latency(self):
        # Fast refusals must not improve the percentiles.
        samples = [sample(0.1, 0.02)] * 9 + [sample(0.1, 0.0001, "overloaded")]
        summary = load.summarize(samples)
        self.assertEqual(1, summary.errors)
        self.assertEqual({load.CORRECT: 9, "overloaded": 1}, summary.kinds)
        self.assertTrue(19.9 < summary.p50_ms < 20.1, summary.p50_ms)

    def test_worst_window_is_found(self):
        # One slow second of a long run does not show in the total p99.
        samples = [sample(n / 100, 0.01) for n in range(10_000)]
        samples += [sample(50 + n / 100, 0.5) for n in range(60)]
        summary = load.summarize(samples)
        self.assertTrue(summary.p99_ms < 11)
        self.assertTrue(499 < summary.worst_10s_p99_ms < 501)

    def test_no_samples(self):
        self.assertEqual(0, load.summarize([]).worst_10s_p99_ms)

    def test_incorrect_response_is_not_a_refusal(self):
        response = callers.Response(200, "ran", is_correct=False)
        self.assertEqual(load.INCORRECT, load.classify(response))
        self.assertEqual(
            load.NO_RESPONSE, load.classify(callers.Response(0, "none"))
        )
        refusal = callers.Response(503, "not-run", "draining")
        self.assertEqual("draining", load.classify(refusal))
