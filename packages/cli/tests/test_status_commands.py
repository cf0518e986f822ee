"""Tests of waxwinglever_cli.status_commands."""

import json
import typing

import testtools

DAEMON = ("--daemon", "127.0.0.1:2", "--tenant", "tulpar", "--output", "json")


class StatusTest(testtools.TestCase):
    """Guards against incomplete queries and control characters in output."""

    # Set by conftest.py.
    program: typing.Any = None

    def test_status_and_owner_are_queried_and_printed(self):
        text = self.program.run("--daemon", "127.0.0.1:2", "status")
        self.assertIn("cell.term  3", text)
        self.assertIn("node  ok   zone", text)
        self.assertNotIn("\x1b", text)
        self.assertEqual(
            self.program.status, json.loads(self.program.run(*DAEMON, "status"))
        )
        printed = json.loads(
            self.program.run(*DAEMON, "owner", "k", "--service", "s")
        )
        self.assertEqual(
            {"owner": "a", "tenant": "tulpar", "service": "s", "key": "k"},
            printed,
        )
