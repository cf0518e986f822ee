"""Tests of waxwinglever_hops.workers."""

import socket
import threading
import time

import testtools

from waxwinglever_hops import server
from waxwinglever_hops import workers

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
WAIT_S = 5.0


class WorkerPoolTest(testtools.TestCase):
    """Guards against threads without work, and work without a thread.

    A fleet of 195 daemons that started 190 threads each could not be started on
    one machine.
    """

    pool: workers.WorkerPool

    def serve(self, threads: int, handle) -> tuple[str, int]:
        """Starts a server and returns its address."""
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            host, port = sock.getsockname()
        http_server = server.make_server(f"{host}:{port}", threads, handle)
        self.pool = http_server.requests
        server.start(http_server, "test")
        self.addCleanup(http_server.stop)
        return host, port

    def connect(self, address) -> socket.socket:
        """Opens a connection with a time limit."""
        sock = socket.create_connection(address, WAIT_S)
        self.addCleanup(sock.close)
        return sock

    def wait_for(self, condition) -> bool:
        """Waits until a condition holds; returns whether it does."""
        end_s = time.monotonic() + WAIT_S
        while not condition() and time.monotonic() < end_s:
            time.sleep(0.005)
        return condition()

    def test_idle_server_has_no_workers(self):
        self.serve(64, lambda _: server.HttpResponse(200, (), b""))
        self.assertEqual(0, self.pool.count)

    def test_one_caller_at_a_time_uses_one_worker(self):
        address = self.serve(64, lambda _: server.HttpResponse(200, (), b""))
        for _ in range(5):
            sock = self.connect(address)
            sock.sendall(REQUEST)
            self.assertIn(b"200", sock.recv(1000))
            self.wait_for(lambda: self.pool.idle == 1)
        self.assertEqual(1, self.pool.count)

    def test_workers_follow_the_requests_in_progress(self):
        release = threading.Event()

        def handle(_):
            release.wait(WAIT_S)
            return server.HttpResponse(200, (), b"")

        address = self.serve(64, handle)
        socks = [self.connect(address) for _ in range(8)]
        for sock in socks:
            sock.sendall(REQUEST)
        self.assertTrue(self.wait_for(lambda: self.pool.count == 8))
        release.set()
        for sock in socks:
            self.assertIn(b"200", sock.recv(1000))

    def test_requests_above_the_limit_wait_and_are_handled(self):
        release = threading.Event()

        def handle(_):
            release.wait(WAIT_S)
            return server.HttpResponse(200, (), b"")

        address = self.serve(2, handle)
        socks = [self.connect(address) for _ in range(6)]
        for sock in socks:
            sock.sendall(REQUEST)
        self.assertTrue(self.wait_for(lambda: self.pool.qsize == 4))
        self.assertEqual(2, self.pool.count)
        release.set()
        for sock in socks:
            self.assertIn(b"200", sock.recv(1000))
        self.assertEqual(2, self.pool.count)

    def test_idle_worker_ends(self):
        address = self.serve(64, lambda _: server.HttpResponse(200, (), b""))
        self.pool.idle_s = 0.05
        sock = self.connect(address)
        sock.sendall(REQUEST)
        self.assertIn(b"200", sock.recv(1000))
        self.assertTrue(self.wait_for(lambda: self.pool.count == 0))
        self.assertEqual(0, self.pool.idle)

    def test_failed_handler_leaves_its_worker_usable(self):
        failures = []

        def handle(_):
            if not failures:
                failures.append(1)
                raise ZeroDivisionError
            return server.HttpResponse(200, (), b"")

        address = self.serve(1, handle)
        self.connect(address).sendall(REQUEST)
        self.assertTrue(self.wait_for(lambda: failures))
        sock = self.connect(address)
        sock.sendall(REQUEST)
        self.assertIn(b"200", sock.recv(1000))

    def test_connection_is_handled_when_no_thread_can_be_started(self):
        # On a machine without room for more threads the workers that there are
        # go on.
        class Connection:
            """A connection with one request."""

            def __init__(self):
                self.handled = threading.Event()

            def communicate(self):
                """Records the call and ends the connection."""
                self.handled.set()
                return False

            def close(self):
                """Does nothing."""

        pool = workers.WorkerPool(None, 4)
        busy = threading.Event()
        blocked = Connection()
        blocked.communicate = lambda: not busy.wait(WAIT_S)
        pool.put(blocked)

        def fail(*_, **__):
            raise RuntimeError("can't start new thread")

        self.patch(workers.threading, "Thread", fail)
        waiting = Connection()
        pool.put(waiting)
        self.assertEqual(1, pool.qsize)
        busy.set()
        self.assertTrue(waiting.handled.wait(WAIT_S))
