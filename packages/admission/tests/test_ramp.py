"""Tests of waxwinglever_admission.ramp."""

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_admission import ramp


class RampTest(testtools.TestCase):
    """Guards against more load than a cold backend server can handle."""

    def test_the_limit_at_given_times(self):
        times = (99.0, 100.0, 101.24, 101.25, 105.0, 109.99, 110.0, 999.0)
        limits = [ramp.limit_at(t, 100.0, 2, 10, 10.0) for t in times]
        self.assertEqual([2, 2, 2, 3, 6, 9, 10, 10], limits)

    @hypothesis.given(
        strategies.floats(0, 1e6),
        strategies.integers(1, 50),
        strategies.integers(0, 50),
        strategies.floats(0.001, 600),
    )
    def test_the_limit_rises_exactly_at_the_next_step(
        self, start_s, initial, steps, seconds
    ):
        slots = initial + steps
        now_s, seen = start_s, initial
        while True:
            limit = ramp.limit_at(now_s, start_s, initial, slots, seconds)
            self.assertTrue(seen <= limit <= slots)
            step_s = ramp.next_step_s(now_s, start_s, initial, slots, seconds)
            if step_s is None:
                break
            self.assertTrue(step_s > now_s)
            now_s, seen = step_s, limit + 1
        self.assertEqual(slots, limit)
