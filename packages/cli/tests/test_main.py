"""Tests of waxwinglever_cli.main."""

import json
import typing

import testtools

from waxwinglever_cli import exits
from waxwinglever_model import exceptions

STORE = ("--store", "127.0.0.1:1", "--tenant", "tulpar")
DAEMON = ("--daemon", "127.0.0.1:2", "--tenant", "tulpar")


def raise_unavailable(*_):
    raise exceptions.StoreUnavailable("the store is down", "wait")


class MainTest(testtools.TestCase):
    """Guards against errors with a wrong exit code."""

    # Set by conftest.py.
    program: typing.Any = None

    def test_wrong_usage_has_its_own_exit_code(self):
        for arguments in (
            ("get",),
            ("--store", "nowhere", "get"),
            ("--tenant", "a/b", "status"),
            ("--store", "127.0.0.1:1", "get"),
            (
                "--tenant",
                "other",
                *STORE[:2],
                "apply",
                self.program.write_file(self.program.v2),
            ),
            ("status",),
            (*DAEMON, "owner", "k", "--service", "none"),
        ):
            self.program.run(*arguments, code=exits.USAGE)

    def test_unavailable_and_unknown_outcome_have_their_own_exit_codes(self):
        self.program.store.compare_and_swap = raise_unavailable
        output = self.program.run(
            *STORE,
            "apply",
            self.program.write_file(self.program.v2),
            code=exits.WRITE_UNKNOWN,
        )
        self.assertIn("nonce", output)
        self.program.store.get = raise_unavailable
        output = self.program.run(
            *STORE, "--output", "json", "get", code=exits.UNAVAILABLE
        )
        self.assertEqual("store-unavailable", json.loads(output)["kind"])
        self.program.run(
            "--daemon", "127.0.0.1:9", "status", code=exits.UNAVAILABLE
        )

    def test_help_lists_each_exit_code(self):
        text = self.program.run("--help")
        for code in range(exits.WRITE_UNKNOWN + 1):
            self.assertIn(f"\n    {code}  ", text)
