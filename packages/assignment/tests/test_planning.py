"""Tests of waxwinglever_assignment.planning."""

import types
from unittest import mock

import attrs
import pytest
import testtools

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import loads
from waxwinglever_assignment import planning
from waxwinglever_assignment import tables

NAMES = ("n1", "n2", "n3")
CAPACITIES = dict.fromkeys(NAMES, 100.0)


@pytest.mark.usefixtures("build")
class PlanningTest(testtools.TestCase):
    """Guards against ranges that move when they must not, or don't when."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def situation(self, **fields) -> planning.Situation:
        """Returns a calm situation with other values for some fields."""
        members = tuple(self.build.member(name) for name in NAMES)
        values = {
            "table": planning.first_table("dispatch", members, CAPACITIES),
            "members": members,
            "gone": (),
            "closed_zones": (),
            "rates": {},
            "capacities": CAPACITIES,
        }
        return planning.Situation(**(values | fields))

    def owners(self, table: tables.Table) -> dict[str, int]:
        counts = dict.fromkeys(NAMES, 0)
        for item in table.ranges:
            counts[item.node] += item.last - item.first + 1
        return counts

    def test_first_table_is_dealt_by_capacity(self):
        members = [self.build.member(name) for name in NAMES]
        table = planning.first_table(
            "dispatch", members, {"n1": 50.0, "n2": 100.0, "n3": 100.0}
        )
        owners = self.owners(table)
        self.assertAlmostEqual(0.2, owners["n1"] / 65_536, delta=0.02)

    def test_large_fleet_spreads_neighbouring_shards(self):
        # With one range a node, few nodes would hold all busy shards.
        names = [f"n{number}" for number in range(60)]
        members = [self.build.member(name) for name in names]
        table = planning.first_table(
            "dispatch", members, dict.fromkeys(names, 100.0)
        )
        tenth = table.ranges[-1].last // 10
        near = {item.node for item in table.ranges if item.last < tenth}
        self.assertGreater(len(near), 18)

    def test_moves_under_way_do_not_stop_the_balancing(self):
        # On a large fleet some range is nearly always under way.
        situation = self.situation()
        mine = tables.owned_ranges(situation.table, "n1")
        rates = {loads.bucket_of(item.first): 20.0 for item in mine}
        moving = {
            tables.owned_ranges(situation.table, "n2")[0].fence: {
                "to_node": "n3"
            }
        }
        planned = planning.plan(
            attrs.evolve(
                situation,
                table=tables.replace(situation.table, moving),
                rates=rates,
            ),
            True,
        )
        found = sum(1 for item in planned.ranges if item.to_node)
        self.assertGreater(found, 1)
        self.assertLessEqual(found, planning.MAX_BALANCE_MOVES)

    def test_calm_fleet_keeps_its_ranges(self):
        situation = self.situation()
        self.assertEqual(situation.table, planning.plan(situation, True))

    def test_cold_owners_keep_their_ranges(self):
        # After a loss of power one member warms up first.
        first = self.situation()
        members = tuple(
            attrs.evolve(member, cold=member.name != "n1")
            for member in first.members
        )
        situation = attrs.evolve(first, members=members)
        self.assertEqual(first.table, planning.plan(situation, False))

    def test_cold_members_get_no_ranges_while_others_can(self):
        first = self.situation()
        members = (
            attrs.evolve(first.members[0], state=fleets.DRAINING),
            attrs.evolve(first.members[1], cold=True),
            first.members[2],
        )
        planned = planning.plan(attrs.evolve(first, members=members), False)
        targets = {item.to_node for item in planned.ranges if item.to_node}
        self.assertEqual({"n3"}, targets)

    def test_missing_owner_keeps_its_ranges_until_it_is_gone(self):
        situation = self.situation()
        situation = attrs.evolve(situation, members=situation.members[1:])
        self.assertEqual(situation.table, planning.plan(situation, False))
        planned = planning.plan(attrs.evolve(situation, gone={"n1"}), False)
        self.assertEqual(0, self.owners(planned)["n1"])
        old = {item.fence for item in situation.table.ranges}
        for item in planned.ranges:
            if item not in situation.table.ranges:
                self.assertNotIn(item.fence, old)
                self.assertEqual("", item.handover)

    def test_present_owner_is_asked_to_hand_over(self):
        changes = (
            {"state": fleets.DRAINING},
            {"state": fleets.DOWN},
            {"leaving": True},
            {"zone": "closed"},
        )
        for change in changes:
            first = self.situation()
            members = (
                attrs.evolve(first.members[0], **change),
            ) + first.members[1:]
            planned = planning.plan(
                attrs.evolve(first, members=members, closed_zones={"closed"}),
                False,
            )
            for item in tables.owned_ranges(planned, "n1"):
                self.assertIn(item.to_node, ("n2", "n3"), change)
            self.assertEqual(self.owners(first.table), self.owners(planned))

    def test_move_to_a_lost_node_is_called_off(self):
        situation = self.situation()
        fence = tables.owned_ranges(situation.table, "n1")[0].fence
        table = tables.replace(situation.table, {fence: {"to_node": "gone"}})
        planned = planning.plan(attrs.evolve(situation, table=table), False)
        self.assertEqual(situation.table, planned)

    def test_hot_bucket_moves_away_from_its_neighbours(self):
        situation = self.situation()
        first = tables.owned_ranges(situation.table, "n1")[0]
        bucket = loads.bucket_of(first.first)
        rates = {bucket: 60.0, bucket + 1: 60.0}
        planned = planning.plan(attrs.evolve(situation, rates=rates), True)
        moving = [item for item in planned.ranges if item.to_node]
        self.assertEqual(1, len(moving))
        self.assertEqual(
            loads.BUCKET_SHARDS, moving[0].last - moving[0].first + 1
        )

    def test_bucket_that_overloads_any_node_stays(self):
        # Each move stops its keys for a moment, and none helps them.
        situation = self.situation()
        first = tables.owned_ranges(situation.table, "n1")[0]
        rates = {loads.bucket_of(first.first): 150.0}
        others = tables.owned_ranges(situation.table, "n2")
        rates |= {loads.bucket_of(item.first): 1.0 for item in others[:5]}
        capacities = CAPACITIES | {"n3": CAPACITIES["n3"] * 1.2}
        situation = attrs.evolve(situation, rates=rates, capacities=capacities)
        planned = planning.plan(situation, True)
        hot = tables.range_of(planned, first.first)
        self.assertEqual(("n1", ""), (hot.node, hot.to_node))

    def test_long_record_is_not_cut_further(self):
        situation = self.situation()
        first = tables.owned_ranges(situation.table, "n1")[0]
        bucket = loads.bucket_of(first.first)
        rates = {bucket: 60.0, bucket + 1: 60.0}
        count = len(situation.table.ranges)
        with mock.patch.object(planning, "MAX_RANGES", count):
            planned = planning.plan(attrs.evolve(situation, rates=rates), True)
        self.assertEqual(count, len(planned.ranges))

    def test_light_load_moves_nothing(self):
        situation = self.situation()
        first = tables.owned_ranges(situation.table, "n1")[0]
        rates = {loads.bucket_of(first.first): 20.0}
        planned = planning.plan(attrs.evolve(situation, rates=rates), True)
        self.assertEqual(situation.table, planned)

    def test_new_member_gets_ranges(self):
        situation = self.situation()
        members = situation.members + (self.build.member("n4"),)
        planned = planning.plan(
            attrs.evolve(
                situation,
                members=members,
                capacities=CAPACITIES | {"n4": 100.0},
            ),
            True,
        )
        targets = [item.to_node for item in planned.ranges if item.to_node]
        self.assertEqual({"n4"}, set(targets))

    def test_without_candidates_nothing_moves(self):
        situation = self.situation()
        situation = attrs.evolve(situation, members=(), gone=set(NAMES))
        self.assertEqual(situation.table, planning.plan(situation, True))
