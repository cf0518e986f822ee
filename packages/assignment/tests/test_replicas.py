"""Tests of waxwinglever_assignment.replicas."""

import testtools

from waxwinglever_assignment import replicas
from waxwinglever_standins import leased_memory
from waxwinglever_store import leased


def ignore(event: str, **fields) -> None:
    """Takes a log line."""
    del event, fields


class ReplicasTest(testtools.TestCase):
    """Guards against a follower that misses a change of its reader."""

    def setUp(self):
        super().setUp()
        self.memory = leased_memory.Memory()
        self.store = leased_memory.connect(self.memory)
        self.write("p/1", b"1")
        self.replica = replicas.Replica(self.store, "p/", ignore, wait_s=0.0)
        replicas.load(self.replica)
        self.start = self.replica.version

    def write(self, key: str, value: bytes) -> None:
        """Writes one key into the store."""
        self.store.commit({}, [leased.Write(key, value)], [])

    def told(self, version: int) -> list[tuple[str, bool]]:
        """Returns what a follower at a version is told."""
        found = replicas.changes_after(self.replica, version, 0.0)
        return [(c.key, c.item is not None) for c in found.changes]

    def test_follower_gets_writes_and_removals_in_order(self):
        self.write("p/2", b"2")
        self.store.commit({}, [], ["p/1"])
        replicas.follow(self.replica)
        self.assertEqual([("p/2", True), ("p/1", False)], self.told(self.start))

    def test_follower_gets_only_what_it_has_not(self):
        self.write("p/2", b"2")
        replicas.follow(self.replica)
        between = self.replica.version
        self.write("p/3", b"3")
        replicas.follow(self.replica)
        self.assertEqual([("p/3", True)], self.told(between))
        self.assertEqual([], self.told(self.replica.version))

    def test_removal_that_only_a_list_shows_is_told(self):
        # The history of the store is gone, so no watch brings the removal.
        self.store.commit({}, [], ["p/1"])
        self.write("p/2", b"2")
        leased_memory.forget_history(self.memory)
        self.assertRaises(leased.HistoryGone, replicas.follow, self.replica)
        replicas.load(self.replica)
        self.assertEqual([("p/2", True), ("p/1", False)], self.told(self.start))

    def test_follower_from_before_the_history_is_refused(self):
        for number in range(replicas.HISTORY + 1):
            self.write("p/2", str(number).encode())
            replicas.follow(self.replica)
        self.assertRaises(leased.HistoryGone, self.told, self.start)

    def test_replica_that_has_read_nothing_refuses(self):
        self.replica = replicas.Replica(self.store, "p/", ignore)
        self.assertRaises(leased.HistoryGone, self.told, 5)

    def test_change_is_reported_so_that_the_thread_pauses(self):
        self.assertFalse(replicas.follow(self.replica))
        self.write("p/2", b"2")
        self.assertTrue(replicas.follow(self.replica))
