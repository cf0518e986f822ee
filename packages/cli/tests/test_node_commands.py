"""Tests of waxwinglever_cli.node_commands."""

import typing

import testtools

from waxwinglever_cli import exits

STORE = ("--store", "127.0.0.1:1", "--tenant", "tulpar")


class RetireTest(testtools.TestCase):
    """Guards against a retired node that no stored document lists."""

    # Set by conftest.py.
    program: typing.Any = None

    def test_retire_needs_schema_version_2(self):
        self.program.apply(self.program.v1)
        self.program.run(*STORE, "retire", "node-a", code=exits.INVALID)
        self.program.apply(self.program.v1, self.program.v2)
        self.program.run(*STORE, "retire", "node-a")
        self.assertEqual(("node-a",), self.program.stored_config().retired)
        self.program.run(*STORE, "retire", "Node A", code=exits.INVALID)
