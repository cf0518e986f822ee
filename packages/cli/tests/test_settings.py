"""Tests of waxwinglever_cli.settings."""

import click
import testtools

from waxwinglever_cli import settings

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
        self.assertEqual("h:1", settings.validate_address(None, None, "h:1"))
        for text in BAD_ADDRESSES:
            self.assertRaises(
                click.BadParameter, settings.validate_address, None, None, text
            )
