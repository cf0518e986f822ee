"""Tests of waxwinglever_standins.holds."""

import attrs
import testtools

from waxwinglever_standins import holds

HOLD = holds.Hold(100, 199, 7, 5.0)


class HoldsTest(testtools.TestCase):
    """Guards against a release that frees too many or too few shards."""

    def test_outside_returns_the_remaining_ranges(self):
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
            remaining = holds.outside([HOLD], *removed)
            ranges = [(hold.first, hold.last) for hold in remaining]
            self.assertEqual(expected, ranges, removed)
            for hold in remaining:
                restored = attrs.evolve(hold, first=100, last=199)
                self.assertEqual(HOLD, restored)
