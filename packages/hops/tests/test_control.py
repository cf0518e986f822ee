"""Tests of waxwinglever_hops.control."""

import socket
import threading
import time
import types
from unittest import mock

import attrs
import hypothesis
import msgspec
import testtools
import urllib3
from hypothesis import strategies
from urllib3 import connection

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import promises
from waxwinglever_assignment import readers
from waxwinglever_hops import control
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
from waxwinglever_standins import scripted_server
from waxwinglever_store import leased


def make_changes(value: bytes) -> leased.Changes:
    """Returns a change of one key to a value."""
    item = leased.Item("routing", value, 7, 0)
    return leased.Changes((leased.Change(item.key, item.version, item),), 8)


def make_config(routes: int) -> bytes:
    """Returns a stored configuration with a number of routes."""
    return msgspec.json.encode(
        [
            {"name": f"r-{number * 7919:x}", "prefix": f"/p{number}/"}
            | {"type": "safe", "timeout_ms": 1500, "target_ms": 1077}
            | {"priority": 2, "service": "ledger", "max_attempts": 2}
            for number in range(routes)
        ]
    )


# Bytes that a full link leaves for a response in each PIECE_S.
PIECE_BYTES = 4_096
PIECE_S = 0.1


class FullLink:
    """A reader behind a full link, which sends one response piece by piece.

    Attributes:
      response: The response that the reader sends.
      wait_s: How long the reader waits for a change before it answers.
      address: host:port of the reader.
    """

    def __init__(self, response: http_client.Response, wait_s: float):
        self.response = response
        self.wait_s = wait_s
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        """Answers one request; runs in a thread."""
        conn, _ = self.listener.accept()
        with conn:
            conn.recv(65_536)
            time.sleep(self.wait_s)
            lines = [f"HTTP/1.1 {self.response.status} OK"]
            lines += [f"{n}: {v}" for n, v in self.response.headers]
            lines += [f"Content-Length: {len(self.response.body)}", "", ""]
            data = "\r\n".join(lines).encode() + self.response.body
            try:
                for start in range(0, len(data), PIECE_BYTES):
                    conn.sendall(data[start : start + PIECE_BYTES])
                    time.sleep(PIECE_S)
            except OSError:
                # The caller has given up.
                return


