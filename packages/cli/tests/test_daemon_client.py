"""Tests of waxwinglever_cli.daemon_client."""

import testtools

from waxwinglever_cli import daemon_client
from waxwinglever_model import exceptions

# Status and body of a response, and the error that it must raise.
BAD_RESPONSES = (
    (200, b"[]", exceptions.PeerUnavailable),
    (200, b"<html>", exceptions.PeerUnavailable),
    (200, b"\xff", exceptions.PeerUnavailable),
    (503, b'{"message": "m"}', exceptions.PeerUnavailable),
    (404, b'{"message": "m", "remedy": "r"}', exceptions.BadRequest),
)


class DecodeTest(testtools.TestCase):
    """Guards against a response of another program that is taken as valid."""

    def test_bad_responses_raise_typed_errors(self):
        for status, data, error_class in BAD_RESPONSES:
            self.assertRaises(
                error_class,
                daemon_client.decode_response,
                "127.0.0.1:1",
                status,
                data,
            )

    def test_a_refused_connection_is_peer_unavailable(self):
        # Port 1 needs privileges, so no test listens there.
        self.assertRaises(
            exceptions.PeerUnavailable,
            daemon_client.fetch,
            "127.0.0.1:1",
            "/status",
            {},
        )
