"""Tests of waxwinglever_telemetry.log_writer."""

import io

import testtools

from waxwinglever_telemetry import log_writer


class LogWriterTest(testtools.TestCase):
    """Guards against a slow reader of the log that blocks the daemon."""

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        writer = log_writer.LogWriter(stream)
        writer.write("a\n")
        writer.write("b\n")
        log_writer.write_pending(writer)
        self.assertEqual("a\nb\n", stream.getvalue())

    def test_lines_over_the_bound_are_dropped_and_counted(self):
        stream = io.StringIO()
        writer = log_writer.LogWriter(stream)
        for _ in range(log_writer.MAX_PENDING_LINES + 3):
            writer.write("x\n")
        log_writer.write_pending(writer)
        lines = stream.getvalue().splitlines()
        self.assertEqual(log_writer.MAX_PENDING_LINES + 1, len(lines))
        self.assertIn('"count": 3', lines[-1])
