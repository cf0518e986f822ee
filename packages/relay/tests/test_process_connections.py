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
    """Guards against calls that reach another process than the one meant.

    A backend server that starts again at its address would get the grants of
    the process that has ended, under the same fencing tokens.
    """

    def setUp(self):
        super().setUp()
        self.process = self.start()
        self.connections = process_connections.ProcessConnections(
            connection_pool.Client(TIMEOUT_S),
            f"127.0.0.1:{self.process.port}",
            4,
        )

    def start(self, port: int = 0) -> Process:
        process = Process(port)
        self.addCleanup(process.reset)
        return process

    def restart(self) -> Process:
        """Ends the process, and starts another one at its address."""
        self.process.end()
        return self.start(self.process.port)

    def connect(self, calls: int = 1) -> int:
        process = process_connections.connect(self.connections)
        process_connections.add_connection(self.connections, calls)
        return process

    def send(self, process: int, target: str = "/"):
        return process_connections.send(
            self.connections,
            process,
            "POST",
            target,
            {"Host": "h"},
            lambda _: b"",
            TIMEOUT_S,
            lambda _: True,
        )

    def idle(self) -> int:
        return connection_pool.count_idle(
            self.connections.client, self.connections.address
        )

    def assert_unreachable(self, process: int):
        self.assertRaises(
            process_connections.ProcessUnreachable, self.send, process
        )

    def test_next_process_gets_no_call_for_the_one_before(self):
        first = self.connect()
        self.send(first)
        following = self.restart()
        self.assert_unreachable(first)
        self.assertEqual(first + 1, self.connect())
        self.assert_unreachable(first)
        self.assertEqual([], following.requests)
        self.send(first + 1, "/second")
        self.assertEqual(["/second"], following.requests)

    def test_next_process_is_not_taken_for_one_that_never_answered(self):
        # The second connection was opened to the next process already.
        first = process_connections.connect(self.connections)
        following = self.restart()
        process_connections.add_connection(self.connections, 1)
        self.assertEqual(1, len(self.connections.unconfirmed))
        self.assert_unreachable(first)
        self.assertEqual([], following.requests)

    def test_silent_connection_confirms_none_that_was_opened_later(self):
        # A cut connection shows no end, and the process behind it may have
        # been replaced.
        first = self.connect()
        self.process.silent = True
        self.assertRaises(http_client.ResponseTimeout, self.send, first)
        self.assertEqual(1, len(self.connections.unconfirmed))
        self.assert_unreachable(first)
        self.process.silent = False
        self.assertEqual(first + 1, self.connect())

    def test_second_connection_keeps_the_process_known(self):
        # A reset of one connection would cost a fencing token for each range.
        first = self.connect()
        self.send(first)
        self.assertEqual(2, self.idle())
        self.process.reset(1)
        self.send(first)
        self.assertEqual(first, self.connect())
        self.send(first)
        self.assertEqual(2, self.idle())

    def test_process_counts_as_another_one_without_a_connection(self):
        first = self.connect()
        self.send(first)
        self.process.reset()
        self.assert_unreachable(first)
        self.assertEqual(first + 1, self.connect())
        self.send(first + 1)

    def test_calls_at_the_same_time_use_connections_of_their_own(self):
        process = 0
        for _ in range(4):
            process = self.connect(calls=4)
            self.send(process)
        self.process.requests.clear()
        threads = [
            threading.Thread(target=self.send, args=(process, f"/{number}"))
            for number in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(
            [f"/{number}" for number in range(8)],
            sorted(self.process.requests),
        )
        self.assertEqual(process, self.connect(calls=4))
        self.assertEqual(4, self.idle())

    def test_call_knows_how_long_it_waited_for_a_connection(self):
        # A hold runs from the arrival of its grant, and must not end later than
        # the session of the node.
        process = process_connections.connect(self.connections)
        pooled, _, waited_s = process_connections.take(
            self.connections, process, clock.boottime_s() + TIMEOUT_S
        )
        self.assertEqual(0.0, waited_s)

        def give_back():
            with self.connections.changed:
                self.connections.in_use -= 1
                connection_pool.return_idle(
                    self.connections.client, self.connections.address, pooled
                )
                self.connections.changed.notify_all()

        timer = threading.Timer(0.1, give_back)
        timer.start()
        self.addCleanup(timer.join)
        _, _, waited_s = process_connections.take(
            self.connections, process, clock.boottime_s() + 5.0
        )
        self.assertGreater(waited_s, 0.0)

    def test_idle_connections_take_turns(self):
        # One that is never used would be closed for its age and opened again.
        process = self.connect()
        for _ in range(4):
            self.send(process)
        used = {
            item.idle_since_s
            for item in self.connections.client.idle_connections[
                self.connections.address
            ]
        }
        self.assertEqual(2, len(used))
        self.assertGreater(min(used), clock.boottime_s() - 1.0)
        self.assertEqual(2, len(self.process.sockets))

    def test_address_without_a_listener(self):
        self.process.end()
        self.assertRaises(connection_pool.ConnectFailed, self.connect)
        self.assertEqual(0, self.connections.process)
