"""Tests of waxwinglever_assignment.replicas."""

import testtools

from waxwinglever_assignment import replicas
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased


def ignore(event: str, **fields) -> None:
    """Discards a log line."""
    del event, fields


class ReplicasTest(testtools.TestCase):
    """Guards against a follower that misses a change."""

    def setUp(self):
        super().setUp()
        self.memory_store = memory_leased_store.MemoryLeasedStore()
        self.store = memory_leased_store.connect(self.memory_store)
        self.write("p/1", b"1")
        self.replica = replicas.Replica(self.store, "p/", ignore, wait_s=0.0)
        replicas.read_prefix(self.replica)
        self.start = self.replica.version

    def write(self, key: str, value: bytes) -> None:
        """Writes one key into the store."""
        self.store.commit({}, [leased.Write(key, value)], [], 1)

    def changes_for(self, version: int) -> list[tuple[str, bool]]:
        """Returns what a follower gets: the key, and whether it exists."""
        found = replicas.changes_after(self.replica, version, 1, 0.0)
        return [(c.key, c.item is not None) for c in found.changes]

    def test_first_watch_after_a_failure_returns_at_once(self):
        # Until a watch has succeeded, all followers are refused. A watch that
        # waits for a change kept them at the store for a second.
        waits = []

        def watch(prefix, version, wait_s, era):
            del prefix, era
            waits.append(wait_s)
            return leased.Changes((), version)

        self.replica.watch = watch
        self.replica.wait_s = 1.0
        self.replica.disconnected = True
        replicas.apply_next_changes(self.replica)
        replicas.apply_next_changes(self.replica)
        self.assertEqual([0.0, 1.0], waits)
        self.assertFalse(self.replica.disconnected)

    def test_follower_gets_writes_and_removals_in_order(self):
        self.write("p/2", b"2")
        self.store.commit({}, [], ["p/1"], 1)
        replicas.apply_next_changes(self.replica)
        self.assertEqual(
            [("p/2", True), ("p/1", False)], self.changes_for(self.start)
        )

    def test_follower_gets_only_changes_after_its_version(self):
        self.write("p/2", b"2")
        replicas.apply_next_changes(self.replica)
        version_between = self.replica.version
        self.write("p/3", b"3")
        replicas.apply_next_changes(self.replica)
        self.assertEqual([("p/3", True)], self.changes_for(version_between))
        self.assertEqual([], self.changes_for(self.replica.version))

    def test_removal_found_by_reading_the_prefix_is_reported(self):
        # The store has dropped its history, so no watch returns the removal.
        self.store.commit({}, [], ["p/1"], 1)
        self.write("p/2", b"2")
        memory_leased_store.compact_history(self.memory_store)
        self.assertRaises(
            leased.HistoryCompacted, replicas.apply_next_changes, self.replica
        )
        replicas.read_prefix(self.replica)
        self.assertEqual(
            [("p/2", True), ("p/1", False)], self.changes_for(self.start)
        )

    def test_follower_older_than_the_history_is_refused(self):
        for number in range(replicas.MAX_HISTORY + 1):
            self.write("p/2", str(number).encode())
            replicas.apply_next_changes(self.replica)
        self.assertRaises(leased.HistoryCompacted, self.changes_for, self.start)

    def test_history_of_large_values_is_bounded_in_bytes(self):
        # A reader kept 512 values, 158 MB of configurations.
        large = b"x" * 1_000_000
        for _ in range(20):
            self.write("p/2", large)
            replicas.apply_next_changes(self.replica)
        kept = len(self.replica.history) * len(large)
        self.assertLessEqual(kept, replicas.MAX_HISTORY_BYTES)
        self.assertEqual(kept, self.replica.history_bytes)
        self.assertEqual(
            [("p/2", True)], self.changes_for(self.replica.version - 1)
        )
        self.assertRaises(leased.HistoryCompacted, self.changes_for, self.start)

    def test_replica_that_was_never_read_refuses_followers(self):
        self.replica = replicas.Replica(self.store, "p/", ignore)
        self.assertRaises(leased.HistoryCompacted, self.changes_for, 5)

    def test_applying_changes_returns_whether_there_were_any(self):
        # The thread pauses only after a change.
        self.assertFalse(replicas.apply_next_changes(self.replica))
        self.write("p/2", b"2")
        self.assertTrue(replicas.apply_next_changes(self.replica))

    def test_restored_store_replaces_items_of_higher_versions(self):
        copy = memory_leased_store.copy_store(self.memory_store)
        self.write("p/1", b"lost")
        self.write("p/2", b"lost")
        replicas.apply_next_changes(self.replica)
        memory_leased_store.restore_store(self.memory_store, copy)
        self.store.get("p/1")
        self.assertRaises(
            leased.StoreRestored, replicas.apply_next_changes, self.replica
        )
        replicas.read_prefix(self.replica)
        values = {k: i.value for k, i in self.replica.items.items()}
        self.assertEqual({"p/1": b"1"}, values)
        self.assertEqual(copy.version, self.replica.version)

    def test_changes_after_a_restore_are_watched_without_listing_again(self):
        copy = memory_leased_store.copy_store(self.memory_store)
        self.write("p/1", b"lost")
        replicas.apply_next_changes(self.replica)
        memory_leased_store.restore_store(self.memory_store, copy)
        replicas.read_prefix(self.replica)
        self.memory_store.calls.clear()
        self.store.commit({}, [leased.Write("p/2", b"2")], [], 2)
        replicas.apply_next_changes(self.replica)
        self.assertIn("p/2", self.replica.items)
        self.assertNotIn("list", self.memory_store.calls)

    def test_follower_of_an_earlier_era_is_refused(self):
        # Its version may be above all versions since the restore, so it would
        # get no changes for a long time.
        copy = memory_leased_store.copy_store(self.memory_store)
        self.write("p/1", b"lost")
        replicas.apply_next_changes(self.replica)
        version = self.replica.version
        memory_leased_store.restore_store(self.memory_store, copy)
        replicas.read_prefix(self.replica)
        self.assertRaises(leased.HistoryCompacted, self.changes_for, version)

    def test_item_from_before_a_restore_is_not_current(self):
        copy = memory_leased_store.copy_store(self.memory_store)
        memory_leased_store.restore_store(self.memory_store, copy)
        self.assertIsNotNone(replicas.current_item(self.replica, "p/1"))
        self.store.get("p/1")
        self.assertIsNone(replicas.current_item(self.replica, "p/1"))
