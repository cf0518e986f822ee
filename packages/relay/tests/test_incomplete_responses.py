"""Tests that cut and malformed responses are told from complete ones."""

from waxwinglever_model import clock
from waxwinglever_relay import http_client
from waxwinglever_standins import reader_suite
from waxwinglever_standins import scripted_server


class RelayReaderTest(reader_suite.ReaderSuite):
    """Guards against a part of a response that is taken for the whole.

    A caller would get it with a length of its own, as a complete success.
    """

    refusal = http_client.ResponseLost
    takes_unframed = True

    def setUp(self):
        super().setUp()
        self.client = http_client.Client(1.0)

    def read(self) -> tuple[int, bytes]:
        """Returns the status and the body of a response."""
        response = http_client.send_request(
            self.client,
            self.server.address,
            "GET",
            "/",
            {"Host": self.server.address},
            b"",
            clock.boottime_s() + 5.0,
        )
        return response.status, response.body

    def test_connection_of_a_refused_response_is_not_used_again(self):
        self.server.ending = scripted_server.KEEP_OPEN
        self.server.data = b"HTTP/1.1 200 OK\r\nContent-Length: 6x\r\n\r\nabc"
        for _ in range(3):
            self.assertRaises(http_client.ResponseLost, self.read)
        self.assertEqual(3, self.server.connections)
