"""Tests of waxwinglever_admission.rate_limits."""

import math

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_admission import rate_limits

# The platform allows this much in any WINDOW_S.
ALLOWED_SHARE = 1.5
ALLOWED_MORE = 5
WINDOW_S = 4.0


class RateLimitTest(testtools.TestCase):
    """Guards against servers that get more requests than they take."""

    def start_all(self, rate_limit, seconds, begin_s=0.0, rate=None):
        """Returns the start times under constant demand."""
        times_s = []
        now_s = begin_s
        while now_s < begin_s + seconds:
            if rate is not None:
                rate_limits.set_rate(rate_limit, rate(now_s), now_s)
            if rate_limits.next_start_s(rate_limit, now_s) <= now_s:
                rate_limits.take(rate_limit, now_s)
                times_s.append(now_s)
            else:
                now_s += 0.01
        return times_s

    @hypothesis.given(
        rate=strategies.floats(0.0, 500.0),
        idle_s=strategies.floats(0.0, 60.0),
    )
    def test_no_window_has_more_than_the_limit(self, rate, idle_s):
        rate_limit = rate_limits.RateLimit()
        rate_limits.set_rate(rate_limit, rate, 0.0)
        times_s = self.start_all(rate_limit, 2 * WINDOW_S, idle_s)
        allowed = ALLOWED_SHARE * rate * WINDOW_S + ALLOWED_MORE
        for begin_s in times_s:
            count = sum(
                begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s
            )
            self.assertLessEqual(count, allowed)

    def test_a_limit_that_changes_in_each_answer_holds(self):
        rate_limit = rate_limits.RateLimit()
        times_s = self.start_all(
            rate_limit,
            WINDOW_S,
            rate=lambda now_s: 10 + 5 * math.sin(50 * now_s),
        )
        self.assertLessEqual(len(times_s), ALLOWED_SHARE * 10 * WINDOW_S)
        self.assertGreater(len(times_s), 8 * WINDOW_S)

    def test_a_limit_of_zero_lets_a_few_requests_hear_of_its_end(self):
        rate_limit = rate_limits.RateLimit()
        rate_limits.set_rate(rate_limit, 0.0, 0.0)
        self.assertEqual(2, len(self.start_all(rate_limit, WINDOW_S + 0.1)))

    def test_without_a_limit_every_request_starts_at_once(self):
        rate_limit = rate_limits.RateLimit()
        self.assertEqual(5.0, rate_limits.next_start_s(rate_limit, 5.0, 99))
        rate_limits.set_rate(rate_limit, 1.0, 5.0)
        self.assertEqual(7.0, rate_limits.next_start_s(rate_limit, 5.0, 1))
        rate_limits.set_rate(rate_limit, None, 5.0)
        self.assertEqual(5.0, rate_limits.next_start_s(rate_limit, 5.0, 99))

    def test_refused_callers_return_one_after_the_other(self):
        # All would come back at one moment and be refused again.
        rate_limit = rate_limits.RateLimit()
        rate_limits.set_rate(rate_limit, 10.0, 0.0)
        delays_s = [
            round(rate_limits.return_delay_s(rate_limit, 0.0, 2), 3)
            for _ in range(4)
        ]
        self.assertEqual([0.3, 0.4, 0.5, 0.6], delays_s)
        for _ in range(100):
            delay_s = rate_limits.return_delay_s(rate_limit, 0.0, 2)
        self.assertEqual(rate_limits.MAX_RETURN_S, delay_s)

    def test_waiting_requests_are_bounded_by_time(self):
        rate_limit = rate_limits.RateLimit()
        self.assertEqual(12, rate_limits.max_waiting(rate_limit, 12))
        for rate, waiting in ((0.0, 1), (20.0, 5), (1e9, 12)):
            rate_limits.set_rate(rate_limit, rate, 0.0)
            self.assertEqual(waiting, rate_limits.max_waiting(rate_limit, 12))

    def test_time_of_the_next_start_does_not_shift_while_it_is_awaited(self):
        # Each shift would wake the thread that waits for it.
        rate_limit = rate_limits.RateLimit()
        rate_limits.set_rate(rate_limit, 0.7, 0.0)
        times_s = {
            rate_limits.next_start_s(rate_limit, number / 97)
            for number in range(100)
        }
        self.assertEqual(1, len(times_s))
        (start_s,) = times_s
        self.assertEqual(start_s, rate_limits.next_start_s(rate_limit, start_s))
