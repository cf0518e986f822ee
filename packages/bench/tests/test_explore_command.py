"""Tests of waxwinglever_bench.explore_command."""

import click
import testtools
from click import testing

from waxwinglever_bench import explore_command


class ExploreTest(testtools.TestCase):
    """Guards against violations that the command doesn't report."""

    def invoke(self, *options):
        runner = testing.CliRunner()
        return runner.invoke(explore_command.explore, list(options))

    def test_seeds_without_a_violation_exit_0(self):
        result = self.invoke("--seeds", "1-2")
        self.assertEqual(0, result.exit_code)
        self.assertIn("2 seeds, 0 with an overlap", result.output)

    def test_a_detected_mutation_exits_1(self):
        result = self.invoke("--seeds", "43-43", "--planted", "no-lease-wait")
        self.assertEqual(1, result.exit_code)
        self.assertIn("Overlap", result.output)

    def test_a_malformed_range_is_refused(self):
        self.assertRaises(
            click.BadParameter, explore_command.parse_seeds, "5-4"
        )
