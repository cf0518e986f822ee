"""Tests of waxwinglever_backend.http against the stand-in."""

import contextlib
import json
import socket
import threading

import testtools

from waxwinglever_backend import calls
from waxwinglever_backend import http
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_standins import backend as backend_state
from waxwinglever_standins import backend_http
from waxwinglever_standins import serving

ADDRESS = "127.0.0.1:17511"
NOBODY = "127.0.0.1:17512"
LONG_MS = 30_000
HOUR_NS = 3_600 * 10**9
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
SIZED = OK + b"Content-Length: 5000000\r\n\r\n"
# What a server sends before it closes the connection, None for nothing until
# the time ends, and whether the client must take it for a crash.
BROKEN = (
    (b"", True),
    (OK + b"Content-Le", True),
    (OK + b"Content-Length: 0\r\n", True),
    (OK + b"Content-Length: 0\r\nBackend-Bo", True),
    (OK + b"Content-Length: 10\r\n\r\nabc", True),
    (CHUNKED + b"3\r\nabc\r\n", True),
    (CHUNKED + b"5\r\nabc", True),
    (OK + b"\r\nabc", False),
    (None, False),
    (SIZED + b"x" * 5_000_000, False),
    (b"garbage\r\n\r\n", False),
)
BAD_ORDERS = (
    {"method": "GE\nT"},
    {"headers": (("Na:me", "v"),)},
    {"headers": (("Name", "v\r\nInjected: w"),)},
    {"headers": (("Name", "ключ"),)},
)


def order(**changed) -> calls.Order:
    fields = {
        "call_id": "c1",
        "method": "POST",
        "path": "/echo",
        "headers": (),
        "body": b"",
        "timeout_ms": LONG_MS,
    }
    return calls.Order(**{**fields, **changed})


def fence(epoch: int, left_ns: int = HOUR_NS, start: int = 2**63):
    return calls.Fence(start, epoch, clock.boottime_ns() + left_ns)


class BackendTest(testtools.TestCase):
    """Base: the client and a stand-in in the same process."""

    def setUp(self):
        super().setUp()
        self.crashes = []
        self.backend = backend_state.Backend(
            backend_state.Settings(slots=2, service_s=0.0),
            crash=lambda: self.crashes.append(1),
        )
        handle = backend_http.handler(self.backend)
        server = serving.serve(ADDRESS, handle, threads=8)
        self.addCleanup(server.close)
        self.addCleanup(backend_state.stop_all, self.backend)
        self.calls = http.http_backend(ADDRESS, connections=4)
        self.addCleanup(self.calls.close)

    def start_long(self, call_id="long"):
        """Starts a long order in a thread; returns thread and results."""
        results = []
        slow = order(
            call_id=call_id, headers=(("Standin-Service-Ms", str(LONG_MS)),)
        )
        count = len(self.backend.running)
        thread = threading.Thread(
            target=lambda: results.append(self.calls.send(slow))
        )
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(backend_state.stop_all, self.backend)
        pause = threading.Event()
        while len(self.backend.running) == count:
            pause.wait(0.01)
        return thread, results


