"""Tests of waxwinglever_telemetry.rate_limiter."""

import testtools

from waxwinglever_telemetry import rate_limiter


class RateLimiterTest(testtools.TestCase):
    """Guards against a log volume that grows with the request rate."""

    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.rate_limiter = rate_limiter.RateLimiter(
            10.0, 20.0, now=lambda: self.now_s
        )

    def admitted(self, count: int, is_important: bool) -> int:
        """Returns how many of `count` lines are admitted without a pause."""
        results = [
            rate_limiter.admit(self.rate_limiter, is_important)
            for _ in range(count)
        ]
        return sum(1 for result in results if result is not None)

    def test_half_of_the_burst_is_reserved_for_important_lines(self):
        self.assertEqual(10, self.admitted(100, False))
        self.assertEqual(10, self.admitted(100, True))

    def test_tokens_are_added_at_the_configured_rate(self):
        self.admitted(100, True)
        self.now_s += 1.0
        self.assertEqual(10, self.admitted(100, True))

    def test_suppressed_lines_are_counted(self):
        self.admitted(23, True)
        self.now_s += 1.0
        self.assertEqual(3, rate_limiter.admit(self.rate_limiter, True))
