"""Tests of waxwinglever_ownership.directory."""

import typing

import attrs
import testtools

from waxwinglever_model import cells
from waxwinglever_ownership import directory


class DirectoryTest(testtools.TestCase):
    """Guards against old summaries that replace newer ones."""

    builders: typing.Any = None

    def test_only_newer_summaries_are_merged(self):
        merged = directory.CellDirectory()
        summary = cells.summarize(self.builders.record(), 5)
        steps = (
            (summary, True, 1),
            (summary, False, 1),
            (attrs.evolve(summary, version=4, term=9), False, 1),
            (attrs.evolve(summary, version=6), True, 2),
        )
        for summary, changed, version in steps:
            self.assertEqual(changed, directory.merge(merged, [summary]))
            self.assertEqual(version, directory.snapshot(merged)[0])
        self.assertEqual(
            [6], [summary.version for summary in merged.summaries.values()]
        )

    def test_the_directory_is_bounded_and_searched_by_service(self):
        merged = directory.CellDirectory()
        summary = cells.summarize(self.builders.record(), 1)
        directory.merge(
            merged,
            [
                attrs.evolve(summary, cell=f"t/s{i % 2}/{i}")
                for i in range(directory.MAX_SUMMARIES + 9)
            ],
        )
        self.assertEqual(directory.MAX_SUMMARIES, len(merged.summaries))
        found = directory.find_cells(merged, "t", "s1")
        self.assertEqual(directory.MAX_SUMMARIES // 2, len(found))
        self.assertEqual([], directory.find_cells(merged, "t", "s"))