class ChangesTest(testtools.TestCase):
    """Guards against changes that take too long to reach a follower."""

    def send(self, changes: leased.Changes) -> http_client.Response:
        """Returns the response with changes as its receiver reads it."""
        response = control.encode_changes(changes, 0.0)
        headers = tuple((n.lower(), v) for n, v in response.headers)
        return http_client.Response(response.status, headers, response.body)

    def fetch(self, changes: leased.Changes) -> leased.Changes:
        """Returns changes that a reader sends late in its wait, on a full link.

        The pool of connections allows 0.3 s for a handshake.
        """
        wait_s = readers.FOLLOWER_WAIT_S
        link = FullLink(self.send(changes), wait_s)
        self.addCleanup(link.listener.close)
        reader = fleet_view.Member("n1", "1", link.address, "a", "ledger")
        fetch_changes = control.changes_client(connection_pool.Client(0.3))
        return fetch_changes(reader, "op/", 1, 1, wait_s)

    def test_large_configuration_fits_a_slow_link(self):
        # On a link of 5 Mbit/s, 62,500 bytes take a tenth of a second. The
        # uncompressed response took half a second, and one that was cut at its
        # timeout began again.
        response = self.send(make_changes(make_config(1_550)))
        self.assertLess(len(response.body), 62_500)

    def test_changes_that_come_late_in_the_wait_are_not_cut(self):
        # A change at the end of the reader's wait had 0.4 s to arrive. The
        # transfer was cut on a full link and began again at the store.
        changes = make_changes(make_config(1_550))
        self.assertEqual(changes, self.fetch(changes))

    def test_handshake_on_a_full_link_is_waited_for(self):
        # A node whose packets wait for 0.5 s could open no connection to any
        # reader within 0.3 s, and learned of no change for 8 s.
        handshake_s = 0.5
        connect = connection.HTTPConnection.connect

        def connect_slowly(conn):
            if conn.timeout < handshake_s:
                raise urllib3.exceptions.ConnectTimeoutError()
            time.sleep(handshake_s)
            connect(conn)

        self.patch(connection.HTTPConnection, "connect", connect_slowly)
        changes = make_changes(b"x")
        self.assertEqual(changes, self.fetch(changes))

    def test_call_without_a_wait_returns_at_once(self):
        # A follower that has lost a reader would wait again at the next one.
        calls = []

        def wait_for_changes(*args):
            calls.append(args[1:])
            return make_changes(b"x")

        def control_request(_, __, path, *___, **____):
            response = control.handle(endpoint, path)
            return http_client.Response(response.status, (), response.body)

        self.patch(readers, "wait_for_changes", wait_for_changes)
        self.patch(control, "control_request", control_request)
        endpoint = types.SimpleNamespace(replicas={"op/": object()})
        reader = fleet_view.Member("n1", "1", "127.0.0.1:1", "a", "ledger")
        fetch = control.changes_client(None)
        for wait_s in (readers.FOLLOWER_WAIT_S, 0.0):
            fetch(reader, "op/", 4, 2, wait_s)
        self.assertEqual([(4, 2, readers.FOLLOWER_WAIT_S), (4, 2, 0.0)], calls)

    def test_time_for_which_a_watcher_is_current_arrives(self):
        # Without it a reader that follows a watcher refuses its followers, and
        # all of them turn to the store.
        sent = attrs.evolve(make_changes(b"x"), current_s=1.25)
        self.patch(readers, "wait_for_changes", lambda *_: sent)
        endpoint = types.SimpleNamespace(replicas={"op/": object()})
        response = control.handle_changes(endpoint, "1/4/op/")
        self.assertEqual(
            1.25,
            control.decode_changes(
                http_client.Response(200, (), response.body)
            ).current_s,
        )

    def test_changes_of_any_size_arrive_unchanged(self):
        for routes in (0, 1, 1_550):
            changes = make_changes(make_config(routes))
            self.assertEqual(
                changes, control.decode_changes(self.send(changes))
            )

    def test_small_change_is_not_compressed(self):
        self.assertEqual((), self.send(make_changes(b"x" * 1_000)).headers)

    def test_only_the_last_value_of_a_key_is_sent(self):
        # After a series of configurations, a follower got all of them.
        values = [leased.Item("routing", b"x", n, 0) for n in (3, 5, 6)]
        changes = leased.Changes(
            (
                leased.Change("routing", 3, values[0]),
                leased.Change("other", 4, None),
                leased.Change("routing", 5, values[1]),
                leased.Change("routing", 6, values[2]),
            ),
            9,
        )
        self.assertEqual(
            leased.Changes(
                (
                    leased.Change("other", 4, None),
                    leased.Change("routing", 6, values[2]),
                ),
                9,
            ),
            control.latest_changes(changes),
        )


