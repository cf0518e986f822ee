"""Tests of waxwinglever_assignment.tables."""

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_assignment import tables
from waxwinglever_model import exceptions

HALF = (tables.LAST_SHARD + 1) // 2
# The first fences of all parts.
FENCES = tuple(range(tables.PARTS, 2 * tables.PARTS))
TABLE = tables.initial_table("s", [("a", "a@1", HALF), ("b", "b@1", HALF)])


class TablesTest(testtools.TestCase):
    """Guards against shards with two owners or none, and reused fences."""

    def test_gap_or_overlap_is_refused(self):
        for first, last in ((1, 65_535), (0, 65_534), (0, 70_000)):
            item = tables.Range(first, last, "a", "a@1", 0)
            self.assertRaises(
                ValueError, tables.OwnershipTable, "s", (item,), FENCES
            )

    def test_range_that_spans_two_parts_is_refused(self):
        # Two owners could write its parts at the same time.
        first = attrs.evolve(TABLE.ranges[0], last=TABLE.ranges[1].last)
        self.assertRaises(
            ValueError,
            attrs.evolve,
            TABLE,
            ranges=(first,) + TABLE.ranges[2:],
        )

    def test_fence_of_another_part_is_refused(self):
        # An owner identifies its ranges by fence alone.
        first = attrs.evolve(TABLE.ranges[0], fence=TABLE.ranges[1].fence)
        self.assertRaises(
            ValueError,
            attrs.evolve,
            TABLE,
            ranges=(first,) + TABLE.ranges[1:],
        )

    def test_change_of_owner_allocates_a_new_fence(self):
        fence = TABLE.ranges[0].fence
        moved = tables.update_ranges(
            TABLE, {fence: {"node": "b", "instance": "b@1"}}
        )
        self.assertEqual(TABLE.next_fences[0], moved.ranges[0].fence)
        self.assertGreater(moved.next_fences[0], TABLE.next_fences[0])
        self.assertEqual(TABLE.next_fences[1:], moved.next_fences[1:])
        self.assertEqual(TABLE.ranges[1:], moved.ranges[1:])
        self.assertEqual([0], tables.changed_parts(TABLE, moved))

    def test_setting_the_next_owner_keeps_the_fence(self):
        fence = TABLE.ranges[0].fence
        moving = tables.update_ranges(TABLE, {fence: {"to_node": "b"}})
        self.assertEqual(fence, moving.ranges[0].fence)
        self.assertEqual("a", moving.ranges[0].node)

    def test_invalid_record_is_an_error(self):
        for data in (b"", b"{}", b'{"ranges": 1}', b"\xff"):
            self.assertRaises(exceptions.InvalidInput, tables.decode, data)

    def test_parts_in_wrong_order_are_refused(self):
        parts = [
            tables.decode(tables.encode(TABLE, part))
            for part in range(tables.PARTS)
        ]
        self.assertEqual(
            TABLE, tables.assemble_table("s", parts, tables.NO_VERSIONS)
        )
        self.assertRaises(
            exceptions.InvalidInput,
            tables.assemble_table,
            "s",
            parts[1:] + parts[:1],
            tables.NO_VERSIONS,
        )

    @hypothesis.given(
        strategies.lists(strategies.integers(0, tables.LAST_SHARD), max_size=8)
    )
    def test_split_keeps_owners_and_allocates_unique_fences(self, split_points):
        table = TABLE
        for item in TABLE.ranges:
            table = tables.split_range(table, item.fence, split_points)
        fences = [item.fence for item in table.ranges]
        self.assertEqual(len(fences), len(set(fences)))
        for shard in split_points + [0, HALF - 1, HALF, tables.LAST_SHARD]:
            self.assertEqual(
                tables.range_at(TABLE, shard).node,
                tables.range_at(table, shard).node,
            )

    def test_fences_of_a_later_era_are_above_all_earlier_ones(self):
        # The restored table has forgotten the fences of the last seconds.
        lost = TABLE
        for _ in range(100):
            fence = tables.range_at(lost, 0).fence
            lost = tables.update_ranges(lost, {fence: {"node": "b"}})
        restored = attrs.evolve(TABLE, era=1)
        fence = tables.range_at(restored, 0).fence
        restored = tables.update_ranges(restored, {fence: {"node": "c"}})
        self.assertGreater(
            tables.range_at(restored, 0).fence, tables.range_at(lost, 0).fence
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, tables.PARTS - 1),
                strategies.integers(0, tables.PART_SHARDS - 1),
                strategies.integers(0, tables.PART_SHARDS - 1),
                strategies.integers(1, 1_000),
            ),
            max_size=6,
        )
    )
    def test_held_ranges_replace_outdated_records_only(self, pieces):
        restored = attrs.evolve(
            TABLE,
            era=3,
            ranges=tuple(attrs.evolve(r, era=2) for r in TABLE.ranges),
        )
        held = []
        for number, (part, one, other, fence) in enumerate(pieces):
            start = part * tables.PART_SHARDS
            held.append(
                tables.Range(
                    start + min(one, other),
                    start + max(one, other),
                    "c",
                    "c@1",
                    (number + 1) * 8_000 + fence * tables.PARTS + part,
                    era=2,
                )
            )
        table = tables.confirm_held(restored, "c", held)
        fences = [item.fence for item in table.ranges]
        self.assertEqual(len(fences), len(set(fences)))
        confirmed: set[int] = set()
        for item in held:
            shards = set(range(item.first, item.last + 1))
            if shards & confirmed:
                continue
            confirmed |= shards
            for shard in (item.first, item.last):
                found = tables.range_at(table, shard)
                self.assertEqual(
                    ("c", item.fence, 3), (found.node, found.fence, found.era)
                )
        for item in table.ranges:
            if item.first not in confirmed:
                before = tables.range_at(restored, item.first)
                self.assertEqual((before.node, 2), (item.node, item.era))
