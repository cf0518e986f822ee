"""Tests of waxwinglever_relay.process_connections."""

import contextlib
import socket
import threading

import testtools

from waxwinglever_model import clock
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
from waxwinglever_relay import process_connections

TIMEOUT_S = 0.3
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class Process:
    """A process that listens at an address until it ends.

    Attributes:
      requests: Targets of the requests that arrived.
      silent: Whether it leaves requests unanswered.
      sockets: Its connections.
    """

    def __init__(self, port: int = 0):
        self.requests = []
        self.silent = False
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", port), backlog=16)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self.sockets.append(sock)
                threading.Thread(
                    target=self.serve, args=(sock,), daemon=True
                ).start()

    def serve(self, sock):
        with contextlib.suppress(OSError):
            while data := sock.recv(65_536):
                self.requests.append(data.split()[1].decode())
                if not self.silent:
                    sock.sendall(RESPONSE)

    def end(self):
        """Ends like a process that crashes."""
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.reset()

    def reset(self, count: int | None = None):
        """Ends the oldest connections; all of them without a count."""
        for sock in self.sockets[:count]:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        del self.sockets[:count]


class ProcessConnectionsTest(testtools.TestCase):
    """Guards against calls that are taken to reach the process of earlier ones.

    A backend server that starts again at its address would get the grants of
    the process that has ended, under the same fencing tokens.
    """

    def setUp(self):
        super().setUp()
        self.process = self.start()
        self.connections = process_connections.ProcessConnections(
            connection_pool.Client(TIMEOUT_S),
            f"127.0.0.1:{self.process.port}",
        )

    def start(self, port: int = 0) -> Process:
        process = Process(port)
        self.addCleanup(process.reset)
        return process

    def restart(self) -> Process:
        """Ends the process, and starts another one at its address."""
        self.process.end()
        return self.start(self.process.port)

    def send(self, process: int = 0) -> int:
        """Sends a request; returns the number of the process it reaches."""
        reached = []

        def make_body(number: int) -> bytes:
            reached.append(number)
            return b""

        process_connections.send(
            self.connections,
            process,
            "POST",
            "/",
            {"Host": "h"},
            make_body,
            TIMEOUT_S,
            lambda _: True,
        )
        return reached[0]

    def is_connected(self, process: int) -> bool:
        return process_connections.is_connected(self.connections, process)

    def take(self, process: int = 0) -> connection_pool.PooledConnection:
        """Takes a connection as a call does that is not answered yet."""
        pooled, _ = process_connections.take(
            self.connections, process, clock.boottime_s() + TIMEOUT_S
        )
        return pooled

    def give_back(self, *pooled: connection_pool.PooledConnection):
        for item in pooled:
            connection_pool.return_idle(
                self.connections.client, self.connections.address, item
            )

    def test_calls_over_one_connection_reach_one_process(self):
        first = self.send()
        self.assertEqual(first, self.send(first))
        self.assertTrue(self.is_connected(first))
        self.assertEqual(1, len(self.process.sockets))

    def test_next_process_has_a_number_of_its_own(self):
        first = self.send()
        following = self.restart()
        self.assertFalse(self.is_connected(first))
        self.assertNotEqual(first, self.send(first))
        self.assertEqual(1, len(following.requests))

    def test_process_has_another_number_without_a_connection(self):
        # It can't be told from one that was started since.
        first = self.send()
        self.process.reset()
        self.assertFalse(self.is_connected(first))
        self.assertNotEqual(first, self.send(first))

    def test_answer_shows_that_later_connections_reach_the_process(self):
        first = self.send()
        older = self.take(first)
        newer = self.take(first)
        self.assertNotEqual(older.process, newer.process)
        self.give_back(older)
        self.assertEqual(first, self.send(first))
        self.assertEqual(first, newer.process)
        self.give_back(newer)
        # One reset leaves the process known.
        self.process.reset(1)
        self.assertTrue(self.is_connected(first))
        self.assertEqual(first, self.send(first))

    def test_answer_says_nothing_of_earlier_connections(self):
        # They may lead to a process that has ended without a reset.
        older = self.take()
        newer = self.take()
        self.give_back(newer)
        self.assertEqual(newer.process, self.send(newer.process))
        self.assertNotEqual(older.process, newer.process)
        self.give_back(older)

    def test_answer_says_nothing_of_connections_opened_after_its_call(self):
        first = self.send()
        opened = []

        def make_body(_: int) -> bytes:
            opened.append(self.take())
            return b""

        process_connections.send(
            self.connections,
            first,
            "POST",
            "/",
            {"Host": "h"},
            make_body,
            TIMEOUT_S,
            lambda _: True,
        )
        self.assertNotEqual(first, opened[0].process)
        self.give_back(*opened)

    def test_call_without_an_answer_shows_nothing(self):
        # A cut connection shows no end, and the process behind it may have been
        # replaced.
        first = self.send()
        older, newer = self.take(first), self.take(first)
        self.give_back(older)
        self.process.silent = True
        self.assertRaises(http_client.ResponseTimeout, self.send, first)
        self.assertNotEqual(first, newer.process)
        self.give_back(newer)
        self.process.silent = False
        self.assertEqual(newer.process, self.send(first))

    def test_unanswered_call_delays_no_other(self):
        # With one connection for all grants, half of which got no answer, most
        # ranges were not renewed before their holds ended.
        first = self.send()
        waiting = self.take(first)
        self.assertNotEqual(first, self.send(first))
        self.give_back(waiting)

    def test_address_without_a_listener(self):
        self.process.end()
        self.assertRaises(connection_pool.ConnectFailed, self.send)
        self.assertEqual(0, self.connections.opened)