class AnswersTest(testtools.TestCase):
    """Guards against a part of an answer that is taken for a statement."""

    def setUp(self):
        super().setUp()
        self.voter = scripted_server.start()
        self.addCleanup(scripted_server.stop, self.voter)
        self.patch(control, "last_known_address", lambda *_: self.voter.address)
        self.request_clearance = control.clearance_client(
            connection_pool.Client(0.3), None
        )

    def answer(self, data: bytes) -> None:
        """Sets what the voter answers."""
        self.voter.data = data

    def test_clearance_without_a_length_is_none(self):
        # Of a promise that lasts 12.5 s, 1 s was left, and the ranges of the
        # owner went to another one too soon.
        self.answer(b"HTTP/1.1 200 OK\r\n\r\n1")
        self.assertRaises(
            exceptions.PeerUnavailable, self.request_clearance, "n2", "n1"
        )
        self.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5")
        self.assertEqual(12.5, self.request_clearance("n2", "n1"))

    def encode(self, status: int, body: bytes) -> bytes:
        """Returns a response with its length."""
        head = f"HTTP/1.1 {status} \r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body

    def test_clearance_is_a_time_or_null(self):
        # A negative time or the body of a failure would count as a promise that
        # has ended; other values raise errors that the planner can't expect.
        self.answer(self.encode(200, b"null"))
        self.assertIsNone(self.request_clearance("n2", "n1"))
        answers = [(200, body) for body in (b"", b'"1"', b"[]", b"{}", b"true")]
        answers += [
            (200, body) for body in (b"NaN", b"-1", b"1 2", b"[" * 9999)
        ]
        answers += [(status, b"0") for status in (201, 400, 404, 500, 503)]
        for status, body in answers:
            self.answer(self.encode(status, body))
            self.assertRaises(
                exceptions.PeerUnavailable, self.request_clearance, "n2", "n1"
            )

    @hypothesis.given(strategies.binary(max_size=8))
    def test_any_bytes_are_a_time_or_raise_peer_unavailable(self, body):
        try:
            left_s = control.decode_left_s(body, "n2")
        except exceptions.PeerUnavailable:
            return
        self.assertTrue(left_s is None or 0 <= left_s < float("inf"))

    @hypothesis.given(strategies.integers(0), strategies.integers(0, 255))
    def test_spoiled_changes_raise_peer_unavailable_only(self, at, value):
        for changes in (make_changes(b"x"), make_changes(make_config(400))):
            sent = control.encode_changes(changes, 0.0)
            headers = tuple((n.lower(), v) for n, v in sent.headers)
            for cut in (False, True):
                body = bytearray(sent.body)
                spoiled_at = at % len(body)
                if cut:
                    del body[spoiled_at:]
                else:
                    body[spoiled_at] = value
                response = http_client.Response(200, headers, bytes(body))
                with mock.patch.object(
                    control, "control_request", return_value=response
                ):
                    fetch = control.changes_client(None)
                    reader = fleet_view.Member("n1", "1", "x:1", "a", "ledger")
                    try:
                        taken = fetch(reader, "op/", 4, 2, 0.0)
                    except exceptions.PeerUnavailable:
                        continue
                self.assertFalse(cut)
                self.assertIsInstance(taken, leased.Changes)


class PromisesTest(testtools.TestCase):
    """Guards against an owner that goes on without enough promises."""

    def setUp(self):
        super().setUp()
        self.answers = {}
        self.paths = set()
        self.record = promises.VoterList(("a", "b", "c"), ("x", "y", "z"))
        self.patch(control, "last_known_address", lambda _, name: name)
        self.patch(control, "control_call", self.answer)
        self.patch(fleet_view, "recent_voter_list", lambda _: self.record)
        self.request_promises = control.promise_client(
            None, None, "n1", types.SimpleNamespace(map=map)
        )

    def answer(self, _, address: str, path: str) -> bytes:
        """Answers a control call as the voter at an address does."""
        self.paths.add(path)
        return self.answers.get(address, b"false")

    def promised_by(self, *names: str) -> bool:
        """Returns whether the promises of some voters suffice."""
        self.answers = dict.fromkeys(names, b"true")
        return self.request_promises(3)

    def test_recent_list_needs_a_majority_of_the_list_before_as_well(self):
        # The change of the list may be lost in a restore of the store. The
        # planner then asks the voters of the list before.
        self.assertFalse(self.promised_by("a", "b", "c", "x"))
        self.assertFalse(self.promised_by("a", "x", "y", "z"))
        self.assertTrue(self.promised_by("a", "b", "x", "y"))
        self.record = promises.VoterList(("a", "b", "c"))
        self.assertTrue(self.promised_by("a", "b"))

    def test_promise_is_asked_for_in_the_name_of_an_era(self):
        # A voter that has cleared this era must be able to refuse.
        self.promised_by("a")
        self.assertEqual({control.PROMISE_PATH + "3/n1"}, self.paths)

    def test_voter_without_a_valid_answer_has_not_promised(self):
        # An earlier version answers 404 without a body.
        for body in (b"", b"null", b"<html>", b"1", b'"false"', b"[0]"):
            self.answers = dict.fromkeys("abcxyz", body)
            self.assertFalse(self.request_promises(3))
