"""Tests of waxwinglever_store.http and of waxwinglever_standins.memory.

Both implementations must pass the same contract tests.
"""

import socket
import threading

import testtools

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_standins import memory
from waxwinglever_standins import serving
from waxwinglever_standins import store as store_state
from waxwinglever_standins import store_http
from waxwinglever_store import http


def free_address() -> str:
    """Returns a loopback address with a free port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


# Fixed ports would make concurrent test runs on one VM fail.
ADDRESS = free_address()
UNUSED_ADDRESS = free_address()
CLIENT = "127.0.0.2"
TIMEOUT_S = 0.3
LONG_WATCH_S = 30.0
# Each row: the injected faults, and whether a write during them takes effect.
FAULTS = (
    ({"down": True}, False),
    ({"down": True, "down_mode": "hang"}, False),
    ({"blocked_clients": ["127.0.0.9", CLIENT]}, False),
    ({"lose_answers": 1}, True),
    ({"lose_answers": 1, "lose_mode": "hang"}, True),
    ({"slow_s": 2 * TIMEOUT_S}, True),
)


class MemoryStoreTest(testtools.TestCase):
    """Guards against lost updates, and against wrong results during faults."""

    def setUp(self):
        super().setUp()
        self.state = store_state.new_store()
        self.addCleanup(store_state.close, self.state)
        self.client = self.open_client()
        self.addCleanup(self.client.close)

    def open_client(self):
        return memory.memory_store(self.state, CLIENT, TIMEOUT_S)

    def test_a_read_returns_the_last_write(self):
        self.assertIs(None, self.client.get("a/b"))
        first = self.client.compare_and_swap("a/b", "één", 0)
        second = self.client.compare_and_swap("a/b", "x" * 70_000, first)
        self.assertTrue(second > first)
        entry = self.client.get("a/b")
        self.assertEqual(("a/b", "x" * 70_000, second), entry_as_tuple(entry))

    def test_keys_with_special_characters_are_distinct(self):
        keys = ("a b", "a%20b", "a+b", "a?b=c&d", "a#b", "ключ")
        for key in keys:
            self.client.compare_and_swap(key, key, 0)
        for key in keys:
            self.assertEqual(key, self.client.get(key).value)

    def test_another_version_is_a_conflict_and_changes_nothing(self):
        version = self.client.compare_and_swap("k", "v", 0)
        for expected in (0, version + 1):
            self.assertRaises(
                exceptions.Conflict,
                self.client.compare_and_swap,
                "k",
                "w",
                expected,
            )
        self.assertEqual("v", self.client.get("k").value)

    def test_one_of_many_concurrent_writes_succeeds(self):
        results = []

        def write(value):
            try:
                results.append(self.client.compare_and_swap("k", value, 0))
            except exceptions.Conflict:
                results.append(0)

        threads = [
            threading.Thread(target=write, args=(str(i),)) for i in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(8, len(results))
        self.assertEqual(7, results.count(0))

    def test_a_version_is_not_reused_after_a_lease_ended(self):
        now_s = [self.state.now()]
        self.state.now = lambda: now_s[0]
        version = store_state.compare_and_swap(self.state, "k", "v", 0, 5.0)
        now_s[0] += 6.0
        self.assertIs(None, self.client.get("k"))
        again = self.client.compare_and_swap("k", "v", 0)
        self.assertTrue(again > version)

    def test_a_list_contains_exactly_the_keys_with_the_prefix(self):
        for key in ("p/a", "p/b", "q/a", "p"):
            self.client.compare_and_swap(key, key, 0)
        found = [entry.key for entry in self.client.list_prefix("p/")]
        self.assertEqual(["p/a", "p/b"], found)

    def test_a_value_over_the_size_limit_is_rejected(self):
        largest = "x" * limits.MAX_RECORD_BYTES
        self.client.compare_and_swap("k", largest, 0)
        self.assertEqual(largest, self.client.get("k").value)
        self.assertRaises(
            exceptions.InvalidInput,
            self.client.compare_and_swap,
            "l",
            largest + "x",
            0,
        )

    def test_a_watch_returns_at_once_for_another_version(self):
        version = self.client.compare_and_swap("k", "v", 0)
        entry = self.client.watch("k", 0, LONG_WATCH_S)
        self.assertEqual(version, entry.version)

    def test_a_watch_ends_without_a_change(self):
        version = self.client.compare_and_swap("k", "v", 0)
        self.assertIs(None, self.client.watch("k", version, 0.05))
        self.assertIs(None, self.client.watch("absent", 3, 0.05))

    def test_a_waiting_watch_returns_the_write(self):
        version = self.client.compare_and_swap("k", "v", 0)
        found = []
        thread = threading.Thread(
            target=lambda: found.append(
                self.client.watch("k", version, LONG_WATCH_S)
            )
        )
        thread.start()
        self.wait_for_watch()
        self.client.compare_and_swap("other", "v", 0)
        self.client.compare_and_swap("k", "w", version)
        thread.join()
        self.assertEqual("w", found[0].value)

    def test_a_waiting_watch_fails_when_the_store_goes_down(self):
        errors = []

        def watch():
            try:
                self.client.watch("k", 0, LONG_WATCH_S)
            except exceptions.StoreUnavailable as error:
                errors.append(error)

        thread = threading.Thread(target=watch)
        thread.start()
        self.wait_for_watch()
        store_state.set_faults(self.state, {"down": True})
        thread.join()
        self.assertEqual(1, len(errors))

    def wait_for_watch(self):
        """Waits until the store has received a watch."""
        pause = threading.Event()
        while not self.state.counters.watches:
            pause.wait(0.01)

    def test_writes_during_faults_raise_store_unavailable(self):
        for i, (faults, takes_effect) in enumerate(FAULTS):
            key = f"k{i}"
            store_state.set_faults(self.state, faults)
            self.assertRaises(
                exceptions.StoreUnavailable,
                self.client.compare_and_swap,
                key,
                "v",
                0,
            )
            self.wait_for_write(key if takes_effect else None)
            self.state.faults = store_state.Faults()
            entry = self.client.get(key)
            self.assertEqual(takes_effect, entry is not None, faults)

    def wait_for_write(self, key):
        """Waits until a delayed write has taken effect; None doesn't wait."""
        pause = threading.Event()
        while key is not None and key not in self.state.entries:
            pause.wait(0.01)

    def test_reads_during_faults_raise_store_unavailable(self):
        for faults, _ in FAULTS:
            if "lose_answers" in faults:
                continue
            store_state.set_faults(self.state, faults)
            for call, arguments in (
                (self.client.get, ("k",)),
                (self.client.list_prefix, ("k",)),
            ):
                self.assertRaises(exceptions.StoreUnavailable, call, *arguments)
            self.state.faults = store_state.Faults()

    def test_a_stale_read_does_not_weaken_a_write(self):
        first = self.client.compare_and_swap("k", "old", 0)
        second = self.client.compare_and_swap("k", "new", first)
        store_state.set_faults(self.state, {"stale_reads": True})
        self.assertEqual("old", self.client.get("k").value)
        self.assertRaises(
            exceptions.Conflict, self.client.compare_and_swap, "k", "x", first
        )
        self.client.compare_and_swap("k", "newer", second)

    def test_calls_over_the_rate_limit_get_an_error_with_a_remedy(self):
        self.state.now = lambda: 0.0
        for bucket in self.state.buckets.values():
            bucket.tokens, bucket.refilled_at_s = 1.0, 0.0
        self.client.compare_and_swap("k", "v", 0)
        self.client.get("k")
        for call, arguments in (
            (self.client.compare_and_swap, ("k", "v", 1)),
            (self.client.get, ("k",)),
            (self.client.watch, ("k", 0, LONG_WATCH_S)),
        ):
            error = self.assertRaises(
                exceptions.StoreUnavailable, call, *arguments
            )
            self.assertIn("less often", error.remedy)
        self.assertEqual(3, self.state.counters.over_rate)


