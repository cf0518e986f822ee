"""Tests of waxwinglever_assignment.planner."""

import types

import pytest
import testtools

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import loads
from waxwinglever_assignment import planner as planners
from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased

HALF = (tables.LAST_SHARD + 1) // 2
SERVICE = "dispatch"


@pytest.mark.usefixtures("build")
class PlannerTest(testtools.TestCase):
    """Guards against a planner that trusts the records of a restored store."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        self.memory_store = memory_leased_store.MemoryLeasedStore(
            now=self.clock
        )
        self.node = self.build.node(self.memory_store, self.clock, "n1")
        self.other = self.build.node(self.memory_store, self.clock, "n2")
        self.planner = planners.Planner(
            self.node.fleet,
            self.node.session,
            self.node.session.store,
            lambda: (SERVICE,),
            frozenset,
            lambda: True,
            lambda member: loads.LoadReport({}, 0.0),
            lambda voter, owner: 0.0,
            lambda voter, era: None,
            self.build.ignore,
            now=self.clock,
            voter_executor=types.SimpleNamespace(map=map),
        )
        for node in (self.node, self.other):
            sessions.confirm(node.session)
        self.before_table = memory_leased_store.copy_store(self.memory_store)
        commits.create(
            self.node.session.store,
            tables.initial_table(
                SERVICE, [("n1", "n1@1", HALF), ("n2", "n2@1", HALF)], era=1
            ),
        )
        self.copy = memory_leased_store.copy_store(self.memory_store)
        self.run_pass()

    def run_pass(self):
        """Confirms the sessions, reads the store and makes one pass."""
        for node in (self.node, self.other):
            try:
                sessions.confirm(node.session)
            except leased.StoreRestored:
                sessions.forget_lease(node.session)
                sessions.confirm(node.session)
        replicas.read_prefix(self.node.replica)
        planners.run_pass(self.planner)
        self.planner.asked |= {"n1", "n2"}
        replicas.read_prefix(self.node.replica)

    def restore(self, copy):
        memory_leased_store.restore_store(self.memory_store, copy)
        self.run_pass()

    def run_for(self, duration_s):
        """Makes passes for some time."""
        end_s = self.clock.now_s + duration_s
        while self.clock.now_s < end_s:
            self.clock.now_s += 0.25
            self.run_pass()

    def table(self):
        return fleet_view.ownership_table(self.node.fleet, SERVICE)

    def report(self, name, *held):
        self.planner.reports[name] = loads.LoadReport({}, 0.0, 2, held)

    def test_ranges_held_through_a_restore_are_written_again(self):
        self.restore(self.copy)
        held = tables.Range(100, 200, "n2", "n2@1", 8_000, era=1)
        self.report("n2", held)
        self.run_pass()
        found = tables.range_at(self.table(), 150)
        self.assertEqual(
            (100, 200, "n2", 8_000, 2),
            (found.first, found.last, found.node, found.fence, found.era),
        )
        self.assertEqual(1, tables.range_at(self.table(), 99).era)

    def test_report_from_before_the_restore_is_ignored(self):
        self.restore(self.copy)
        held = tables.Range(100, 200, "n2", "n2@1", 8_000, era=1)
        self.planner.reports["n2"] = loads.LoadReport({}, 0.0, 1, (held,))
        self.run_pass()
        self.assertEqual("n1", tables.range_at(self.table(), 150).node)

    def test_range_that_nobody_reports_waits_for_the_end_of_all_grants(self):
        # A node that the restored table does not name may hold it.
        self.restore(self.copy)
        before = self.table()
        self.run_for(promises.EXPIRED_S - 0.5)
        self.assertEqual(before.ranges, self.table().ranges)
        self.run_for(1.0)
        for item in self.table().ranges:
            self.assertEqual(2, item.era)
            self.assertGreaterEqual(item.fence, 2 * tables.FENCES_PER_ERA)

    def test_table_that_was_lost_is_not_dealt_anew_to_others(self):
        # The owners go on under the fences of the lost table.
        held = self.table().ranges[0]
        self.restore(self.before_table)
        self.assertIsNone(self.table())
        self.run_for(planners.SETTLE_S + 1.0)
        self.assertTrue(all(item.era == 1 for item in self.table().ranges))
        self.report(held.node, held)
        self.run_pass()
        found = tables.range_at(self.table(), held.first)
        self.assertEqual((held.node, held.fence), (found.node, found.fence))

    def test_ranges_of_many_lost_owners_are_taken_over(self):
        # The store refuses a transaction with more than 32 conditions and
        # writes, and their ranges would stay without an owner.
        last = self.table().ranges[-1]
        table = tables.split_range(
            self.table(),
            last.fence,
            [last.last - 64 * number for number in range(60)],
        )
        table = tables.update_ranges(
            table,
            {
                item.fence: {"node": f"gone{number}", "instance": "x"}
                for number, item in enumerate(table.ranges[-60:])
            },
        )
        commits.commit(self.node.session.store, self.table(), table)
        self.run_for(sessions.TAKEOVER_WAIT_S + 2.0)
        owners = {item.node for item in self.table().ranges}
        self.assertEqual({"n1", "n2"}, owners)
