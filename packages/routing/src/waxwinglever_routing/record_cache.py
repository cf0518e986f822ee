"""Cache of the records of other cells."""

import collections
import threading

import attrs

from waxwinglever_model import cells

# About the number of cells in a fleet of the target size.
MAX_CELLS = 128
# 4,096 slices take 0.97 MB as objects, so this bound is 8 MB of the 32 MB that
# a daemon may use for its control data.
MAX_CACHED_SLICES = 32_768


@attrs.frozen
class Target:
    """Where a request for a point is routed.

    Attributes:
      member: The recorded owner.
      item: The slice that contains the point.
      version: Version of the record that names the owner.
    """

    member: cells.Member
    item: cells.Slice
    version: int


@attrs.frozen
class CachedRecord:
    """A cached record, or only its term and version once it is invalidated.

    Attributes:
      term: Term of the record.
      version: Version of the record in the store.
      record: The record, or None after `invalidate`.
    """

    term: int
    version: int
    record: cells.CellRecord | None


@attrs.define(eq=False)
class RecordCache:
    """LRU cache of the records of other cells.

    Attributes:
      max_cells: Maximum number of cells.
      max_slices: Maximum number of slices in all records; a single record may
        exceed it.
      records: Cached records by cell, the least recently used first.
    """

    max_cells: int = attrs.field(
        default=MAX_CELLS, validator=attrs.validators.ge(1)
    )
    max_slices: int = MAX_CACHED_SLICES
    records: collections.OrderedDict[str, CachedRecord] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)


def update(cache: RecordCache, record: cells.CellRecord, version: int) -> bool:
    """Caches a record unless it is older than the cached one of its cell.

    Neither the term nor the version of a cell ever decreases. A record that
    was invalidated may be cached again under the same version.

    Returns:
      Whether the record was cached.
    """
    with cache.lock:
        cached = cache.records.get(record.cell)
        if cached is not None:
            if record.term < cached.term or version < cached.version:
                return False
            if version == cached.version and cached.record is not None:
                return False
        cache.records[record.cell] = CachedRecord(record.term, version, record)
        cache.records.move_to_end(record.cell)
        evict(cache)
        return True


def evict(cache: RecordCache) -> None:
    """Drops least recently used records until the cache is within bounds."""
    count = sum(
        len(cached.record.slices)
        for cached in cache.records.values()
        if cached.record is not None
    )
    while len(cache.records) > cache.max_cells or (
        count > cache.max_slices and len(cache.records) > 1
    ):
        _, dropped = cache.records.popitem(last=False)
        if dropped.record is not None:
            count -= len(dropped.record.slices)


def lookup(cache: RecordCache, cell: str, point: int) -> Target | None:
    """Returns the recorded owner of a point, or None if none is cached."""
    with cache.lock:
        cached = cache.records.get(cell)
        if cached is None or cached.record is None:
            return None
        cache.records.move_to_end(cell)
    item = cached.record.slice_at(point)
    member = cached.record.member(item.owner) if item is not None else None
    if item is None or member is None:
        return None
    return Target(member, item, cached.version)


def cached_record(cache: RecordCache, cell: str) -> CachedRecord | None:
    """Returns the cached record of a cell, or None if there is none."""
    with cache.lock:
        cached = cache.records.get(cell)
        if cached is None or cached.record is None:
            return None
        cache.records.move_to_end(cell)
        return cached


def cached_version(cache: RecordCache, cell: str) -> int:
    """Returns the version of the cached record, or 0 if there is none."""
    with cache.lock:
        cached = cache.records.get(cell)
        if cached is None or cached.record is None:
            return 0
        return cached.version


def invalidate(cache: RecordCache, cell: str) -> None:
    """Invalidates the record of a cell; older ones are still rejected."""
    with cache.lock:
        cached = cache.records.get(cell)
        if cached is not None:
            cache.records[cell] = attrs.evolve(cached, record=None)
