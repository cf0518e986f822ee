"""Tests of waxwinglever_telemetry.outlet."""

import io

import testtools

from waxwinglever_telemetry import outlet


class OutletTest(testtools.TestCase):
    """Guards against a reader of the log that stops the daemon."""

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        made = outlet.Outlet(stream)
        made.write("a\n")
        made.write("b\n")
        outlet.drain(made)
        self.assertEqual("a\nb\n", stream.getvalue())

    def test_too_many_lines_are_dropped_and_counted(self):
        stream = io.StringIO()
        made = outlet.Outlet(stream)
        for _ in range(outlet.MAX_WAITING + 3):
            made.write("x\n")
        outlet.drain(made)
        lines = stream.getvalue().splitlines()
        self.assertEqual(outlet.MAX_WAITING + 1, len(lines))
        self.assertIn('"count": 3', lines[-1])
