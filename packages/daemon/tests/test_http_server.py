"""Tests of waxwinglever_daemon.http_server."""

import http.client
import socket
import threading

import testtools
from cheroot import wsgi

from waxwinglever_daemon import http_server

CHUNKS = b"5;a=b\r\nphoto\r\n0\r\nA: b\r\n\r\n"


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
