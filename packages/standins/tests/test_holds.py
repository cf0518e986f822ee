"""Tests of waxwinglever_standins.holds."""

import attrs
import testtools

from waxwinglever_standins import holds

HOLD = holds.Hold(100, 199, 7, 5.0)


class HoldsTest(testtools.TestCase):
    """Guards against a stand-in that lets go of too much or too little."""

    def test_what_is_left(self):
        table = (
            ((0, 99), [(100, 199)]),
            ((200, 300), [(100, 199)]),
            ((100, 199), []),
            ((0, 500), []),
            ((100, 149), [(150, 199)]),
            ((150, 250), [(100, 149)]),
            ((120, 129), [(100, 119), (130, 199)]),
        )
        for cut, expected in table:
            left = holds.outside([HOLD], *cut)
            parts = [(part.first, part.last) for part in left]
            self.assertEqual(expected, parts, cut)
            for part in left:
                same = attrs.evolve(part, first=100, last=199)
                self.assertEqual(HOLD, same)
