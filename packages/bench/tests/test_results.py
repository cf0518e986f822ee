"""Tests of waxwinglever_bench.results."""

import json
import pathlib
import tempfile

import testtools
from waxwinglever_bench import results as results_module


class ResultsTest(testtools.TestCase):
    """Guards against missed bounds and failures that the output hides."""

    def setUp(self):
        super().setUp()
        self.results = results_module.Results()
        self.results.add("a_ms", 14.0, 14)
        self.results.add("b_ms", 14.1, 14)
        self.results.add("c_per_s", 3)
        self.results.failed_experiments["d"] = "TimeoutError('x')"

    def test_table_names_verdicts_and_failures(self):
        lines = results_module.table(self.results).splitlines()
        self.assertEqual(["a_ms", "14", "14", "met"], lines[1].split())
        self.assertEqual(["b_ms", "14.1", "14", "MISSED"], lines[2].split())
        self.assertEqual(["c_per_s", "3"], lines[3].split())
        self.assertIn("d: did not run to its end", lines[4])

    def test_json_is_flat(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "build" / "x.json"
            results_module.write(self.results, path)
            values = json.loads(path.read_text("utf-8"))
        self.assertEqual("MISSED", values["b_ms_verdict"])
        self.assertEqual(14, values["b_ms_bound"])
        self.assertNotIn("c_per_s_bound", values)
        self.assertEqual("TimeoutError('x')", values["d_failure"])

    def test_duplicate_key_is_refused(self):
        # The second value would replace the first one.
        self.assertRaises(ValueError, self.results.add, "a_ms", 1.0)