class AnswerTest(BackendTest):
    """Guards against answers that are changed, cut or mixed up."""

    def test_bodies_arrive_whole(self):
        for body in (b"", b"\0\xff" * 10, b"x" * limits.MAX_BODY_BYTES):
            answer = self.calls.send(order(body=body))
            self.assertEqual((200, body), (answer.status, answer.body))
            self.assertEqual(self.backend.boot_id, answer.boot_id)

    def test_method_path_and_key_arrive(self):
        sent = order(
            method="PUT",
            path="/jobs/1?a=b",
            headers=(("Waxwinglever-Key", "k1"), ("Connection", "close")),
        )
        document = json.loads(self.calls.send(sent).body)
        found = (document["method"], document["path"], document["key"])
        self.assertEqual(("PUT", "/jobs/1", "k1"), found)

    def test_concurrent_orders_get_their_own_answers(self):
        self.backend.settings = backend_state.Settings(slots=50)
        wrong = []

        def send_some(name):
            for i in range(20):
                body = f"{name}-{i}".encode()
                if self.calls.send(order(body=body)).body != body:
                    wrong.append(body)

        threads = [
            threading.Thread(target=send_some, args=(n,)) for n in range(4)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], wrong)
        self.assertEqual(80, len(self.backend.log))

    def test_the_log_shows_each_execution(self):
        headers = (
            ("Waxwinglever-Key", "k1"),
            ("Waxwinglever-Request-Id", "r1"),
        )
        self.calls.send(order(headers=headers, fence=fence(3)))
        self.calls.send(order(call_id="c2"))
        answer = self.calls.send(
            order(method="GET", path="/_backend/log?after=0")
        )
        first, second = json.loads(answer.body)["executions"]
        found = [first[n] for n in ("call_id", "key", "request_id", "epoch")]
        self.assertEqual(["c1", "k1", "r1", 3], found)
        self.assertEqual("c2", second["call_id"])
        self.assertTrue(first["start_ns"] <= first["end_ns"])

    def test_health_and_drain(self):
        self.assertEqual("ready", self.calls.health().state)
        self.calls.send(order(path="/_backend/drain"))
        health = self.calls.health()
        expected = calls.Health(self.backend.boot_id, "draining")
        self.assertEqual(expected, health)


class NotRunTest(BackendTest):
    """Guards against a claim "not run" that is not true, or is missing."""

    def refused(self, kind, sent, client=None):
        self.assertRaises(kind, (client or self.calls).send, sent)
        self.assertEqual(0, len(self.backend.log))

    def test_no_server(self):
        client = http.http_backend(NOBODY)
        self.addCleanup(client.close)
        self.refused(exceptions.BackendUnavailable, order(), client)
        self.assertRaises(exceptions.BackendUnavailable, client.health)
        client.cancel("c1")

    def test_draining(self):
        backend_state.stop_all(self.backend)
        self.refused(exceptions.Draining, order())

    def test_shed(self):
        self.start_long("a")
        self.start_long("b")
        self.refused(exceptions.Overloaded, order())

    def test_cold_start(self):
        self.backend.settings = backend_state.Settings(
            cold_start_s=3600, cold_slots=1
        )
        self.start_long()
        self.refused(exceptions.Overloaded, order())

    def test_no_free_connection(self):
        client = http.http_backend(ADDRESS, connections=1)
        self.addCleanup(client.close)
        self.calls, kept = client, self.calls
        self.start_long()
        self.calls = kept
        self.refused(exceptions.Overloaded, order(timeout_ms=50), client)

    def test_fences(self):
        self.calls.send(order(fence=fence(5)))
        self.backend.log.clear()
        for refused in (fence(4), fence(5, left_ns=-1)):
            self.refused(exceptions.NotOwner, order(fence=refused))
        for accepted in (fence(5), fence(6), fence(1, start=0)):
            self.calls.send(order(fence=accepted))

    def test_fences_that_are_not_checked(self):
        self.backend.settings = backend_state.Settings(checks_fences=False)
        for accepted in (fence(5), fence(4), fence(5, left_ns=-1)):
            self.calls.send(order(fence=accepted))

    def test_requests_that_can_not_be_sent(self):
        for changed in BAD_ORDERS:
            self.refused(exceptions.BadRequest, order(**changed))
        self.calls.send(order())


