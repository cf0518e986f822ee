"""Tests of waxwinglever_cli.explain_command."""

import json
import pathlib
import shutil
import tempfile

import testtools
from click import testing

from waxwinglever_cli import main

LINES = (
    {"time": "1", "event": "backend-state", "node": "n2", "state": "down"},
    {"time": "2", "event": "backend-state", "node": "n3", "state": "down"},
    {"time": "4", "event": "delivery", "node": "n2", "request": "r1"},
    {
        "time": "5",
        "event": "request",
        "node": "n1",
        "request": "r1",
        "path": ["n2:backend-unavailable:3ms"],
    },
    {"time": "6", "event": "backend-state", "node": "n2", "state": "ready"},
)


class ExplainCommandTest(testtools.TestCase):
    """Guards against a failed request that the logs can't explain."""

    def run_explain(self, request_id: str) -> testing.Result:
        """Returns the result of the command on LINES."""
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        path = pathlib.Path(folder) / "log"
        text = "".join(f"1.0 n1 {json.dumps(line)}\n" for line in LINES)
        path.write_text("no json\n{cut\n" + text, encoding="utf-8")
        return testing.CliRunner().invoke(
            main.main,
            ["--output", "json", "explain", request_id, str(path)],
        )

    def test_way_and_what_its_nodes_believed(self):
        found = json.loads(self.run_explain("r1").output)
        self.assertEqual(["4", "5"], [x["time"] for x in found["request"]])
        self.assertEqual(["1"], [x["time"] for x in found["before"]])

    def test_unknown_request(self):
        self.assertNotEqual(0, self.run_explain("r9").exit_code)
