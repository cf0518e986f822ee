"""Tests of waxwinglever_daemon.http_server."""

import http.client
import socket
import threading

import testtools
from cheroot import wsgi

from waxwinglever_daemon import http_server
from waxwinglever_front import http_codec
from waxwinglever_model import exceptions
from waxwinglever_standins import request_samples

CHUNKS = b"5;a=b\r\nphoto\r\n0\r\nA: b\r\n\r\n"


REFUSED_STATUSES = (b"400", b"413", b"501", b"505")


def application(environ, start_response):
    """Reads the body of requests to /read, and refuses the others."""
    if environ["PATH_INFO"] == "/read":
        environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", "0")])
    else:
        start_response("404 Not Found", [("Content-Length", "0")])
    return [b""]


class HttpServerTest(testtools.TestCase):
    """Guards against bytes of one request that are read as the next one."""

    def setUp(self):
        super().setUp()
        server = wsgi.Server(("127.0.0.1", 0), application, numthreads=2)
        server.ConnectionClass = http_server.Connection
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        self.address = server.bind_addr

    def send(self, sock: socket.socket, target: str, body: bytes) -> int:
        """Sends a request in chunks; returns the status of the response."""
        sock.sendall(
            f"POST {target} HTTP/1.1\r\nHost: x\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode() + body
        )
        response = http.client.HTTPResponse(sock)
        response.begin()
        response.read()
        return response.status

    def test_request_behind_a_body_in_chunks_is_served(self):
        for target, status in (("/read", 200), ("/refuse", 404)):
            with socket.create_connection(self.address, 5.0) as sock:
                self.assertEqual(status, self.send(sock, target, CHUNKS))
                self.assertEqual(200, self.send(sock, "/read", CHUNKS))

    def test_idle_connections_after_chunks_hold_no_thread(self):
        for _ in range(3):
            sock = socket.create_connection(self.address, 5.0)
            self.addCleanup(sock.close)
            body = b"5\r\nphoto\r\n0\r\n\r\n"
            self.assertEqual(200, self.send(sock, "/read", body))

    def test_connection_is_closed_behind_a_malformed_or_long_body(self):
        too_long = b"%x\r\n%s\r\n0\r\n\r\n" % (300_000, b"x" * 300_000)
        for body in (b"z\r\n", too_long):
            with socket.create_connection(self.address, 5.0) as sock:
                self.assertEqual(404, self.send(sock, "/refuse", body))
                self.assertEqual(b"", sock.recv(100))


class IncompleteRequestsTest(testtools.TestCase):
    """Guards against requests that run though a part of them is missing."""

    def setUp(self):
        super().setUp()
        self.ran = []
        server = wsgi.Server(("127.0.0.1", 0), self.run_request, numthreads=4)
        server.ConnectionClass = http_server.Connection
        # Each failure of the server itself is an entry in its log.
        self.errors = []
        server.error_log = self.log_error
        server.prepare()
        threading.Thread(target=server.serve, daemon=True).start()
        self.addCleanup(server.stop)
        self.address = server.bind_addr

    def run_request(self, environ, start_response):
        """Notes a request whose body can be read, and returns the body."""
        try:
            body = http_codec.read_body(environ)
        except exceptions.Refusal as error:
            headers = [("Content-Length", "0"), ("Connection", "close")]
            start_response(f"{error.status} Refused", headers)
            return [b""]
        self.ran.append(body)
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def log_error(self, msg="", level=20, traceback=False):
        """Notes an entry of the server's log."""
        del level, traceback
        self.errors.append(msg)

    def send(self, data: bytes) -> bytes:
        """Sends bytes and ends the connection; returns what the server sent."""
        with socket.create_connection(self.address, 5.0) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            with sock.makefile("rb") as stream:
                return stream.read()

    def test_cut_requests_do_not_run(self):
        faults = []
        for name, sample in request_samples.whole().items():
            if len(sample.requests) > 1:
                continue
            data = sample.requests[0]
            for size in range(1, len(data)):
                self.ran.clear()
                self.send(data[:size])
                if self.ran:
                    faults.append((name, size, len(data)))
            self.assertIn(b" 200 OK", self.send(data))
        self.assertEqual([], faults)

    def check_refused(self, samples: dict[str, bytes]) -> None:
        """Checks that no request runs."""
        faults = {}
        for name, data in samples.items():
            self.ran.clear()
            received = self.send(data)
            if self.ran or received[9:12] not in REFUSED_STATUSES:
                faults[name] = (len(self.ran), received[9:12])
        self.assertEqual(({}, []), (faults, self.errors))

    def test_malformed_headers(self):
        self.check_refused(request_samples.malformed_headers())

    def test_repeated_headers_that_decide(self):
        self.check_refused(request_samples.repeated_headers())

    def test_unclear_lengths(self):
        self.check_refused(request_samples.unclear_lengths())

    def test_malformed_request_lines(self):
        self.check_refused(request_samples.malformed_request_lines())

    def test_malformed_chunks(self):
        self.check_refused(request_samples.malformed_chunks())