class StopTest(BackendTest):
    """Guards against work that outlives its deadline or cancellation."""

    def test_a_cancelled_order_ends(self):
        thread, results = self.start_long()
        self.calls.cancel("other")
        self.calls.cancel("long")
        thread.join()
        self.assertEqual(504, results[0].status)
        self.assertEqual(backend_state.CANCELLED, self.backend.log[0].end)

    def test_the_server_stops_at_the_deadline(self):
        work = backend_state.Work("c", timeout_s=0.01, service_s=3600)
        ended = backend_state.run(self.backend, work)
        self.assertEqual(backend_state.TIMEOUT, ended.end)

    def test_a_frozen_server_is_a_timeout_not_a_crash(self):
        backend_state.set_faults(self.backend, {"freeze_s": 3600})
        error = self.assertRaises(
            calls.BrokenAnswer, self.calls.send, order(timeout_ms=100)
        )
        self.assertFalse(error.crashed)
        backend_state.set_faults(self.backend, {"freeze_s": 0})

    def test_a_crash_is_reported_as_one(self):
        body = b"a" + backend_state.CRASH_BYTES
        error = self.assertRaises(
            calls.BrokenAnswer, self.calls.send, order(body=body)
        )
        self.assertTrue(error.crashed)
        self.assertEqual(1, len(self.crashes))

    def test_too_many_orders_crash_a_cold_server(self):
        self.backend.settings = backend_state.Settings(
            cold_start_s=3600, cold_slots=1, cold_crash=True
        )
        self.start_long()
        self.assertRaises(calls.BrokenAnswer, self.calls.send, order())
        self.assertEqual(1, len(self.crashes))


class BrokenAnswerTest(testtools.TestCase):
    """Guards against a wrong claim about a request without an answer."""

    def setUp(self):
        super().setUp()
        host, port = ADDRESS.split(":")
        self.closed = threading.Event()
        self.listener = socket.create_server((host, int(port)))
        self.addCleanup(self.listener.close)
        self.calls = http.http_backend(ADDRESS)
        self.addCleanup(self.calls.close)

    def serve(self, *scripts):
        """Answers each connection's requests with the bytes of its script."""

        def run():
            for script in scripts:
                connection, _ = self.listener.accept()
                with connection:
                    for data in script:
                        connection.recv(65_536)
                        if data is None:
                            connection.recv(65_536)
                        else:
                            connection.sendall(data)
                self.closed.set()

        def run_quietly():
            # The client may close first.
            with contextlib.suppress(OSError):
                run()

        thread = threading.Thread(target=run_quietly)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(self.unblock)
        return thread

    def unblock(self):
        """Ends the waits of a server whose client never came."""
        self.calls.close()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)

    def test_answers_that_break(self):
        for data, crashed in BROKEN:
            thread = self.serve([data])
            timeout_ms = LONG_MS if data is not None else 100
            error = self.assertRaises(
                calls.BrokenAnswer,
                self.calls.send,
                order(timeout_ms=timeout_ms),
            )
            self.assertEqual(crashed, error.crashed, (data or b"")[:60])
            thread.join()

    def test_answers_without_a_body_are_complete(self):
        for status in (b"204 No Content", b"304 Not Modified"):
            thread = self.serve([b"HTTP/1.1 " + status + b"\r\n\r\n"])
            self.assertEqual(b"", self.calls.send(order()).body)
            thread.join()

    def test_a_chunked_answer_arrives_whole(self):
        thread = self.serve([CHUNKED + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"])
        self.assertEqual(b"abcde", self.calls.send(order()).body)
        thread.join()

    def test_a_connection_closed_while_idle_is_replaced(self):
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        thread = self.serve([ok], [ok])
        self.calls.send(order())
        self.closed.wait()
        self.calls.send(order())
        thread.join()

    def test_a_connection_closed_on_the_next_request_is_unknown(self):
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        self.serve([ok, b""])
        self.calls.send(order())
        self.assertRaises(calls.BrokenAnswer, self.calls.send, order())

    def test_a_connection_idle_for_long_is_not_reused(self):
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        thread = self.serve([ok, b""], [ok])
        self.patch(http, "MAX_IDLE_S", 0.0)
        self.calls.send(order())
        self.calls.send(order())
        thread.join()
