"""Tests of waxwinglever_hops.changes."""

import socket
import threading
import time
from unittest import mock

import attrs
import hypothesis
import msgspec
import testtools
import urllib3
from hypothesis import strategies
from urllib3 import connection

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import readers
from waxwinglever_hops import changes
from waxwinglever_hops import control_calls
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
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

    def send(self, sent: leased.Changes) -> http_client.Response:
        """Returns the response with changes as its receiver reads it."""
        response = changes.encode_changes(sent, 0.0)
        headers = tuple((n.lower(), v) for n, v in response.headers)
        return http_client.Response(response.status, headers, response.body)

    def fetch(self, sent: leased.Changes) -> leased.Changes:
        """Returns changes that a reader sends late in its wait, on a full link.

        The pool of connections allows 0.3 s for a handshake.
        """
        wait_s = readers.FOLLOWER_WAIT_S
        link = FullLink(self.send(sent), wait_s)
        self.addCleanup(link.listener.close)
        reader = fleet_view.Member("n1", "1", link.address, "a", "ledger")
        fetch_changes = changes.changes_client(connection_pool.Client(0.3))
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
        sent = make_changes(make_config(1_550))
        self.assertEqual(sent, self.fetch(sent))

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
        sent = make_changes(b"x")
        self.assertEqual(sent, self.fetch(sent))

    def test_call_without_a_wait_returns_at_once(self):
        # A follower that has lost a reader would wait again at the next one.
        calls = []

        def wait_for_changes(*args):
            calls.append(args[1:])
            return make_changes(b"x")

        def control_request(_, __, path, *___, **____):
            response = changes.handle_changes(
                copies, path.removeprefix(changes.CHANGES_PATH)
            )
            return http_client.Response(response.status, (), response.body)

        self.patch(readers, "wait_for_changes", wait_for_changes)
        self.patch(control_calls, "control_request", control_request)
        copies = {"op/": object()}
        reader = fleet_view.Member("n1", "1", "127.0.0.1:1", "a", "ledger")
        fetch = changes.changes_client(None)
        for wait_s in (readers.FOLLOWER_WAIT_S, 0.0):
            fetch(reader, "op/", 4, 2, wait_s)
        self.assertEqual([(4, 2, readers.FOLLOWER_WAIT_S), (4, 2, 0.0)], calls)

    def test_time_for_which_a_watcher_is_current_arrives(self):
        # Without it a reader that follows a watcher refuses its followers, and
        # all of them turn to the store.
        sent = attrs.evolve(make_changes(b"x"), current_s=1.25)
        self.patch(readers, "wait_for_changes", lambda *_: sent)
        copies = {"op/": object()}
        response = changes.handle_changes(copies, "1/4/op/")
        self.assertEqual(
            1.25,
            changes.decode_changes(
                http_client.Response(200, (), response.body)
            ).current_s,
        )

    def test_changes_of_any_size_arrive_unchanged(self):
        for routes in (0, 1, 1_550):
            sent = make_changes(make_config(routes))
            self.assertEqual(sent, changes.decode_changes(self.send(sent)))

    def test_small_change_is_not_compressed(self):
        self.assertEqual((), self.send(make_changes(b"x" * 1_000)).headers)

    def test_only_the_last_value_of_a_key_is_sent(self):
        # After a series of configurations, a follower got all of them.
        values = [leased.Item("routing", b"x", n, 0) for n in (3, 5, 6)]
        sent = leased.Changes(
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
            changes.latest_changes(sent),
        )

    @hypothesis.given(strategies.integers(0), strategies.integers(0, 255))
    def test_spoiled_changes_raise_peer_unavailable_only(self, at, value):
        for taken_from in (make_changes(b"x"), make_changes(make_config(400))):
            sent = changes.encode_changes(taken_from, 0.0)
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
                    control_calls, "control_request", return_value=response
                ):
                    fetch = changes.changes_client(None)
                    reader = fleet_view.Member("n1", "1", "x:1", "a", "ledger")
                    try:
                        taken = fetch(reader, "op/", 4, 2, 0.0)
                    except exceptions.PeerUnavailable:
                        continue
                self.assertFalse(cut)
                self.assertIsInstance(taken, leased.Changes)

    def test_confirmation_arrives_for_the_clock_of_the_receiver(self):
        # The sender's clock says nothing here; the request arrived later than
        # it was sent, so the confirmation is no later than this shows.
        sent = attrs.evolve(make_changes(b"x"), confirmed_s=5_000.25)
        response = changes.encode_changes(sent, 5_000.0)
        taken = changes.decode_changes(
            http_client.Response(200, (), response.body)
        )
        self.assertEqual(0.25, taken.confirmed_s)
        self.patch(
            control_calls,
            "control_request",
            lambda *_, **__: http_client.Response(200, (), response.body),
        )
        reader = fleet_view.Member("n1", "1", "127.0.0.1:1", "a", "ledger")
        asked_s = clock.boottime_s()
        fetched = changes.changes_client(None)(reader, "op/", 4, 2, 0.0)
        self.assertGreaterEqual(fetched.confirmed_s, round(asked_s, 3) + 0.25)
        self.assertLessEqual(fetched.confirmed_s, clock.boottime_s() + 0.251)

    def test_changes_of_an_earlier_version_confirm_nothing(self):
        body = b'{"changes":[],"version":8,"current_s":1.0}'
        taken = changes.decode_changes(http_client.Response(200, (), body))
        self.assertIsNone(changes.shift_confirmation(taken, 9.0).confirmed_s)
