"""Tests of waxwinglever_model.cells."""

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_model import cells
from waxwinglever_model import hashing


def new_record(count: int) -> cells.CellRecord:
    """Returns a record with a number of equal slices."""
    return cells.CellRecord(
        "t/s/0", 1, "a", "i", "n", slices=cells.equal_slices(count)
    )


class SlicesTest(testtools.TestCase):
    """Guards against points without a slice or in a wrong slice."""

    @hypothesis.given(
        strategies.integers(1, 200), strategies.integers(0, hashing.SPACE - 1)
    )
    def test_slice_at_returns_the_slice_that_contains_the_point(
        self, count, point
    ):
        item = new_record(count).slice_at(point)
        self.assertTrue(item.start <= point <= item.last)

    def test_equal_slices_leave_no_gap(self):
        items = cells.equal_slices(7)
        self.assertEqual(0, items[0].start)
        self.assertEqual(hashing.SPACE - 1, items[-1].last)
        for left, right in zip(items, items[1:]):
            self.assertEqual(left.last + 1, right.start)

    def test_an_invalid_range_is_rejected(self):
        for start, last in ((5, 4), (-1, 3), (0, hashing.SPACE)):
            self.assertRaises(ValueError, cells.Slice, start, last)

    def test_a_record_without_slices_has_no_slice_at_a_point(self):
        self.assertIs(None, cells.CellRecord("c", 1, "a", "i", "n").slice_at(1))


class MajorityTest(testtools.TestCase):
    """Guards against two disjoint majorities."""

    def test_any_two_majorities_share_a_member(self):
        for count in range(1, 130):
            self.assertTrue(2 * cells.majority(count) > count)
