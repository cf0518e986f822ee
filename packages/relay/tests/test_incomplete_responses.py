"""Tests that cut and malformed responses are told from complete ones."""

import testtools

from waxwinglever_framing import heads
from waxwinglever_model import clock
from waxwinglever_relay import http_client
from waxwinglever_standins import response_samples
from waxwinglever_standins import scripted_server


class IncompleteResponsesTest(testtools.TestCase):
    """Guards against a part of a response that is taken for the whole.

    A caller would get it with a length of its own, as a complete success.
    """

    def setUp(self):
        super().setUp()
        self.server = scripted_server.start()
        self.addCleanup(scripted_server.stop, self.server)
        self.client = http_client.Client(1.0)

    def send(self, framed: bool = False) -> http_client.Response:
        """Sends a request and returns its response."""
        return http_client.send_request(
            self.client,
            self.server.address,
            "GET",
            "/",
            {"Host": self.server.address},
            b"",
            clock.boottime_s() + 5.0,
            framed=framed,
        )

    def describe(self, data: bytes, ending: str) -> str:
        """Returns what a reader makes of a response that ends early."""
        self.server.data, self.server.ending = data, ending
        try:
            response = self.send()
        except http_client.ResponseLost:
            return "refused"
        idle = self.client.idle_connections.get(self.server.address)
        return f"{len(response.body)} bytes{', pooled' if idle else ''}"

    def test_whole_responses_pass_and_all_shorter_ones_are_refused(self):
        for name, sample in response_samples.whole().items():
            self.server.data = sample.data
            self.server.ending = scripted_server.KEEP_OPEN
            response = self.send()
            self.assertEqual(
                (sample.status, sample.body),
                (response.status, response.body),
                name,
            )
            taken = [
                size
                for size in range(len(sample.data))
                if self.describe(sample.data[:size], scripted_server.CLOSE)
                != "refused"
            ]
            self.assertEqual([], taken, name)

    def test_malformed_responses_are_refused(self):
        taken = {
            name: found
            for name, data in response_samples.malformed().items()
            if (found := self.describe(data, scripted_server.CLOSE))
            != "refused"
        }
        self.assertEqual({}, taken)

    def test_response_without_length_that_is_reset_is_refused(self):
        data = response_samples.until_close()
        whole = f"{len(response_samples.BODY)} bytes"
        self.assertEqual(whole, self.describe(data, scripted_server.CLOSE))
        for ending in (
            scripted_server.RESET,
            scripted_server.CLOSE_THEN_RESET,
        ):
            self.assertEqual(
                ["refused"] * 50,
                [self.describe(data[:-300], ending) for _ in range(50)],
                ending,
            )

    def test_head_without_length_that_is_cut_is_refused(self):
        data = response_samples.until_close()
        head = data.index(b"\r\n\r\n") + 4
        taken = [
            size
            for size in range(head)
            if self.describe(data[:size], scripted_server.CLOSE) != "refused"
        ]
        self.assertEqual([], taken)

    def test_response_without_length_is_refused_where_each_has_one(self):
        # The end of the connection alone can't be told from a cut.
        reasons = []
        self.client.count_incomplete = reasons.append
        self.server.data = response_samples.until_close()
        self.assertRaises(http_client.ResponseLost, self.send, framed=True)
        self.assertEqual([heads.UNCLEAR_LENGTH], reasons)
        self.server.ending = scripted_server.KEEP_OPEN
        for name, sample in response_samples.whole().items():
            self.server.data = sample.data
            response = self.send(framed=True)
            self.assertEqual(
                (sample.status, sample.body),
                (response.status, response.body),
                name,
            )
