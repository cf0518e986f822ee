"""Tests of waxwinglever_standins.granted_ranges."""

import attrs
import testtools

from waxwinglever_standins import granted_ranges

GRANTED_RANGE = granted_ranges.GrantedRange(100, 199, 7, 5.0)


class GrantedRangesTest(testtools.TestCase):
    """Guards against a release that frees too many or too few shards."""

    def test_subtract_range_returns_the_remaining_ranges(self):
        table = (
            ((0, 99), [(100, 199)]),
            ((200, 300), [(100, 199)]),
            ((100, 199), []),
            ((0, 500), []),
            ((100, 149), [(150, 199)]),
            ((150, 250), [(100, 149)]),
            ((120, 129), [(100, 119), (130, 199)]),
        )
        for removed, expected in table:
            remaining = granted_ranges.subtract_range([GRANTED_RANGE], *removed)
            ranges = [
                (granted_range.first, granted_range.last)
                for granted_range in remaining
            ]
            self.assertEqual(expected, ranges, removed)
            for granted_range in remaining:
                restored = attrs.evolve(granted_range, first=100, last=199)
                self.assertEqual(GRANTED_RANGE, restored)
