"""Tests with requests that are cut or malformed, on a real server."""

import contextlib
import http.client
import socket
import struct
import time

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_hops import server
from waxwinglever_standins import request_samples

# Makes close() reset the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time for a worker to begin on a connection that was reset.
SETTLE_S = 0.5
REFUSED_STATUSES = (b"400", b"501", b"505")


class IncompleteRequestsTest(testtools.TestCase):
    """Guards against requests that run though a part of them is missing."""

    def setUp(self):
        super().setUp()
        self.ran = []
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.address = sock.getsockname()
        self.server = server.make_server(
            f"127.0.0.1:{self.address[1]}", 8, self.handle, ("X-single",)
        )
        # Each refusal is an entry in its log.
        self.errors = []
        self.server.error_log = self.log_error
        server.start(self.server, "test")
        self.addCleanup(self.server.stop)

    def handle(self, incoming: server.HttpRequest) -> server.HttpResponse:
        """Notes a request whose body can be read, and returns the body."""
        body = incoming.read_body()
        self.ran.append((incoming, body))
        return server.HttpResponse(200, (), body)

    def log_error(self, msg="", level=20, traceback=False):
        """Notes an entry of the server's log."""
        del level, traceback
        self.errors.append(msg)

    def send(self, data: bytes, resets: bool = False) -> bytes:
        """Sends bytes and ends the connection; returns what the server sent."""
        with socket.create_connection(self.address, 5.0) as sock:
            sock.sendall(data)
            if resets:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                return b""
            sock.shutdown(socket.SHUT_WR)
            with sock.makefile("rb") as stream:
                return stream.read()

    def test_whole_requests_run(self):
        for name, sample in request_samples.whole().items():
            self.ran.clear()
            received = self.send(b"".join(sample.requests))
            self.assertEqual(
                len(sample.bodies), received.count(b"HTTP/1.1 200"), name
            )
            self.assertEqual(
                list(sample.bodies), [body for _, body in self.ran], name
            )

    def test_cut_requests_do_not_run(self):
        for name, sample in request_samples.whole().items():
            data = b"".join(sample.requests)
            ends = [
                sum(map(len, sample.requests[: number + 1]))
                for number in range(len(sample.requests))
            ]
            for size in range(1, len(data)):
                self.ran.clear()
                received = self.send(data[:size])
                whole = sum(end <= size for end in ends)
                self.assertEqual(
                    list(sample.bodies[:whole]),
                    [body for _, body in self.ran],
                    (name, size),
                )
                self.assertEqual(whole, received.count(b" 200 OK"))
        self.assertEqual([], self.errors)

    def test_requests_cut_by_a_reset_do_not_run(self):
        for name, sample in request_samples.whole().items():
            if len(sample.requests) > 1:
                continue
            for size in range(1, len(sample.requests[0])):
                # A connection that is reset first must not end the test.
                with contextlib.suppress(ConnectionError):
                    self.send(sample.requests[0][:size], resets=True)
            time.sleep(SETTLE_S)
            self.assertEqual([], self.ran, name)
        self.assertEqual([], self.errors)

    def check_refused(self, samples: dict[str, bytes]) -> None:
        """Checks that no request runs, nor the one behind it."""
        behind = request_samples.whole()["length"].requests[0]
        faults = {}
        for name, data in samples.items():
            self.ran.clear()
            received = self.send(data + behind)
            is_refused = (
                received.count(b"HTTP/1.1 ") == 1
                and received[9:12] in REFUSED_STATUSES
            )
            if self.ran or not is_refused:
                faults[name] = (len(self.ran), received[9:12])
        self.assertEqual({}, faults)
        self.assertEqual([], self.errors)

    def test_malformed_headers(self):
        self.check_refused(request_samples.malformed_headers())

    @hypothesis.given(
        strategies.sampled_from(sorted(request_samples.whole())),
        strategies.integers(0, 95),
        strategies.sampled_from(
            [bytes((value,)) for value in b"\x00\t\n\r \x7f:,;0+-_xX\xff"]
        ),
        strategies.booleans(),
    )
    @hypothesis.settings(max_examples=200, deadline=None)
    def test_spoilt_heads_are_refused_or_can_be_passed_on(
        self, name, index, odd_byte, is_inserted
    ):
        # http.client refuses methods, targets and headers that hold others.
        data = request_samples.whole()[name].requests[0]
        index = min(index, data.index(b"\r\n\r\n"))
        self.ran.clear()
        self.send(data[:index] + odd_byte + data[index + (not is_inserted) :])
        for incoming, _ in self.ran:
            conn = http.client.HTTPConnection("unused")
            conn.putrequest(incoming.method, incoming.target, True, True)
            for header, value in incoming.headers.items():
                conn.putheader(header, value)
        self.assertEqual([], self.errors)

    def test_repeated_headers_that_decide(self):
        samples = request_samples.repeated_headers()
        samples["header of the handler"] = request_samples.make_head(
            b"x-Single: 1", b"X-SINGLE: 1"
        )
        self.check_refused(samples)

    def test_other_repeated_headers_are_joined(self):
        # All values but the last were lost on the way to the backend server.
        head = request_samples.make_head(
            b"X-List: a",
            b"x-list: b",
            b"X-List:",
            b"Accept: c",
            b"Accept: d",
            b"Cookie: e=1",
            b"Cookie: f=2",
        )
        self.send(head)
        self.assertEqual(
            {
                "Host": "x.example",
                "X-List": "a, b, ",
                "Accept": "c, d",
                "Cookie": "e=1; f=2",
            },
            self.ran[0][0].headers,
        )

    def test_malformed_request_lines(self):
        self.check_refused(request_samples.malformed_request_lines())

    def test_unclear_lengths(self):
        self.check_refused(request_samples.unclear_lengths())

    def test_malformed_chunks(self):
        self.check_refused(request_samples.malformed_chunks())

    def test_length_that_does_not_fit_into_memory(self):
        head = request_samples.make_head(b"Content-Length: " + b"9" * 18)
        self.assertEqual(b"", self.send(head + request_samples.BODY))
        self.assertEqual([], self.ran)
        self.assertEqual([], self.errors)

    def test_empty_line_before_a_request_is_allowed(self):
        request = request_samples.whole()["length"].requests[0]
        self.assertIn(b" 200 OK", self.send(b"\r\n" + request))
        for data in (b"\r\n", b"\r\n\r\n"):
            self.assertNotIn(b" 200 OK", self.send(data))
