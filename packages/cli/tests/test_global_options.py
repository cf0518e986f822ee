"""Tests of waxwinglever_cli.global_options."""

import click
import testtools

from waxwinglever_cli import global_options

BAD_ADDRESSES = (
    "",
    "host",
    "host:",
    ":1",
    "h:0",
    "h:65536",
    "h:x",
    "h:" + "9" * 5000,
    "http://h:1",
    "a@h:1",
)


class ValidateAddressTest(testtools.TestCase):
    """Guards against addresses that lead to another host or path."""

    def test_only_host_and_port_are_accepted(self):
        self.assertEqual(
            "h:1", global_options.validate_address(None, None, "h:1")
        )
        for text in BAD_ADDRESSES:
            self.assertRaises(
                click.BadParameter,
                global_options.validate_address,
                None,
                None,
                text,
            )
