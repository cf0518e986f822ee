"""Tests of waxwinglever_ownership.directory."""

import typing

import attrs
import testtools

from waxwinglever_model import cells
from waxwinglever_ownership import directory


class DirectoryTest(testtools.TestCase):
    """Guards against old lines that replace newer ones."""

    builders: typing.Any = None

    def test_only_newer_lines_are_taken(self):
        known = directory.Directory()
        line = cells.line_of(self.builders.record(), 5)
        steps = (
            (line, True, 1),
            (line, False, 1),
            (attrs.evolve(line, version=4, term=9), False, 1),
            (attrs.evolve(line, version=6), True, 2),
        )
        for item, changed, version in steps:
            self.assertEqual(changed, directory.learn(known, [item]))
            self.assertEqual(version, directory.snapshot(known)[0])
        self.assertEqual([6], [l.version for l in known.lines.values()])

    def test_lines_are_bounded_and_found_by_service(self):
        known = directory.Directory()
        line = cells.line_of(self.builders.record(), 1)
        directory.learn(
            known,
            [
                attrs.evolve(line, cell=f"t/s{i % 2}/{i}")
                for i in range(directory.MAX_LINES + 9)
            ],
        )
        self.assertEqual(directory.MAX_LINES, len(known.lines))
        found = directory.cells_of(known, "t", "s1")
        self.assertEqual(directory.MAX_LINES // 2, len(found))
        self.assertEqual([], directory.cells_of(known, "t", "s"))
