"""Tests of waxwinglever_routing.record_cache."""

import attrs
import testtools

from waxwinglever_model import cells
from waxwinglever_model import hashing
from waxwinglever_routing import record_cache

MEMBER = cells.Member("a", "i", "127.0.0.1:1", "127.0.0.1:2", "z")


def make_record(term=1, cell="t/s/0", owner="a"):
    slices = tuple(
        attrs.evolve(item, owner=owner) for item in cells.equal_slices(4)
    )
    return cells.CellRecord(cell, term, "a", "i", "n", (MEMBER,), slices)


class RecordCacheTest(testtools.TestCase):
    """Guards against requests that are routed by an outdated record."""

    def test_only_newer_records_are_kept(self):
        for name, invalidated, term, version, expected in (
            ("newer version", False, 3, 8, True),
            ("newer term and version", False, 4, 8, True),
            ("same version", False, 3, 7, False),
            ("older version", False, 3, 6, False),
            ("older version of a newer term", False, 4, 6, False),
            ("newer version of an older term", False, 2, 8, False),
            ("same version, invalidated", True, 3, 7, True),
            ("older version, invalidated", True, 3, 6, False),
        ):
            cache = record_cache.RecordCache()
            self.assertTrue(record_cache.update(cache, make_record(3), 7))
            if invalidated:
                record_cache.invalidate(cache, "t/s/0")
            kept = record_cache.update(cache, make_record(term), version)
            self.assertEqual(expected, kept, name)

    def test_lookup(self):
        cache = record_cache.RecordCache()
        self.assertIs(None, record_cache.lookup(cache, "t/s/0", 0))
        record_cache.update(cache, make_record(), 7)
        target = record_cache.lookup(cache, "t/s/0", hashing.SPACE - 1)
        self.assertEqual((MEMBER, 7), (target.member, target.version))
        self.assertEqual(hashing.SPACE - 1, target.item.last)
        self.assertEqual(7, record_cache.cached_version(cache, "t/s/0"))
        record_cache.invalidate(cache, "t/s/0")
        self.assertIs(None, record_cache.lookup(cache, "t/s/0", 0))
        self.assertEqual(0, record_cache.cached_version(cache, "t/s/0"))
        record_cache.update(cache, make_record(owner="gone"), 9)
        self.assertIs(None, record_cache.lookup(cache, "t/s/0", 0))

    def test_least_recently_used_cell_is_dropped(self):
        cache = record_cache.RecordCache(max_cells=2)
        for name in ("c/0", "c/1"):
            record_cache.update(cache, make_record(cell=name), 1)
        record_cache.lookup(cache, "c/0", 0)
        record_cache.update(cache, make_record(cell="c/2"), 1)
        self.assertEqual(["c/0", "c/2"], list(cache.records))

    def test_the_number_of_slices_is_bounded(self):
        cache = record_cache.RecordCache(max_slices=9)
        for i in range(3):
            record_cache.update(cache, make_record(cell=f"c/{i}"), 1)
        self.assertEqual(["c/1", "c/2"], list(cache.records))