class HttpStoreTest(MemoryStoreTest):
    """Guards against the same failures of the client over HTTP."""

    def open_client(self):
        handle = store_http.handler(self.state)
        server = serving.serve(ADDRESS, handle, threads=12)
        self.addCleanup(server.close)
        self.addCleanup(store_state.close, self.state)
        return http.new_http_client(ADDRESS, CLIENT, TIMEOUT_S)


class HttpFailureTest(testtools.TestCase):
    """Guards against errors other than StoreUnavailable for a faulty server."""

    def test_no_server_raises_store_unavailable(self):
        client = http.new_http_client(UNUSED_ADDRESS)
        self.addCleanup(client.close)
        self.assertRaises(exceptions.StoreUnavailable, client.get, "k")

    def test_malformed_responses_raise_store_unavailable(self):
        bodies = (b"", b"junk", b"[]", b"{}", b'{"key": "k"}', b"\xff", b"null")
        response_body = []
        server = serving.serve(
            ADDRESS, lambda request: serving.Response(200, response_body[0]), 2
        )
        self.addCleanup(server.close)
        client = http.new_http_client(ADDRESS)
        self.addCleanup(client.close)
        for body in bodies:
            response_body[:] = [body]
            for call, arguments in (
                (client.get, ("k",)),
                (client.compare_and_swap, ("k", "v", 0)),
                (client.list_prefix, ("k",)),
                (client.watch, ("k", 0, 0.1)),
            ):
                self.assertRaises(exceptions.StoreUnavailable, call, *arguments)


def entry_as_tuple(entry):
    return (entry.key, entry.value, entry.version)
