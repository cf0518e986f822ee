"""Tests of waxwinglever_assignment.commits."""

import attrs
import testtools

from waxwinglever_assignment import commits
from waxwinglever_assignment import eras
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased

HALF = (tables.LAST_SHARD + 1) // 2


def ignore(event: str, **fields) -> None:
    """Discards a log line."""
    del event, fields


class CommitsTest(testtools.TestCase):
    """Guards against a write that overwrites the change of another node."""

    def setUp(self):
        super().setUp()
        self.memory_store = memory_leased_store.MemoryLeasedStore()
        self.store = memory_leased_store.connect(self.memory_store)
        commits.create(
            self.store,
            tables.initial_table(
                "s", [("a", "a@1", HALF), ("b", "b@1", HALF)], era=1
            ),
        )
        self.replica = replicas.Replica(
            self.store, fleet_view.PREFIX, ignore, wait_s=0.0
        )
        self.fleet = fleet_view.FleetView(self.replica, ignore)
        replicas.read_prefix(self.replica)
        self.before = fleet_view.ownership_table(self.fleet, "s")

    def moved(self, *indices: int) -> tables.OwnershipTable:
        """Returns the table as read, with some ranges to move to node c."""
        fences = [self.before.ranges[index].fence for index in indices]
        return tables.update_ranges(
            self.before, {fence: {"to_node": "c"} for fence in fences}
        )

    def stored(self) -> list[str]:
        """Returns the node that each range in the store should move to."""
        replicas.apply_next_changes(self.replica)
        table = fleet_view.ownership_table(self.fleet, "s")
        return [item.to_node for item in table.ranges]

    def test_changes_of_different_parts_do_not_conflict(self):
        commits.commit(self.store, self.before, self.moved(0))
        commits.commit(self.store, self.before, self.moved(7))
        self.assertEqual(["c"] + [""] * 6 + ["c"], self.stored())

    def test_change_of_the_same_part_is_a_conflict(self):
        # The expected version is that of the table on which the change is
        # based, even if the replica has a newer one by now.
        commits.commit(self.store, self.before, self.moved(0))
        replicas.apply_next_changes(self.replica)
        changed = tables.split_range(
            self.before, self.before.ranges[0].fence, [99]
        )
        self.assertRaises(
            exceptions.Conflict,
            commits.commit,
            self.store,
            self.before,
            changed,
        )

    def test_owner_whose_entry_is_back_keeps_its_ranges(self):
        key = fleet_view.entry_key("a")
        self.store.commit({}, [leased.Write(key, b"{}")], [], 1)
        self.assertRaises(
            exceptions.Conflict,
            commits.commit,
            self.store,
            self.before,
            self.moved(0),
            [key],
        )

    def test_change_is_repeated_on_newer_parts(self):
        # Owners of neighbouring ranges hand over at the same time.
        commits.commit(self.store, self.before, self.moved(0))
        fence = self.before.ranges[0].fence

        def add_token(table):
            return tables.update_ranges(table, {fence: {"handover": "t"}})

        commits.update(self.store, self.before, add_token)
        replicas.apply_next_changes(self.replica)
        found = fleet_view.ownership_table(self.fleet, "s").ranges[0]
        self.assertEqual(("c", "t"), (found.to_node, found.handover))

    def test_change_that_is_no_longer_needed_is_not_written(self):
        commits.commit(self.store, self.before, self.moved(0))
        version = self.memory_store.version
        fence = self.before.ranges[0].fence

        def add_token(table):
            if table.ranges[0].to_node:
                return table
            return tables.update_ranges(table, {fence: {"handover": "t"}})

        commits.update(self.store, self.before, add_token)
        self.assertEqual(version, self.memory_store.version)

    def test_change_is_given_up_after_repeated_conflicts(self):
        def change_after_another(table):
            commits.update(
                self.store,
                table,
                lambda t: tables.update_ranges(
                    t, {t.ranges[0].fence: {"handover": f"{len(calls)}"}}
                ),
            )
            calls.append(1)
            return tables.update_ranges(
                table, {table.ranges[0].fence: {"to_node": "c"}}
            )

        calls = []
        self.assertRaises(
            exceptions.Conflict,
            commits.update,
            self.store,
            self.before,
            change_after_another,
        )
        self.assertEqual(commits.MAX_ATTEMPTS, len(calls))

    def test_late_change_of_an_earlier_era_has_no_effect(self):
        # The version that it expects was given out again after the restore.
        late_store = memory_leased_store.connect(self.memory_store)
        copy = memory_leased_store.copy_store(self.memory_store)
        commits.commit(self.store, self.before, self.moved(0))
        self.stored()
        lost = fleet_view.ownership_table(self.fleet, "s")
        memory_leased_store.restore_store(self.memory_store, copy)
        key = fleet_view.part_key("s", 0)
        value = self.memory_store.items[key].value
        for writes in (eras.markers(2), [leased.Write(key, value)]):
            self.memory_store.version = lost.versions[0] - 1
            restored = memory_leased_store.connect(self.memory_store)
            restored.commit({}, writes, [], 2)
        item = self.memory_store.items[key]
        self.assertEqual(lost.versions[0], item.version)
        late = tables.update_ranges(lost, {lost.ranges[0].fence: {"node": "c"}})
        self.assertRaises(
            leased.StoreRestored, commits.commit, late_store, lost, late
        )
        self.assertEqual(item, self.memory_store.items[key])

    def test_second_initial_table_is_a_conflict(self):
        table = tables.initial_table("s", [("c", "c@1", 2 * HALF)], era=1)
        self.assertRaises(
            exceptions.Conflict, commits.create, self.store, table
        )

    def test_merge_parts_changes_only_the_given_parts(self):
        after = self.moved(0, 3, 7)
        some = commits.merge_parts(self.before, after, [0, 3])
        self.assertEqual([0, 3], tables.changed_parts(self.before, some))

    def test_table_with_a_missing_part_is_none(self):
        self.store.commit({}, [], [fleet_view.part_key("s", 3)], 1)
        replicas.apply_next_changes(self.replica)
        self.assertIsNone(fleet_view.ownership_table(self.fleet, "s"))

    def test_table_with_an_invalid_part_is_logged_and_none(self):
        events = []
        self.fleet.log = lambda event, **_: events.append(event)
        fence = self.before.ranges[0].fence
        data = tables.encode(self.before, 0)
        bad = data.replace(str(fence).encode(), str(fence + 1).encode(), 1)
        key = fleet_view.part_key("s", 0)
        self.store.commit({}, [leased.Write(key, bad)], [], 1)
        replicas.apply_next_changes(self.replica)
        self.assertIsNone(fleet_view.ownership_table(self.fleet, "s"))
        self.assertEqual(["store-value-unreadable"], events)

    def test_unchanged_table_is_decoded_once(self):
        write = leased.Write(fleet_view.PREFIX + "x", b"")
        self.store.commit({}, [write], [], 1)
        replicas.apply_next_changes(self.replica)
        self.assertIs(self.before, fleet_view.ownership_table(self.fleet, "s"))

    def test_versions_are_not_part_of_equality(self):
        other = attrs.evolve(self.before, versions=tables.NO_VERSIONS)
        self.assertEqual(self.before, other)
