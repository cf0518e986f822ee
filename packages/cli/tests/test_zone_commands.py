"""Tests of waxwinglever_cli.zone_commands."""

import typing

import testtools

from waxwinglever_cli import exits

STORE = ("--store", "127.0.0.1:1", "--tenant", "tulpar")


class ZoneTest(testtools.TestCase):
    """Guards against a zone whose state differs between schema versions."""

    # Set by conftest.py.
    program: typing.Any = None

    def test_zone_state_is_set_in_every_document(self):
        self.program.apply(self.program.v1, self.program.v2)
        for state in ("out", "in"):
            self.program.run(*STORE, "zone", state, "taraz")
            for readable in ((1,), (2,)):
                self.assertEqual(
                    state, self.program.stored_config(readable).zones[0].state
                )
        again = self.program.run(*STORE, "zone", "in", "taraz")
        self.assertIn("nothing to change", again)
        self.assertEqual(3, self.program.stored_config().generation)
        self.program.run(*STORE, "zone", "out", "bole", code=exits.INVALID)
