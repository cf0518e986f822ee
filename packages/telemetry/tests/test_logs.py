"""Tests of waxwinglever_telemetry.logs."""

import io
import json
import sys

import testtools

from waxwinglever_telemetry import logs


class LogsTest(testtools.TestCase):
    """Guards against lines that the ownership checker can't read."""

    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        logs.configure(self.stream, "node-a")

    def lines(self) -> list[dict]:
        return [json.loads(x) for x in self.stream.getvalue().splitlines()]

    def test_a_line_has_the_common_keys_first(self):
        logs.get_logger().warning("store down", after_s=1.5)
        (line,) = self.lines()
        self.assertEqual(["time", "level", "event", "node"], list(line)[:4])
        self.assertTrue(line.pop("time").endswith("Z"))
        self.assertEqual(
            {
                "level": "warning",
                "event": "store down",
                "node": "node-a",
                "after_s": 1.5,
            },
            line,
        )

    def test_exceptions_and_unserializable_values_stay_on_one_line(self):
        try:
            raise ValueError("a\nb")
        except ValueError:
            logs.get_logger().exception(
                "failed", item=object(), text="\ud800\n"
            )
        self.assertIn("ValueError", self.lines()[0]["exception"])

    def test_debug_lines_are_left_out(self):
        logs.get_logger().debug("detail")
        self.assertEqual([], self.lines())

    def test_rich_is_not_imported(self):
        # Importing rich adds 14 MB to the memory of each daemon.
        self.assertNotIn("rich", sys.modules)
