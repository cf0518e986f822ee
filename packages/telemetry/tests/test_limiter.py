"""Tests of waxwinglever_telemetry.limiter."""

import testtools

from waxwinglever_telemetry import limiter


class LimiterTest(testtools.TestCase):
    """Guards against a log volume that grows with the load."""

    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.limiter = limiter.Limiter(10.0, 20.0, now=lambda: self.now_s)

    def passed(self, count: int, important: bool) -> int:
        """Returns how many of some lines pass at once."""
        results = [limiter.admit(self.limiter, important) for _ in range(count)]
        return sum(1 for result in results if result is not None)

    def test_ordinary_lines_leave_room_for_important_ones(self):
        self.assertEqual(10, self.passed(100, False))
        self.assertEqual(10, self.passed(100, True))

    def test_rate(self):
        self.passed(100, True)
        self.now_s += 1.0
        self.assertEqual(10, self.passed(100, True))

    def test_suppressed_lines_are_counted(self):
        self.passed(23, True)
        self.now_s += 1.0
        self.assertEqual(3, limiter.admit(self.limiter, True))
