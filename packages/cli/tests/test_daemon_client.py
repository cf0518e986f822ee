"""Tests of waxwinglever_cli.daemon_client."""

import testtools

from waxwinglever_cli import daemon_client
from waxwinglever_model import exceptions

BAD = (
    (200, b"[]", exceptions.PeerUnavailable),
    (200, b"<html>", exceptions.PeerUnavailable),
    (200, b"\xff", exceptions.PeerUnavailable),
    (503, b'{"message": "m"}', exceptions.PeerUnavailable),
    (404, b'{"message": "m", "remedy": "r"}', exceptions.BadRequest),
)


class DecodeTest(testtools.TestCase):
    """Guards against an answer of another program that is taken as status."""

    def test_bad_answers_are_typed(self):
        for status, data, kind in BAD:
            self.assertRaises(
                kind, daemon_client.decode, "127.0.0.1:1", status, data
            )

    def test_a_closed_port_is_unavailable(self):
        # Port 1 needs privileges, so no test listens there.
        self.assertRaises(
            exceptions.PeerUnavailable,
            daemon_client.fetch,
            "127.0.0.1:1",
            "/status",
            {},
        )
