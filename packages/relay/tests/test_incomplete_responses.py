"""Tests that cut and malformed responses are told from complete ones."""

import subprocess
import sys

import testtools

from waxwinglever_model import clock
from waxwinglever_relay import http_client
from waxwinglever_standins import response_samples
from waxwinglever_standins import scripted_server

KILLED_SERVER = """
import os, signal, socket, sys
listener = socket.create_server(("127.0.0.1", 0))
print("127.0.0.1:%d" % listener.getsockname()[1], flush=True)
kept = []
while True:
    sock, _ = listener.accept()
    kept.append(sock)
    sock.settimeout(0.05)
    try:
        sock.recv(65_536)
    except TimeoutError:
        continue
    sock.sendall(bytes.fromhex(sys.argv[1]))
    os.kill(os.getpid(), signal.SIGKILL)
"""


class IncompleteResponsesTest(testtools.TestCase):
    """Guards against a part of a response that is taken for the whole.

    A caller would get it with a length of its own, as a complete success.
    """

    def setUp(self):
        super().setUp()
        self.server = scripted_server.start()
        self.addCleanup(scripted_server.stop, self.server)
        self.client = http_client.Client(1.0)

    def send(
        self, address: str = "", check_server: bool = False
    ) -> http_client.Response:
        """Sends a request and returns its response."""
        address = address or self.server.address
        return http_client.send_request(
            self.client,
            address,
            "GET",
            "/",
            {"Host": address},
            b"",
            clock.boottime_s() + 5.0,
            check_server=check_server,
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

    def start_process(self, data: bytes) -> tuple[subprocess.Popen, str]:
        """Starts a server that is killed behind the data of its response."""
        process = subprocess.Popen(  # pylint: disable=consider-using-with
            [sys.executable, "-c", KILLED_SERVER, data.hex()],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, process.stdout.readline().strip()

    def test_response_without_length_of_a_killed_server_is_refused(self):
        # The kernel ends the connections of a killed process without a reset.
        data = response_samples.until_close()[:-300]
        for idle_connections in (0, 2):
            self.client = http_client.Client(1.0)
            process, address = self.start_process(data)
            for _ in range(idle_connections):
                connection = http_client.open_connection(
                    self.client, address, 1.0
                )
                http_client.return_idle(
                    self.client,
                    address,
                    http_client.PooledConnection(connection),
                )
            error = self.assertRaises(
                http_client.ResponseLost, self.send, address, True
            )
            self.assertEqual(http_client.SERVER_GONE, error.reason)
            process.wait()

    def test_check_of_the_server_costs_no_more_connections(self):
        self.server.data = response_samples.until_close()
        for _ in range(5):
            response = self.send(check_server=True)
            self.assertEqual(response_samples.BODY, response.body)
        # Each response ends one, and its check opens the next one.
        self.assertEqual(6, self.client.opened)
