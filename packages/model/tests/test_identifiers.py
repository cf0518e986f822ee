"""Tests of waxwinglever_model.identifiers."""

import testtools

from waxwinglever_model import identifiers

VALID = ("127.0.0.1:1", "10.0.0.1:65535", "[::1]:80")
INVALID = (
    *("", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"),
    *("127.0.0.1:x", "127.0.0.1:\u00b2", "127.1:80", "host:80", "::1:80"),
    *("[127.0.0.1]:80", "[::1:80", "127.0.0.1:-1", f"127.0.0.1:{'9' * 5000}"),
)


class AddressTest(testtools.TestCase):
    """Guards against a malformed address that fails only when it is used."""

    def test_valid_and_invalid_addresses(self):
        for text in VALID + INVALID:
            self.assertEqual(text in VALID, identifiers.is_address(text), text)
