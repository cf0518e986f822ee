"""Tests of waxwinglever_telemetry.outlet."""

import io

import testtools

from waxwinglever_telemetry import outlet


class OutletTest(testtools.TestCase):
    """Guards against a slow reader of the log that blocks the daemon."""

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        log_outlet = outlet.Outlet(stream)
        log_outlet.write("a\n")
        log_outlet.write("b\n")
        outlet.drain(log_outlet)
        self.assertEqual("a\nb\n", stream.getvalue())

    def test_lines_over_the_bound_are_dropped_and_counted(self):
        stream = io.StringIO()
        log_outlet = outlet.Outlet(stream)
        for _ in range(outlet.MAX_WAITING + 3):
            log_outlet.write("x\n")
        outlet.drain(log_outlet)
        lines = stream.getvalue().splitlines()
        self.assertEqual(outlet.MAX_WAITING + 1, len(lines))
        self.assertIn('"count": 3', lines[-1])
