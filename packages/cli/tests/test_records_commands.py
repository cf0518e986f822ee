"""Tests of waxwinglever_cli.records_commands."""

import json
import typing

import testtools

from waxwinglever_cli import exits

STORE = ("--store", "127.0.0.1:1", "--tenant", "tulpar")


class RecordsTest(testtools.TestCase):
    """Guards against documents that are lost, overwritten or not validated."""

    # Set by conftest.py.
    program: typing.Any = None

    def test_an_edited_document_can_be_applied(self):
        self.program.apply(self.program.v1, self.program.v2)
        document = json.loads(self.program.run(*STORE, "get"))
        self.assertEqual({**self.program.v2, "generation": 1}, document)
        document["retired"] = ["node-a"]
        edited = self.program.write_file(document)
        diff = self.program.run(*STORE, "diff", edited)
        self.assertIn('+    "node-a"', diff)
        # Without schema version 1, daemons that read only that version would
        # find no document.
        self.program.run(*STORE, "apply", edited, code=exits.INVALID)
        self.program.run(*STORE, "apply", edited, "--drop-missing", "-m", "why")
        self.assertEqual(2, self.program.stored_config().generation)
        self.assertIn("no difference", self.program.run(*STORE, "diff", edited))
        self.assertIn("why", self.program.run(*STORE, "history"))

    def test_apply_refuses_a_change_of_another_generation(self):
        self.program.apply(self.program.v2)
        self.program.apply({**self.program.v2, "generation": 1})
        for arguments in (
            (self.program.write_file(self.program.v2),),
            (
                self.program.write_file({**self.program.v2, "generation": 2}),
                "--expect-generation",
                "1",
            ),
        ):
            output = self.program.run(
                *STORE, "apply", *arguments, code=exits.CONFLICT
            )
            self.assertIn("run `get`", output)
        self.assertEqual(2, self.program.stored_config().generation)

    def test_validate_names_file_and_path(self):
        self.program.run(
            "validate",
            self.program.write_file(self.program.v1),
            self.program.write_file(self.program.v2),
        )
        bad = self.program.write_file(
            {**self.program.v2, "zones": [{"name": "X"}]}
        )
        output = self.program.run("validate", bad, code=exits.INVALID)
        self.assertIn(f"{bad}: $.zones[0]", output)
        for files in (
            [self.program.write_file("{")],
            [
                self.program.write_file(self.program.v2),
                self.program.write_file(self.program.v2),
            ],
            [
                self.program.write_file(self.program.v1),
                self.program.write_file({**self.program.v2, "generation": 2}),
            ],
            [self.program.write_file({**self.program.v2, "generation": "1"})],
        ):
            self.program.run("validate", *files, code=exits.INVALID)
